package hingespread

import (
	"context"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/swifthinge/swifthinge/internal/agreement/hingeconfig"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

func withCluster(t *testing.T, hosts int, f func(c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, hosts)
		defer c.stopAll()
		f(c)
	})
}

// The result is the time that each peer took.
func (c *cluster) waitForRevision(r hingeids.Revision, peers []Peer, limit time.Duration) []time.Duration {
	c.t.Helper()
	start := time.Now()
	var out []time.Duration
	for _, p := range peers {
		for c.state(p.Host).View.Revision < r {
			if time.Since(start) > limit {
				c.t.Fatalf("host %s applies revision %d, not %d, after %v", p.Host, c.state(p.Host).View.Revision, r, limit)
			}
			time.Sleep(time.Millisecond)
		}
		out = append(out, time.Since(start))
	}
	return out
}

// Guards against a host in a cut-off zone that restarts with an older configuration,
// or doesn't become ready.
func TestRestartInACutOffZoneKeepsTheRevision(t *testing.T) {
	withCluster(t, 9, func(c *cluster) {
		c.waitForRevision(c.change(), c.peers, time.Second)
		c.cut("cancale", true)
		// Longer than the timeouts of three sources.
		time.Sleep(10 * time.Second)
		if s := c.state("cancale-2"); s.CutOffSince.IsZero() || !s.Ready {
			t.Fatalf("cut off, but its state is %+v", s)
		}
		c.start(c.kill("cancale-2"))
		time.Sleep(10 * time.Second)
		if s := c.state("cancale-2"); !s.Ready || s.View.Revision != 1 {
			t.Fatalf("ready %v with revision %d", s.Ready, s.View.Revision)
		}
		c.start(c.kill("cancale-1"))
		time.Sleep(15 * time.Second)
		if s := c.state("cancale-1"); !s.Ready || s.View.Revision != 1 {
			t.Fatalf("host with a disk: ready %v with revision %d", s.Ready, s.View.Revision)
		}
		c.change()
		c.cut("cancale", false)
		c.waitForRevision(2, c.peers, 5*time.Second)
	})
}

// Guards against hosts that become ready after their whole zone restarted without a quorum,
// when no peer has a record of the revisions that were in force.
func TestRestartedZoneWithoutQuorumIsNotReady(t *testing.T) {
	withCluster(t, 9, func(c *cluster) {
		c.waitForRevision(c.change(), c.peers, time.Second)
		c.cut("cancale", true)
		var restarted []Peer
		for _, h := range []hingeids.HostID{"cancale-1", "cancale-2", "cancale-3"} {
			restarted = append(restarted, c.kill(h))
		}
		for _, p := range restarted {
			c.start(p)
		}
		time.Sleep(20 * time.Second)
		for _, p := range restarted {
			if s := c.state(p.Host); s.Ready {
				t.Errorf("host %s is ready with revision %d", p.Host, s.View.Revision)
			}
		}
		c.cut("cancale", false)
		time.Sleep(10 * time.Second)
		for _, p := range restarted {
			if s := c.state(p.Host); !s.Ready || s.View.Revision != 1 {
				t.Errorf("host %s: ready %v, revision %d", p.Host, s.Ready, s.View.Revision)
			}
		}
	})
}

// A host that missed 500 changes must get all documents in one response, and Lag must
// report it until then.
func TestLaggingHostGetsOneSnapshot(t *testing.T) {
	withCluster(t, 7, func(c *cluster) {
		c.waitForRevision(c.change(), c.peers, time.Second)
		c.cut("quiberon", true)
		time.Sleep(3 * time.Second)
		if c.leader() == nil {
			t.Fatal("no leader")
		}
		var last hingeids.Revision
		for range 500 {
			last = c.change()
		}
		time.Sleep(time.Second)
		lags := c.process("cancale-2").replicator.Lag(context.Background())
		if len(lags) != 7 || !isLagging(lags[0]) || !isLagging(lags[1]) || isLagging(lags[2]) {
			t.Errorf("lags are %+v", lags)
		}
		x := c.process("quiberon-2").replicator
		changed := x.Applied().Changed()
		c.cut("quiberon", false)
		seen := make(map[hingeids.Revision]bool)
		for range 100 {
			seen[x.Applied().Load().View.Revision] = true
			if seen[last] {
				break
			}
			<-changed
			changed = x.Applied().Changed()
		}
		if diff := cmp.Diff(map[hingeids.Revision]bool{1: true, last: true}, seen); diff != "" {
			t.Error(diff)
		}
	})
}

func isLagging(l Lag) bool {
	return l.Applied < l.Newest && l.LagSince != 0
}

// A change must be in force on all hosts within three seconds when the leader crashes right
// before it.
func TestChangeIsInForceAfterALeaderCrash(t *testing.T) {
	withCluster(t, 7, func(c *cluster) {
		c.waitForRevision(c.change(), c.peers, time.Second)
		for range 5 {
			crashed := c.kill(c.leader().peer.Host)
			var running []Peer
			for _, p := range c.peers {
				if p.Host != crashed.Host {
					running = append(running, p)
				}
			}
			start := time.Now()
			c.waitForRevision(c.change(), running, 3*time.Second)
			elapsed := time.Since(start)
			t.Logf("in force on %d hosts %v after the crash", len(running), elapsed)
			if elapsed > 3*time.Second {
				t.Errorf("the change was in force after %v", elapsed)
			}
			c.start(crashed)
			time.Sleep(3 * time.Second)
		}
	})
}

