package hingeproxy

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/swifthinge/swifthinge/internal/capacity/hingeplacer"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
)

// Statuses that promise "not run" are believed: a caller sends its status query again after one, and a lot ships twice if it had
// run. A customer beyond its quota hears 429, one of whom the host doesn't know that hears 503.
func TestRefusalsForQuotasPromiseOnlyWhatIsTrue(t *testing.T) {
	got := make(map[string]int)
	for _, c := range []struct {
		name    string
		cause   hingeplacer.Cause
		verdict hingeverdict.Verdict
	}{
		{
			name:    "over",
			cause:   hingeplacer.OverQuota,
			verdict: hingeverdict.NotRun,
		},
		{
			name:    "unknown",
			cause:   hingeplacer.QuotaUnknown,
			verdict: hingeverdict.NotRun,
		},
		{
			name:    "no room",
			cause:   hingeplacer.NoRoom,
			verdict: hingeverdict.NotRun,
		},
		{
			name:    "over, after a try that may have run",
			cause:   hingeplacer.OverQuota,
			verdict: hingeverdict.MayHaveRun,
		},
	} {
		got[c.name] = statusOf(hingeverdict.New(c.verdict, codeOf(c.cause, hingeverdict.CodeNoServer), 0, nil))
	}
	want := map[string]int{
		"over":                                http.StatusTooManyRequests,
		"unknown":                             http.StatusServiceUnavailable,
		"no room":                             http.StatusServiceUnavailable,
		"over, after a try that may have run": http.StatusBadGateway,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatal(diff)
	}
}

// Thousands of customers send through each of hundreds of hosts. A series for each of them at each host would overrun whoever
// gathers metrics.
func TestCustomersInMetricsAreBounded(t *testing.T) {
	m := newMeter()
	for i := range 7300 {
		m.customer(hingeids.CallerID(fmt.Sprint("customer-", i)), outcomeAnswered)
	}
	var b bytes.Buffer
	m.set.WritePrometheus(&b)
	if n := strings.Count(b.String(), "customer_requests_total"); n != mostNamed+1 {
		t.Fatalf("%d series", n)
	}
}
