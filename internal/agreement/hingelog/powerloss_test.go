package hingelog

import (
	"fmt"
	"testing"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

const (
	powerLossSchedules = 200
	powerLossSteps     = 40
)

// playPowerLosses kills processes during a sync, starts them again, and later takes the power of some hosts or of all.
// No disk is lost, so all hosts must recover with all that was committed. It returns the first violation.
func playPowerLosses(seed uint64, hosts int, trustsReadBack bool) string {
	var names []hingeids.HostID
	for i := range hosts {
		names = append(names, hingeids.HostID(fmt.Sprintf("h%d", i)))
	}
	c := newCluster(seed, names...)
	c.trustsReadBack = trustsReadBack
	c.run(3 * DefaultElectionTimeout)
	for range powerLossSteps {
		c.playPowerLossStep()
		c.run(time.Duration(1+c.random.IntN(40)) * simStep)
	}
	for _, n := range c.nodes {
		n.crashInSync = false
	}
	c.recoverAndCheck()
	return c.violation
}

func (c *cluster) playPowerLossStep() {
	n := c.nodes[c.random.IntN(len(c.nodes))]
	switch c.random.IntN(8) {
	case 0, 1:
		c.killDuringSync(n)
	case 2:
		c.killDuringSync(n)
		c.run(time.Duration(1+c.random.IntN(20)) * simStep)
		c.startAll()
	case 3:
		c.losePower(n)
	case 4:
		share := c.random.Float64()
		for _, n := range c.nodes {
			if c.random.Float64() < share {
				c.losePower(n)
			}
		}
	case 5:
		c.losePower(n)
		c.start(n)
	default:
		c.startAll()
	}
}

// killDuringSync proposes an entry, and a host dies while it syncs that.
func (c *cluster) killDuringSync(n *node) {
	n.crashInSync = n.log != nil
	if l := c.activeLeader(); c.propose(l, fmt.Sprint(c.proposed)) {
		c.processOutput(l, noCrash)
	}
}

// Guards against a committed entry that is gone, and a member that stays away, because a host confirmed after its
// restart what its disk didn't hold yet.
func TestCommittedEntriesSurviveKillsDuringSyncsAndPowerLosses(t *testing.T) {
	for _, hosts := range []int{3, 5, 9} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(powerLossSchedules) {
				if violation := playPowerLosses(seed, hosts, false); violation != "" {
					t.Fatalf("seed %d: %s", seed, violation)
				}
			}
		})
	}
}

// Guards against schedules that could no longer see the failure: a journal that doesn't sync what it reads back must
// break them.
func TestSchedulesNoticeUnsyncedReadBack(t *testing.T) {
	for _, hosts := range []int{3, 5, 9} {
		broken := 0
		for seed := range uint64(powerLossSchedules) {
			if playPowerLosses(seed, hosts, true) != "" {
				broken++
			}
		}
		t.Logf("%d hosts: %d of %d schedules broken", hosts, broken, powerLossSchedules)
		if broken == 0 {
			t.Errorf("%d hosts: none of %d schedules notices records that are read back and not synced", hosts, powerLossSchedules)
		}
	}
}
