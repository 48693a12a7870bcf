package hingecontrol

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/swifthinge/swifthinge/internal/capacity/hingeorders"
	"github.com/swifthinge/swifthinge/internal/config/hingeroutes"
	"github.com/swifthinge/swifthinge/internal/core/hingeclock"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/decide/hingefleet"
	"github.com/swifthinge/swifthinge/internal/decide/hingeshift"
	"github.com/swifthinge/swifthinge/internal/membership/hingeannounce"
	"github.com/swifthinge/swifthinge/internal/membership/hingeworld"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
)

const (
	// minDemandShare is the minimum demand, as a share of all engines, at which roles are planned:
	// below it the mix of a few requests isn't representative.
	minDemandShare = 0.2
	// prefillReserve is the factor by which the demand on prefill is raised in the plan: prompts
	// arrive in bursts, and the queue of an engine grows steeply above three quarters of its rate. There
	// a first token waits for one or two prefills, at nine tenths for many.
	prefillReserve = 1.3
	// decodePrefillCost is the number of decode engines that replace one prefill engine: they prefill
	// at half its rate, and generate almost nothing meanwhile.
	decodePrefillCost = 2
	planInterval      = 500 * time.Millisecond
	// holdFor is how long the same change must be worthwhile before it is made. cooldown is the
	// minimum time between two changes: longer than a change takes, so that its effect is visible
	// before the next.
	holdFor  = time.Second
	cooldown = 9 * time.Second
	// enginesPerChange limits the concurrent role changes to one for each enginesPerChange engines
	// beyond smallPool, unless the plan can spare the engine. Pools up to that size change one engine
	// at a time: two wrong engines of nine are a fifth of the pool, and the demand of the first seconds
	// is a few dozen streams.
	enginesPerChange = 4
	smallPool        = 5
	// maxDemandDuration limits the expected duration of a demand.
	maxDemandDuration = time.Minute
	// orderTimeout limits the delivery time of an order; it is well below the leader's lease.
	orderTimeout = 300 * time.Millisecond
	// roleChangeTimeout is how long an engine that was ordered to change its role is excluded from
	// placements at most, until it announces the new role.
	roleChangeTimeout = 15 * time.Second
)

// roles changes engines between prefill and decode according to the demand.
type roles struct {
	control  *Control
	orders   *hingeorders.Orders
	planners map[hingeids.Service]*hingeshift.Planner
	// changing are the engines whose role change is not yet announced.
	changing map[hingeids.ServerID]change
	tenure   tenure
}

type change struct {
	service hingeids.Service
	role    hingefleet.Role
	since   time.Time
}

func newRoles(c *Control, e hingeorders.Engines) *roles {
	r := &roles{
		control:  c,
		planners: make(map[hingeids.Service]*hingeshift.Planner),
		changing: make(map[hingeids.ServerID]change),
	}
	r.orders = hingeorders.New(hingeorders.Config{
		Settings: hingeorders.Settings{
			OrderTimeout: orderTimeout,
		},
		Engines: e,
		Lease:   issuer{group: c},
		Events:  c.options.Recorder,
		Clock:   hingeclock.BootTime,
	})
	return r
}

// issuer implements hingeorders.Issuer: a leader may issue orders once it is settled.
type issuer struct {
	group *Control
}

// Holder returns the leader's term as the fencing number, the end of its lease, and whether this host
// may issue orders now.
func (i issuer) Holder(now time.Time) (hingeids.Fence, time.Time, bool) {
	s := i.group.group.Status()
	settled := i.group.settled.Load()
	if settled == nil || *settled != hingeids.Fence(s.Term) || !s.IsLeader {
		return 0, time.Time{}, false
	}
	return hingeids.Fence(s.Term), s.LeaseUntil, now.Before(s.LeaseUntil)
}

func (r *roles) run(ctx context.Context) error {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			r.step(hingeclock.BootTime())
		}
	}
}

func (r *roles) step(now time.Time) {
	s := r.control.group.Status()
	term := hingeids.Fence(s.Term)
	if !s.IsLeader {
		r.stepDown()
		return
	}
	settled := r.tenure.settled(now, term, r.control.options.IssuerPause)
	if settled {
		r.control.settled.Store(&term)
	}
	view := r.control.view.Load()
	r.removeFinished(now, view)
	table := view.Table()
	if table == nil {
		return
	}
	for s, demand := range r.control.placer.Demands() {
		e := table.Services[s].Engine
		if e == nil {
			continue
		}
		// Most of the time the demand is too low for a plan, which then needs no list of engines.
		if _, enough := plan(view.ServerCount(s), demand); enough {
			r.changeRoles(now, s, e, view.Engines(s), demand, settled)
		}
	}
	r.publish()
}

