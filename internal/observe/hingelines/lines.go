// Package hingelines writes the events of a process as JSON lines, so that a failure
// can be analyzed afterwards from the process's output alone.
//
//  1. Recording an event never blocks on output. Events that don't fit the queue are
//     dropped, and the next line states how many.
//  2. Lines are buffered and flushed a few times a second, since each write is a
//     system call.
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
	// queueSize is the number of events that can be queued: two seconds at 500 requests a second.
	queueSize = 4096
	// flushInterval is the longest time that a line stays in the buffer.
	flushInterval = 200 * time.Millisecond
	// bufferBytes is the size of the output buffer; a full buffer is written at once.
	bufferBytes = 32 << 10
)

// Writer writes events as JSON lines in the background. Its methods are safe for concurrent use; Run is called once.
type Writer struct {
	out     io.Writer
	events  chan hingeevents.Event
	dropped atomic.Int64
	done    chan struct{}
}

// New returns a writer that accepts events at once and writes them when Run is called.
func New(out io.Writer) *Writer {
	return &Writer{
		out:    out,
		events: make(chan hingeevents.Event, queueSize),
		done:   make(chan struct{}),
	}
}

// Enqueue queues an event, or drops and counts it if the queue is full (rule 1). It never blocks.
func (w *Writer) Enqueue(e hingeevents.Event) {
	select {
	case w.events <- e:
	default:
		w.dropped.Add(1)
	}
}

// Dropped returns the number of events dropped so far.
func (w *Writer) Dropped() int64 {
	return w.dropped.Load()
}

// Done returns a channel that is closed when Run has returned.
func (w *Writer) Done() <-chan struct{} {
	return w.done
}

// Run writes events until the context is done, then writes the queued ones and returns. It also returns on a write
// error.
func (w *Writer) Run(ctx context.Context) error {
	defer close(w.done)
	out := bufio.NewWriterSize(w.out, bufferBytes)
	reportedDrops := int64(0)
	flush := time.NewTimer(flushInterval)
	defer flush.Stop()
	flushPending := false
	for {
		select {
		case e := <-w.events:
			reportedDrops = w.write(out, e, reportedDrops)
			if !flushPending {
				flushPending = true
				flush.Reset(flushInterval)
			}
		case <-flush.C:
			flushPending = false
			if err := out.Flush(); err != nil {
				return err
			}
		case <-ctx.Done():
			for len(w.events) > 0 {
				reportedDrops = w.write(out, <-w.events, reportedDrops)
			}
			return out.Flush()
		}
	}
}

// Line is the JSON form of an event. ElapsedMs is Fields.Elapsed in milliseconds, Dropped counts the events dropped
// since the previous line.
type Line struct {
	At        time.Time          `json:"at"`
	Event     hingeevents.Number `json:"event"`
	Name      string             `json:"name"`
	Host      string             `json:"by"`
	Dropped   int64              `json:"dropped,omitempty"`
	ElapsedMs float64            `json:"tookMs,omitempty"`
	Fields    hingeevents.Fields `json:"fields,omitzero"`
}

func (w *Writer) write(out *bufio.Writer, e hingeevents.Event, reportedDrops int64) int64 {
	entry, _ := hingeevents.Lookup(e.Number)
	dropped := w.dropped.Load()
	l := Line{
		At:        time.Unix(0, e.Stamp.Wall).UTC(),
		Event:     e.Number,
		Name:      entry.Name,
		Host:      string(e.Instance.Host),
		Dropped:   dropped - reportedDrops,
		ElapsedMs: float64(e.Fields.Elapsed.Microseconds()) / 1000,
		Fields:    e.Fields,
	}
	l.Fields.Elapsed = 0
	b, err := json.Marshal(l)
	if err != nil {
		// Line has no field that json can't encode.
		panic(err)
	}
	// bufio.Writer keeps a write error and returns it from Flush.
	_, _ = out.Write(append(b, '\n'))
	return dropped
}

// Parse decodes a line and ignores a prefix that a log collector may have added. It returns false if the line has no
// event.
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
