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
	"github.com/swifthinge/swifthinge/internal/agreement/hingejournal"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
	"github.com/swifthinge/swifthinge/internal/link/hingefake"
	"github.com/swifthinge/swifthinge/internal/link/hingelink"
)

// process is one entry host of the test.
type process struct {
	peer    Peer
	spread  *Spread
	group   *hingegroup.Group
	machine *hingeconfig.Machine
	stop    context.CancelFunc
	ended   sync.WaitGroup
}

// world is all entry hosts under a fake clock: a millisecond between any two,
// and zones that can be cut off so that nothing answers.
type world struct {
	t       testing.TB
	network *hingefake.Network
	peers   []Peer
	disks   []hingeids.HostID
	folder  string
	starts  uint64
	changes int

	mu     sync.Mutex
	all    map[hingeids.HostID]*process
	cutOff map[hingeids.Zone]bool
	calls  map[hingeids.HostID]int
	bytes  map[hingeids.HostID]int
}

// newWorld makes hosts over three zones; the first of each zone has a disk.
func newWorld(t testing.TB, hosts int) *world {
	w := &world{
		t:       t,
		network: hingefake.NewNetwork(),
		folder:  t.TempDir(),
		all:     make(map[hingeids.HostID]*process),
		cutOff:  make(map[hingeids.Zone]bool),
		calls:   make(map[hingeids.HostID]int),
		bytes:   make(map[hingeids.HostID]int),
	}
	zones := []hingeids.Zone{"cancale", "roscoff", "quiberon"}
	for i := range hosts {
		z := zones[i%3]
		p := Peer{
			Host: hingeids.HostID(fmt.Sprintf("%s-%d", z, i/3+1)),
			Zone: z,
			Disk: i < 3,
		}
		w.peers = append(w.peers, p)
		if p.Disk {
			w.disks = append(w.disks, p.Host)
		}
	}
	for _, p := range w.peers {
		w.start(p)
	}
	time.Sleep(4 * time.Second)
	return w
}

func (w *world) start(p Peer) {
	w.starts++
	x := &process{
		peer: p,
	}
	link := &wire{
		Link:  w.network.Link(p.Host),
		world: w,
		zone:  p.Zone,
	}
	ctx, stop := context.WithCancel(context.Background())
	x.stop = stop
	var origin Origin
	if p.Disk {
		x.openGroup(w, link)
		origin = Disk{
			Group:   x.group,
			Machine: x.machine,
		}
		x.ended.Go(func() {
			if err := x.group.Run(ctx); err != nil {
				w.t.Error(p.Host, err)
			}
		})
	}
	x.spread = New(Settings{
		Self: hingeids.Instance{
			Host:        p.Host,
			Incarnation: hingeids.Incarnation(w.starts),
		},
		Zone:  p.Zone,
		Peers: w.peers,
		Clock: time.Now,
	}, link, origin)
	x.ended.Go(func() {
		_ = x.spread.Run(ctx)
	})
	w.mu.Lock()
	defer w.mu.Unlock()
	w.all[p.Host] = x
}

func (x *process) openGroup(w *world, link hingelink.Link) {
	files, err := hingejournal.Folder(w.folder + "/" + string(x.peer.Host))
	if err != nil {
		w.t.Fatal(err)
	}
	x.machine = hingeconfig.New()
	x.group, err = hingegroup.New(hingegroup.Settings{
		Name:  "config",
		Self:  x.peer.Host,
		Hosts: w.disks,
		Clock: time.Now,
		Seed:  w.starts,
	}, link, files, x.machine)
	if err != nil {
		w.t.Fatal(err)
	}
}

func (w *world) kill(h hingeids.HostID) Peer {
	x := w.process(h)
	w.mu.Lock()
	delete(w.all, h)
	w.mu.Unlock()
	w.network.Remove(h)
	x.stop()
	x.ended.Wait()
	return x.peer
}

func (w *world) stopAll() {
	for _, p := range w.peers {
		if w.process(p.Host) != nil {
			w.kill(p.Host)
		}
	}
}

func (w *world) process(h hingeids.HostID) *process {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.all[h]
}

func (w *world) cut(z hingeids.Zone, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cutOff[z] = cut
}

func (w *world) leader() *process {
	for _, h := range w.disks {
		x := w.process(h)
		if x == nil {
			continue
		}
		if _, leads := x.group.Leading(time.Now()); leads {
			return x
		}
	}
	return nil
}

// change has one change accepted, waiting for a leader if there is none.
func (w *world) change() hingeids.Revision {
	for range 100 {
		l := w.leader()
		if l == nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		w.changes++
		c := hingeconfig.Change{
			ID:       hingeconfig.ChangeID(fmt.Sprint(w.changes)),
			Expected: l.machine.Views().Load().Revision,
			Operator: "yann",
			Puts: map[hingeconfig.Path][]byte{
				hingeconfig.Path(fmt.Sprint("servers/engine-", w.changes%40)): make([]byte, 300),
			},
		}
		b, err := l.group.Propose(context.Background(), c.Encode())
		if err != nil {
			continue
		}
		a, err := hingeconfig.DecodeAnswer(b)
		if err == nil && a.Result == hingeconfig.Accepted {
			return a.Revision
		}
	}
	w.t.Fatal("no change was accepted")
	return 0
}

func (w *world) state(h hingeids.HostID) State {
	return *w.process(h).spread.Applied().Load()
}

// wire is a link with a delay, counters and silent cuts between zones.
type wire struct {
	hingelink.Link
	world *world
	zone  hingeids.Zone
}

const oneWay = time.Millisecond

func (l *wire) open(to hingeids.HostID) bool {
	w := l.world
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.all[to]
	if p == nil {
		return false
	}
	return p.peer.Zone == l.zone || !w.cutOff[p.peer.Zone] && !w.cutOff[l.zone]
}

func (l *wire) count(to hingeids.HostID, n int) {
	w := l.world
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls[l.Self()]++
	w.calls[to]++
	w.bytes[l.Self()] += n
	w.bytes[to] += n
}

// Call hangs until its time is over when there is no way: nothing says that a peer is gone.
func (l *wire) Call(
	ctx context.Context, to hingeids.HostID, m hingelink.Method, body []byte,
) ([]byte, error) {
	l.count(to, len(body))
	if !l.open(to) {
		<-ctx.Done()
		return nil, hingeverdict.New(hingeverdict.MayHaveRun, hingeverdict.CodeLinkDown, 0, ctx.Err())
	}
	time.Sleep(oneWay)
	b, err := l.Link.Call(ctx, to, m, body)
	time.Sleep(oneWay)
	l.count(to, len(b))
	if !l.open(to) {
		<-ctx.Done()
		err = eris.New("cut meanwhile")
	}
	return b, err
}

func (l *wire) Send(to hingeids.HostID, m hingelink.Method, body []byte) {
	l.count(to, len(body))
	time.AfterFunc(oneWay, func() {
		if l.open(to) {
			l.Link.Send(to, m, body)
		}
	})
}
