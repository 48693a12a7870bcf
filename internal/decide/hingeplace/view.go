// Package hingeplace decides where and when a request is prefilled and decoded,
// as one decision, for the engines of one model that an entry host can reach. It
// has no clock, no sockets and no goroutines, and is not safe for concurrent use.
//
//  1. A View combines the engines' reports, which lag, with the requests that
//     this process has sent since and their outcomes. Whatever a report counts
//     beyond this process's own requests belongs to other entry hosts.
//  2. The prefill engine is the one with the earliest predicted end of the
//     prefill: the queued work of the same or a higher priority, plus the
//     request's tokens that are not cached there, at the engine's speed. Uncached
//     tokens weigh more than their time, and the more so the higher the weight of
//     wasted prefill.
//  3. The index of cached prefixes is an estimate from the requests sent and from
//     cache events, which are late and incomplete. The number of cached tokens
//     that the engine reports at the end of each prefill corrects it.
//  4. Prefill starts if the probability that a decode slot is free by its
//     predicted end plus the retention time of its KV cache is high enough. Slots
//     are released at the rate at which the requests that hold them finish;
//     requests that have already started go first. The weights determine the
//     threshold. A lost prefill costs w, the weight of wasted prefill, plus gb: the
//     goodput weight g times the busy share b of the prefill engines (0 to 1),
//     since another request's prefill was delayed. A slot that is idle for lack of
//     a KV cache costs g. So the probability must reach (w+gb)/(w+gb+g), where the
//     expected cost of starting equals that of waiting. A prefill that would wait
//     long at its engine isn't started either.
//  5. The decode engine is bound only when the KV cache is ready, since a slot
//     held during prefill is wasted. It is the engine with a free slot and the
//     shortest predicted token gap. Higher priorities bind first, and a few slots
//     are reserved for those that are expected soon.
//  6. An engine's token gap is learned from its streams. An engine that is slower
//     than expected at its load is given fewer requests, down to none, so that
//     its token gap meets the target. An idle one is probed with a single request
//     from time to time and used again once its token gap has recovered.
//  7. A short prompt is prefilled on the decode engine if that yields its first
//     token earlier, with the delay to the other requests on that engine added.
//
// Limitations: output lengths are known only as a distribution per class, and
// the load that other entry hosts' transfers put on the links is unknown.
package hingeplace

import (
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/membership/hingeannounce"
)

// Weights are the costs that rule 4 balances: of lost goodput and of wasted
// prefill.
type Weights struct {
	Goodput       float64
	WastedPrefill float64
}

// Config holds the settings of a View and the estimates that it starts from.
type Config struct {
	Weights Weights
	// An engine that holds n requests has a token gap of GapBase +
	// n*GapPerRequest. PrefillRate is in tokens per second. All three are
	// starting values that rule 6 adjusts for each engine.
	GapBase       time.Duration
	GapPerRequest time.Duration
	PrefillRate   float64
	// CacheRetention is the minimum time for which an engine retains a finished
	// KV cache.
	CacheRetention time.Duration
	// CacheBytesPerToken is the size of the KV cache per prompt token.
	CacheBytesPerToken hingeids.Bytes
	// LinkRate returns the transfer rate between two zones.
	LinkRate func(from, to hingeids.Zone) hingeids.BytesPerSecond
	// MaxPrefillWait is the maximum time for which a prefill may wait at its
	// engine. It only has to keep the engine busy: requests that wait in the
	// entry host's queue can still be sent elsewhere or cancelled at no cost.
	MaxPrefillWait time.Duration
	// MaxLocalPrompt is the longest prompt that may be prefilled on a decode
	// engine while there are prefill engines.
	MaxLocalPrompt hingeids.Tokens
	// DefaultOutput is the expected output length of a class without samples.
	DefaultOutput hingeids.Tokens
	// MaxPrefixEntries bounds the entries in the index of cached prefixes, over
	// all engines.
	MaxPrefixEntries int
}

