package hingecontrol

import (
	"context"
	"time"

	"github.com/swifthinge/swifthinge/internal/capacity/hingeorders"
	"github.com/swifthinge/swifthinge/internal/config/hingeroutes"
	"github.com/swifthinge/swifthinge/internal/core/hingeclock"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/decide/hingefleet"
	"github.com/swifthinge/swifthinge/internal/decide/hingeshift"
	"github.com/swifthinge/swifthinge/internal/membership/hingeannounce"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
)

const (
	// leastDemand is the share of all engines that must be asked for before roles are
	// planned: below it the mix of a few requests says little.
	leastDemand = 0.2
	// prefillSlack is how much more prefill is planned than is asked for. Prompts come
	// in clumps and a first token waits for all those before it: at nine tenths of
	// its rate an engine keeps them waiting for many prefills, at three quarters for one or two.
	prefillSlack = 1.3
	// readCost is how many engines that decode it takes to read what one that prefills does: they read at
	// half its pace, and make next to nothing meanwhile.
	readCost = 2
	// rolesEvery is how often roles are thought of.
	rolesEvery = 500 * time.Millisecond
	// holdFor is how long the same change must be worth it: three looks in a row, at a demand that is an
	// average over seconds already. Rest is the pause between two changes:
	// longer than one takes, so that its effect is seen before the next.
	holdFor = time.Second
	rest    = 9 * time.Second
	// shiftAtOnce is how many engines there are, beyond smallPool, to each that changes at the
	// same moment: at most a quarter of a pool is away for a change, and only engines that the
	// plan can spare. A small pool moves one at a time: the demand of its first seconds
	// is a few dozen streams, and two wrong engines of nine are a fifth of it.
	shiftAtOnce = 4
	smallPool   = 5
	// mostLast bounds how long a demand is taken to last.
	mostLast = time.Minute
	// orderTime bounds an order's way to an engine; it is well within the leader's lease.
	orderTime = 300 * time.Millisecond
	// changeWait is how long an engine that was ordered to change is left out of
	// placing at most, until it announces its new role.
	changeWait = 15 * time.Second
)

// roles has engines change between prefill and decode as the demand asks.
type roles struct {
	control  *Control
	orders   *hingeorders.Orders
	shifters map[hingeids.Service]*hingeshift.Planner
	// changing are the engines under orders.
	changing map[hingeids.ServerID]change
	tenure   tenure
}

// change is an engine on its way to another role.
type change struct {
	role  hingefleet.Role
	since time.Time
}

func newRoles(c *Control, e hingeorders.Engines) *roles {
	r := &roles{
		control:  c,
		shifters: make(map[hingeids.Service]*hingeshift.Planner),
		changing: make(map[hingeids.ServerID]change),
	}
	r.orders = hingeorders.New(hingeorders.Config{
		Settings: hingeorders.Settings{
			OrderTimeout: orderTime,
		},
		Engines: e,
		Lease:   issuer{group: c},
		Events:  c.options.Recorder,
		Clock:   hingeclock.BootTime,
	})
	return r
}

// issuer lets a leader give orders once it has led for a while.
type issuer struct {
	group *Control
}

// Holder gives the leader's term as the fencing number.
func (i issuer) Holder(now time.Time) (hingeids.Fence, time.Time, bool) {
	s := i.group.group.Status()
	settled := i.group.settled.Load()
	if settled == nil || *settled != hingeids.Fence(s.Term) || !s.IsLeader {
		return 0, time.Time{}, false
	}
	return hingeids.Fence(s.Term), s.LeaseUntil, now.Before(s.LeaseUntil)
}

// run decides until the context ends.
func (r *roles) run(ctx context.Context) error {
	ticker := time.NewTicker(rolesEvery)
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
	world := r.control.world.Load()
	r.forget(now, world.Engines())
	table := world.Table()
	if table == nil {
		return
	}
	for s, demand := range r.control.placer.Demands() {
		if e := table.Services[s].Engine; e != nil {
			r.shift(now, s, e, world.Engines()[s], demand, settled)
		}
	}
	r.publish(world.Engines())
}

func (r *roles) stepDown() {
	r.tenure = tenure{}
	if len(r.changing) == 0 && len(r.shifters) == 0 {
		return
	}
	clear(r.changing)
	clear(r.shifters)
	r.publish(nil)
}

