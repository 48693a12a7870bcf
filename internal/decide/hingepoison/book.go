// Package hingepoison finds requests that end the servers which run them. It has no clock, no sockets and no
// goroutines.
//
// The load it is made for: a request that makes a server end as soon as it begins to run, and that comes again, under
// new ids, at any host. The harm: all servers of a service end one after the other, each with dozens of other
// requests. A request is known by its print over all attempts and hosts.
//
//  1. What counts is seen by whoever had a request at a server: that the server ended meanwhile. A connection that
//     broke is no end, nor is a server that was about to leave.
//  2. Each host keeps what it has seen (Ledger), and tells whoever places. Facts are told once more to another placer; the same
//     fact twice changes nothing, so that hosts may tell in any order.
//  3. A request under which enoughEnds servers ended is refused. All that ran at a server end with it, so an end counts only for those that
//     more servers ended under than under any other that was there: the others were there by chance.
//     Servers end by themselves too. Where they do so often, and the request was with them for long, more ends are needed, until chance is
//     unlikely to have brought them.
//  4. A whole answer clears a request of all that was before.
//  5. What was found is kept on disk by agreement (List), since each loss of that knowledge would cost enoughEnds servers again. After a
//     long while such a request is tried once: what ended servers may have been mended. Each trial in vain doubles the time. It is tried
//     soon where another request was at all the same ends, so that one of the two was there by chance.
//  6. What is kept has a bound. Those that were at one end only are forgotten first.
package hingepoison

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// SettleTime is how long hosts take to tell what they had at a server that ended: reports are gathered for 15 ms.
const SettleTime = 40 * time.Millisecond

const (
	// enoughEnds is how many servers may end under a request before it is refused: the users' bound.
	enoughEnds = 3
	// suspectTime is how long ends are remembered without another: a caller that asks once in a quarter of an hour is found too.
	suspectTime = time.Hour
	// mostSuspects bounds the requests in a book, 200 bytes each: a zone with 2,000 engines that loses power is at the end of
	// some ten thousand.
	mostSuspects = 16384
	// rateWindow is the time over which ends are counted that have nothing to do with a request, shortWindow the same for trouble
	// that has just begun; unseen stands for ends that nobody has seen.
	rateWindow  = time.Minute
	shortWindow = 10 * time.Second
	unseen      = 0.5
	// byChance is the probability of chance from which on a request isn't refused. Of a hundred million requests that are
	// at several ends by chance, one is refused.
	byChance = 1e-8
	// leastHad stands for the resolution of what hosts see.
	leastHad = 5 * time.Millisecond
	// trialTime is how long a trial may take before the next is allowed.
	trialTime = 30 * time.Second
	// shortestWait and longestWait bound the time after which a request that was found is tried again.
	shortestWait = 2 * time.Hour
	longestWait  = 48 * time.Hour
	// doubtfulWait is the same for the first trial of one that may have been there by chance.
	doubtfulWait = time.Minute
)

// End is a server that ended while it had a request.
type End struct {
	Print   hingeids.Print    `cbor:"1,keyasint"`
	Server  hingeids.ServerID `cbor:"2,keyasint"`
	Service hingeids.Service  `cbor:"3,keyasint"`
	Caller  hingeids.CallerID `cbor:"4,keyasint,omitempty"`
	// Ago is how long ago it was, Had how long the server had the request.
	Ago time.Duration `cbor:"5,keyasint"`
	Had time.Duration `cbor:"6,keyasint"`
}

// Pass is a server that answered a suspected request whole.
type Pass struct {
	Print hingeids.Print `cbor:"1,keyasint"`
	Ago   time.Duration  `cbor:"2,keyasint"`
}

// Judgement is what to do with a request.
type Judgement struct {
	// Refused says that it mustn't run, RetryAfter when it may be tried again.
	Refused    bool
	RetryAfter time.Duration
	// Settles says that what speaks against it is so new that others may not have told yet what they had at the same server.
	Settles bool
	// Suspect says that a whole answer has to be told.
	Suspect bool
	// Found says that it is to be put on the list, Tried that it is let through although it stands there.
	Found bool
	Tried bool
}

// Listed is what the list says of a request.
type Listed struct {
	Record Record
	// Wait is how long it isn't tried; zero or less if it is due.
	Wait time.Duration
	// There says that it is refused by the list.
	There bool
	// Lifted says that it was let through again, LiftedAgo how long ago.
	Lifted    bool
	LiftedAgo time.Duration
}

