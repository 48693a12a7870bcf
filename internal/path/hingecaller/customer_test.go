package hingecaller

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/swifthinge/swifthinge/internal/config/hingecustomers"
)

// askedBy sends a completion with these headers, and gives whose it was and with which priority, or its refusal.
func askedBy(t *testing.T, b *badWorld, address, headers string) string {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		_ = conn.Close()
	}()
	b.asked = nil
	_, _ = io.WriteString(conn, post(headers, good))
	got, _ := readRefusal(t, bufio.NewReader(conn))
	if b.asked == nil {
		return got
	}
	return fmt.Sprint(b.asked.Caller, " ", b.asked.Class.Priority)
}

// A caller that takes another customer's name uses up that customer's share, and reads the answers kept under its idempotency
// keys. Where customers have keys, only a key tells whose a request is.
func TestCallersAreToldByTheirKeys(t *testing.T) {
	rank := 70
	set, err := hingecustomers.NewSet([]hingecustomers.Customer{
		{
			Name:     "quay",
			Keys:     []hingecustomers.Digest{hingecustomers.Key("quayKey").Digest()},
			Priority: &rank,
		},
		{
			Name: "depot",
			Keys: []hingecustomers.Digest{hingecustomers.Key("depotKey").Digest()},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	b, _, address := startBad(t)
	b.customers = set
	data, err := os.ReadFile("testdata/customers.txt")
	if err != nil {
		t.Fatal(err)
	}
	for block := range strings.SplitSeq(string(data), "\n\n") {
		headers, want, found := strings.Cut(block, "\n-> ")
		if !found {
			continue
		}
		var sent strings.Builder
		for line := range strings.SplitSeq(headers, "\n") {
			if !strings.HasPrefix(line, "#") {
				sent.WriteString(line + "\r\n")
			}
		}
		if diff := cmp.Diff(strings.TrimSpace(want), askedBy(t, b, address, sent.String())); diff != "" {
			t.Errorf("%s\n%s", headers, diff)
		}
	}
}

// Behind the operators' own gateway the name that it gives is the customer's. Without one the same header is anybody's, and
// all share the share of those who aren't told apart.
func TestNameIsBelievedOnlyBehindAGateway(t *testing.T) {
	b, server, address := startBad(t)
	got := make(map[bool]string)
	for _, gateway := range []bool{false, true} {
		server.config.Gateway = gateway
		got[gateway] = askedBy(t, b, address, "X-Caller: quay\r\n")
	}
	want := map[bool]string{
		false: "anonymous 100",
		true:  "quay 100",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatal(diff)
	}
}
