// Package hingeaccount summarizes the event logs of all processes: the outcomes of requests over a period, and why
// requests were late or unsuccessful.
//
//  1. A request is one attempt of a caller, identified by the caller's own request id. The final event
//     that is read last determines the outcome.
//  2. A stream that was placed and has no final event was lost with its host. A plain request logs nothing before
//     its final event, so plain requests lost with their host aren't counted.
//  3. The memory column beside a reason is the mean predicted fill of the engines on which streams were placed in
//     the same second. It separates a lack of memory from other reasons.
//  4. Lines that aren't events are skipped, and text in front of an event is ignored. The report states how many
//     lines the writers dropped.
package hingeaccount

import (
	"bufio"
	"bytes"
	"cmp"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
	"github.com/swifthinge/swifthinge/internal/observe/hingelines"
)

// Outcome is the final result of a request, as the caller saw it.
type Outcome string

// Outcomes of a request.
const (
	OnTime       Outcome = "on time"
	Late         Outcome = "late"
	Refused      Outcome = "refused"
	Failed       Outcome = "failed"
	Denied       Outcome = "denied"
	Disconnected Outcome = "caller gone"
	Lost         Outcome = "lost with its host"
)

// Outcomes lists the outcomes in the order of the table columns.
var Outcomes = []Outcome{OnTime, Late, Refused, Failed, Denied, Disconnected, Lost}

// Request is the summary of one request. CallerRequestID is the caller's own id of it.
type Request struct {
	CallerRequestID string
	Route           string
	// Customer is empty if the request had no customer.
	Customer hingeids.CallerID
	Host     hingeids.HostID
	// EndedAt is the time of the final event, or of the last placement if there is none.
	EndedAt time.Time
	Outcome Outcome
	// Reason says briefly why the request wasn't on time; empty if unknown.
	Reason string
	// Placements counts the placements; PlacementWait is the time until the first one.
	Placements    int
	PlacementWait time.Duration
	// WastedTokens counts prompt tokens whose prefill was not used.
	WastedTokens int64

	stream   bool
	finished bool
}

// Account collects the events of all log lines read so far. It isn't safe for concurrent use.
type Account struct {
	// Zones maps each host to its availability zone.
	Zones map[hingeids.HostID]hingeids.Zone
	// DroppedLines counts the lines that the writers dropped.
	DroppedLines int64
	// Unlisted counts denied, over-quota and poison requests without a line of their own: hingeproxy limits the rate of
	// these lines, and each states how many requests it represents.
	Unlisted int64

	requests map[string]*Request
	// fills has the predicted fill of the engines on which streams were placed, by Unix second.
	fills map[int64]fillStats
	// wastedTokens has the prompt tokens whose prefill was not used, by verdict and code.
	wastedTokens map[string]int64
	// crashes has the server crashes during requests, by the request's fingerprint.
	crashes map[hingeids.Fingerprint]*Crashes
}

// Crashes are the server crashes during one request, over all its attempts.
type Crashes struct {
	Fingerprint hingeids.Fingerprint
	Customer    hingeids.CallerID
	Route       string
	// Servers are the servers that crashed, the first at First and the last at Last.
	Servers     map[hingeids.ServerID]bool
	First, Last time.Time
	// Attempts has the caller's id of each attempt.
	Attempts map[string]bool
}

// fillStats sums predicted fills, in percent.
type fillStats struct {
	sum   int64
	count int64
}

// New returns an empty account.
func New() *Account {
	return &Account{
		Zones:        make(map[hingeids.HostID]hingeids.Zone),
		requests:     make(map[string]*Request),
		fills:        make(map[int64]fillStats),
		wastedTokens: make(map[string]int64),
		crashes:      make(map[hingeids.Fingerprint]*Crashes),
	}
}

// maxLineBytes limits the length of a log line; the longest contain the text of a panic.
const maxLineBytes = 1 << 20

// Read adds the log lines of one or more processes. It fails on a line of more than maxLineBytes.
func (a *Account) Read(r io.Reader) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		if l, ok := hingelines.Parse(bytes.TrimSpace(lines.Bytes())); ok {
			a.add(l)
		}
	}
	return eris.Wrap(lines.Err(), "read log lines")
}

func (a *Account) add(l hingelines.Line) {
	a.DroppedLines += l.Dropped
	if l.Event == hingeevents.ProcessStarted {
		a.Zones[hingeids.HostID(l.Host)] = l.Fields.Zone
		return
	}
	if l.Fields.CallerRequestID == "" {
		return
	}
	r := a.requests[l.Fields.CallerRequestID]
	if r == nil {
		r = &Request{
			CallerRequestID: l.Fields.CallerRequestID,
		}
		a.requests[l.Fields.CallerRequestID] = r
	}
	r.Host = hingeids.HostID(l.Host)
	if l.Fields.Route != "" {
		r.Route = l.Fields.Route
	}
	if l.Fields.Caller != "" {
		r.Customer = l.Fields.Caller
	}
	a.addRequestEvent(r, l)
}

