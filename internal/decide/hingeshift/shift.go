// Package hingeshift decides when an engine changes its role between prefill and
// decode. It has no clock, no sockets and no goroutines.
//
//  1. The demand on each role is what comes, not what is served: at saturation
//     both pools look full, and only what was asked for says which one is short.
//     It is measured in engines: prompt tokens not cached over an engine's rate,
//     slot time over an engine's slots.
//  2. The served share is what the scarcer role lets through. Where engines that decode can work the prompts that
//     those of the other role have no time for, they do, at a price, so that one engine too few for prefill costs less than
//     one too few for decode. A shift gains what
//     the served share rises, of the whole pool, over the time for which the
//     demand is likely to last, and that is taken to be as long as it has lasted.
//  3. A shift costs the engine's drain (it takes nothing new while what it holds
//     comes to its end), and the change itself. It must gain twice its cost. An engine that its role can spare at
//     present is missed by nobody while it changes: all of these go at once, and cost a part of it.
//  4. Hysteresis: the same shift must be worth it for HoldFor without a break, and
//     after a shift the next one waits for Rest. The demand of a minute that
//     goes back and forth moves nothing.
//  5. Each role keeps at least one engine. One engine shifts at a time, and in a large
//     pool as many more at the same moment as the same demand asks for (More): one after
//     the other, thirty engines would take longer to follow a demand than it lasts.
//  6. Of engines that cost the same, the one of the zone with most of its role goes: a zone that is
//     cut off goes on with the roles that it has.
//
// Limits: one model at a time; that an engine of the other zone could help is not
// seen here.
package hingeshift

import (
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/membership/hingeannounce"
)

// Config are the times of a shift.
type Config struct {
	// Change is what an engine needs to change its role once it is empty.
	Change time.Duration
	// HoldFor and Rest are rule 4.
	HoldFor, Rest time.Duration
	// MostLast bounds how long a demand is taken to last.
	MostLast time.Duration
}

// Defaults are for engines that hold answers of some ten seconds.
func Defaults() Config {
	return Config{
		Change:   10 * time.Second,
		HoldFor:  30 * time.Second,
		Rest:     2 * time.Minute,
		MostLast: 10 * time.Minute,
	}
}

// Engine is an engine as it stands.
type Engine struct {
	Server hingeids.ServerID
	Kind   hingeannounce.Kind
	Zone   hingeids.Zone
	// Held counts what it holds, and Drain predicts how long that takes to end.
	Held  int
	Drain time.Duration
}

// Demand is what comes for each role, in engines.
type Demand struct {
	Prefill, Decode float64
	// ReadCost is how many engines that decode it takes to do the work of one that prefills; zero if they can't.
	ReadCost float64
	// Present is what comes at the moment, where Prefill and Decode are planned for more; nil if it isn't known.
	Present *Load
}

// Load is what one moment asks of each role, in engines.
type Load struct {
	Prefill, Decode float64
}

// Shift is an order: drain the engine, then change its role.
type Shift struct {
	Server hingeids.ServerID
	To     hingeannounce.Kind
}

// Shifter keeps what hysteresis needs.
type Shifter struct {
	config Config
	// toward is the shift that is worth it at present, since when.
	toward hingeannounce.Kind
	since  time.Time
	last   time.Time
	// moved and lasted are the direction of the last shift and how long the demand
	// for it had lasted.
	moved  hingeannounce.Kind
	lasted time.Duration
}

// New makes a shifter.
func New(c Config) *Shifter {
	return &Shifter{
		config: c,
	}
}

// Watch looks at the demand and decides nothing: a caller that may not order a shift yet makes it as soon as it may, if
// it has been worth it for HoldFor by then. It gives the role that one more engine would help and how much, in engines.
func (s *Shifter) Watch(now time.Time, engines []Engine, d Demand) (hingeannounce.Kind, float64) {
	to, gain := better(engines, d)
	if to != s.toward {
		s.toward, s.since = to, now
	}
	return to, gain
}

// Decide gives the shift to make now, if there is one. It is called about once a
// second; the caller drains the engine and then orders the change.
//
// Made for a demand that moves for good, such as the dossiers of a new season:
// one pool is full and refuses while the other idles, and nobody stands by to
// move an engine.
func (s *Shifter) Decide(now time.Time, engines []Engine, d Demand) (Shift, bool) {
	to, gain := s.Watch(now, engines, d)
	if to == "" || now.Sub(s.since) < s.config.HoldFor {
		return Shift{}, false
	}
	if !s.last.IsZero() && now.Sub(s.last) < s.config.Rest {
		return Shift{}, false
	}
	e := cheapest(engines, to)
	lasts := min(now.Sub(s.since), s.config.MostLast)
	if gain*lasts.Seconds() < 2*s.cost(engines, e, to, d).Seconds() {
		return Shift{}, false
	}
	s.last, s.since = now, now
	s.moved, s.lasted = to, lasts
	return Shift{
		Server: e.Server,
		To:     to,
	}, true
}

