package hingesoak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Disturbance is a class of disturbances that are injected beside the other faults (rule 13).
type Disturbance string

// The classes of disturbances. DisturbedLinks impair links between any two hosts, or an entry host and some or all control
// hosts or all hosts. DisturbedStops stop an entry host in the middle of a change. StaleOperators call the control hosts of a list that is
// some seconds old. FinalFaults kill all processes around a change, of which one control host loses its disk.
const (
	DisturbedLinks Disturbance = "links"
	DisturbedStops Disturbance = "stops"
	StaleOperators Disturbance = "stale"
	FinalFaults    Disturbance = "final"
)

// Disturbances returns all classes.
func Disturbances() []Disturbance {
	return []Disturbance{DisturbedLinks, DisturbedStops, StaleOperators, FinalFaults}
}

func (o Options) disturbs(d Disturbance) bool {
	return slices.Contains(o.Disturbances, d)
}

// linkMode is what happens to the packets of a link.
type linkMode string

// The modes of a link. linkSilent silences the open connections for good, while new ones work.
const (
	linkLossy  linkMode = "lossy"
	linkSlow   linkMode = "slow"
	linkCut    linkMode = "cut"
	linkSilent linkMode = "silent"
)

// direction says which packets of a link are affected: those of its first host, of its second one, or both.
type direction string

const (
	bothWays direction = "both ways"
	oneWayTo direction = "one way"
	oneWayOf direction = "the other way"
)

// hostRef is the number of a control host or an entry host.
type hostRef struct {
	control bool
	index   int
}

func (h hostRef) String() string {
	if h.control {
		return fmt.Sprint("control ", h.index)
	}
	return fmt.Sprint("entry ", h.index)
}

// linkFault impairs the links between one host and others.
type linkFault struct {
	at        time.Duration
	duration  time.Duration
	mode      linkMode
	direction direction
	host      hostRef
	others    []hostRef
	impairment
}

func (f linkFault) String() string {
	text := fmt.Sprintf("links of %s to %v: %s", f.host, f.others, f.mode)
	switch f.mode {
	case linkLossy:
		text += fmt.Sprintf(" (%.2f)", f.dropped)
	case linkSlow:
		text += fmt.Sprintf(" (%v)", f.delay)
	}
	return fmt.Sprintf("%s %s for %v", text, f.direction, f.duration)
}

// planLinks generates the disturbances of links, which may overlap.
func planLinks(random *rand.Rand, o Options) []linkFault {
	var out []linkFault
	for at := 500 * time.Millisecond; at < o.Duration; {
		f := linkFault{
			at:        at,
			duration:  time.Duration(300+random.IntN(4000)) * time.Millisecond,
			mode:      []linkMode{linkLossy, linkSlow, linkCut, linkCut, linkSilent}[random.IntN(5)],
			direction: []direction{bothWays, oneWayTo, oneWayOf}[random.IntN(3)],
		}
		f.host, f.others = drawLink(random, o)
		switch f.mode {
		case linkLossy:
			f.dropped = []float64{0.02, 0.1, 0.3, 0.6}[random.IntN(4)]
		case linkSlow:
			f.delay = time.Duration(20+random.IntN(600)) * time.Millisecond
		case linkCut:
			f.dropped = 1
		case linkSilent:
			f.direction = bothWays
		}
		out = append(out, f)
		at += time.Duration(300+random.IntN(2500)) * time.Millisecond
	}
	return out
}

// drawLink draws any two hosts, an entry host and some or all control hosts, or an entry host and all other hosts.
func drawLink(random *rand.Rand, o Options) (hostRef, []hostRef) {
	var controls, all []hostRef
	for i := range o.Controls {
		controls = append(controls, hostRef{
			control: true,
			index:   i,
		})
	}
	all = append(all, controls...)
	for i := range o.Entries {
		all = append(all, hostRef{
			index: i,
		})
	}
	host := hostRef{
		index: random.IntN(o.Entries),
	}
	switch random.IntN(5) {
	case 0, 1:
		random.Shuffle(len(all), func(i, j int) {
			all[i], all[j] = all[j], all[i]
		})
		return all[0], all[1:2]
	case 2:
		return host, slices.DeleteFunc(all, func(h hostRef) bool {
			return h == host
		})
	}
	random.Shuffle(len(controls), func(i, j int) {
		controls[i], controls[j] = controls[j], controls[i]
	})
	count := len(controls)
	if random.IntN(2) == 0 {
		count = 1 + random.IntN(len(controls))
	}
	return host, controls[:count]
}

// stopFault stops an entry host some time after a change was sent, and wakes it after its duration.
type stopFault struct {
	at       time.Duration
	after    time.Duration
	duration time.Duration
	entry    int
}

func (f stopFault) String() string {
	return fmt.Sprintf("stop entry %d for %v, %v after a change was sent", f.entry, f.duration, f.after)
}

func planStops(random *rand.Rand, o Options) []stopFault {
	var out []stopFault
	for at := time.Second; at < o.Duration; {
		f := stopFault{
			at:       at,
			after:    time.Duration(random.IntN(60)) * time.Millisecond,
			duration: time.Duration(100+random.IntN(5000)) * time.Millisecond,
			entry:    random.IntN(o.Entries),
		}
		out = append(out, f)
		at += time.Duration(400+random.IntN(2000)) * time.Millisecond
	}
	return out
}

// finalFault kills all processes some time after a change was sent, or right after it was accepted, and takes one disk.
type finalFault struct {
	afterAck bool
	after    time.Duration
	strike   fault
}

func (f finalFault) String() string {
	when := fmt.Sprintf("%v after a change was sent", f.after)
	if f.afterAck {
		when = "after an accepted change"
	}
	return fmt.Sprintf("final fault %s: kill all hosts for %v, the disk of control %d lost", when, f.strike.duration, f.strike.index)
}

func planFinal(random *rand.Rand, o Options) finalFault {
	f := finalFault{
		afterAck: random.IntN(3) == 0,
		strike:   drawStrike(random, o.Duration),
	}
	if random.IntN(3) > 0 {
		f.after = time.Duration(5+random.IntN(396)) * time.Millisecond
	}
	f.strike.scope, f.strike.disks, f.strike.index = scopeAll, 1, random.IntN(o.Controls)
	f.strike.afterAck, f.strike.final = false, true
	return f
}
