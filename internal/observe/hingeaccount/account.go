// Package hingeaccount tells from the log lines of all processes what became of the requests of a
// span of time, and for which reasons callers were served late or not at all.
//
//  1. A request is one attempt of a caller, by the id that the caller gave it. What ended it last is what the
//     caller got.
//  2. A stream that was placed and never ended was lost with its host. A plain request leaves no line before its
//     end, so that those which are lost with their host aren't counted.
//  3. The memory that stands beside a reason is how full the engines were that streams were placed on in the same
//     second, by the placer's own prediction: it tells a lack of memory from anything else.
//  4. Lines that aren't events, or that another process has put something before, are passed over or read as
//     they are; how many were dropped by their writers is told.
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

// Outcome is what a caller got.
type Outcome string

// The outcomes.
const (
	OnTime  Outcome = "on time"
	Late    Outcome = "late"
	Refused Outcome = "refused"
	Failed  Outcome = "failed"
	Denied  Outcome = "denied"
	Gone    Outcome = "caller gone"
	Lost    Outcome = "lost with its host"
)

// Outcomes lists them in the order of the tables.
var Outcomes = []Outcome{OnTime, Late, Refused, Failed, Denied, Gone, Lost}

// Request is what is known of one request.
type Request struct {
	Asked string
	Route string
	// Customer is whose it was, empty if nobody's.
	Customer hingeids.CallerID
	Host     hingeids.HostID
	// EndedAt is when it ended, or when it was placed last if it never did.
	EndedAt time.Time
	Outcome Outcome
	// Reason is why it wasn't on time, in a few words.
	Reason string
	// Places is how often it was placed, Wait how long it waited for its first place.
	Places int
	Wait   time.Duration
	// Wasted is the tokens that were worked for nothing.
	Wasted int64

	stream bool
	ended  bool
}

// Account is all that was read.
type Account struct {
	// Zones gives the availability zone of each host.
	Zones map[hingeids.HostID]hingeids.Zone
	// Dropped is how many lines their writers dropped.
	Dropped int64
	// Unnamed is how many requests were denied, or refused beyond a quota or because servers end under them, that have no line of
	// their own (hingeproxy bounds these).
	Unnamed int64

	requests map[string]*Request
	// fills are the predicted fills of the engines that streams were placed on, by second.
	fills map[int64]fill
	waste map[string]int64
	// ends are the servers that ended under requests, by print.
	ends map[hingeids.Fingerprint]*Ends
}

// Ends are the servers that ended under one request, over all its attempts.
type Ends struct {
	Print    hingeids.Fingerprint
	Customer hingeids.CallerID
	Route    string
	// Servers are those that ended, First and Last when the first and the last did.
	Servers     map[hingeids.ServerID]bool
	First, Last time.Time
	// Attempts are the callers' ids of the attempts.
	Attempts map[string]bool
}

// fill is the sum of predicted fills, in hundredths.
type fill struct {
	sum   int64
	count int64
}

// New makes an empty account.
func New() *Account {
	return &Account{
		Zones:    make(map[hingeids.HostID]hingeids.Zone),
		requests: make(map[string]*Request),
		fills:    make(map[int64]fill),
		waste:    make(map[string]int64),
		ends:     make(map[hingeids.Fingerprint]*Ends),
	}
}

// longestLine bounds one log line: an event is some hundred bytes, the text of a panic some thousand.
const longestLine = 1 << 20

// Read takes the lines of one process or of several.
func (a *Account) Read(r io.Reader) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, longestLine)
	for lines.Scan() {
		if l, ok := hingelines.Parse(bytes.TrimSpace(lines.Bytes())); ok {
			a.take(l)
		}
	}
	return eris.Wrap(lines.Err(), "log lines")
}

func (a *Account) take(l hingelines.Line) {
	a.Dropped += l.Dropped
	if l.Event == hingeevents.ProcessStarted {
		a.Zones[hingeids.HostID(l.By)] = l.Fields.Zone
		return
	}
	if l.Fields.Asked == "" {
		return
	}
	r := a.requests[l.Fields.Asked]
	if r == nil {
		r = &Request{
			Asked: l.Fields.Asked,
		}
		a.requests[l.Fields.Asked] = r
	}
	r.Host = hingeids.HostID(l.By)
	if l.Fields.Route != "" {
		r.Route = l.Fields.Route
	}
	if l.Fields.Caller != "" {
		r.Customer = l.Fields.Caller
	}
	a.takeOf(r, l)
}