// More gives a further shift that the demand behind the last one asks for, with the
// engines as they will be after it.
func (s *Shifter) More(engines []Engine, d Demand) (Shift, bool) {
	to, gain := better(engines, d)
	if to == "" || to != s.moved {
		return Shift{}, false
	}
	e := cheapest(engines, to)
	if gain*s.lasted.Seconds() < 2*s.cost(engines, e, to, d).Seconds() {
		return Shift{}, false
	}
	return Shift{
		Server: e.Server,
		To:     to,
	}, true
}

// spareCost is the share of a change's time that counts where nobody misses the engine: the order may go wrong,
// and the demand may turn.
const spareCost = 0.05

// cost is rule 3.
func (s *Shifter) cost(engines []Engine, e Engine, to hingeannounce.Kind, d Demand) time.Duration {
	cost := e.Drain + s.config.Change
	if Spares(engines, to, d) {
		cost = time.Duration(spareCost * float64(cost))
	}
	return cost
}

// Spares reports whether the role that an engine would leave bears the present demand without it, as far as the
// other role lets that through: an engine that works prompts for which there is no memory is missed by nobody.
func Spares(engines []Engine, to hingeannounce.Kind, d Demand) bool {
	if d.Present == nil {
		return false
	}
	prefills, decodes := count(engines)
	if to == hingeannounce.Decode {
		return float64(prefills-1) >= d.Present.Prefill*letThrough(decodes, d.Present.Decode)
	}
	return float64(decodes-1) >= d.Present.Decode*letThrough(prefills, d.Present.Prefill)
}

// letThrough is the share of a demand that so many engines get through.
func letThrough(engines int, demand float64) float64 {
	if demand <= 0 {
		return 1
	}
	return min(float64(engines)/demand, 1)
}

func count(engines []Engine) (prefills, decodes int) {
	for _, e := range engines {
		switch e.Kind {
		case hingeannounce.Prefill:
			prefills++
		case hingeannounce.Decode:
			decodes++
		}
	}
	return prefills, decodes
}

// better is rules 1, 2 and 5: the role that one more engine would help, and how
// much, in engines.
func better(engines []Engine, d Demand) (to hingeannounce.Kind, gain float64) {
	prefills, decodes := count(engines)
	all := float64(prefills + decodes)
	now := served(prefills, decodes, d)
	if decodes > 1 {
		if g := all * (served(prefills+1, decodes-1, d) - now); g > 0 {
			to, gain = hingeannounce.Prefill, g
		}
	}
	if prefills > 1 {
		if g := all * (served(prefills-1, decodes+1, d) - now); g > gain {
			to, gain = hingeannounce.Decode, g
		}
	}
	return to, gain
}

// served is the share of the demand that gets through both roles (rule 2).
func served(prefills, decodes int, d Demand) float64 {
	p, e := float64(prefills), float64(decodes)
	share := 1.0
	if d.Decode > 0 {
		share = min(share, e/d.Decode)
	}
	if d.Prefill == 0 || share*d.Prefill <= p {
		return share
	}
	if d.ReadCost == 0 {
		return p / d.Prefill
	}
	// What is left of the prompts is worked beside decode: share x Decode + ReadCost x (share x Prefill - p) = e.
	return min((e+d.ReadCost*p)/(d.Decode+d.ReadCost*d.Prefill), 1)
}

// cheapest is the engine of the other role with the shortest drain; among alike ones, one of
// the zone that has most of that role (rule 6).
func cheapest(engines []Engine, to hingeannounce.Kind) Engine {
	from := hingeannounce.Prefill
	if to == hingeannounce.Prefill {
		from = hingeannounce.Decode
	}
	inZone := make(map[hingeids.Zone]int)
	for _, e := range engines {
		if e.Kind == from {
			inZone[e.Zone]++
		}
	}
	var best Engine
	for _, e := range engines {
		if e.Kind != from {
			continue
		}
		if best.Server == "" || e.Drain < best.Drain || e.Drain == best.Drain && inZone[e.Zone] > inZone[best.Zone] {
			best = e
		}
	}
	return best
}