// Defaults returns the settings for the reference engines.
func Defaults() Config {
	return Config{
		Weights: Weights{
			Goodput:       1,
			WastedPrefill: 0.5,
		},
		GapBase:            12 * time.Millisecond,
		GapPerRequest:      650 * time.Microsecond,
		PrefillRate:        5000,
		CacheRetention:     600 * time.Millisecond,
		CacheBytesPerToken: 128 << 10,
		LinkRate: func(_, _ hingeids.Zone) hingeids.BytesPerSecond {
			return 3 << 30
		},
		MaxPrefillWait:   100 * time.Millisecond,
		MaxLocalPrompt:   512,
		DefaultOutput:    150,
		MaxPrefixEntries: 1 << 16,
	}
}

// Request holds the properties of a request that placement uses.
type Request struct {
	ID       hingeids.RequestID
	Class    string
	Priority int
	CanWait  bool
	Prompt   hingeids.Tokens
	// Prefix holds the hashes of the prompt's leading blocks, as returned by
	// HashBlocks.
	Prefix   []Block
	TokenGap time.Duration
	// FirstTokenDeadline is the deadline of the first token; zero is none.
	FirstTokenDeadline time.Time
	// Avoid is the set of engines that have failed this request.
	Avoid map[hingeids.ServerID]bool
}

type engine struct {
	id          hingeids.ServerID
	incarnation hingeids.Incarnation
	zone        hingeids.Zone
	kind        hingeannounce.Kind
	slots       int
	removed     bool
	// foreignHeld and foreignTokens are the requests and the prompt tokens of
	// other entry hosts at the engine, by its latest report.
	foreignHeld   int
	foreignTokens float64
	reportedAt    time.Time
	fullUntil     time.Time
	// holding are this process's requests that hold a decode slot here,
	// prefilling those whose prefill is queued or runs here, in the order in
	// which they run.
	holding []*inflightRequest
	// strictestGap is the shortest token gap target among holding, 0 for none.
	strictestGap     time.Duration
	prefilling       []*inflightRequest
	finishedHolds    []finished
	finishedPrefills []finished
	linkFreeAt       time.Time
	slowdown         slowdown
	// hit is the number of cached tokens of the request being placed. It is set
	// only during one decision.
	hit hingeids.Tokens
}

func (e *engine) prefills() bool {
	return !e.removed && (e.kind == hingeannounce.Prefill || e.kind == hingeannounce.Both)
}

func (e *engine) decodes() bool {
	return !e.removed && (e.kind == hingeannounce.Decode || e.kind == hingeannounce.Both)
}

// finished is a request that an engine no longer holds, kept until a report of
// the engine reflects it.
type finished struct {
	start  time.Time
	end    time.Time
	tokens float64
}

// View is an entry host's state of the engines of one model.
type View struct {
	config   Config
	engines  []*engine
	byID     map[hingeids.ServerID]*engine
	inflight map[hingeids.RequestID]*inflightRequest
	// unbound are the started requests that have no decode slot.
	unbound []*inflightRequest
	index   *index
	classes map[string]*lengthStats
	demand  []demand
	// releaseForecast has an entry for each priority, computed at forecastAt.
	releaseForecast []releaseForecast
	forecastAt      time.Time
	// busyShare is a moving average of the share of prefill engines with work.
	busyShare float64
}

// NewView returns a view without engines.
func NewView(c Config) *View {
	return &View{
		config:   c,
		byID:     make(map[hingeids.ServerID]*engine),
		inflight: make(map[hingeids.RequestID]*inflightRequest),
		index:    newIndex(c.MaxPrefixEntries),
		classes:  make(map[string]*lengthStats),
	}
}

// Configure changes the weights and the size of the KV cache per token.
// Learned state of the engines is kept.
func (v *View) Configure(w Weights, cacheBytes hingeids.Bytes) {
	v.config.Weights = w
	v.config.CacheBytesPerToken = cacheBytes
}

