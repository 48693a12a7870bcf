// Package hingeevents is what swifthinge says about itself: every event has a
// number that never changes its meaning, one table documents it, and each
// process keeps its newest events for the time line over all processes.
//
//  1. An event is an entry of the catalogue plus typed fields. There is no free
//     text but Detail, so that the time line can be searched by request, host,
//     server or revision.
//  2. Each event is stamped with a hybrid logical clock. Every message between
//     our processes carries the sender's stamp, so an event that another caused
//     sorts after it even where the hosts' clocks differ.
//  3. Numbers are grouped by area: 100 request path, 200 configuration log,
//     300 membership, 400 slots and holds, 500 ledger, 600 orders to engines,
//     700 decisions, 800 settings and operators, 900 the process itself.
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

// Severity says whom an event concerns.
type Severity uint8

// Info is the ordinary course; Warning is something the system mends by
// itself; Failure needs an operator.
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
	// Text says what happened, in one sentence.
	Text string
	// Do says what an operator does about it; empty when nothing.
	Do string
}

// Fields are what an event is about. Empty ones are left out.
type Fields struct {
	Request hingeids.RequestID `json:"request,omitzero"`
	// Asked is the caller's own id of the request, where callers give one.
	Asked string `json:"asked,omitempty"`
	// Print is what the request has in common with all that are sent again.
	Print    hingeids.Fingerprint `json:"print,omitzero"`
	Host     hingeids.HostID      `json:"host,omitempty"`
	Server   hingeids.ServerID    `json:"server,omitempty"`
	Caller   hingeids.CallerID    `json:"caller,omitempty"`
	Zone     hingeids.Zone        `json:"zone,omitempty"`
	Revision hingeids.Revision    `json:"revision,omitempty"`
	Fence    hingeids.Fence       `json:"fence,omitempty"`
	Took     time.Duration        `json:"took,omitempty"`
	Count    int64                `json:"count,omitempty"`
	// World is the version of what the process knew of the configuration and of servers.
	World string `json:"world,omitempty"`
	// Route names the route of a request; Late is what made its answer late, empty if it was on time.
	Route  string `json:"route,omitempty"`
	Late   string `json:"late,omitempty"`
	Detail string `json:"detail,omitempty"`
}

// Stamp is a hybrid logical clock reading: wall time in nanoseconds, then a
// counter among events that the wall clock can't tell apart.
type Stamp struct {
	Wall    int64  `cbor:"1,keyasint" json:"wall"`
	Counter uint32 `cbor:"2,keyasint" json:"counter"`
}

// Before orders stamps.
func (s Stamp) Before(o Stamp) bool {
	if s.Wall != o.Wall {
		return s.Wall < o.Wall
	}
	return s.Counter < o.Counter
}

// Event is one thing that happened in one process.
type Event struct {
	Stamp  Stamp             `json:"stamp"`
	Life   hingeids.Instance `json:"life"`
	Number Number            `json:"number"`
	Fields Fields            `json:"fields"`
}

// keptEvents bounds the events a process keeps for the time line: at 200
// events a second it covers a minute and a half, in about 5 MB.
const keptEvents = 16384

// Recorder stamps, logs and keeps the events of one process. It is safe for
// use by many goroutines. A nil recorder records nothing.
type Recorder struct {
	life hingeids.Instance
	sink func(Event)
	// today is the time of day, where those who record go by another clock.
	today func() time.Time

	mu    sync.Mutex
	last  Stamp
	kept  []Event
	start int
	// dropped says that kept has wrapped round.
	dropped bool
	counts  map[Number]uint64
}

// NewRecorder makes the recorder of one life of a process.
func NewRecorder(life hingeids.Instance) *Recorder {
	return &Recorder{
		life:   life,
		kept:   make([]Event, 0, 256),
		counts: make(map[Number]uint64),
	}
}

// NewRecorderTo makes a recorder whose events go to a sink, all of them, in
// place of the log. They are stamped with the time of day that today gives: parts that go by
// the boot clock hand in times that lie before every other stamp, and all their
// events would seem to happen at the moment of the one before.
func NewRecorderTo(life hingeids.Instance, sink func(Event), today func() time.Time) *Recorder {
	r := NewRecorder(life)
	r.sink = sink
	r.today = today
	return r
}

// Record keeps and logs an event.
func (r *Recorder) Record(now time.Time, n Number, f Fields) {
	if r == nil {
		return
	}
	if r.today != nil {
		now = r.today()
	}
	e := r.keep(now, n, f)
	if r.sink != nil {
		r.sink(e)
		return
	}
	logEvent(e)
}

// Tick moves the clock on and gives a stamp for an event or a message.
func (r *Recorder) Tick(now time.Time) Stamp {
	if r == nil {
		return Stamp{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.advance(now.UnixNano())
}

// Observe moves the clock past a stamp that came with a message.
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

// keep stamps and keeps an event under one lock, so that events are kept in
// the order of their stamps.
func (r *Recorder) keep(now time.Time, n Number, f Fields) Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := Event{
		Stamp:  r.advance(now.UnixNano()),
		Life:   r.life,
		Number: n,
		Fields: f,
	}
	r.counts[n]++
	if len(r.kept) < keptEvents {
		r.kept = append(r.kept, e)
		return e
	}
	r.kept[r.start] = e
	r.start = (r.start + 1) % keptEvents
	r.dropped = true
	return e
}

// Life gives the life of the process whose events these are.
func (r *Recorder) Life() hingeids.Instance {
	if r == nil {
		return hingeids.Instance{}
	}
	return r.life
}

// Dropped reports whether events have been dropped to make room for newer ones.
func (r *Recorder) Dropped() bool {
	if r == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped
}

// Count is how often an event was recorded.
type Count struct {
	Number Number
	Count  uint64
}

// Counts gives how often each event was recorded in this life, by number.
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

// Kept gives the events that are still kept, oldest first.
func (r *Recorder) Kept() []Event {
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
		klog.ErrorS(nil, "event without a catalogue entry", "number", e.Number)
		return
	}
	// Events of the ordinary course come several to a request and are seldom
	// logged, so nothing is made of them unless they are.
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

// KeysAndValues lists the fields that are not empty, as klog takes them.
func (f Fields) KeysAndValues() []any {
	var out []any
	add := func(there bool, key string, value any) {
		if there {
			out = append(out, key, value)
		}
	}
	add(!f.Request.IsZero(), "request", f.Request.String())
	add(f.Asked != "", "asked", f.Asked)
	add(f.Host != "", "host", f.Host)
	add(f.Server != "", "server", f.Server)
	add(f.Caller != "", "caller", f.Caller)
	add(f.Zone != "", "zone", f.Zone)
	add(f.Revision != 0, "revision", f.Revision)
	add(f.Fence != 0, "fence", f.Fence)
	add(f.Took != 0, "took", f.Took)
	add(f.Count != 0, "count", f.Count)
	add(f.World != "", "world", f.World)
	add(f.Route != "", "route", f.Route)
	add(f.Late != "", "late", f.Late)
	add(f.Detail != "", "detail", f.Detail)
	return out
}