func (a *Account) addRequestEvent(r *Request, l hingelines.Line) {
	switch l.Event {
	case hingeevents.RequestPlaced:
		a.addPlacement(r, l)
	case hingeevents.PromptWasted:
		r.WastedTokens += l.Fields.Count
		a.wastedTokens[verdictAndCode(l.Fields.Detail)] += l.Fields.Count
	case hingeevents.RequestAnswered:
		r.stream = true
		r.finish(l.At, OnTime, "")
		if l.Fields.MissedTarget != "" {
			r.finish(l.At, Late, r.lateReason(l))
		}
	case hingeevents.ServiceCalled:
		r.finish(l.At, OnTime, "")
		switch {
		case l.Fields.Count >= 500:
			r.finish(l.At, Failed, "the server's own failure")
		case l.Fields.MissedTarget != "":
			r.finish(l.At, Late, "slow server")
		}
	case hingeevents.RequestGivenUp:
		r.finishWithError(l)
	case hingeevents.RequestOverQuota:
		r.finish(l.At, Refused, "beyond the customer's quota")
		a.Unlisted += l.Fields.Count - 1
	case hingeevents.PoisonRefused:
		r.finish(l.At, Refused, "servers end under it")
		a.Unlisted += l.Fields.Count - 1
	case hingeevents.RequestDenied:
		r.finish(l.At, Denied, verdictAndCode(l.Fields.Detail))
		a.Unlisted += l.Fields.Count - 1
	case hingeevents.ServerEnded:
		a.addCrash(l)
	case hingeevents.CallerGone:
		r.finish(l.At, Disconnected, "")
	}
}

func (a *Account) addCrash(l hingelines.Line) {
	c := a.crashes[l.Fields.Fingerprint]
	if c == nil {
		c = &Crashes{
			Fingerprint: l.Fields.Fingerprint,
			Customer:    l.Fields.Caller,
			Route:       l.Fields.Route,
			Servers:     make(map[hingeids.ServerID]bool),
			First:       l.At,
			Attempts:    make(map[string]bool),
		}
		a.crashes[l.Fields.Fingerprint] = c
	}
	c.Servers[l.Fields.Server] = true
	c.Attempts[l.Fields.CallerRequestID] = true
	if l.At.Before(c.First) {
		c.First = l.At
	}
	if l.At.After(c.Last) {
		c.Last = l.At
	}
}

func (a *Account) addPlacement(r *Request, l hingelines.Line) {
	r.stream = true
	if r.Placements == 0 {
		r.PlacementWait = time.Duration(l.ElapsedMs * float64(time.Millisecond))
	}
	r.Placements++
	if !r.finished {
		r.EndedAt = l.At
	}
	f := a.fills[l.At.Unix()]
	f.sum += l.Fields.Count
	f.count++
	a.fills[l.At.Unix()] = f
}

// A later final event replaces an earlier one (rule 1).
func (r *Request) finish(at time.Time, o Outcome, reason string) {
	r.finished = true
	r.EndedAt = at
	r.Outcome = o
	r.Reason = reason
}

// The detail of a final error has the form "verdict (code): cause".
func (r *Request) finishWithError(l hingelines.Line) {
	outcome := Failed
	if strings.HasPrefix(l.Fields.Detail, "notRun") {
		outcome = Refused
	}
	r.finish(l.At, outcome, failureSummary(l.Fields.Detail))
}

// maxPlacementWait is the longest wait for an engine that isn't given as the reason of a late stream.
const maxPlacementWait = 300 * time.Millisecond

// lateReason returns the most likely reason why a stream was late.
func (r *Request) lateReason(l hingelines.Line) string {
	switch {
	case r.Placements > 1:
		return "moved to another engine"
	case l.Fields.MissedTarget == "pause":
		return "a pause between events"
	case r.Placements == 0:
		return "late without a place"
	case r.PlacementWait > maxPlacementWait:
		return "waited for an engine"
	}
	return "slow prefill or first event"
}

// failureSummary returns the verdict, its code and, if an engine resource was short, the resource. Other causes are
// left out, since addresses in them would give each request a reason of its own.
func failureSummary(detail string) string {
	rest := strings.TrimPrefix(detail, verdictAndCode(detail)+": ")
	if resource, ok := strings.CutPrefix(rest, "short of "); ok {
		return verdictAndCode(detail) + " short of " + resource
	}
	return verdictAndCode(detail)
}

func verdictAndCode(detail string) string {
	verdict, _, _ := strings.Cut(detail, ": ")
	return verdict
}

// Requests returns the requests ordered by EndedAt. Streams without a final event have the outcome Lost.
func (a *Account) Requests() []*Request {
	out := make([]*Request, 0, len(a.requests))
	for _, r := range a.requests {
		if !r.finished && !r.stream {
			// Only failed attempts were logged: the final event was lost with the host or is still to come.
			continue
		}
		if !r.finished {
			r.Outcome = Lost
		}
		out = append(out, r)
	}
	slices.SortFunc(out, func(x, y *Request) int {
		return cmp.Or(x.EndedAt.Compare(y.EndedAt), cmp.Compare(x.CallerRequestID, y.CallerRequestID))
	})
	return out
}

// meanFill returns the mean predicted fill, in percent, of the engines chosen in the second of at, and false if no
// stream was placed in it.
func (a *Account) meanFill(at time.Time) (int64, bool) {
	f := a.fills[at.Unix()]
	if f.count == 0 {
		return 0, false
	}
	return f.sum / f.count, true
}
