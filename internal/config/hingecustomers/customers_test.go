package hingecustomers

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// parseCustomer reads "name rate=N burst=N plain=N keys=a,b"; "-" stands for an empty name or key.
func parseCustomer(t *testing.T, line string) Customer {
	t.Helper()
	words := strings.Fields(line)
	c := Customer{
		Name: hingeids.CallerID(strings.Trim(words[0], "-")),
	}
	for _, w := range words[1:] {
		name, value, _ := strings.Cut(w, "=")
		var n float64
		if name != "keys" {
			if _, err := fmt.Sscan(value, &n); err != nil {
				t.Fatal(err)
			}
		}
		switch name {
		case "rate":
			c.Quota.Rate = n
		case "burst":
			c.Quota.Burst = hingeids.QuotaUnits(n)
		case "plain":
			c.Quota.Plain = hingeids.QuotaUnits(n)
		case "keys":
			for k := range strings.SplitSeq(value, ",") {
				c.Keys = append(c.Keys, Key(strings.Trim(k, "-")).Digest())
			}
		}
	}
	return c
}

// An operator gives two customers one key, or leaves a name out. If that were accepted, one customer would pay for the
// other's requests, or an empty key would let everybody in.
func TestCustomersAreCheckedWhole(t *testing.T) {
	data, err := os.ReadFile("testdata/check.txt")
	if err != nil {
		t.Fatal(err)
	}
	for block := range strings.SplitSeq(string(data), "\n\n") {
		lines, want, _ := strings.Cut(strings.TrimSpace(block), "\n-> ")
		var list []Customer
		for line := range strings.Lines(lines) {
			if line = strings.TrimSpace(line); line[0] != '#' {
				list = append(list, parseCustomer(t, line))
			}
		}
		got := "valid"
		if _, err := NewSet(list); err != nil {
			got = err.Error()
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%s\n%s", lines, diff)
		}
	}
}

// A key that stands in a log line can be used by whoever reads the log. Neither a key nor anything that holds
// customers prints one, also where two of them clash.
func TestKeysAreNotPrinted(t *testing.T) {
	const secret = "kwq81-secret"
	list := []Customer{
		{
			Name: "quay",
			Keys: []Digest{Key(secret).Digest()},
		},
		{
			Name: "depot",
			Keys: []Digest{Key(secret).Digest()},
		},
	}
	_, err := NewSet(list)
	set, _ := NewSet(list[:1])
	held := struct {
		Key Key
		Set *Set
	}{
		Key: secret,
		Set: set,
	}
	for _, text := range []string{
		fmt.Sprint(err), fmt.Sprintf("%v", held), fmt.Sprintf("%+v", held), fmt.Sprintf("%#v", held),
		fmt.Sprintf("%s %q", held.Key, held.Key),
	} {
		if strings.Contains(text, secret) {
			t.Errorf("the key stands in %s", text)
		}
	}
}

func TestCost(t *testing.T) {
	tokens := Quota{
		Unit:  Tokens,
		Plain: 200,
	}
	got := []hingeids.QuotaUnits{
		Quota{}.Cost(5000, true), tokens.Cost(5000, true), tokens.Cost(0, false),
	}
	if diff := cmp.Diff([]hingeids.QuotaUnits{1, 5000, 200}, got); diff != "" {
		t.Fatal(diff)
	}
}

func fleetOfCustomers(b *testing.B, n int) *Set {
	b.Helper()
	var list []Customer
	for i := range n {
		list = append(list, Customer{
			Name: hingeids.CallerID(fmt.Sprint("customer-", i)),
			Keys: []Digest{Key(fmt.Sprintf("key-of-customer-%04d", i)).Digest()},
		})
	}
	s, err := NewSet(list)
	if err != nil {
		b.Fatal(err)
	}
	return s
}

func BenchmarkHolder(b *testing.B) {
	s := fleetOfCustomers(b, 7300)
	b.ReportAllocs()
	for b.Loop() {
		if s.Holder("key-of-customer-7299") == nil {
			b.Fatal("not found")
		}
	}
}
