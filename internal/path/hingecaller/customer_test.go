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

// sendWithHeaders sends a completion with the given headers and returns the
// customer and priority that it was attributed to, or its refusal.
func sendWithHeaders(t *testing.T, b *testBackend, address, headers string) string {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		_ = conn.Close()
	}()
	b.requested = nil
	_, _ = io.WriteString(conn, post(headers, good))
	got, _ := readRefusal(t, bufio.NewReader(conn))
	if b.requested == nil {
		return got
	}
	return fmt.Sprint(b.requested.Caller, " ", b.requested.Class.Priority)
}

// Guards against callers that use another customer's name, and with it that
// customer's quota and stored answers, without its API key.
func TestCustomerIsIdentifiedByAPIKey(t *testing.T) {
	priority := 70
	set, err := hingecustomers.NewSet([]hingecustomers.Customer{
		{
			Name:     "quay",
			Keys:     []hingecustomers.Digest{hingecustomers.Key("quayKey").Digest()},
			Priority: &priority,
		},
		{
			Name: "depot",
			Keys: []hingecustomers.Digest{hingecustomers.Key("depotKey").Digest()},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	b, _, address := startServer(t)
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
		if diff := cmp.Diff(strings.TrimSpace(want), sendWithHeaders(t, b, address, sent.String())); diff != "" {
			t.Errorf("%s\n%s", headers, diff)
		}
	}
}

// Guards against trusting X-Caller from callers that bypass the operators'
// gateway.
func TestCallerHeaderIsTrustedOnlyBehindGateway(t *testing.T) {
	b, server, address := startServer(t)
	got := make(map[bool]string)
	for _, gateway := range []bool{false, true} {
		server.config.BehindGateway = gateway
		got[gateway] = sendWithHeaders(t, b, address, "X-Caller: quay\r\n")
	}
	want := map[bool]string{
		false: "anonymous 100",
		true:  "quay 100",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatal(diff)
	}
}
