// Package hingeevents defines the events that swifthinge logs. Every event has a
// stable number and an entry in a catalogue, and each process keeps its newest
// events, which hingetimeline merges over all processes.
//
//  1. An event is an entry of the catalogue plus typed fields. Detail is the only
//     free text, so that a timeline can be searched by request, host, server or
//     revision.
//  2. Each event is stamped with a hybrid logical clock. Every message between
//     processes carries the sender's stamp, so an effect sorts after its cause
//     even if the hosts' clocks differ.
//  3. Numbers are grouped by area: 100 request path, 200 configuration log,
//     300 membership, 400 slots and allocations, 500 ledger, 600 orders to
//     engines, 700 decisions, 800 settings and operators, 900 the process itself.
package hingeevents

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// Number is the stable number of an event.
type Number uint16

// Severity grades events by whether an operator must act.
type Severity uint8

// Info is normal operation, Warning a fault from which the system recovers by
// itself, and Failure a fault that needs an operator.
const (
	Info Severity = iota
	Warning
	Failure
)

// Entry documents one event of the catalogue.
type Entry struct {
	Number   Number
	Name     string
	Severity Severity
	// Description says what happened, in one sentence.
	Description string
	// Action says what an operator should do; empty if nothing.
	Action string
}

// Fields are the typed fields of an event. Empty fields are omitted from logs.
type Fields struct {
	Request hingeids.RequestID `json:"request,omitzero"`
	// CallerRequestID is the caller's own id of the request, where callers give one.
	CallerRequestID string `json:"asked,omitempty"`
	// Fingerprint is the fingerprint that a request shares with its resends.
	Fingerprint hingeids.Fingerprint `json:"print,omitzero"`
	Host        hingeids.HostID      `json:"host,omitempty"`
	Server      hingeids.ServerID    `json:"server,omitempty"`
	Caller      hingeids.CallerID    `json:"caller,omitempty"`
	Zone        hingeids.Zone        `json:"zone,omitempty"`
	Revision    hingeids.Revision    `json:"revision,omitempty"`
	Fence       hingeids.Fence       `json:"fence,omitempty"`
	Elapsed     time.Duration        `json:"took,omitempty"`
	Count       int64                `json:"count,omitempty"`
	// ViewVersion is the version of the process's cluster view: its configuration and servers.
	ViewVersion string `json:"world,omitempty"`
	// Route is the name of the request's route. MissedTarget is the latency target that the answer missed, empty if none.
	Route        string `json:"route,omitempty"`
	MissedTarget string `json:"late,omitempty"`
	Detail       string `json:"detail,omitempty"`
}

// Stamp is a hybrid logical clock reading: wall time in Unix nanoseconds, and a
// counter that orders events with the same wall time.
type Stamp struct {
	Wall    int64  `cbor:"1,keyasint" json:"wall"`
	Counter uint32 `cbor:"2,keyasint" json:"counter"`
}

// Before reports whether s is before o.
func (s Stamp) Before(o Stamp) bool {
	if s.Wall != o.Wall {
		return s.Wall < o.Wall
	}
	return s.Counter < o.Counter
}

// Event is an event of one process.
type Event struct {
	Stamp    Stamp             `json:"stamp"`
	Instance hingeids.Instance `json:"life"`
	Number   Number            `json:"number"`
	Fields   Fields            `json:"fields"`
}

// maxKeptEvents limits the events that a process keeps for the timeline: 80 seconds
// at 200 events a second, in about 5 MB.
const maxKeptEvents = 16384

// Recorder stamps, logs and keeps the events of one process. It is safe for
// concurrent use. A nil recorder records nothing.
type Recorder struct {
	instance hingeids.Instance
	sink     func(Event)
	// wallClock, if set, replaces the times that callers pass.
	wallClock func() time.Time

	mu    sync.Mutex
	last  Stamp
	kept  []Event
	start int
	// dropped is set once the ring buffer kept has overwritten an event.
	dropped bool
	counts  map[Number]uint64
}

// NewRecorder returns the recorder of one instance of a process, which logs through klog.
func NewRecorder(instance hingeids.Instance) *Recorder {
	return &Recorder{
		instance: instance,
		kept:     make([]Event, 0, 256),
		counts:   make(map[Number]uint64),
	}
}

// NewRecorderTo returns a recorder that passes every event to sink instead of the
// log. Events are stamped with wallClock and not with the time passed to Record,
// as callers may pass the boot clock's times, which are before all other stamps.
func NewRecorderTo(instance hingeids.Instance, sink func(Event), wallClock func() time.Time) *Recorder {
	r := NewRecorder(instance)
	r.sink = sink
	r.wallClock = wallClock
	return r
}

