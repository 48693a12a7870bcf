package hingetimeline

import (
	"encoding/json"
	"encoding/xml"
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
)

func instance(host hingeids.HostID) hingeids.Instance {
	return hingeids.Instance{
		Host:        host,
		Incarnation: 1,
	}
}

// Guards against effects that sort before their causes when the hosts' clocks are
// seconds apart.
func TestCauseSortsBeforeEffect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := []hingeids.HostID{"a", "b", "c", "d"}
		recorders := make([]*hingeevents.Recorder, len(hosts))
		skews := make([]time.Duration, len(hosts))
		for i, h := range hosts {
			recorders[i] = hingeevents.NewRecorder(instance(h))
			skews[i] = time.Duration(rapid.IntRange(-5000, 5000).Draw(t, "skew")) * time.Millisecond
		}
		now := time.Unix(1000, 0)
		from := 0
		steps := rapid.IntRange(2, 30).Draw(t, "steps")
		for i := range steps {
			recorders[from].Record(now.Add(skews[from]), hingeevents.ProcessStarted, hingeevents.Fields{
				Count: int64(i + 1),
			})
			stamp := recorders[from].Tick(now.Add(skews[from]))
			from = rapid.IntRange(0, len(hosts)-1).Draw(t, "to")
			now = now.Add(time.Millisecond)
			recorders[from].Observe(now.Add(skews[from]), stamp)
		}
		var sources []Source
		for i, h := range hosts {
			sources = append(sources, Source{
				Instance: instance(h),
				Events:   recorders[i].Events(),
			})
		}
		slices.Reverse(sources)
		for i, e := range Merge(sources, nil).Events {
			if e.Fields.Count != int64(i+1) {
				t.Fatalf("step %d is at position %d", e.Fields.Count, i+1)
			}
		}
	})
}

func sample() (Timeline, hingeids.RequestID) {
	request := hingeids.RequestID{
		Instance: instance("cancale-1"),
		Sequence: 7,
	}
	at := func(host hingeids.HostID, ms int64, n hingeevents.Number, f hingeevents.Fields) hingeevents.Event {
		return hingeevents.Event{
			Stamp: hingeevents.Stamp{
				Wall: ms * int64(time.Millisecond),
			},
			Instance: instance(host),
			Number:   n,
			Fields:   f,
		}
	}
	return Merge([]Source{
		{
			Instance: instance("cancale-1"),
			Events: []hingeevents.Event{
				at("cancale-1", 1, hingeevents.ProcessStarted, hingeevents.Fields{
					Request: request,
				}),
				at("cancale-1", 2, hingeevents.ProcessReady, hingeevents.Fields{
					Request: request,
					Server:  "redacteur-1",
				}),
				at("cancale-1", 9, hingeevents.ProcessStopped, hingeevents.Fields{
					Request: request,
					Detail:  "<no slot & no time>",
				}),
			},
			Dropped: true,
		},
		{
			Instance: instance("roscoff-1"),
			Events: []hingeevents.Event{
				at("roscoff-1", 4, hingeevents.ProcessUnready, hingeevents.Fields{
					Server: "redacteur-1",
				}),
				at("roscoff-1", 5, hingeevents.ProcessUnready, hingeevents.Fields{
					Server: "redacteur-2",
				}),
				at("roscoff-1", 20, hingeevents.ProcessUnready, hingeevents.Fields{
					Server: "redacteur-1",
				}),
				at("roscoff-1", 6, 999, hingeevents.Fields{}),
			},
		},
	}, []hingeids.HostID{"quiberon-1"}), request
}

// Guards against an explanation that looks complete although hosts did not answer
// or events were dropped.
func TestExplanation(t *testing.T) {
	timeline, request := sample()
	var b strings.Builder
	if err := timeline.WriteExplanation(&b, request); err != nil {
		t.Fatal(err)
	}
	want := []string{
		"! no answer from quiberon-1: its events are missing below",
		"! cancale-1 has dropped its oldest events: the beginning may be missing below",
		"request cancale-1.1.7",
		"        0s cancale-1: The process started. (900)",
		"       1ms cancale-1: The process takes requests, and tells the balancer so. (901) server=redacteur-1",
		"       3ms roscoff-1: The process takes no new requests for now, and tells the balancer so. (902) server=redacteur-1",
		`       8ms cancale-1: The process ended with no request in progress. (904) detail="<no slot & no time>"`,
		"",
	}
	if diff := cmp.Diff(want, strings.Split(b.String(), "\n")); diff != "" {
		t.Errorf("explanation (-want +got):\n%s", diff)
	}
}

// Guards against events or gaps missing from an output format, and against
// malformed output when an event's detail contains markup.
func TestOutputFormats(t *testing.T) {
	timeline, _ := sample()
	var text, lines, svg strings.Builder
	for _, err := range []error{
		timeline.WriteText(&text),
		timeline.WriteJSON(&lines),
		timeline.WriteSVG(&svg),
	} {
		if err != nil {
			t.Fatal(err)
		}
	}
	if got := strings.Count(text.String(), "\n"); got != 7+2 {
		t.Errorf("text has %d lines, want 9:\n%s", got, text.String())
	}
	documents := 0
	for d := json.NewDecoder(strings.NewReader(lines.String())); ; documents++ {
		var line map[string]any
		if err := d.Decode(&line); err == io.EOF {
			break
		} else if err != nil {
			t.Fatal(err)
		}
	}
	if documents != 7+1 {
		t.Errorf("%d JSON lines, want 8", documents)
	}
	marks := 0
	for d := xml.NewDecoder(strings.NewReader(svg.String())); ; {
		token, err := d.Token()
		if err == io.EOF {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		if e, ok := token.(xml.StartElement); ok && e.Name.Local == "circle" {
			marks++
		}
	}
	if marks != 7 || !strings.Contains(svg.String(), "quiberon-1: no answer") {
		t.Errorf("%d marks, want 7, and a lane for quiberon-1:\n%s", marks, svg.String())
	}
}