// suspect is a request that servers ended under.
type suspect struct {
	service hingeids.Service
	caller  hingeids.CallerID
	// ends are the servers that ended.
	ends   map[hingeids.ServerID]ended
	lastAt time.Time
	// passedAt is when it was answered whole last; what was before doesn't count.
	passedAt time.Time
	// triedAt is when it was let through although it is listed.
	triedAt time.Time
}

// ended is when a server ended, and how long it had the request.
type ended struct {
	at  time.Time
	had time.Duration
}

// Book is what a placer knows. It is for one goroutine.
type Book struct {
	suspects map[hingeids.Print]*suspect
	// beside are the requests that each server had when it ended.
	beside map[hingeids.ServerID][]hingeids.Print
	// recent are the servers that ended within rateWindow, by service.
	recent map[hingeids.Service]map[hingeids.ServerID]time.Time
}

// NewBook makes an empty book.
func NewBook() *Book {
	return &Book{
		suspects: make(map[hingeids.Print]*suspect),
		beside:   make(map[hingeids.ServerID][]hingeids.Print),
		recent:   make(map[hingeids.Service]map[hingeids.ServerID]time.Time),
	}
}

// Tell takes an end that a host has seen, and reports whether it is new here.
func (b *Book) Tell(now time.Time, e End) bool {
	at := now.Add(-e.Ago)
	if e.Print == 0 || e.Ago > suspectTime {
		return false
	}
	s := b.suspects[e.Print]
	if s == nil {
		s = &suspect{
			ends: make(map[hingeids.ServerID]ended),
		}
		b.suspects[e.Print] = s
	}
	if _, known := s.ends[e.Server]; known || !at.After(s.passedAt) {
		return false
	}
	s.service = e.Service
	s.caller = e.Caller
	s.ends[e.Server] = ended{
		at:  at,
		had: e.Had,
	}
	b.note(e.Service, e.Server, at)
	if at.After(s.lastAt) {
		s.lastAt = at
	}
	b.beside[e.Server] = append(b.beside[e.Server], e.Print)
	b.bound()
	return true
}

// Pass takes that a request was answered whole (rule 4).
func (b *Book) Pass(now time.Time, p Pass) {
	s := b.suspects[p.Print]
	at := now.Add(-p.Ago)
	if s == nil || !at.After(s.passedAt) {
		return
	}
	s.passedAt = at
	for id, x := range s.ends {
		if !x.at.After(at) {
			b.remove(p.Print, s, id)
		}
	}
}

// note keeps that a server of a service ended.
func (b *Book) note(service hingeids.Service, id hingeids.ServerID, at time.Time) {
	r := b.recent[service]
	if r == nil {
		r = make(map[hingeids.ServerID]time.Time)
		b.recent[service] = r
	}
	if !r[id].After(at) {
		r[id] = at
	}
}

// Judge tells what to do with a request; servers counts those of its service, which takes a while with thousands of them and is asked only
// where enough of them ended.
func (b *Book) Judge(now time.Time, p hingeids.Print, l Listed, servers func() int) Judgement {
	switch {
	case l.There && l.Wait > 0:
		return Judgement{
			Refused:    true,
			RetryAfter: l.Wait,
		}
	case l.There:
		return b.try(now, p)
	}
	if l.Lifted {
		b.Pass(now, Pass{
			Print: p,
			Ago:   l.LiftedAgo,
		})
	}
	s := b.suspects[p]
	if s == nil || len(s.ends) == 0 {
		return Judgement{}
	}
	count, chance := b.against(now, p, s, servers)
	if count < enoughEnds || chance >= byChance {
		return Judgement{
			Suspect: true,
		}
	}
	settles := now.Sub(s.lastAt) < SettleTime
	return Judgement{
		Refused:    true,
		RetryAfter: shortestWait,
		Settles:    settles,
		Found:      !settles,
	}
}

// against gives what speaks against a request (rule 3): how many ends no other explains, and how likely chance brought them.
func (b *Book) against(now time.Time, p hingeids.Print, s *suspect, servers func() int) (int, float64) {
	count, chance := 0, 1.0
	if len(s.ends) < enoughEnds {
		return count, chance
	}
	rate := b.rate(now, s, servers())
	for id, x := range s.ends {
		if b.explainedBy(p, s, id) {
			continue
		}
		count++
		chance *= -math.Expm1(-rate * max(x.had, leastHad).Seconds())
	}
	return count, chance
}

// explainedBy reports whether another request was at a server's end that more servers ended under.
func (b *Book) explainedBy(p hingeids.Print, s *suspect, id hingeids.ServerID) bool {
	return slices.ContainsFunc(b.beside[id], func(q hingeids.Print) bool {
		return q != p && len(b.suspects[q].ends) > len(s.ends)
	})
}

