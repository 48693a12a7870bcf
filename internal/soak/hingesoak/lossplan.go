package hingesoak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Losses selects the losses of control hosts that are injected in place of the plan's own (rules 9 and 10).
type Losses string

// Tolerated losses leave no more hosts lost at a time than the settings allow; overlapping ones only no more disks.
const (
	TolerableLosses   Losses = "tolerable"
	OverlappingLosses Losses = "overlapping"
)

// The further kinds of faults of losses. replace ends a control host for good and starts an empty one at another address;
// hand over starts the new one first and then sends SIGTERM to the old one. strike hits many hosts at once.
const (
	replace  kind = "replace"
	handOver kind = "hand over"
	cut      kind = "cut"
	strike   kind = "strike"
)

// cutMode says what a cut control host doesn't reach.
type cutMode string

// The modes of a cut. cutApart separates all control hosts from each other.
const (
	cutBoth  cutMode = "from the other control hosts"
	cutFrom  cutMode = "to the other control hosts, one way"
	cutTo    cutMode = "of what the other control hosts send, one way"
	cutAll   cutMode = "from all hosts"
	cutApart cutMode = "all control hosts from each other"
)

// scope says which processes a strike kills besides those that lose their disks.
type scope string

const (
	scopeNone     scope = "no other"
	scopeControls scope = "all control hosts"
	scopeAll      scope = "all hosts"
)

// seedChoice says which seeds the settings name when a process is started again.
type seedChoice string

// seedsGone are only replaced hosts, if there are any and the process had a disk with data for the catch-up time; else
// seedsOld, the hosts at the first start. The platform's seeds are its list of some seconds before, so that an empty host
// gets at least one other that isn't gone.
const (
	seedsNew  seedChoice = "present"
	seedsOld  seedChoice = "first"
	seedsGone seedChoice = "gone"
)

// loss is the part of a fault that only losses have.
type loss struct {
	cut   cutMode
	scope scope
	seeds seedChoice
	// disks is the number of hosts, from the fault's index on, that a strike deprives of their disks.
	disks int
	// afterAck makes a strike follow an accepted change at once. final marks the last fault.
	afterAck bool
	final    bool
}

const (
	// catchUp is how long a host counts as lost after its start, as the settings name it.
	catchUp = 4 * time.Second
	// contactBound is the time after the last fault within which the configuration is readable and changes are in force at
	// hosts that weren't affected; recoveryBound is that after overlapping losses.
	contactBound  = 3 * time.Second
	recoveryBound = 12 * time.Second
	// ackBound is the time after contactBound within which a change is accepted.
	ackBound = 4 * time.Second
	// unreadableTimeout is the time after the bound at which the wait for a read is given up.
	unreadableTimeout = 5 * time.Second
	readInterval      = 20 * time.Millisecond
	admitInterval     = 2 * time.Millisecond
	// applyBound is the time after its acceptance within which a change is in force.
	applyBound = 2 * time.Second
)

func (f fault) lossString() string {
	text := fmt.Sprintf("%s control %d for %v, seeds %s", f.kind, f.index, f.duration, f.seeds)
	switch f.kind {
	case cut:
		text = fmt.Sprintf("cut control %d %s for %v", f.index, f.cut, f.duration)
		if f.cut == cutApart {
			text = fmt.Sprintf("cut %s for %v", f.cut, f.duration)
		}
	case strike:
		text = fmt.Sprintf("strike: kill %s, %d disks lost from control %d on, for %v, seeds %s", f.scope, f.disks, f.index, f.duration, f.seeds)
	}
	if f.afterAck {
		text += ", after an accepted change"
	}
	return text
}

// planLosses generates the losses of a run. They have a random source of their own, so that the other faults of a seed
// are the same with and without them.
func planLosses(random *rand.Rand, o Options) []fault {
	var out []fault
	overlapping := o.Losses == OverlappingLosses
	disks := 0
	// Overlapping losses take the disks of one fault only: of one during the run, or of the last one.
	keepDisks := overlapping && random.IntN(2) == 0
	index := random.IntN(o.Controls)
	for at := 500 * time.Millisecond; at < o.Duration; {
		index = (index + 1 + random.IntN(max(o.Controls-1, 1))) % o.Controls
		f := drawLoss(random, at, index, overlapping)
		if f.kind == wipe || f.kind == replace || f.kind == handOver {
			if keepDisks || overlapping && disks == maxLost(o) {
				f.kind = []kind{kill, freeze, cut}[random.IntN(3)]
				f.duration += time.Duration(random.IntN(2000)) * time.Millisecond
			} else {
				disks++
			}
		}
		out = append(out, f)
		if overlapping {
			at += time.Duration(200+random.IntN(1500)) * time.Millisecond
			continue
		}
		at += f.duration
		if random.IntN(4) == 0 {
			// All may be killed at any time, also before the lost host has caught up.
			f = drawStrike(random, at+time.Duration(random.IntN(3000))*time.Millisecond)
			out = append(out, f)
			at = f.at + f.duration
		}
		at += catchUp
		if random.IntN(2) == 0 {
			at += time.Duration(random.IntN(1500)) * time.Millisecond
		}
	}
	last := drawStrike(random, max(o.Duration, out[len(out)-1].at))
	last.final, last.afterAck = true, true
	last.index = random.IntN(o.Controls)
	if random.IntN(3) > 0 && (!overlapping || disks == 0) {
		last.disks = maxLost(o)
		last.scope = []scope{scopeNone, scopeControls, scopeAll}[random.IntN(3)]
	}
	return append(out, last)
}

func drawLoss(random *rand.Rand, at time.Duration, index int, overlapping bool) fault {
	f := fault{
		at:       at,
		kind:     []kind{wipe, wipe, replace, replace, handOver, cut, cut, freeze, kill}[random.IntN(9)],
		control:  true,
		index:    index,
		duration: time.Duration(200+random.IntN(800)) * time.Millisecond,
		loss: loss{
			cut:   []cutMode{cutBoth, cutFrom, cutTo, cutAll}[random.IntN(4)],
			seeds: []seedChoice{seedsNew, seedsOld, seedsGone}[random.IntN(3)],
		},
	}
	long := time.Duration(random.IntN(2000)) * time.Millisecond
	switch f.kind {
	case handOver:
		// The old host leaves before or after the new one has caught up.
		f.duration += []time.Duration{0, catchUp}[random.IntN(2)]
	case cut, freeze, kill:
		f.duration += long
	}
	if overlapping && random.IntN(5) == 0 {
		return drawStrike(random, at)
	}
	if overlapping && f.kind == cut && random.IntN(2) == 0 {
		f.cut = cutApart
	}
	return f
}

func drawStrike(random *rand.Rand, at time.Duration) fault {
	return fault{
		at:       at,
		kind:     strike,
		control:  true,
		duration: time.Duration(100+random.IntN(700)) * time.Millisecond,
		loss: loss{
			scope:    []scope{scopeControls, scopeAll}[random.IntN(2)],
			seeds:    []seedChoice{seedsNew, seedsOld, seedsGone}[random.IntN(3)],
			afterAck: random.IntN(2) == 0,
		},
	}
}

// maxLost is the number of control hosts that may be lost at a time.
func maxLost(o Options) int {
	return max((min(o.Controls, maxVoters)-1)/2, 1)
}
