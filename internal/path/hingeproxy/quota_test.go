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

// A request that may have run must not get a status that means "not run". The status beyond a quota is 429, with an
// unknown quota 503.
func TestQuotaRefusalStatuses(t *testing.T) {
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
			name:    "no capacity",
			cause:   hingeplacer.NoCapacity,
			verdict: hingeverdict.NotRun,
		},
		{
			name:    "over, after an attempt that may have run",
			cause:   hingeplacer.OverQuota,
			verdict: hingeverdict.MayHaveRun,
		},
	} {
		got[c.name] = statusOf(hingeverdict.New(c.verdict, refusalCode(c.cause, hingeverdict.CodeNoServer), 0, nil))
	}
	want := map[string]int{
		"over":        http.StatusTooManyRequests,
		"unknown":     http.StatusServiceUnavailable,
		"no capacity": http.StatusServiceUnavailable,
		"over, after an attempt that may have run": http.StatusBadGateway,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatal(diff)
	}
}

// The number of customers with a metric series of their own must be bounded.
func TestCustomersInMetricsAreBounded(t *testing.T) {
	m := newMeter()
	for i := range 7300 {
		m.countRequest(hingeids.CallerID(fmt.Sprint("customer-", i)), outcomeAnswered)
	}
	var b bytes.Buffer
	m.set.WritePrometheus(&b)
	if n := strings.Count(b.String(), "customer_requests_total"); n != maxNamedCustomers+1 {
		t.Fatalf("%d series", n)
	}
}
