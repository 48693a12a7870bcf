// Package hingeshift decides when an engine changes its role between prefill and decode. It has no
// clock, no sockets and no goroutines.
//
//  1. The demand on each role is measured by the requests received and not by those served: at
//     saturation both roles look fully used, and only the requests show which one is short. Demand
//     is expressed in engines: uncached prompt tokens divided by the rate of an engine, and slot
//     time divided by the slots of an engine.
//  2. The served share is the part of the demand that the scarcer role can process. Decode engines
//     may prefill at a higher cost, so one engine too few for prefill costs less than one too few
//     for decode. The gain of a role change is the rise of the served share, multiplied by the
//     number of engines and by the expected duration of the demand. A demand is expected to last
//     for as long as it has lasted already.
//  3. The cost of a role change is the engine's drain, during which it accepts nothing new, and the
//     change itself. The gain must be twice the cost. If the engine's present role can spare it,
//     the cost is a small part of that, and all such engines change at once.
//  4. Hysteresis: a role change must be worth its cost for HoldFor without interruption, and at
//     least Cooldown must pass between two changes. A demand that oscillates within a minute changes
//     no role.
//  5. Each role keeps at least one engine. Engines change one at a time; in a large pool, further
//     engines change together with the first one if the demand requires them (DecideNext), because
//     thirty consecutive changes would take longer than the demand lasts.
//  6. Among engines with the same cost, one from the zone with most engines of its role changes, so
//     that a zone that is partitioned from the others keeps engines of both roles.
//
// Limits: one model at a time; whether an engine of another zone could help is not considered.
package hingeshift

import (
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/membership/hingeannounce"
)

// Config holds the durations that govern role changes.
type Config struct {
	// ChangeTime is how long a drained engine takes to change its role.
	ChangeTime time.Duration
	// HoldFor and Cooldown are the durations of rule 4.
	HoldFor, Cooldown time.Duration
	// MaxDemandDuration is the maximum expected duration of a demand.
	MaxDemandDuration time.Duration
}

// Defaults returns a Config for engines whose requests last about ten seconds.
func Defaults() Config {
	return Config{
		ChangeTime:        10 * time.Second,
		HoldFor:           30 * time.Second,
		Cooldown:          2 * time.Minute,
		MaxDemandDuration: 10 * time.Minute,
	}
}

// Engine is the state of an engine.
type Engine struct {
	Server hingeids.ServerID
	Kind   hingeannounce.Kind
	Zone   hingeids.Zone
	// Allocations counts the allocations of the engine, and Drain predicts how long they last.
	Allocations int
	Drain       time.Duration
}

// Demand is the demand on each role, in engines.
type Demand struct {
	Prefill, Decode float64
	// DecodePrefillCost is the number of decode engines that replace one prefill engine; zero if
	// decode engines can't prefill.
	DecodePrefillCost float64
	// Current is the present demand without a reserve, which Prefill and Decode may include; nil if
	// unknown.
	Current *Load
}

// Load is the momentary demand on each role, in engines.
type Load struct {
	Prefill, Decode float64
}

// RoleChange is a decision to drain an engine and then change its role.
type RoleChange struct {
	Server hingeids.ServerID
	To     hingeannounce.Kind
}

// Planner decides on the role changes of one pool. It is not safe for concurrent use.
type Planner struct {
	config Config
	// target is the role that needs one more engine, and targetSince the time since which it does.
	target      hingeannounce.Kind
	targetSince time.Time
	lastChange  time.Time
	// lastTarget is the target of the last role change, and lastDemandDuration how long the demand
	// for it had lasted.
	lastTarget         hingeannounce.Kind
	lastDemandDuration time.Duration
}

// New returns a Planner without observations.
func New(c Config) *Planner {
	return &Planner{
		config: c,
	}
}

// Observe updates the hysteresis without deciding, for a caller that may not change roles yet. It
// returns the role that one more engine would help, and the gain in engines.
func (p *Planner) Observe(now time.Time, engines []Engine, d Demand) (hingeannounce.Kind, float64) {
	to, gain := bestChange(engines, d)
	if to != p.target {
		p.target, p.targetSince = to, now
	}
	return to, gain
}