// HandleAnnouncement handles an engine's announcement. measuredAt is when its
// load was measured, by the receiver's clock, and is earlier than now. Rule 1.
func (v *View) HandleAnnouncement(now, measuredAt time.Time, a hingeannounce.Announcement) {
	e := v.byID[a.Server]
	if e != nil && e.incarnation > a.Incarnation {
		return
	}
	if e == nil || e.incarnation < a.Incarnation {
		v.RemoveEngine(a.Server)
		e = &engine{
			id:          a.Server,
			incarnation: a.Incarnation,
			slowdown:    newSlowdown(),
		}
		v.engines = append(v.engines, e)
		v.byID[a.Server] = e
	}
	e.zone, e.kind, e.slots = a.Zone, a.Kind, int(a.Slots)
	if a.Leaving {
		v.RemoveEngine(a.Server)
		return
	}
	e.applyReport(now, measuredAt, a.Load)
}

// applyReport attributes the load beyond this process's own requests, counted
// as of measuredAt, to other entry hosts. Rule 1. Prompt tokens are attributed
// to others only if others have requests there: otherwise the excess is
// uncached prefixes of own requests.
func (e *engine) applyReport(now, measuredAt time.Time, l hingeannounce.Load) {
	held := countAt(measuredAt, e.holding, e.finishedHolds, func(f *inflightRequest) time.Time { return f.boundAt })
	e.finishedHolds = finishedAfter(measuredAt, e.finishedHolds)
	e.reportedAt = now
	if e.kind != hingeannounce.Prefill {
		e.foreignHeld = max(0, l.Running-held)
	}
	sent := countAt(measuredAt, e.prefilling, e.finishedPrefills, func(f *inflightRequest) time.Time { return f.sentAt })
	e.foreignTokens = 0
	if l.Running+l.Queued > held+sent {
		e.foreignTokens = max(0, float64(l.QueuedTokens)-e.ownTokensAt(measuredAt))
	}
	e.finishedPrefills = finishedAfter(measuredAt, e.finishedPrefills)
}

// countAt returns how many requests the engine held at time t, of those it
// holds now and those that have finished since.
func countAt(t time.Time, now []*inflightRequest, finishedSince []finished, startOf func(*inflightRequest) time.Time) int {
	n := 0
	for _, f := range now {
		if !startOf(f).After(t) {
			n++
		}
	}
	for _, p := range finishedSince {
		if !p.start.After(t) && p.end.After(t) {
			n++
		}
	}
	return n
}

func finishedAfter(t time.Time, list []finished) []finished {
	kept := list[:0]
	for _, f := range list {
		if f.end.After(t) {
			kept = append(kept, f)
		}
	}
	return kept
}

// ownTokensAt is an upper bound of this process's prompt tokens at the engine
// at time t.
func (e *engine) ownTokensAt(t time.Time) float64 {
	var sum float64
	for _, f := range e.prefilling {
		if !f.sentAt.After(t) {
			sum += f.uncached
		}
	}
	for _, p := range e.finishedPrefills {
		if !p.start.After(t) && p.end.After(t) {
			sum += p.tokens
		}
	}
	return sum
}

// RemoveEngine removes an engine that has left or failed. The caller must finish
// or resend the requests that it holds.
func (v *View) RemoveEngine(s hingeids.ServerID) {
	e := v.byID[s]
	if e == nil {
		return
	}
	e.removed = true
	delete(v.byID, s)
	v.index.removeEngine(e)
	for i, x := range v.engines {
		if x == e {
			v.engines = append(v.engines[:i], v.engines[i+1:]...)
			break
		}
	}
}

// HandleSlotRefusal records that an engine's allocator refused a slot. The
// engine is treated as full for fullDuration.
func (v *View) HandleSlotRefusal(now time.Time, s hingeids.ServerID) {
	if e := v.byID[s]; e != nil {
		e.fullUntil = now.Add(fullDuration)
	}
}

// fullDuration is how long an engine is treated as full after it refused a
// slot.
const fullDuration = 200 * time.Millisecond