func (a *Account) takeOf(r *Request, l hingelines.Line) {
	switch l.Event {
	case hingeevents.RequestPlaced:
		a.placed(r, l)
	case hingeevents.PromptWasted:
		r.Wasted += l.Fields.Count
		a.waste[verdictOf(l.Fields.Detail)] += l.Fields.Count
	case hingeevents.RequestAnswered:
		r.stream = true
		r.end(l.At, OnTime, "")
		if l.Fields.Late != "" {
			r.end(l.At, Late, r.whyLate(l))
		}
	case hingeevents.ServiceCalled:
		r.end(l.At, OnTime, "")
		switch {
		case l.Fields.Count >= 500:
			r.end(l.At, Failed, "the server's own failure")
		case l.Fields.Late != "":
			r.end(l.At, Late, "slow server")
		}
	case hingeevents.RequestGivenUp:
		r.giveUp(l)
	case hingeevents.RequestOverQuota:
		r.end(l.At, Refused, "beyond the customer's quota")
		a.Unnamed += l.Fields.Count - 1
	case hingeevents.PoisonRefused:
		r.end(l.At, Refused, "servers end under it")
		a.Unnamed += l.Fields.Count - 1
	case hingeevents.RequestDenied:
		r.end(l.At, Denied, verdictOf(l.Fields.Detail))
		a.Unnamed += l.Fields.Count - 1
	case hingeevents.ServerEnded:
		a.ended(l)
	case hingeevents.CallerGone:
		r.end(l.At, Gone, "")
	}
}

func (a *Account) ended(l hingelines.Line) {
	e := a.ends[l.Fields.Print]
	if e == nil {
		e = &Ends{
			Print:    l.Fields.Print,
			Customer: l.Fields.Caller,
			Route:    l.Fields.Route,
			Servers:  make(map[hingeids.ServerID]bool),
			First:    l.At,
			Attempts: make(map[string]bool),
		}
		a.ends[l.Fields.Print] = e
	}
	e.Servers[l.Fields.Server] = true
	e.Attempts[l.Fields.Asked] = true
	if l.At.Before(e.First) {
		e.First = l.At
	}
	if l.At.After(e.Last) {
		e.Last = l.At
	}
}

func (a *Account) placed(r *Request, l hingelines.Line) {
	r.stream = true
	if r.Places == 0 {
		r.Wait = time.Duration(l.TookMs * float64(time.Millisecond))
	}
	r.Places++
	if !r.ended {
		r.EndedAt = l.At
	}
	f := a.fills[l.At.Unix()]
	f.sum += l.Fields.Count
	f.count++
	a.fills[l.At.Unix()] = f
}

func (r *Request) end(at time.Time, o Outcome, reason string) {
	r.ended = true
	r.EndedAt = at
	r.Outcome = o
	r.Reason = reason
}

// giveUp takes the final answer of a request that no server answered. A verdict stands before its code in
// brackets, and what went wrong behind a colon.
func (r *Request) giveUp(l hingelines.Line) {
	outcome := Failed
	if strings.HasPrefix(l.Fields.Detail, "notRun") {
		outcome = Refused
	}
	r.end(l.At, outcome, shortCause(l.Fields.Detail))
}

// longWait is the wait for an engine from which a late stream is put down to it.
const longWait = 300 * time.Millisecond

// whyLate tells where a late stream lost its time.
func (r *Request) whyLate(l hingelines.Line) string {
	switch {
	case r.Places > 1:
		return "moved to another engine"
	case l.Fields.Late == "pause":
		return "a pause between events"
	case r.Places == 0:
		return "late without a place"
	case r.Wait > longWait:
		return "waited for an engine"
	}
	return "slow prefill or first event"
}

// shortCause keeps the verdict, its code, and the cause as far as it doesn't name addresses.
func shortCause(detail string) string {
	rest := strings.TrimPrefix(detail, verdictOf(detail)+": ")
	if short, ok := strings.CutPrefix(rest, "short of "); ok {
		return verdictOf(detail) + " short of " + short
	}
	return verdictOf(detail)
}

// verdictOf is the verdict and its code, without the causes that follow it.
func verdictOf(detail string) string {
	verdict, _, _ := strings.Cut(detail, ": ")
	return verdict
}

// Requests gives the requests by the time of their end.
func (a *Account) Requests() []*Request {
	out := make([]*Request, 0, len(a.requests))
	for _, r := range a.requests {
		if !r.ended && !r.stream {
			// Tries that failed are all that is known of it; its end was lost with its host, or is yet to come.
			continue
		}
		if !r.ended {
			r.Outcome = Lost
		}
		out = append(out, r)
	}
	slices.SortFunc(out, func(x, y *Request) int {
		return cmp.Or(x.EndedAt.Compare(y.EndedAt), cmp.Compare(x.Asked, y.Asked))
	})
	return out
}

// fillAt is how full engines were in the second of a time, in hundredths; false if no stream was placed.
func (a *Account) fillAt(at time.Time) (int64, bool) {
	f := a.fills[at.Unix()]
	if f.count == 0 {
		return 0, false
	}
	return f.sum / f.count, true
}
