package hingecustomers

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// parseCustomer parses "name rate=N burst=N plain=N keys=a,b"; "-" means an empty name or key.
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
			c.Quota.DefaultCost = hingeids.QuotaUnits(n)
		case "keys":
			for k := range strings.SplitSeq(value, ",") {
				c.Keys = append(c.Keys, Key(strings.Trim(k, "-")).Digest())
			}
		}
	}
	return c
}

// Guards against customers with a shared key, whose requests would be charged to each other, and
// against an empty key, which would admit every caller.
func TestNewSetRejectsInvalidCustomers(t *testing.T) {
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

// Guards against API keys in logs: neither a formatted key or set nor the error about a duplicate key may contain one.
func TestKeysAreRedacted(t *testing.T) {
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
	container := struct {
		Key Key
		Set *Set
	}{
		Key: secret,
		Set: set,
	}
	for _, text := range []string{
		fmt.Sprint(err), fmt.Sprintf("%v", container), fmt.Sprintf("%+v", container), fmt.Sprintf("%#v", container),
		fmt.Sprintf("%s %q", container.Key, container.Key),
	} {
		if strings.Contains(text, secret) {
			t.Errorf("text contains the key: %s", text)
		}
	}
}

func TestCost(t *testing.T) {
	tokens := Quota{
		Unit:        Tokens,
		DefaultCost: 200,
	}
	got := []hingeids.QuotaUnits{
		Quota{}.Cost(5000, true), tokens.Cost(5000, true), tokens.Cost(0, false),
	}
	if diff := cmp.Diff([]hingeids.QuotaUnits{1, 5000, 200}, got); diff != "" {
		t.Fatal(diff)
	}
}

func newTestSet(b *testing.B, n int) *Set {
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

func BenchmarkCustomerByKey(b *testing.B) {
	set := newTestSet(b, 7300)
	b.ReportAllocs()
	for b.Loop() {
		if set.CustomerByKey("key-of-customer-7299") == nil {
			b.Fatal("key not found")
		}
	}
}
