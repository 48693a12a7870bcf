package hingespread

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/agreement/hingeconfig"
	"github.com/swifthinge/swifthinge/internal/agreement/hingegroup"
	"github.com/swifthinge/swifthinge/internal/core/hingefolder"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
	"github.com/swifthinge/swifthinge/internal/link/hingefake"
	"github.com/swifthinge/swifthinge/internal/link/hingelink"
)

type process struct {
	peer       Peer
	replicator *Replicator
	group      *hingegroup.Group
	machine    *hingeconfig.Machine
	stop       context.CancelFunc
	running    sync.WaitGroup
}

// cluster runs under a fake clock. Its links have a delay of a millisecond, and zones
// can be cut off without an error on either side.
type cluster struct {
	t       testing.TB
	network *hingefake.Network
	peers   []Peer
	disks   []hingeids.HostID
	folder  string
	starts  uint64
	changes int

	mu        sync.Mutex
	processes map[hingeids.HostID]*process
	cutOff    map[hingeids.Zone]bool
	calls     map[hingeids.HostID]int
	bytes     map[hingeids.HostID]int
}

// The cluster has three zones. The first host of each has a disk.
func newCluster(t testing.TB, hosts int) *cluster {
	c := &cluster{
		t:         t,
		network:   hingefake.NewNetwork(),
		folder:    t.TempDir(),
		processes: make(map[hingeids.HostID]*process),
		cutOff:    make(map[hingeids.Zone]bool),
		calls:     make(map[hingeids.HostID]int),
		bytes:     make(map[hingeids.HostID]int),
	}
	zones := []hingeids.Zone{"cancale", "roscoff", "quiberon"}
	for i := range hosts {
		z := zones[i%3]
		p := Peer{
			Host:    hingeids.HostID(fmt.Sprintf("%s-%d", z, i/3+1)),
			Zone:    z,
			HasDisk: i < 3,
		}
		c.peers = append(c.peers, p)
		if p.HasDisk {
			c.disks = append(c.disks, p.Host)
		}
	}
	for _, p := range c.peers {
		c.start(p)
	}
	time.Sleep(4 * time.Second)
	return c
}

func (c *cluster) start(p Peer) {
	c.starts++
	x := &process{
		peer: p,
	}
	link := &simLink{
		Link:    c.network.Link(p.Host),
		cluster: c,
		zone:    p.Zone,
	}
	ctx, stop := context.WithCancel(context.Background())
	x.stop = stop
	var origin Origin
	if p.HasDisk {
		x.openGroup(c, link)
		origin = DiskOrigin{
			Group:   x.group,
			Machine: x.machine,
		}
		x.running.Go(func() {
			if err := x.group.Run(ctx); err != nil {
				c.t.Error(p.Host, err)
			}
		})
	}
	x.replicator = New(Settings{
		Self: hingeids.Instance{
			Host:        p.Host,
			Incarnation: hingeids.Incarnation(c.starts),
		},
		Zone:  p.Zone,
		Peers: c.peers,
		Clock: time.Now,
	}, link, origin)
	x.running.Go(func() {
		_ = x.replicator.Run(ctx)
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.processes[p.Host] = x
}

func (x *process) openGroup(c *cluster, link hingelink.Link) {
	files, err := hingefolder.Open(c.folder + "/" + string(x.peer.Host))
	if err != nil {
		c.t.Fatal(err)
	}
	x.machine = hingeconfig.New()
	x.group, err = hingegroup.New(hingegroup.Settings{
		Name:  "config",
		Self:  x.peer.Host,
		Hosts: c.disks,
		Clock: time.Now,
		Seed:  c.starts,
	}, link, files, x.machine)
	if err != nil {
		c.t.Fatal(err)
	}
}

func (c *cluster) kill(h hingeids.HostID) Peer {
	x := c.process(h)
	c.mu.Lock()
	delete(c.processes, h)
	c.mu.Unlock()
	c.network.Remove(h)
	x.stop()
	x.running.Wait()
	return x.peer
}

func (c *cluster) stopAll() {
	for _, p := range c.peers {
		if c.process(p.Host) != nil {
			c.kill(p.Host)
		}
	}
}

func (c *cluster) process(h hingeids.HostID) *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.processes[h]
}

func (c *cluster) cut(z hingeids.Zone, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cutOff[z] = cut
}

func (c *cluster) leader() *process {
	for _, h := range c.disks {
		x := c.process(h)
		if x == nil {
			continue
		}
		if _, leads := x.group.Leading(time.Now()); leads {
			return x
		}
	}
	return nil
}

// change retries until the change is accepted.
func (c *cluster) change() hingeids.Revision {
	for range 100 {
		l := c.leader()
		if l == nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		c.changes++
		proposal := hingeconfig.Change{
			ID:       hingeconfig.ChangeID(fmt.Sprint(c.changes)),
			Expected: l.machine.Views().Load().Revision,
			Operator: "yann",
			Puts: map[hingeconfig.Path][]byte{
				hingeconfig.Path(fmt.Sprint("servers/engine-", c.changes%40)): make([]byte, 300),
			},
		}
		b, err := l.group.Propose(context.Background(), proposal.Encode())
		if err != nil {
			continue
		}
		a, err := hingeconfig.DecodeAnswer(b)
		if err == nil && a.Result == hingeconfig.Accepted {
			return a.Revision
		}
	}
	c.t.Fatal("no change was accepted")
	return 0
}

func (c *cluster) state(h hingeids.HostID) State {
	return *c.process(h).replicator.Applied().Load()
}

// Zones can be partitioned without an error.
type simLink struct {
	hingelink.Link
	cluster *cluster
	zone    hingeids.Zone
}

const linkDelay = time.Millisecond

func (l *simLink) reachable(to hingeids.HostID) bool {
	w := l.cluster
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.processes[to]
	if p == nil {
		return false
	}
	return p.peer.Zone == l.zone || !w.cutOff[p.peer.Zone] && !w.cutOff[l.zone]
}

func (l *simLink) count(to hingeids.HostID, n int) {
	w := l.cluster
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls[l.Self()]++
	w.calls[to]++
	w.bytes[l.Self()] += n
	w.bytes[to] += n
}

// Call blocks until the context is done if the peer is unreachable, like a connection
// to a host that failed silently.
func (l *simLink) Call(
	ctx context.Context, to hingeids.HostID, m hingelink.Method, body []byte,
) ([]byte, error) {
	l.count(to, len(body))
	if !l.reachable(to) {
		<-ctx.Done()
		return nil, hingeverdict.New(hingeverdict.MayHaveRun, hingeverdict.CodeLinkDown, 0, ctx.Err())
	}
	time.Sleep(linkDelay)
	b, err := l.Link.Call(ctx, to, m, body)
	time.Sleep(linkDelay)
	l.count(to, len(b))
	if !l.reachable(to) {
		<-ctx.Done()
		err = eris.New("link was cut off during the call")
	}
	return b, err
}

func (l *simLink) Send(to hingeids.HostID, m hingelink.Method, body []byte) {
	l.count(to, len(body))
	time.AfterFunc(linkDelay, func() {
		if l.reachable(to) {
			l.Link.Send(to, m, body)
		}
	})
}