// Guards against a host that serves an older configuration after a newer one, across
// partitions and restarts of single hosts.
func TestRevisionNeverDecreases(t *testing.T) {
	for seed := range uint64(12) {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, 9)
			defer c.stopAll()
			random := rand.New(rand.NewPCG(seed, 3))
			newest := make(map[hingeids.HostID]hingeids.Revision)
			zones := []hingeids.Zone{"cancale", "roscoff", "quiberon"}
			for range 40 {
				switch random.IntN(4) {
				case 0:
					for _, z := range zones {
						c.cut(z, false)
					}
					c.cut(zones[random.IntN(3)], random.IntN(3) > 0)
				case 1:
					c.start(c.kill(c.peers[random.IntN(9)].Host))
				case 2:
					c.change()
				}
				c.checkRevisions(newest, time.Duration(random.IntN(8000))*time.Millisecond)
			}
			for _, z := range zones {
				c.cut(z, false)
			}
			c.waitForRevision(c.change(), c.peers, 10*time.Second)
		})
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

// The revision of no ready host may decrease.
func (c *cluster) checkRevisions(newest map[hingeids.HostID]hingeids.Revision, d time.Duration) {
	for deadline := time.Now().Add(d); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		for _, p := range c.peers {
			s := c.state(p.Host)
			if !s.Ready {
				continue
			}
			if s.View.Revision < newest[p.Host] {
				c.t.Errorf("host %s went back from revision %d to %d", p.Host, newest[p.Host], s.View.Revision)
			}
			newest[p.Host] = s.View.Revision
		}
	}
}

// Covers the combinations of the peers' records and configurations (rule 6).
func TestRecallDecidesReadiness(t *testing.T) {
	recalled := func(hasRecord bool, recorded, offers hingeids.Revision) recallResponse {
		return recallResponse{
			HasRecord: hasRecord,
			Recorded:  recorded,
			Documents: hingeconfig.Difference{
				To: offers,
			},
		}
	}
	for name, c := range map[string]struct {
		responses map[hingeids.HostID]recallResponse
		revision  hingeids.Revision
		ready     bool
	}{
		"no responses": {},
		"majority has records": {
			responses: map[hingeids.HostID]recallResponse{"a": recalled(true, 4, 4), "b": recalled(true, 4, 4)},
			revision:  4,
			ready:     true,
		},
		"one of three has a record": {
			responses: map[hingeids.HostID]recallResponse{"a": recalled(true, 4, 4), "b": recalled(false, 0, 5)},
			revision:  5,
		},
		"record is newer than all offers": {
			responses: map[hingeids.HostID]recallResponse{"a": recalled(true, 5, 4), "b": recalled(true, 4, 4)},
			revision:  4,
		},
		"other peer offers the recorded revision": {
			responses: map[hingeids.HostID]recallResponse{"a": recalled(true, 5, 4), "b": recalled(true, 4, 4), "x": recalled(false, 0, 5)},
			revision:  5,
			ready:     true,
		},
		"only another peer has a record": {
			responses: map[hingeids.HostID]recallResponse{"x": recalled(true, 5, 5)},
			revision:  5,
		},
	} {
		t.Run(name, func(t *testing.T) {
			selector := newSourceSelector([]hingeids.HostID{"d"}, []hingeids.HostID{"a", "b", "c"})
			next, ready := selector.evaluateRecall(c.responses)
			if next.Revision != c.revision || ready != c.ready {
				t.Errorf("revision %d, ready %v", next.Revision, ready)
			}
		})
	}
}

// measurePropagation limits the latency of changes, the heap of a host and the
// traffic of the busiest host, at 14,000 changes per day.
func measurePropagation(t *testing.T, hosts, changes int, limit time.Duration) {
	withCluster(t, hosts, func(c *cluster) {
		c.waitForRevision(c.change(), c.peers, 5*time.Second)
		c.mu.Lock()
		clear(c.calls)
		clear(c.bytes)
		c.mu.Unlock()
		start := time.Now()
		var all []time.Duration
		for range changes {
			all = append(all, c.waitForRevision(c.change(), c.peers, 5*time.Second)...)
			time.Sleep(24 * time.Hour / 14000)
		}
		seconds := time.Since(start).Seconds()
		slices.Sort(all)
		p99 := all[len(all)*99/100]
		var memory runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&memory)
		heap := memory.HeapAlloc / uint64(hosts)
		c.mu.Lock()
		defer c.mu.Unlock()
		mostBytes, mostCalls, sum := 0, 0, 0
		for h, b := range c.bytes {
			mostBytes = max(mostBytes, b)
			mostCalls = max(mostCalls, c.calls[h])
			sum += b
		}
		t.Logf("%d members: p99 %v, max %v; busiest member %.0f bytes/s, %.1f messages/s; mean %.0f bytes/s; heap %d bytes a member",
			hosts, p99, all[len(all)-1], float64(mostBytes)/seconds, float64(mostCalls)/seconds,
			float64(sum)/seconds/float64(hosts), heap)
		if p99 > limit {
			t.Errorf("p99 is %v, the limit %v", p99, limit)
		}
		if heap > 4<<20 {
			t.Errorf("%d bytes of heap a member", heap)
		}
		if perSecond := float64(mostBytes) / seconds; perSecond > 29<<10 {
			t.Errorf("the busiest member has %.0f bytes/s", perSecond)
		}
	})
}

func TestPropagationToSevenHosts(t *testing.T) {
	measurePropagation(t, 7, 50, 500*time.Millisecond)
}

func TestPropagationToManyHosts(t *testing.T) {
	measurePropagation(t, 560, 4, 3*time.Second)
}