// Decide returns the role change to start now, if there is one. The caller calls it about once a
// second, drains the engine and then changes its role.
func (p *Planner) Decide(now time.Time, engines []Engine, d Demand) (RoleChange, bool) {
	to, gain := p.Observe(now, engines, d)
	if to == "" || now.Sub(p.targetSince) < p.config.HoldFor {
		return RoleChange{}, false
	}
	if !p.lastChange.IsZero() && now.Sub(p.lastChange) < p.config.Cooldown {
		return RoleChange{}, false
	}
	e := cheapest(engines, to)
	demandDuration := min(now.Sub(p.targetSince), p.config.MaxDemandDuration)
	if gain*demandDuration.Seconds() < 2*p.cost(engines, e, to, d).Seconds() {
		return RoleChange{}, false
	}
	p.lastChange, p.targetSince = now, now
	p.lastTarget, p.lastDemandDuration = to, demandDuration
	return RoleChange{
		Server: e.Server,
		To:     to,
	}, true
}

// DecideNext returns a further role change to make together with the last one. The engines must be
// given as they are after that.
func (p *Planner) DecideNext(engines []Engine, d Demand) (RoleChange, bool) {
	to, gain := bestChange(engines, d)
	if to == "" || to != p.lastTarget {
		return RoleChange{}, false
	}
	e := cheapest(engines, to)
	if gain*p.lastDemandDuration.Seconds() < 2*p.cost(engines, e, to, d).Seconds() {
		return RoleChange{}, false
	}
	return RoleChange{
		Server: e.Server,
		To:     to,
	}, true
}

// spareCostFactor is the part of the cost that counts for an engine that its role can spare, since
// the change may fail or the demand may be reversed.
const spareCostFactor = 0.05

// cost implements rule 3.
func (p *Planner) cost(engines []Engine, e Engine, to hingeannounce.Kind, d Demand) time.Duration {
	cost := e.Drain + p.config.ChangeTime
	if CanSpare(engines, to, d) {
		cost = time.Duration(spareCostFactor * float64(cost))
	}
	return cost
}

// CanSpare reports whether the role that an engine would leave for the given one can do without it
// at the present demand. Requests for which the given role has no capacity don't count, since the
// other role wouldn't serve them either.
func CanSpare(engines []Engine, to hingeannounce.Kind, d Demand) bool {
	if d.Current == nil {
		return false
	}
	prefills, decodes := countRoles(engines)
	if to == hingeannounce.Decode {
		return float64(prefills-1) >= d.Current.Prefill*roleShare(decodes, d.Current.Decode)
	}
	return float64(decodes-1) >= d.Current.Decode*roleShare(prefills, d.Current.Prefill)
}

// roleShare returns the share of a role's demand that the given number of engines can process.
func roleShare(engines int, demand float64) float64 {
	if demand <= 0 {
		return 1
	}
	return min(float64(engines)/demand, 1)
}

func countRoles(engines []Engine) (prefills, decodes int) {
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

// bestChange implements rules 1, 2 and 5. It returns the role that one more engine would help,
// empty if there is none, and the gain in engines.
func bestChange(engines []Engine, d Demand) (to hingeannounce.Kind, gain float64) {
	prefills, decodes := countRoles(engines)
	all := float64(prefills + decodes)
	now := servedShare(prefills, decodes, d)
	if decodes > 1 {
		if g := all * (servedShare(prefills+1, decodes-1, d) - now); g > 0 {
			to, gain = hingeannounce.Prefill, g
		}
	}
	if prefills > 1 {
		if g := all * (servedShare(prefills-1, decodes+1, d) - now); g > gain {
			to, gain = hingeannounce.Decode, g
		}
	}
	return to, gain
}

// servedShare returns the share of the demand that both roles can process (rule 2).
func servedShare(prefills, decodes int, d Demand) float64 {
	p, e := float64(prefills), float64(decodes)
	share := 1.0
	if d.Decode > 0 {
		share = min(share, e/d.Decode)
	}
	if d.Prefill == 0 || share*d.Prefill <= p {
		return share
	}
	if d.DecodePrefillCost == 0 {
		return p / d.Prefill
	}
	// Decode engines prefill the remaining prompts: share x Decode + DecodePrefillCost x
	// (share x Prefill - p) = e.
	return min((e+d.DecodePrefillCost*p)/(d.Decode+d.DecodePrefillCost*d.Prefill), 1)
}

// cheapest returns the engine of the other role with the shortest drain (rule 6).
func cheapest(engines []Engine, to hingeannounce.Kind) Engine {
	fromRole := hingeannounce.Prefill
	if to == hingeannounce.Prefill {
		fromRole = hingeannounce.Decode
	}
	inZone := make(map[hingeids.Zone]int)
	for _, e := range engines {
		if e.Kind == fromRole {
			inZone[e.Zone]++
		}
	}
	var best Engine
	for _, e := range engines {
		if e.Kind != fromRole {
			continue
		}
		if best.Server == "" || e.Drain < best.Drain || e.Drain == best.Drain && inZone[e.Zone] > inZone[best.Zone] {
			best = e
		}
	}
	return best
}