// Record stamps an event, keeps it, and logs it or passes it to the sink.
func (r *Recorder) Record(now time.Time, n Number, f Fields) {
	if r == nil {
		return
	}
	if r.wallClock != nil {
		now = r.wallClock()
	}
	e := r.appendEvent(now, n, f)
	if r.sink != nil {
		r.sink(e)
		return
	}
	logEvent(e)
}

// Tick advances the clock and returns a stamp, such as for a message to send.
func (r *Recorder) Tick(now time.Time) Stamp {
	if r == nil {
		return Stamp{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.advance(now.UnixNano())
}

// Observe advances the clock past the stamp of a received message.
func (r *Recorder) Observe(now time.Time, seen Stamp) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.last.Before(seen) {
		r.last = seen
	}
	r.advance(now.UnixNano())
}

func (r *Recorder) advance(wall int64) Stamp {
	if wall > r.last.Wall {
		r.last = Stamp{
			Wall: wall,
		}
	} else {
		r.last.Counter++
	}
	return r.last
}

// appendEvent stamps and keeps an event under one lock, so that events are kept in
// the order of their stamps.
func (r *Recorder) appendEvent(now time.Time, n Number, f Fields) Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := Event{
		Stamp:    r.advance(now.UnixNano()),
		Instance: r.instance,
		Number:   n,
		Fields:   f,
	}
	r.counts[n]++
	if len(r.kept) < maxKeptEvents {
		r.kept = append(r.kept, e)
		return e
	}
	r.kept[r.start] = e
	r.start = (r.start + 1) % maxKeptEvents
	r.dropped = true
	return e
}

// Instance returns the instance of the process that records, or a zero one for a nil recorder.
func (r *Recorder) Instance() hingeids.Instance {
	if r == nil {
		return hingeids.Instance{}
	}
	return r.instance
}

// Dropped reports whether older events were discarded for newer ones.
func (r *Recorder) Dropped() bool {
	if r == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped
}

// Count is the number of times that an event was recorded.
type Count struct {
	Number Number
	Count  uint64
}

// Counts returns the counts since the recorder was created, ordered by event number.
func (r *Recorder) Counts() []Count {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Count, 0, len(r.counts))
	for n, c := range r.counts {
		out = append(out, Count{
			Number: n,
			Count:  c,
		})
	}
	slices.SortFunc(out, func(a, b Count) int {
		return cmp.Compare(a.Number, b.Number)
	})
	return out
}

// Events returns a copy of the events that are still kept, oldest first.
func (r *Recorder) Events() []Event {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Event, 0, len(r.kept))
	out = append(out, r.kept[r.start:]...)
	return append(out, r.kept[:r.start]...)
}

func logEvent(e Event) {
	entry, ok := Lookup(e.Number)
	if !ok {
		klog.ErrorS(nil, "recorded an event number without a catalogue entry", "number", e.Number)
		return
	}
	// Each request has several Info events, which are rarely logged, so their
	// fields are only formatted if they are.
	if entry.Severity == Info && !klog.V(1).Enabled() {
		return
	}
	keysAndValues := append([]any{"event", e.Number}, e.Fields.KeysAndValues()...)
	if entry.Severity == Failure {
		klog.ErrorS(nil, entry.Name, keysAndValues...)
		return
	}
	klog.InfoS(entry.Name, keysAndValues...)
}

// KeysAndValues returns the non-empty fields as alternating keys and values for klog.
func (f Fields) KeysAndValues() []any {
	var out []any
	add := func(present bool, key string, value any) {
		if present {
			out = append(out, key, value)
		}
	}
	add(!f.Request.IsZero(), "request", f.Request.String())
	add(f.CallerRequestID != "", "asked", f.CallerRequestID)
	add(f.Host != "", "host", f.Host)
	add(f.Server != "", "server", f.Server)
	add(f.Caller != "", "caller", f.Caller)
	add(f.Zone != "", "zone", f.Zone)
	add(f.Revision != 0, "revision", f.Revision)
	add(f.Fence != 0, "fence", f.Fence)
	add(f.Elapsed != 0, "took", f.Elapsed)
	add(f.Count != 0, "count", f.Count)
	add(f.ViewVersion != "", "world", f.ViewVersion)
	add(f.Route != "", "route", f.Route)
	add(f.MissedTarget != "", "late", f.MissedTarget)
	add(f.Detail != "", "detail", f.Detail)
	return out
}
