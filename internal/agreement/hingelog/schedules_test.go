package hingelog

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// A and B select hosts; N is an amount.
type action struct {
	Kind int
	A    int
	B    int
	N    int
}

const (
	runShort = iota
	runLong
	propose
	proposeMany
	cutOneWay
	cutOff
	heal
	killHost
	crashBeforeWrite
	crashInSync
	crashAfterSync
	losePower
	startHost
	startAll
	loseDisk
	freeze
	unfreeze
	lossy
	normalNetwork
	slow
	compact
	joinAll
	replaceHost
	retireHost
	actionKinds
)

func actions() *rapid.Generator[action] {
	return rapid.Custom(func(t *rapid.T) action {
		return action{
			Kind: rapid.IntRange(0, actionKinds-1).Draw(t, "kind"),
			A:    rapid.IntRange(0, 3).Draw(t, "a"),
			B:    rapid.IntRange(0, 3).Draw(t, "b"),
			N:    rapid.IntRange(1, 40).Draw(t, "n"),
		}
	})
}

func (c *cluster) do(a action) {
	n := c.nodes[a.A%len(c.nodes)]
	other := c.nodes[a.B%len(c.nodes)]
	switch a.Kind {
	case runShort:
		c.run(time.Duration(a.N) * simStep)
	case runLong:
		c.run(time.Duration(a.N) * 100 * time.Millisecond)
	case propose, proposeMany:
		c.proposeTo(n, a)
	case cutOneWay:
		c.cutLinks[[2]hingeids.HostID{n.self.Host, other.self.Host}] = true
	case cutOff:
		c.cutOff(n)
	case heal:
		clear(c.cutLinks)
	case killHost:
		c.kill(n)
	case crashBeforeWrite:
		c.crash(n, beforeWrite)
	case crashInSync:
		c.crash(n, betweenWriteAndSync)
	case crashAfterSync:
		c.crash(n, afterSync)
	case losePower:
		c.losePower(n)
	case startHost:
		if n.log == nil {
			c.start(n)
		}
	case startAll:
		c.startAll()
	case freeze, unfreeze:
		n.frozen = a.Kind == freeze
	case lossy:
		c.loss = float64(a.N) / 60
	case normalNetwork:
		c.loss = 0
		c.maxDelay = 5 * time.Millisecond
	case slow:
		c.maxDelay = time.Duration(a.N) * 10 * time.Millisecond
	case compact:
		c.compact(n, a.N%4)
	default:
		c.doMembers(n, a)
	}
}

func (c *cluster) doMembers(n *node, a action) {
	switch a.Kind {
	case loseDisk:
		// Only one disk may be lost at a time; the next one may be lost once the repair is
		// complete.
		if c.fullyRepaired() {
			c.loseDisk(n)
		}
	case joinAll:
		c.join()
	case retireHost:
		if n.log != nil {
			n.log.Retire(c.clock(n))
		}
	case replaceHost:
		if c.host("d") == nil {
			c.start(c.addNode(Member{
				Host: "d",
				Disk: 1,
			}))
			return
		}
		c.removeSpareVoter(n)
	}
}

// removeSpareVoter acts as an operator who removes a voter if four members vote.
func (c *cluster) removeSpareVoter(n *node) {
	l := c.activeLeader()
	if l == nil || len(l.log.currentMembers().Voters) < 4 || !c.fullyRepaired() {
		return
	}
	_ = l.log.ChangeMembers(c.clock(l), Change{
		Kind:   Remove,
		Member: n.self,
	})
	c.processOutput(l, noCrash)
}

func (c *cluster) proposeTo(n *node, a action) {
	if l := c.activeLeader(); l != nil && a.B > 0 {
		n = l
	}
	for range a.N {
		c.propose(n, fmt.Sprint(c.proposed))
		if a.Kind == propose {
			break
		}
	}
	if n.log != nil && !n.frozen {
		c.processOutput(n, noCrash)
	}
}

func (c *cluster) cutOff(n *node) {
	for _, o := range c.nodes {
		c.cutLinks[[2]hingeids.HostID{n.self.Host, o.self.Host}] = true
		c.cutLinks[[2]hingeids.HostID{o.self.Host, n.self.Host}] = true
	}
}

func (c *cluster) crash(n *node, point crashPoint) {
	if n.log == nil || n.frozen {
		return
	}
	c.propose(n, fmt.Sprint(c.proposed))
	n.log.Tick(c.clock(n).Add(time.Millisecond))
	c.processOutput(n, point)
}

func (c *cluster) startAll() {
	for _, n := range c.nodes {
		n.frozen = false
		if n.log == nil {
			c.start(n)
		}
	}
}

// Once all faults have ended, the cluster must commit a proposal that all members
// apply.
func (c *cluster) recoverAndCheck() {
	clear(c.cutLinks)
	c.loss = 0
	c.maxDelay = 5 * time.Millisecond
	c.startAll()
	for range 12 {
		c.run(500 * time.Millisecond)
		c.join()
	}
	before := c.commit
	if !c.propose(c.activeLeader(), "last") {
		c.fail("no leader after all faults have ended")
		return
	}
	c.run(time.Second)
	if c.commit <= before {
		c.fail("a proposal isn't committed after all faults have ended")
	}
	for _, n := range c.nodes {
		if c.members.Has(n.self) && n.appliedIndex != c.commit {
			c.fail("%v has applied %d of %d entries after all faults have ended", n.self, n.appliedIndex, c.commit)
		}
	}
}

// Guards against two leaders, lost committed entries and stale reads under random
// faults of messages, links, processes, disks and clocks.
func TestFaultSchedulesPreserveInvariants(t *testing.T) {
	if f := flag.Lookup("rapid.checks"); f.Value.String() == f.DefValue {
		if err := f.Value.Set("300"); err != nil {
			t.Fatal(err)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(rapid.Uint64().Draw(t, "seed"), "a", "b", "c")
		if rapid.Bool().Draw(t, "spare") {
			c = newClusterWithSpare(rapid.Uint64().Draw(t, "seed of the spare"))
		}
		c.run(2 * time.Second)
		for _, a := range rapid.SliceOfN(actions(), 20, 80).Draw(t, "actions") {
			c.do(a)
			if c.violation != "" {
				t.Fatal(c.violation)
			}
		}
		c.recoverAndCheck()
		if c.violation != "" {
			t.Fatal(c.violation)
		}
	})
}

// Guards against a lost quorum or lost entries when a host is killed at any moment of
// the repair of another's disk.
func TestSecondLossAtAnyMomentOfARepair(t *testing.T) {
	for after := time.Duration(0); after < 600*time.Millisecond; after += simStep {
		for scenario := range 3 {
			c := newCluster(uint64(after), "a", "b", "c")
			c.run(3 * time.Second)
			l := c.activeLeader()
			other, third := c.nodes[0], c.nodes[1]
			if l == other {
				other = c.nodes[2]
			}
			if l == third {
				third = c.nodes[2]
			}
			c.propose(l, "kept")
			c.loseDisk(third)
			c.run(100 * time.Millisecond)
			c.join()
			c.run(after)
			switch scenario {
			case 0:
				c.kill(other)
			case 1:
				c.kill(third)
			case 2:
				c.kill(other)
				c.kill(third)
				c.start(third)
			}
			c.run(time.Second)
			if c.fullyRepaired() {
				c.loseDisk(l)
			}
			c.recoverAndCheck()
			if c.violation != "" {
				t.Fatalf("killed %v after joining, scenario %d: %s", after, scenario, c.violation)
			}
		}
	}
}
