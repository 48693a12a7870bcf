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

// The page that alarms are written from lags behind the code.
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

// Names follow one form, so that a reader can tell kind and unit from them.
func TestTable(t *testing.T) {
	form := regexp.MustCompile(`^swifthinge_[a-z_]+$`)
	seen := make(map[string]bool)
	for _, d := range Table {
		if seen[d.Name] || !form.MatchString(d.Name) || d.Text == "" {
			t.Errorf("%s is there twice, of another form or without a text", d.Name)
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
			t.Error("a counter with a missing label was made")
		}
	}()
	m.Counter(Requests, "lot-status")
}

// A process waits for its configuration, loses its keeper for a moment, and
// then hangs. The balancer stops sending requests in the first two cases; only
// in the last one may a supervisor restart it.
func TestHealth(t *testing.T) {
	r := hingeevents.NewRecorder(hingeids.Instance{})
	now := time.Unix(1000, 0)
	h := NewHealth(r, 10*time.Second, now, "configuration", "keys")
	var got []string
	look := func(at time.Time) {
		ready, missing := h.Ready()
		line := missing
		if ready {
			line = "ready"
		}
		if !h.Alive(at) {
			line += ", hung"
		}
		got = append(got, line)
	}
	look(now)
	h.Set(now, "configuration", true)
	look(now)
	h.Set(now, "keys", true)
	h.Set(now, "keys", true)
	look(now)
	h.Set(now, "keeper", false)
	look(now)
	h.Set(now, "keeper", true)
	h.Beat(now.Add(5 * time.Second))
	look(now.Add(15 * time.Second))
	look(now.Add(16 * time.Second))
	want := []string{"configuration, keys", "keys", "ready", "keeper", "ready", "ready, hung"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("health (-want +got):\n%s", diff)
	}
	if n := len(r.Kept()); n != 3 {
		t.Errorf("%d events, want one for each of 3 changes", n)
	}
}