func (r *roles) stepDown() {
	r.tenure = tenure{}
	if len(r.changing) == 0 && len(r.planners) == 0 {
		return
	}
	clear(r.changing)
	clear(r.planners)
	r.publish()
}

// removeFinished removes role changes that are finished, have timed out, or whose engine is gone.
func (r *roles) removeFinished(now time.Time, view *hingeworld.ClusterView) {
	for id, c := range r.changing {
		e, found := view.Engine(c.service, id)
		if !found || e.Role == c.role || now.Sub(c.since) > roleChangeTimeout {
			delete(r.changing, id)
		}
	}
}

var kindOf = map[hingefleet.Role]hingeannounce.Kind{
	hingefleet.Prefill: hingeannounce.Prefill,
	hingefleet.Decode:  hingeannounce.Decode,
}

// plan scales the demand to the load that would just fill all engines: at the present demand both
// roles may have enough engines, while the next burst exceeds one of them sooner than a role can be
// changed. It returns false if the demand is below minDemandShare.
func plan(engines int, d hingefleet.Demand) (hingeshift.Demand, bool) {
	d.Prefill *= prefillReserve
	requested := d.Prefill + d.Decode
	if requested < minDemandShare*float64(engines) {
		return hingeshift.Demand{}, false
	}
	scale := float64(engines) / requested
	planned := hingeshift.Demand{
		Prefill: scale * d.Prefill,
		Decode:  scale * d.Decode,
		Current: &hingeshift.Load{
			Prefill: d.Prefill,
			Decode:  d.Decode,
		},
	}
	if d.PrefillOnDecoders {
		planned.DecodePrefillCost = decodePrefillCost / prefillReserve
	}
	return planned, true
}

// changeRoles decides on the role changes of one service. A leader that may not issue orders yet only
// observes the demand.
func (r *roles) changeRoles(
	now time.Time, s hingeids.Service, e *hingeroutes.Engine, list []hingefleet.Engine, d hingefleet.Demand, settled bool,
) {
	planner := r.planners[s]
	if planner == nil {
		planner = hingeshift.New(hingeshift.Config{
			ChangeTime:        e.RoleChangeTime,
			HoldFor:           holdFor,
			Cooldown:          cooldown,
			MaxDemandDuration: maxDemandDuration,
		})
		r.planners[s] = planner
	}
	engines := r.expectedEngines(list)
	planned, enough := plan(len(engines), d)
	if !enough {
		return
	}
	if !settled {
		planner.Observe(now, engines, planned)
		return
	}
	maxConcurrent := max((len(list)-smallPool)/enginesPerChange, 1)
	roleChange, ok := planner.Decide(now, engines, planned)
	for n := 0; ok && (n < maxConcurrent || hingeshift.CanSpare(engines, roleChange.To, planned)); n++ {
		r.change(now, s, roleChange)
		engines = r.expectedEngines(list)
		roleChange, ok = planner.DecideNext(engines, planned)
	}
}

func (r *roles) change(now time.Time, s hingeids.Service, roleChange hingeshift.RoleChange) {
	role := hingefleet.Prefill
	if roleChange.To == hingeannounce.Decode {
		role = hingefleet.Decode
	}
	r.changing[roleChange.Server] = change{
		service: s,
		role:    role,
		since:   now,
	}
	r.control.options.Recorder.Record(time.Now(), hingeevents.RoleShiftDecided, hingeevents.Fields{
		Server: roleChange.Server,
		Fence:  r.tenure.term,
		Detail: string(roleChange.To),
	})
}

// expectedEngines returns the engines with the roles that they have after the changes in progress.
func (r *roles) expectedEngines(list []hingefleet.Engine) []hingeshift.Engine {
	var engines []hingeshift.Engine
	for _, e := range list {
		role := e.Role
		if c, found := r.changing[e.Server]; found {
			role = c.role
		}
		engines = append(engines, hingeshift.Engine{
			Server: e.Server,
			Kind:   kindOf[role],
			Zone:   e.Zone,
		})
	}
	return engines
}

// publish passes the role changes in progress to the issuer of orders, and excludes the engines from
// placements.
func (r *roles) publish() {
	var desired []hingeorders.DesiredState
	var ordered []hingeorders.Engine
	unavailable := make(map[hingeids.ServerID]bool, len(r.changing))
	for _, id := range slices.Sorted(maps.Keys(r.changing)) {
		unavailable[id] = true
		desired = append(desired, hingeorders.DesiredState{
			Engine: id,
			Role:   hingeorders.Role(kindOf[r.changing[id].role]),
		})
		ordered = append(ordered, hingeorders.Engine{
			ID:          id,
			Incarnation: 1,
			ChecksFence: r.control.options.ChecksFence,
		})
	}
	r.control.unavailable.Store(&unavailable)
	r.orders.SetEngines(ordered)
	r.orders.SetDesired(desired)
}
