package hingelines

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
)

type output struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.b.Write(p)
}

func (o *output) lines() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return strings.Split(strings.TrimSpace(o.b.String()), "\n")
}

// Guards against lines that lack the host, the event or its time of day.
func TestLineHasTimeNameAndHost(t *testing.T) {
	out := &output{}
	w := New(out)
	r := hingeevents.NewRecorderTo(hingeids.Instance{
		Host: "entry-1",
	}, w.Enqueue, time.Now)
	ctx, stop := context.WithCancel(context.Background())
	go func() {
		_ = w.Run(ctx)
	}()
	// The recorded time may come from the boot clock; the line must have the time of day.
	began := time.Now()
	r.Record(time.Unix(40, 0), hingeevents.RequestGivenUp, hingeevents.Fields{
		CallerRequestID: "request-7",
		Elapsed:         1500 * time.Microsecond,
	})
	stop()
	<-w.Done()
	var got struct {
		At     time.Time `json:"at"`
		Name   string    `json:"name"`
		By     string    `json:"by"`
		TookMs float64   `json:"tookMs"`
		Fields struct {
			Asked string `json:"asked"`
		} `json:"fields"`
	}
	if err := json.Unmarshal([]byte(out.lines()[0]), &got); err != nil {
		t.Fatal(err)
	}
	if got.At.Before(began.Truncate(time.Microsecond)) || got.At.After(time.Now()) {
		t.Fatalf("line has the time %v, want the time of day at which it was recorded", got.At)
	}
	if got.Name != "requestGivenUp" || got.By != "entry-1" || got.TookMs != 1.5 || got.Fields.Asked != "request-7" {
		t.Fatalf("wrong line: %+v", got)
	}
}

// Guards against requests that block on slow output, and against dropped events that no line reports.
func TestFullQueueDropsAndCountsEvents(t *testing.T) {
	out := &output{}
	w := New(out)
	const sent = queueSize + 100
	done := make(chan struct{})
	go func() {
		for range sent {
			w.Enqueue(hingeevents.Event{
				Number: hingeevents.RequestAnswered,
			})
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("Take blocks although the queue is full")
	}
	ctx, stop := context.WithCancel(context.Background())
	stop()
	if err := w.Run(ctx); err != nil {
		t.Fatal(err)
	}
	lines := out.lines()
	if w.Dropped() != 100 || !strings.Contains(lines[0], `"dropped":100`) {
		t.Fatalf("dropped %d events, want 100 reported in the first line: %s", w.Dropped(), lines[0])
	}
	if strings.Contains(lines[1], "dropped") {
		t.Fatalf("dropped events are reported twice: %s", lines[1])
	}
}
