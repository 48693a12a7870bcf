// Package hingelines writes a process's events as lines of JSON, for whoever
// has only its output to explain a failure afterwards.
//
//  1. Writing never blocks what it tells of. What doesn't fit the queue is dropped,
//     and the next line says how many were.
//  2. Lines are gathered and written a few times a second, since each write
//     costs a call of the system.
package hingelines

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"sync/atomic"
	"time"

	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
)

const (
	// queued bounds the events that wait: two seconds of a host with 500 requests a second.
	queued = 4096
	// flushEvery is how long a line may wait before it is written.
	flushEvery = 200 * time.Millisecond
	// buffer gathers lines; a full one is written at once.
	buffer = 32 << 10
)

// Writer writes events.
type Writer struct {
	out     io.Writer
	events  chan hingeevents.Event
	dropped atomic.Int64
	done    chan struct{}
}

// New makes a writer.
func New(out io.Writer) *Writer {
	return &Writer{
		out:    out,
		events: make(chan hingeevents.Event, queued),
		done:   make(chan struct{}),
	}
}

// Take takes an event, or drops and counts it (rule 1).
func (w *Writer) Take(e hingeevents.Event) {
	select {
	case w.events <- e:
	default:
		w.dropped.Add(1)
	}
}

// Dropped counts the events dropped so far.
func (w *Writer) Dropped() int64 {
	return w.dropped.Load()
}

// Done closes when Run has ended.
func (w *Writer) Done() <-chan struct{} {
	return w.done
}

// Run writes until the context ends, and then what still waits.
func (w *Writer) Run(ctx context.Context) error {
	defer close(w.done)
	out := bufio.NewWriterSize(w.out, buffer)
	told := int64(0)
	flush := time.NewTimer(flushEvery)
	defer flush.Stop()
	waits := false
	for {
		select {
		case e := <-w.events:
			told = w.write(out, e, told)
			if !waits {
				waits = true
				flush.Reset(flushEvery)
			}
		case <-flush.C:
			waits = false
			if err := out.Flush(); err != nil {
				return err
			}
		case <-ctx.Done():
			for len(w.events) > 0 {
				told = w.write(out, <-w.events, told)
			}
			return out.Flush()
		}
	}
}

// Line is an event as it is written.
type Line struct {
	At      time.Time          `json:"at"`
	Event   hingeevents.Number `json:"event"`
	Name    string             `json:"name"`
	By      string             `json:"by"`
	Dropped int64              `json:"dropped,omitempty"`
	TookMs  float64            `json:"tookMs,omitempty"`
	Fields  hingeevents.Fields `json:"fields,omitzero"`
}

func (w *Writer) write(out *bufio.Writer, e hingeevents.Event, told int64) int64 {
	entry, _ := hingeevents.Lookup(e.Number)
	dropped := w.dropped.Load()
	l := Line{
		At:      time.Unix(0, e.Stamp.Wall).UTC(),
		Event:   e.Number,
		Name:    entry.Name,
		By:      string(e.Life.Host),
		Dropped: dropped - told,
		TookMs:  float64(e.Fields.Took.Microseconds()) / 1000,
		Fields:  e.Fields,
	}
	l.Fields.Took = 0
	b, err := json.Marshal(l)
	if err != nil {
		// Only a field that can't be encoded gets here; there is none.
		panic(err)
	}
	// A failed write shows at the flush.
	_, _ = out.Write(append(b, '\n'))
	return dropped
}

// Parse reads a line, whatever a collector of logs has put before it; it gives false for what isn't an event.
func Parse(b []byte) (Line, bool) {
	at := bytes.IndexByte(b, '{')
	if at < 0 {
		return Line{}, false
	}
	var l Line
	if err := json.Unmarshal(b[at:], &l); err != nil || l.Event == 0 {
		return Line{}, false
	}
	return l, true
}
