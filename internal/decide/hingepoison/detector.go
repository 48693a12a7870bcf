// Package hingepoison detects poison requests, which crash the servers that run them. It has no clock, no sockets and no
// goroutines.
//
// A client resends such a request under new ids to any host. Without detection it crashes the servers of a service one after the
// other, each with dozens of unrelated requests. Resends are recognized by a fingerprint that is the same for all attempts and hosts.
//
//  1. A host with a request on a server reports a crash if the server ended before the request did. A broken connection is not a
//     crash, and neither is the end of a server that was draining.
//  2. Each host records the crashes and completions that it observed (Ledger) and reports them to the placer, and again to each new
//     placer. Reports are idempotent and may arrive in any order.
//  3. A request is refused after minCrashes crashes. A crash affects every request on the server, but it counts only against those
//     with the most crashes; the others are assumed to have been there by chance. Servers also crash for other reasons. Where they
//     do so often and the request ran for long, more crashes are needed, until chance is an unlikely explanation.
//  4. A completion clears a request of all earlier crashes.
//  5. Detected requests are kept on disk by consensus (List), since losing the list would cost minCrashes servers again. After a
//     long wait such a request is allowed one probe, as the fault may have been fixed. Each failed probe doubles the wait. The first
//     wait is short if another request was at all the same crashes, so that one of the two was there by chance.
//  6. The number of recorded requests is bounded. Those with the fewest crashes are dropped first.
//  7. A part of a prompt may crash the servers whatever else a request has, in requests of which no two are alike. Crashes are
//     therefore also counted for the parts of the requests that a server had (parts.go). A part is refused after minCrashes crashes under several
//     requests; a completion of any request with the part clears it, which keeps parts that sound requests share from being refused.
//     A part that stands in half of the recent completions is at most crashes, whatever their cause. It needs more crashes, some of
//     them without another suspect, and it seldom explains those of a rarer part.
//     The list treats a part like a request whose fault is doubtful: one request with it is allowed after a short wait.
package hingepoison

