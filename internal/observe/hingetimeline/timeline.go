// Package hingetimeline merges the events of all processes into one timeline and
// writes it as text, JSON lines or SVG.
//
//  1. Events are ordered by their hybrid logical clock stamps, then by process.
//     Stamps increase within a process and along each message, so an effect
//     always follows its cause. The order of events that aren't causally related
//     is only as accurate as the hosts' clocks.
//  2. Missing events are shown as gaps. The timeline lists the hosts that did not
//     answer and the processes that have dropped their oldest events, so that
//     missing data isn't mistaken for inactivity.
//  3. The explanation of a request also includes the warnings and failures,
//     between its first and last event, of the backend servers it used: the cause
//     of a retry is often such an event, which carries no request id.
package hingetimeline

import (
	"cmp"
	"slices"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
)

// Source has the events that one process keeps.
type Source struct {
	Instance hingeids.Instance   `json:"life"`
	Events   []hingeevents.Event `json:"events"`
	// Dropped says that the process has dropped its oldest events.
	Dropped bool `json:"dropped,omitempty"`
}

// Timeline is the merged events of all processes.
type Timeline struct {
	Events []hingeevents.Event
	// Instances are the processes, ordered by host and incarnation.
	Instances []hingeids.Instance
	// Dropped are the processes that have dropped their oldest events.
	Dropped []hingeids.Instance
	// Missing are the hosts that did not answer the query for their events.
	Missing []hingeids.HostID
}

// Merge merges the events of all sources (rules 1 and 2). Of two sources for the same process the first is used.
func Merge(sources []Source, missing []hingeids.HostID) Timeline {
	t := Timeline{
		Missing: slices.Sorted(slices.Values(missing)),
	}
	seen := make(map[hingeids.Instance]bool)
	for _, s := range sources {
		if seen[s.Instance] {
			continue
		}
		seen[s.Instance] = true
		t.Events = append(t.Events, s.Events...)
		if s.Dropped {
			t.Dropped = append(t.Dropped, s.Instance)
		}
	}
	slices.SortStableFunc(t.Events, compareEvents)
	t.Instances = instances(t.Events, sources)
	slices.SortFunc(t.Dropped, compareInstances)
	return t
}

func compareEvents(a, b hingeevents.Event) int {
	return cmp.Or(
		cmp.Compare(a.Stamp.Wall, b.Stamp.Wall),
		cmp.Compare(a.Stamp.Counter, b.Stamp.Counter),
		compareInstances(a.Instance, b.Instance),
	)
}

func compareInstances(a, b hingeids.Instance) int {
	return cmp.Or(
		cmp.Compare(a.Host, b.Host),
		cmp.Compare(a.Incarnation, b.Incarnation),
	)
}

// instances lists the processes of the events and sources, including sources without events.
func instances(events []hingeevents.Event, sources []Source) []hingeids.Instance {
	seen := make(map[hingeids.Instance]bool)
	for _, e := range events {
		seen[e.Instance] = true
	}
	for _, s := range sources {
		seen[s.Instance] = true
	}
	out := make([]hingeids.Instance, 0, len(seen))
	for l := range seen {
		out = append(out, l)
	}
	slices.SortFunc(out, compareInstances)
	return out
}

// Query selects events of a timeline; empty fields match all events.
type Query struct {
	Request  hingeids.RequestID
	Server   hingeids.ServerID
	Caller   hingeids.CallerID
	Revision hingeids.Revision
	Number   hingeevents.Number
}

// Filter returns a timeline of the matching events, with the same processes and gaps.
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

// Explain returns a timeline of the events that explain the outcome of a request (rule 3).
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
		if e.Fields.Request == r || within && servers[e.Fields.Server] && e.Fields.Request.IsZero() && isNotable(e) {
			out.Events = append(out.Events, e)
		}
	}
	return out
}

// isNotable reports whether an event is a warning or a failure, or isn't in the catalogue.
func isNotable(e hingeevents.Event) bool {
	entry, ok := hingeevents.Lookup(e.Number)
	return !ok || entry.Severity != hingeevents.Info
}
