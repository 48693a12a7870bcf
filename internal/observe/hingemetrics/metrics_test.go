package hingemetrics

import (
	"bytes"
	"flag"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
)

var update = flag.Bool("update", false, "write docs/METRICS.md")

// Guards against a generated page that is out of date.
func TestPage(t *testing.T) {
	const path = "../../../docs/METRICS.md"
	if *update {
		if err := os.WriteFile(path, []byte(Page()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	page, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(page), Page()); diff != "" {
		t.Errorf("docs/METRICS.md differs from the table; run go test ./internal/observe/hingemetrics -update (-page +code):\n%s", diff)
	}
}

// Guards against duplicate names, and names whose suffix doesn't match the kind and unit.
func TestTable(t *testing.T) {
	form := regexp.MustCompile(`^swifthinge_[a-z_]+$`)
	seen := make(map[string]bool)
	for _, d := range Table {
		if seen[d.Name] || !form.MatchString(d.Name) || d.Description == "" {
			t.Errorf("%s is a duplicate, has the wrong form or has no text", d.Name)
		}
		seen[d.Name] = true
		if strings.HasSuffix(d.Name, "_total") != (d.Kind == CounterKind) {
			t.Errorf("%s is a %v", d.Name, d.Kind)
		}
		if strings.HasSuffix(d.Name, "_seconds") != (d.Kind == HistogramKind) {
			t.Errorf("%s is a %v", d.Name, d.Kind)
		}
	}
}

// Guards the text format, label escaping, and the rejection of missing label values.
func TestWrite(t *testing.T) {
	r := hingeevents.NewRecorder(hingeids.Instance{
		Host: "cancale-1",
	})
	m := New(r)
	m.Counter(Requests, "lot-status", "answered").Inc()
	m.Counter(Requests, `a"b`, "refused").Add(2)
	m.Histogram(FirstToken, "lot-status").Update(0.1)
	m.Gauge(InProgress, func() float64 {
		return 3
	})
	for range 2 {
		r.Record(time.Unix(1, 0), hingeevents.ProcessStarted, hingeevents.Fields{})
	}
	var b bytes.Buffer
	m.Write(&b)
	for _, want := range []string{
		`swifthinge_requests_total{class="lot-status",outcome="answered"} 1`,
		`swifthinge_requests_total{class="a\"b",outcome="refused"} 2`,
		`swifthinge_first_token_seconds_count{class="lot-status"} 1`,
		`swifthinge_requests_in_progress 3`,
		`swifthinge_events_total{number="900",name="processStarted",severity="info"} 2`,
		`go_goroutines `,
	} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("no %q in:\n%.2000s", want, b.String())
		}
	}
	defer func() {
		if recover() == nil {
			t.Error("Counter accepted a missing label value")
		}
	}()
	m.Counter(Requests, "lot-status")
}

// Guards against a process that is reported hung, and so restarted, while it is
// merely not ready, and against repeated readiness events.
func TestHealth(t *testing.T) {
	r := hingeevents.NewRecorder(hingeids.Instance{})
	now := time.Unix(1000, 0)
	h := NewHealth(r, 10*time.Second, now, "configuration", "keys")
	var got []string
	record := func(at time.Time) {
		ready, unmet := h.Ready()
		line := unmet
		if ready {
			line = "ready"
		}
		if !h.Alive(at) {
			line += ", hung"
		}
		got = append(got, line)
	}
	record(now)
	h.SetCondition(now, "configuration", true)
	record(now)
	h.SetCondition(now, "keys", true)
	h.SetCondition(now, "keys", true)
	record(now)
	h.SetCondition(now, "keeper", false)
	record(now)
	h.SetCondition(now, "keeper", true)
	h.RecordIteration(now.Add(5 * time.Second))
	record(now.Add(15 * time.Second))
	record(now.Add(16 * time.Second))
	want := []string{"configuration, keys", "keys", "ready", "keeper", "ready", "ready, hung"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("health (-want +got):\n%s", diff)
	}
	if n := len(r.Events()); n != 3 {
		t.Errorf("%d events, want one for each of 3 changes", n)
	}
}