// rate is how often one server ends that a request isn't at, in a second: over a while, or of late if that is more.
func (b *Book) rate(now time.Time, s *suspect, servers int) float64 {
	long, short := unseen, 0.0
	for id, at := range b.recent[s.service] {
		if _, own := s.ends[id]; own || now.Sub(at) >= rateWindow {
			continue
		}
		long++
		if now.Sub(at) < shortWindow {
			short++
		}
	}
	return max(long/rateWindow.Seconds(), short/shortWindow.Seconds()) / float64(max(servers, 1))
}

// try decides on a request that is on the list, and due (rule 5): one attempt at a time may run.
func (b *Book) try(now time.Time, p hingeids.Print) Judgement {
	s := b.suspects[p]
	if s == nil {
		s = &suspect{
			ends:   make(map[hingeids.ServerID]ended),
			lastAt: now,
		}
		b.suspects[p] = s
	}
	if !s.triedAt.IsZero() && now.Sub(s.triedAt) < trialTime {
		return Judgement{
			Refused:    true,
			RetryAfter: trialTime - now.Sub(s.triedAt),
		}
	}
	s.triedAt = now
	return Judgement{
		Suspect: true,
		Tried:   true,
	}
}

// InVain gives the record of a request that is on the list after a trial in vain, if an end that is new here is that of a trial.
func (b *Book) InVain(now, today time.Time, e End, l Listed) (Record, bool) {
	s := b.suspects[e.Print]
	if !l.There || s == nil || s.triedAt.IsZero() || now.Add(-e.Ago).Before(s.triedAt) {
		return Record{}, false
	}
	return l.Record.again(today, e.Server), true
}

// Found gives the record of a request that is refused. Today is the time of day, which hosts that read the list have in common.
func (b *Book) Found(now, today time.Time, p hingeids.Print) Record {
	s := b.suspects[p]
	r := Record{
		Print:   p,
		Service: s.service,
		Caller:  s.caller,
		Since:   today.UnixMilli(),
		First:   today.UnixMilli(),
	}
	for id, x := range s.ends {
		r.Servers = append(r.Servers, id)
		r.First = min(r.First, today.Add(x.at.Sub(now)).UnixMilli())
	}
	slices.Sort(r.Servers)
	r.Doubtful = b.isDoubtful(p, s)
	r.Ended = len(r.Servers)
	r.Servers = r.Servers[:min(len(r.Servers), mostServers)]
	return r
}

// isDoubtful reports whether another request was at all the same ends (rule 5).
func (b *Book) isDoubtful(p hingeids.Print, s *suspect) bool {
	times := make(map[hingeids.Print]int)
	for id := range s.ends {
		for _, q := range b.beside[id] {
			times[q]++
		}
	}
	for q, n := range times {
		if q != p && n >= len(s.ends) {
			return true
		}
	}
	return false
}

// Step forgets what is over.
func (b *Book) Step(now time.Time) {
	for p, s := range b.suspects {
		if now.Sub(s.lastAt) > suspectTime {
			b.forget(p)
		}
	}
	for _, r := range b.recent {
		maps.DeleteFunc(r, func(_ hingeids.ServerID, at time.Time) bool {
			return now.Sub(at) >= rateWindow
		})
	}
}

// Len counts the requests in the book.
func (b *Book) Len() int {
	return len(b.suspects)
}

// bound is rule 6. A quarter goes at once, so that it is rare.
func (b *Book) bound() {
	if len(b.suspects) <= mostSuspects {
		return
	}
	order := slices.SortedFunc(maps.Keys(b.suspects), func(p, q hingeids.Print) int {
		x, y := b.suspects[p], b.suspects[q]
		return cmp.Or(cmp.Compare(len(x.ends), len(y.ends)), x.lastAt.Compare(y.lastAt), cmp.Compare(p, q))
	})
	for _, p := range order[:mostSuspects/4] {
		b.forget(p)
	}
}

func (b *Book) forget(p hingeids.Print) {
	s := b.suspects[p]
	for id := range s.ends {
		b.remove(p, s, id)
	}
	delete(b.suspects, p)
}

// remove takes an end away from a request.
func (b *Book) remove(p hingeids.Print, s *suspect, id hingeids.ServerID) {
	delete(s.ends, id)
	rest := slices.DeleteFunc(b.beside[id], func(q hingeids.Print) bool {
		return q == p
	})
	if len(rest) == 0 {
		delete(b.beside, id)
		return
	}
	b.beside[id] = rest
}
