// Package hingetimeline merges the events that all processes keep into one time
// line, and shows it as text, as JSON lines and as a picture.
//
//  1. Events are ordered by their hybrid logical clock stamps, then by process.
//     A stamp grows within a process and along each message, so an event that
//     another caused always comes after it. Of two events that did not
//     cause each other the order is only as good as the hosts' clocks.
//  2. What is not there is named. A process that did not answer, and one that
//     has dropped its oldest events, stand in the time line as such: an
//     empty stretch must never look like a quiet one.
//  3. A question about one request also gets the warnings and failures, within
//     the request's time, of the backend servers it touched; the reason for a
//     retry is often one of these and carries no request.
package hingetimeline

import (
	"cmp"
	"slices"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
)

// Source is what one process keeps.
type Source struct {
	Life   hingeids.Instance   `json:"life"`
	Events []hingeevents.Event `json:"events"`
	// Dropped says that the process has dropped its oldest events.
	Dropped bool `json:"dropped,omitempty"`
}

// Timeline is the merged events of all processes.
type Timeline struct {
	Events []hingeevents.Event
	// Lives are the processes, hosts by name and the lives of one host in turn.
	Lives []hingeids.Instance
	// Dropped are processes without their oldest events.
	Dropped []hingeids.Instance
	// Missing are hosts that were asked and did not answer.
	Missing []hingeids.HostID
}

// Merge carries out Rules 1 and 2. A process that is given twice counts once.
func Merge(sources []Source, missing []hingeids.HostID) Timeline {
	t := Timeline{
		Missing: slices.Sorted(slices.Values(missing)),
	}
	seen := make(map[hingeids.Instance]bool)
	for _, s := range sources {
		if seen[s.Life] {
			continue
		}
		seen[s.Life] = true
		t.Events = append(t.Events, s.Events...)
		if s.Dropped {
			t.Dropped = append(t.Dropped, s.Life)
		}
	}
	slices.SortStableFunc(t.Events, compareEvents)
	t.Lives = lives(t.Events, sources)
	slices.SortFunc(t.Dropped, compareLives)
	return t
}

func compareEvents(a, b hingeevents.Event) int {
	return cmp.Or(
		cmp.Compare(a.Stamp.Wall, b.Stamp.Wall),
		cmp.Compare(a.Stamp.Counter, b.Stamp.Counter),
		compareLives(a.Life, b.Life),
	)
}

func compareLives(a, b hingeids.Instance) int {
	return cmp.Or(
		cmp.Compare(a.Host, b.Host),
		cmp.Compare(a.Incarnation, b.Incarnation),
	)
}

// lives lists the processes, those without events among them.
func lives(events []hingeevents.Event, sources []Source) []hingeids.Instance {
	seen := make(map[hingeids.Instance]bool)
	for _, e := range events {
		seen[e.Life] = true
	}
	for _, s := range sources {
		seen[s.Life] = true
	}
	out := make([]hingeids.Instance, 0, len(seen))
	for l := range seen {
		out = append(out, l)
	}
	slices.SortFunc(out, compareLives)
	return out
}

// Query narrows a time line; empty fields match all.
type Query struct {
	Request  hingeids.RequestID
	Server   hingeids.ServerID
	Caller   hingeids.CallerID
	Revision hingeids.Revision
	Number   hingeevents.Number
}

// Filter gives the events that match, with the same processes and gaps.
func (t Timeline) Filter(q Query) Timeline {
	out := t
	out.Events = nil
	for _, e := range t.Events {
		if q.matches(e) {
			out.Events = append(out.Events, e)
		}
	}
	return out
}

func (q Query) matches(e hingeevents.Event) bool {
	f := e.Fields
	return (q.Request.IsZero() || q.Request == f.Request) &&
		(q.Server == "" || q.Server == f.Server) &&
		(q.Caller == "" || q.Caller == f.Caller) &&
		(q.Revision == 0 || q.Revision == f.Revision) &&
		(q.Number == 0 || q.Number == e.Number)
}

// Explain gives the events that explain what became of a request (Rule 3).
func (t Timeline) Explain(r hingeids.RequestID) Timeline {
	own := t.Filter(Query{
		Request: r,
	})
	if len(own.Events) == 0 {
		return own
	}
	first := own.Events[0]
	last := own.Events[len(own.Events)-1]
	servers := make(map[hingeids.ServerID]bool)
	for _, e := range own.Events {
		servers[e.Fields.Server] = true
	}
	delete(servers, "")
	out := t
	out.Events = nil
	for _, e := range t.Events {
		within := compareEvents(first, e) <= 0 && compareEvents(e, last) <= 0
		if e.Fields.Request == r || within && servers[e.Fields.Server] && e.Fields.Request.IsZero() && concerns(e) {
			out.Events = append(out.Events, e)
		}
	}
	return out
}

func concerns(e hingeevents.Event) bool {
	entry, ok := hingeevents.Lookup(e.Number)
	return !ok || entry.Severity != hingeevents.Info
}