// forget drops the changes that were made, or that nobody makes any more.
func (r *roles) forget(now time.Time, engines map[hingeids.Service][]hingefleet.Engine) {
	present := make(map[hingeids.ServerID]hingefleet.Role)
	for _, list := range engines {
		for _, e := range list {
			present[e.Server] = e.Role
		}
	}
	for id, c := range r.changing {
		role, there := present[id]
		if !there || role == c.role || now.Sub(c.since) > changeWait {
			delete(r.changing, id)
		}
	}
}

var kindOf = map[hingefleet.Role]hingeannounce.Kind{
	hingefleet.Prefill: hingeannounce.Prefill,
	hingefleet.Decode:  hingeannounce.Decode,
}

// plan scales the demand up to where it would just fill all engines. Roles are
// planned for that burst: at the demand of the moment both roles may look well, and the next
// burst would find the wrong one short, sooner than a role can change. Only
// the proportion of the demands counts, so that a burst under way doesn't look like one to
// come on top of it.
func plan(engines int, d hingefleet.Demand) (hingeshift.Demand, bool) {
	d.Prefill *= prefillSlack
	asked := d.Prefill + d.Decode
	if asked < leastDemand*float64(engines) {
		return hingeshift.Demand{}, false
	}
	scale := float64(engines) / asked
	planned := hingeshift.Demand{
		Prefill: scale * d.Prefill,
		Decode:  scale * d.Decode,
		Current: &hingeshift.Load{
			Prefill: d.Prefill,
			Decode:  d.Decode,
		},
	}
	if d.PrefillOnDecoders {
		planned.DecodePrefillCost = readCost / prefillSlack
	}
	return planned, true
}

// shift decides for one service. A leader that may not give orders yet only watches the demand.
func (r *roles) shift(
	now time.Time, s hingeids.Service, e *hingeroutes.Engine, list []hingefleet.Engine, d hingefleet.Demand, settled bool,
) {
	shifter := r.shifters[s]
	if shifter == nil {
		shifter = hingeshift.New(hingeshift.Config{
			ChangeTime:        e.RoleTime,
			HoldFor:           holdFor,
			Cooldown:          rest,
			MaxDemandDuration: mostLast,
		})
		r.shifters[s] = shifter
	}
	engines := r.standing(list)
	planned, enough := plan(len(engines), d)
	if !enough {
		return
	}
	if !settled {
		shifter.Observe(now, engines, planned)
		return
	}
	atOnce := max((len(list)-smallPool)/shiftAtOnce, 1)
	shift, ok := shifter.Decide(now, engines, planned)
	for n := 0; ok && (n < atOnce || hingeshift.CanSpare(engines, shift.To, planned)); n++ {
		r.change(now, shift)
		engines = r.standing(list)
		shift, ok = shifter.DecideNext(engines, planned)
	}
}

// change puts an engine under orders.
func (r *roles) change(now time.Time, shift hingeshift.RoleChange) {
	role := hingefleet.Prefill
	if shift.To == hingeannounce.Decode {
		role = hingefleet.Decode
	}
	r.changing[shift.Server] = change{
		role:  role,
		since: now,
	}
	r.control.options.Recorder.Record(time.Now(), hingeevents.RoleShiftDecided, hingeevents.Fields{
		Server: shift.Server,
		Fence:  r.tenure.term,
		Detail: string(shift.To),
	})
}

// standing gives the engines as they will be once the changes under way are made.
func (r *roles) standing(list []hingefleet.Engine) []hingeshift.Engine {
	var engines []hingeshift.Engine
	for _, e := range list {
		role := e.Role
		if c, there := r.changing[e.Server]; there {
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

// publish hands the changes to whoever gives the orders, and to the placing.
func (r *roles) publish(engines map[hingeids.Service][]hingefleet.Engine) {
	var wants []hingeorders.DesiredState
	var ordered []hingeorders.Engine
	away := make(map[hingeids.ServerID]bool, len(r.changing))
	for _, list := range engines {
		for _, e := range list {
			c, there := r.changing[e.Server]
			if !there {
				continue
			}
			away[e.Server] = true
			wants = append(wants, hingeorders.DesiredState{
				Engine: e.Server,
				Role:   hingeorders.Role(kindOf[c.role]),
			})
			ordered = append(ordered, hingeorders.Engine{
				ID:          e.Server,
				Incarnation: 1,
				ChecksFence: r.control.options.ChecksFence,
			})
		}
	}
	r.control.away.Store(&away)
	r.orders.SetEngines(ordered)
	r.orders.SetDesired(wants)
}