import (
	"maps"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// SettleTime is how long after a crash reports of other hosts may still arrive, including the delay for batching them.
const SettleTime = 40 * time.Millisecond

const (
	// minCrashes is the number of crashes after which a request is refused.
	minCrashes = 3
	// suspectTTL is how long after its last crash a request is kept, so that one that is sent once in a
	// quarter of an hour is found too.
	suspectTTL = time.Hour
	// maxSuspects bounds the requests in a detector. A power loss of a zone adds all requests that ran there.
	maxSuspects = 16384
	// rateWindow is the time over which the crash rate without a request is estimated, and shortWindow the same for a rate that has
	// just risen. unseenCrashes is added for crashes that no host observed.
	rateWindow    = time.Minute
	shortWindow   = 10 * time.Second
	unseenCrashes = 0.5
	// maxChance is the probability of a coincidence from which on a request isn't refused: of a hundred
	// million requests that were present at several crashes by chance, one is.
	maxChance = 1e-8
	// minHeld is the resolution of Crash.Held.
	minHeld = 5 * time.Millisecond
	// probeTimeout is how long a probe may take before the next is allowed.
	probeTimeout = 30 * time.Second
	// minWait and maxWait bound the time until a refused request is probed.
	minWait = 2 * time.Hour
	maxWait = 48 * time.Hour
	// doubtfulWait is the wait before the first probe of a request that may have been at the crashes by chance.
	doubtfulWait = time.Minute
)

// Crash is the crash of a server that had a request.
type Crash struct {
	Fingerprint hingeids.Fingerprint `cbor:"1,keyasint"`
	Server      hingeids.ServerID    `cbor:"2,keyasint"`
	Service     hingeids.Service     `cbor:"3,keyasint"`
	Caller      hingeids.CallerID    `cbor:"4,keyasint,omitempty"`
	// Ago is the time since the crash, Held how long the server had held the request by then.
	Ago  time.Duration `cbor:"5,keyasint"`
	Held time.Duration `cbor:"6,keyasint"`
	// Parts are the shared parts of the request's prompt, in their order (PartsOf).
	Parts []hingeids.Fingerprint `cbor:"7,keyasint,omitempty"`
	// Popular are those parts that stand in half of the recent completions at the host that reports the crash.
	Popular []hingeids.Fingerprint `cbor:"8,keyasint,omitempty"`
}

// Completion is the completion of a suspected request.
type Completion struct {
	Fingerprint hingeids.Fingerprint `cbor:"1,keyasint"`
	Ago         time.Duration        `cbor:"2,keyasint"`
}

// Decision is the result of Evaluate.
type Decision struct {
	// Refused says that the request must not run, RetryAfter when the caller may retry.
	Refused    bool
	RetryAfter time.Duration
	// Settling says that the last crash is newer than SettleTime, so that reports about other requests on that server may be missing.
	Settling bool
	// Suspect says that a completion of the request has to be reported.
	Suspect bool
	// Detected says that the request has to be added to the list, Probe that it runs as a probe although it is listed.
	Detected bool
	Probe    bool
}

// Listed is the state of a request in the list.
type Listed struct {
	Record Record
	// Wait is the time until the next probe; zero or less if it is allowed now.
	Wait time.Duration
	// Blocked says that the request is refused by its record in the list.
	Blocked bool
	// Lifted says that an operator lifted the block, LiftedAgo how long ago by this host's clock, and LiftedAt by the
	// clock of the host that lifted it.
	Lifted    bool
	LiftedAgo time.Duration
	LiftedAt  int64
}

// lift is when a block was lifted, first as the list has it, then by the detector's clock.
type lift struct {
	stated int64
	at     time.Time
}

type suspect struct {
	service   hingeids.Service
	caller    hingeids.CallerID
	crashes   map[hingeids.ServerID]crash
	lastCrash time.Time
	// completedAt is the time of the last completion. Earlier crashes don't count.
	completedAt time.Time
	probedAt    time.Time
}

// crash is the time of a crash and how long the server had held the request by then.
type crash struct {
	at   time.Time
	held time.Duration
}

// Detector holds the crashes that were reported to a placer. It is not safe for concurrent use.
type Detector struct {
	suspects map[hingeids.Fingerprint]*suspect
	// onServer are the requests that each crashed server had.
	onServer map[hingeids.ServerID][]hingeids.Fingerprint
	// recent holds the crashes within rateWindow, by service and server.
	recent map[hingeids.Service]map[hingeids.ServerID]time.Time
	// lifts are the lifts of blocks that seemed to be in the future when they became known.
	lifts map[hingeids.Fingerprint]lift
	parts *parts
}

// NewDetector returns a detector without reported crashes.
func NewDetector() *Detector {
	d := &Detector{
		suspects: make(map[hingeids.Fingerprint]*suspect),
		onServer: make(map[hingeids.ServerID][]hingeids.Fingerprint),
		recent:   make(map[hingeids.Service]map[hingeids.ServerID]time.Time),
		lifts:    make(map[hingeids.Fingerprint]lift),
	}
	d.parts = newParts(d.requestCrashes)
	return d
}

// HandleCrash records a crash that a host observed, and reports whether it wasn't known yet.
func (d *Detector) HandleCrash(now time.Time, c Crash) bool {
	at := now.Add(-c.Ago)
	if c.Fingerprint == 0 || c.Ago > suspectTTL {
		return false
	}
	s := d.suspects[c.Fingerprint]
	if s == nil {
		s = &suspect{
			crashes: make(map[hingeids.ServerID]crash),
		}
		d.suspects[c.Fingerprint] = s
	}
	if _, known := s.crashes[c.Server]; known || !at.After(s.completedAt) {
		return false
	}
	d.parts.revision++
	s.service = c.Service
	s.caller = c.Caller
	s.crashes[c.Server] = crash{
		at:   at,
		held: c.Held,
	}
	d.recordRecent(c.Service, c.Server, at)
	if at.After(s.lastCrash) {
		s.lastCrash = at
	}
	d.onServer[c.Server] = append(d.onServer[c.Server], c.Fingerprint)
	d.bound()
	return true
}

// requestCrashes returns the most crashes of any request that a crashed server had held for longest or less.
func (d *Detector) requestCrashes(id hingeids.ServerID, longest time.Duration) int {
	most := 0
	for _, fp := range d.onServer[id] {
		if s := d.suspects[fp]; s.crashes[id].held <= longest {
			most = max(most, len(s.crashes))
		}
	}
	return most
}

// HandleCompletion records a completion and drops the earlier crashes of the request (rule 4).
func (d *Detector) HandleCompletion(now time.Time, c Completion) {
	s := d.suspects[c.Fingerprint]
	at := now.Add(-c.Ago)
	if s == nil || !at.After(s.completedAt) {
		return
	}
	s.completedAt = at
	for id, x := range s.crashes {
		if !x.at.After(at) {
			d.remove(c.Fingerprint, s, id)
		}
	}
}

func (d *Detector) recordRecent(service hingeids.Service, id hingeids.ServerID, at time.Time) {
	r := d.recent[service]
	if r == nil {
		r = make(map[hingeids.ServerID]time.Time)
		d.recent[service] = r
	}
	if !r[id].After(at) {
		r[id] = at
	}
}

// Evaluate decides on a request. servers counts the servers of its service; it is called only after enough crashes, since counting
// thousands is slow.
func (d *Detector) Evaluate(now time.Time, fp hingeids.Fingerprint, l Listed, servers func() int) Decision {
	if l.Blocked {
		return d.evaluateListed(now, fp, l)
	}
	if l.Lifted {
		d.HandleCompletion(now, Completion{
			Fingerprint: fp,
			Ago:         now.Sub(d.liftedAt(now, fp, l)),
		})
	}
	s := d.suspects[fp]
	if s == nil || len(s.crashes) == 0 {
		return Decision{}
	}
	count, chance := d.evidence(now, fp, s, servers)
	if count < minCrashes || chance >= maxChance {
		return Decision{
			Suspect: true,
		}
	}
	return newlyRefused(now, s.lastCrash, minWait)
}

// newlyRefused returns the decision on what isn't listed yet, for which servers crashed until lastCrash.
func newlyRefused(now, lastCrash time.Time, wait time.Duration) Decision {
	settling := now.Sub(lastCrash) < SettleTime
	return Decision{
		Refused:    true,
		RetryAfter: wait,
		Settling:   settling,
		Detected:   !settling,
	}
}

// evaluateListed decides on a listed request or part.
func (d *Detector) evaluateListed(now time.Time, fp hingeids.Fingerprint, l Listed) Decision {
	if l.Wait > 0 {
		return Decision{
			Refused:    true,
			RetryAfter: l.Wait,
		}
	}
	return d.probe(now, fp)
}

// liftedAt returns when a block was lifted. If the clock of the host that lifted it was ahead of this one, it is when
// this host first learned of it.
func (d *Detector) liftedAt(now time.Time, fp hingeids.Fingerprint, l Listed) time.Time {
	if x, found := d.lifts[fp]; found && x.stated == l.LiftedAt {
		return x.at
	}
	if l.LiftedAgo > 0 {
		return now.Add(-l.LiftedAgo)
	}
	d.lifts[fp] = lift{
		stated: l.LiftedAt,
		at:     now,
	}
	return now
}

// probe decides on a listed request whose wait is over (rule 5). Only one probe may run at a time.
func (d *Detector) probe(now time.Time, fp hingeids.Fingerprint) Decision {
	s := d.suspects[fp]
	if s == nil {
		s = &suspect{
			crashes:   make(map[hingeids.ServerID]crash),
			lastCrash: now,
		}
		d.suspects[fp] = s
	}
	if !s.probedAt.IsZero() && now.Sub(s.probedAt) < probeTimeout {
		return Decision{
			Refused:    true,
			RetryAfter: probeTimeout - now.Sub(s.probedAt),
		}
	}
	s.probedAt = now
	return Decision{
		Suspect: true,
		Probe:   true,
	}
}

// FailedProbe returns the updated record of a listed request or part if a crash that was new for it (HandleCrash, HandleCrashParts) happened
// during its probe.
func (d *Detector) FailedProbe(now, today time.Time, fp hingeids.Fingerprint, c Crash, l Listed) (Record, bool) {
	s := d.suspects[fp]
	if !l.Blocked || s == nil || s.probedAt.IsZero() || now.Add(-c.Ago).Before(s.probedAt) {
		return Record{}, false
	}
	return l.Record.afterFailedProbe(today, c.Server), true
}

// NewRecord returns the list record of a refused request for which Evaluate set Detected. today is the wall-clock time, since the record
// is shared between hosts; now is the clock of the detector.
func (d *Detector) NewRecord(now, today time.Time, fp hingeids.Fingerprint) Record {
	s := d.suspects[fp]
	r := Record{
		Fingerprint: fp,
		Service:     s.service,
		Caller:      s.caller,
		Since:       today.UnixMilli(),
		First:       today.UnixMilli(),
	}
	for id, x := range s.crashes {
		r.addCrash(id, today.Add(x.at.Sub(now)))
	}
	r.Doubtful = d.isDoubtful(fp, s)
	r.finish()
	return r
}

// isDoubtful reports whether another request was at all the same crashes (rule 5).
func (d *Detector) isDoubtful(fp hingeids.Fingerprint, s *suspect) bool {
	shared := make(map[hingeids.Fingerprint]int)
	for id := range s.crashes {
		for _, other := range d.onServer[id] {
			shared[other]++
		}
	}
	for other, n := range shared {
		if other != fp && n >= len(s.crashes) {
			return true
		}
	}
	return false
}

// RemoveExpired removes expired state. It is called periodically.
func (d *Detector) RemoveExpired(now time.Time) {
	d.parts.removeExpired(now)
	for fp, s := range d.suspects {
		if now.Sub(s.lastCrash) > suspectTTL {
			d.forget(fp)
		}
	}
	maps.DeleteFunc(d.lifts, func(_ hingeids.Fingerprint, x lift) bool {
		return now.Sub(x.at) > suspectTTL
	})
	for _, r := range d.recent {
		maps.DeleteFunc(r, func(_ hingeids.ServerID, at time.Time) bool {
			return now.Sub(at) >= rateWindow
		})
	}
}

// Len returns the number of recorded requests.
func (d *Detector) Len() int {
	return len(d.suspects)
}
