package hingefleet

import (
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeclock"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/decide/hingenotice"
)

const (
	// minEjection is the time for which an engine is ejected at first, maxEjection the longest
	// such time. An engine that restarts is back within seconds.
	minEjection = time.Second
	maxEjection = 8 * time.Second
	// minFullBackoff is the backoff for an engine that refused a stream for lack of capacity. It
	// doubles with each consecutive refusal, up to maxFullBackoff: streams finish every few
	// hundred milliseconds, but an engine with slow KV cache transfers keeps refusing.
	minFullBackoff = 300 * time.Millisecond
	maxFullBackoff = 2400 * time.Millisecond
	// maxHostRefusals is the number of consecutive refused hosts after which other hosts avoid the
	// engine too.
	maxHostRefusals = 3
	// failureWeight is the weight of a new outcome. An engine whose share of failures exceeds
	// ejectionThreshold is ejected: two consecutive failures, or four of ten.
	failureWeight     = 0.25
	ejectionThreshold = 0.4
	// probeTimeout is the time after which another probe is sent to an engine if the previous one
	// has had no result.
	probeTimeout = time.Second
)

// Outcome is the result of a request to an engine.
type Outcome uint8

// Succeeded means that the request succeeded, Failed that the answer was missing or broken, Full
// that the engine lacked capacity, ConnectFailed that the connection failed or another server runs at
// the address, Started that an answer has started, whatever its result, NotSent that the owner didn't
// send the request, and HostRefused that the engine refused it and wants no requests of the owner for
// a while.
const (
	Succeeded Outcome = iota
	Failed
	Full
	ConnectFailed
	Started
	NotSent
	HostRefused
)

// health is the health of an engine according to its recent outcomes (rule 6).
type health struct {
	// failureShare is a moving average.
	failureShare float64
	// ejections is the number of consecutive ejections. The engine gets no streams before
	// unusableUntil.
	ejections     int
	unusableUntil time.Time
	// fullsInRow is the number of consecutive refusals for lack of capacity, hostRefusals that of
	// consecutive refused hosts.
	fullsInRow   int
	hostRefusals int
	// suspect reports that the engine has not been reached since it or its zone failed; such an
	// engine is only probed. lastAssigned is when it was last assigned a stream.
	suspect      bool
	lastAssigned time.Time
	// unreachable reports that the last connection to the engine failed.
	unreachable bool
}

// usable reports whether the engine may be assigned a stream.
func (h *health) usable(now time.Time) bool {
	return !now.Before(h.unusableUntil) && (!h.suspect || now.Sub(h.lastAssigned) > probeTimeout)
}

// OutcomeReport reports the outcome of a stream at an engine.
type OutcomeReport struct {
	Server  hingeids.ServerID `cbor:"1,keyasint"`
	Outcome Outcome           `cbor:"2,keyasint,omitempty"`
	Stream  StreamID          `cbor:"3,keyasint,omitempty"`
	// Generated is the number of tokens of a complete answer.
	Generated hingeids.Tokens `cbor:"4,keyasint,omitempty"`
	// Notice is what the engine stated in its answer. It is left out when a stream ends, long after its
	// answer began.
	Notice hingenotice.Notice `cbor:"5,keyasint,omitzero"`
}

// RecordOutcome records the outcome of a stream at an engine. It ignores unknown engines.
func (f *Fleet) RecordOutcome(now time.Time, r OutcomeReport) {
	e := f.engines[r.Server]
	if e == nil {
		return
	}
	f.recordOutcomeNotice(now, e, r)
	if e.Role == Prefill {
		e.prefillQueue.done(now, r.Stream, r.Outcome == Succeeded)
	}
	if s := f.streams[r.Stream]; s != nil && e.Role == Decode && r.Outcome == Succeeded && r.Generated > 0 {
		f.estimates.observeLength(s.expected, r.Generated)
		// The owner's next report would remove the stream too, but only later: on engines that
		// answer within 100 ms, its slot would stay blocked half as long again.
		f.removeStream(r.Stream)
	}
	e.health.record(now, r.Outcome)
	f.markChanged(e)
	switch r.Outcome {
	case Succeeded, Started:
		f.zoneAnswered(now, e.Zone)
	case ConnectFailed:
		f.suspectZone(now, e.Zone)
	}
}

// zoneAnswerTTL is how long an answer from a zone proves that the zone isn't cut off. It covers a
// connection attempt that times out: two tries of 100 ms.
const zoneAnswerTTL = 200 * time.Millisecond

// suspectZone marks each engine of a zone for probing, so that few streams wait for connection
// timeouts while a zone is cut off. It does nothing if the zone has answered recently, so that
// single crashed engines don't keep a large zone suspect.
func (f *Fleet) suspectZone(now time.Time, zone hingeids.Zone) {
	if now.Sub(f.zoneLastSeen[zone]) < zoneAnswerTTL {
		return
	}
	f.silentZones[zone] = true
	for _, e := range f.engines {
		if e.Zone == zone {
			e.health.suspect = true
		}
	}
}

// zoneAnswered records that an engine of a zone answered. If the zone was silent, its unreachable
// engines become usable for probes at once, since their ejection times have grown with the outage.
func (f *Fleet) zoneAnswered(now time.Time, zone hingeids.Zone) {
	f.zoneLastSeen[zone] = now
	if !f.silentZones[zone] {
		return
	}
	delete(f.silentZones, zone)
	for _, e := range f.engines {
		if e.Zone == zone && e.health.unreachable && e.health.unusableUntil.After(now) {
			e.health.unusableUntil = now
			f.markChanged(e)
		}
	}
}

func (h *health) record(now time.Time, o Outcome) {
	switch o {
	case Succeeded:
		h.failureShare -= failureWeight * h.failureShare
		if now.After(h.unusableUntil) {
			h.ejections = 0
		}
		h.markReachable()
	case Started:
		h.markReachable()
	case Full:
		h.backOff(now)
	case HostRefused:
		// Other hosts avoid the engine only if it refuses one after the other.
		h.hostRefusals++
		if h.hostRefusals >= maxHostRefusals {
			h.backOff(now)
		}
	case ConnectFailed:
		h.eject(now)
		h.unreachable = true
	case Failed:
		h.failureShare += failureWeight * (1 - h.failureShare)
		if h.failureShare > ejectionThreshold {
			h.eject(now)
		}
	}
}

func (h *health) backOff(now time.Time) {
	h.unusableUntil = hingeclock.Later(h.unusableUntil, now.Add(min(minFullBackoff<<min(h.fullsInRow, 4), maxFullBackoff)))
	h.fullsInRow++
}

func (h *health) markReachable() {
	h.fullsInRow = 0
	h.hostRefusals = 0
	h.suspect = false
	h.unreachable = false
}

func (h *health) eject(now time.Time) {
	if now.Before(h.unusableUntil) {
		// Failures of concurrent streams count as one ejection.
		return
	}
	h.unusableUntil = now.Add(min(minEjection<<min(h.ejections, 4), maxEjection))
	h.ejections++
	h.failureShare = 0
	h.suspect = true
}
