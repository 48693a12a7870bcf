package hingefollow

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/agreement/hingeversion"
	"github.com/swifthinge/swifthinge/internal/core/hingeboard"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/decide/hingepoison"
	"github.com/swifthinge/swifthinge/internal/link/hingefake"
	"github.com/swifthinge/swifthinge/internal/membership/hingeannounce"
)

// origin is what a control host of the test knows of the group.
type origin struct {
	documents hingeboard.Cell[hingeversion.Document]
	poisons   hingeboard.Cell[hingepoison.List]
	mu        sync.Mutex
	standing  Standing
	// alone says that no leader can be asked.
	alone bool
}

func (o *origin) Documents() *hingeboard.Cell[hingeversion.Document] { return &o.documents }

func (o *origin) Poisons() *hingeboard.Cell[hingepoison.List] { return &o.poisons }

func (o *origin) Standing() Standing {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.standing
}

func (o *origin) stands(s Standing) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.standing = s
}

// directory is what a follower has heard of servers.
type directory struct {
	mu      sync.Mutex
	records *hingeannounce.Directory
	// news counts answers with news.
	news int
}

func (d *directory) took(now time.Time, records []hingeannounce.Record) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.news++
	for _, r := range records {
		d.records.Merge(now, r)
	}
}

func (d *directory) answers() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.news
}

func (d *directory) servers() map[hingeids.ServerID]bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[hingeids.ServerID]bool)
	for _, r := range d.records.Since(0) {
		out[r.Announcement.Server] = true
	}
	return out
}

func (o *origin) Read(context.Context) error {
	if o.alone {
		return eris.New("no leader")
	}
	return nil
}

func (o *origin) accept(v hingeversion.Version) {
	o.documents.Store(&hingeversion.Document{
		Version: v,
		Body:    []byte{byte(v)},
	})
}

// control is a control host.
type control struct {
	*origin
	source *Source
	askers []Askers
}

func (c *control) ZoneOf(hingeids.HostID) hingeids.Zone { return "" }

func (c *control) Askers() []Askers { return c.askers }

// fleet is two control hosts and what follows them, under a fake clock.
type fleet struct {
	t       *testing.T
	network *hingefake.Network
	ctx     context.Context
	stop    context.CancelFunc
	all     map[hingeids.HostID]*control
	running []*Follower
}

func inBubble(t *testing.T, f func(t *testing.T, x *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		x := &fleet{
			t:       t,
			network: hingefake.NewNetwork(),
			ctx:     ctx,
			stop:    stop,
			all:     make(map[hingeids.HostID]*control),
		}
		for _, h := range []hingeids.HostID{"control-1", "control-2"} {
			x.start(h, 1)
		}
		f(t, x)
		stop()
		for _, r := range x.running {
			<-r.Done()
		}
	})
}

// start begins a life of a control host.
func (x *fleet) start(h hingeids.HostID, life hingeids.Incarnation) *control {
	c := &control{
		origin: &origin{
			standing: Standing{
				Leader:  "control-1",
				Term:    1,
				Members: []hingeids.HostID{"control-1", "control-2"},
				InTouch: true,
			},
		},
	}
	c.documents.Store(&hingeversion.Document{})
	c.poisons.Store(&hingepoison.List{})
	c.source = NewSource(hingeids.Instance{
		Host:        h,
		Incarnation: life,
	}, c.origin, c, time.Now, x.network.Link(h))
	x.all[h] = c
	return c
}

// follow starts a follower that knows one seed.
func (x *fleet) follow(self, seed hingeids.HostID) (*Follower, *directory) {
	d := &directory{
		records: hingeannounce.NewDirectory(self),
	}
	f := New(Settings{
		Self:  self,
		Entry: true,
		Clock: time.Now,
		Took:  d.took,
	}, x.network.Link(self), []hingeids.HostID{seed})
	x.running = append(x.running, f)
	go func() {
		_ = f.Run(x.ctx)
	}()
	return f, d
}

func announcement(id hingeids.ServerID) hingeannounce.Announcement {
	return hingeannounce.Announcement{
		Server:      id,
		Incarnation: 1,
		Sequence:    1,
		Address:     "10.0.0.1:80",
	}
}

// A follower that knows one seed learns the other control host from it, and hears what
// only that one knows.
func TestFollowerFindsAllControlHosts(t *testing.T) {
	inBubble(t, func(t *testing.T, x *fleet) {
		f, d := x.follow("entry-1", "control-1")
		x.all["control-1"].accept(1)
		x.all["control-2"].source.Hear(time.Now(), announcement("engine"))
		time.Sleep(3 * time.Second)
		if got := len(d.servers()); got != 1 {
			t.Fatalf("%d servers are known", got)
		}
		s := f.State().Load()
		if !s.Ready || s.Document.Version != 1 || s.Entries != 1 {
			t.Fatalf("%+v", s)
		}
	})
}

// A change is accepted. It is in force at a follower within milliseconds, not at the
// end of the hold time.
func TestChangeComesAtOnce(t *testing.T) {
	inBubble(t, func(t *testing.T, x *fleet) {
		f, _ := x.follow("entry-1", "control-1")
		x.all["control-1"].accept(1)
		time.Sleep(5 * time.Second)
		x.all["control-1"].accept(2)
		time.Sleep(20 * time.Millisecond)
		if v := f.State().Load().Document.Version; v != 2 {
			t.Fatalf("version %d is in force", v)
		}
	})
}

// A control host is cut off from the group and has an old configuration. A process that
// starts and asks it first must not serve by that.
func TestFollowerIsNotReadyByAnOldWord(t *testing.T) {
	inBubble(t, func(t *testing.T, x *fleet) {
		cutOff := x.all["control-1"]
		cutOff.alone = true
		cutOff.stands(Standing{})
		cutOff.accept(1)
		f, _ := x.follow("entry-1", "control-1")
		time.Sleep(3 * time.Second)
		if s := f.State().Load(); s.Ready || s.Document.Version != 1 {
			t.Fatalf("%+v", s)
		}
		x.all["control-2"].accept(5)
		f.Reseed([]hingeids.HostID{"control-2"})
		time.Sleep(3 * time.Second)
		if s := f.State().Load(); !s.Ready || s.Document.Version != 5 {
			t.Fatalf("%+v", s)
		}
	})
}

// The host that sends configurations whole is cut off from the group, and goes on answering with
// what it has. The others only tell that there is a newer one, and have to send it.
func TestConfigurationComesFromAnotherHost(t *testing.T) {
	inBubble(t, func(t *testing.T, x *fleet) {
		f, _ := x.follow("entry-1", "control-1")
		for _, c := range x.all {
			c.accept(1)
		}
		time.Sleep(5 * time.Second)
		for _, h := range []hingeids.HostID{"control-1", "control-2"} {
			next := f.State().Load().Document.Version + 1
			x.all[h].accept(next)
			time.Sleep(500 * time.Millisecond)
			if v := f.State().Load().Document.Version; v != next {
				t.Fatalf("version %d is in force while %s has %d", v, h, next)
			}
			for _, c := range x.all {
				c.accept(next)
			}
			time.Sleep(3 * time.Second)
		}
	})
}

// askedBy gives the sets of so many control hosts, of which each entry host asks as many as it may, and some of them one more since they
// have just turned from one to another.
func askedBy(controls, entries, turned int) []Askers {
	out := make([]Askers, controls)
	for i := range out {
		out[i] = NewAskers()
	}
	for i := range entries {
		asked := min(mostFollowed, controls)
		if i < turned {
			asked = min(asked+1, controls)
		}
		for j := range asked {
			out[(i+j)%controls].Add(hingeids.HostID(fmt.Sprint("entry-", i)))
		}
	}
	return out
}

// Entry hosts ask three control hosts each. Counted by one of eight alone there would seem to be a third of them, and each would
// take three times its part of what they share; added up, those that have just turned to another control host would count
// more than once, and all would take less.
func TestAllEntryHostsAreCounted(t *testing.T) {
	for _, c := range []struct {
		controls int
		entries  int
		turned   int
		off      int
	}{
		{
			controls: 3,
		},
		{
			controls: 1,
			entries:  6,
		},
		{
			controls: 3,
			entries:  6,
		},
		{
			controls: 6,
			entries:  69,
			turned:   30,
			off:      1,
		},
		{
			controls: 8,
			entries:  74,
			off:      1,
		},
		{
			controls: 15,
			entries:  560,
			turned:   200,
			off:      11,
		},
	} {
		all := NewAskers()
		for _, a := range askedBy(c.controls, c.entries, c.turned) {
			all.Join(a)
		}
		if got := all.Count(); got < c.entries-c.off || got > c.entries+c.off {
			t.Errorf("%d entry hosts at %d control hosts: %d were counted", c.entries, c.controls, got)
		}
	}
	inBubble(t, func(t *testing.T, x *fleet) {
		x.all["control-1"].askers = askedBy(7, 64, 10)
		x.all["control-1"].accept(1)
		f, _ := x.follow("entry-of-its-own", "control-1")
		x.network.Remove("control-2")
		time.Sleep(5 * time.Second)
		if n := f.State().Load().Entries; n < 63 || n > 67 {
			t.Errorf("%d entry hosts, want 65", n)
		}
	})
}

// Control hosts tell each other who asks them, so that each counts all.
func TestControlHostsTellWhoAsksThem(t *testing.T) {
	inBubble(t, func(t *testing.T, x *fleet) {
		x.all["control-1"].accept(1)
		x.follow("entry-1", "control-1")
		x.follow("entry-2", "control-1")
		f := New(Settings{
			Self:  "control-3",
			Clock: time.Now,
			Took:  func(time.Time, []hingeannounce.Record) {},
		}, x.network.Link("control-3"), []hingeids.HostID{"control-1"})
		x.running = append(x.running, f)
		go func() {
			_ = f.Run(x.ctx)
		}()
		time.Sleep(6 * time.Second)
		all := NewAskers()
		for _, c := range f.State().Load().Control {
			all.Join(c.Askers)
		}
		if n := all.Count(); n != 2 {
			t.Errorf("%d entry hosts, want 2", n)
		}
	})
}

// The leader dies and a host that was behind answers first. What is in force must
// not go back.
func TestConfigurationNeverGoesBack(t *testing.T) {
	inBubble(t, func(t *testing.T, x *fleet) {
		f, _ := x.follow("entry-1", "control-1")
		x.all["control-1"].accept(7)
		time.Sleep(3 * time.Second)
		x.network.Remove("control-1")
		x.all["control-2"].accept(6)
		time.Sleep(10 * time.Second)
		if v := f.State().Load().Document.Version; v != 7 {
			t.Fatalf("version %d is in force", v)
		}
	})
}

// A control host restarts and has forgotten its servers. What it says of its new life's
// changes mustn't be taken for those of the old one, or new servers would never be heard of.
func TestRestartedControlHostIsHeardAnew(t *testing.T) {
	inBubble(t, func(t *testing.T, x *fleet) {
		_, d := x.follow("entry-1", "control-1")
		for _, id := range []hingeids.ServerID{"a", "b", "c"} {
			x.all["control-1"].source.Hear(time.Now(), announcement(id))
		}
		time.Sleep(3 * time.Second)
		next := x.start("control-1", 2)
		next.source.Hear(time.Now(), announcement("d"))
		time.Sleep(3 * time.Second)
		want := map[hingeids.ServerID]bool{
			"a": true,
			"b": true,
			"c": true,
			"d": true,
		}
		if diff := cmp.Diff(want, d.servers()); diff != "" {
			t.Fatal(diff)
		}
	})
}

// Seeds are exchanged for other hosts and the old ones are gone. They must not be
// asked for ever.
func TestGoneControlHostIsForgotten(t *testing.T) {
	inBubble(t, func(t *testing.T, x *fleet) {
		f, _ := x.follow("entry-1", "control-1")
		time.Sleep(3 * time.Second)
		x.network.Remove("control-1")
		x.all["control-2"].stands(Standing{
			Leader:  "control-2",
			Term:    2,
			Members: []hingeids.HostID{"control-2"},
			InTouch: true,
		})
		f.Reseed([]hingeids.HostID{"control-2"})
		time.Sleep(40 * time.Second)
		var got []hingeids.HostID
		for _, c := range f.State().Load().Control {
			got = append(got, c.Host)
		}
		if diff := cmp.Diff([]hingeids.HostID{"control-2"}, got); diff != "" {
			t.Fatal(diff)
		}
	})
}

// A cut ends, and a control host hears of eighty servers within a fifth of a second, one after the other. Each is news for its hundred
// followers. If it told them one by one, it would give ten thousand answers meanwhile, and have no time to place what callers ask.
func TestManyChangesAreToldTogether(t *testing.T) {
	inBubble(t, func(t *testing.T, x *fleet) {
		const followers, servers = 100, 80
		var heard []*directory
		for i := range followers {
			_, d := x.follow(hingeids.HostID(fmt.Sprint("entry-", i)), "control-1")
			heard = append(heard, d)
		}
		x.all["control-1"].accept(1)
		time.Sleep(3 * time.Second)
		before := 0
		for _, d := range heard {
			before += d.answers()
		}
		for i := range servers {
			a := announcement(hingeids.ServerID(fmt.Sprint("server-", i)))
			a.Address = fmt.Sprint("10.0.0.1:", 1000+i)
			x.all["control-1"].source.Hear(time.Now(), a)
			time.Sleep(2500 * time.Microsecond)
		}
		time.Sleep(time.Second)
		answers := -before
		for i, d := range heard {
			answers += d.answers()
			if got := len(d.servers()); got != servers {
				t.Fatalf("follower %d knows %d servers", i, got)
			}
		}
		// An answer takes 0.1 ms of a core of which half is there: a quarter of 0.2 s is 250 answers; the first and the last round come beside.
		if most := 10 * followers; answers > most {
			t.Fatalf("%d answers with news, %d at most", answers, most)
		}
	})
}

// The leader changes while servers come and go. Entry hosts ask it for places, so each millisecond until they hear of it is one of waiting.
func TestNewLeaderIsToldAtOnceWhileServersChange(t *testing.T) {
	inBubble(t, func(t *testing.T, x *fleet) {
		var all []*Follower
		for i := range 100 {
			f, _ := x.follow(hingeids.HostID(fmt.Sprint("entry-", i)), "control-1")
			all = append(all, f)
		}
		x.all["control-1"].accept(1)
		time.Sleep(3 * time.Second)
		x.all["control-1"].source.Hear(time.Now(), announcement("server"))
		time.Sleep(time.Millisecond)
		x.all["control-1"].stands(Standing{
			Leader:  "control-2",
			Term:    2,
			InTouch: true,
		})
		x.all["control-1"].source.Wake()
		time.Sleep(5 * time.Millisecond)
		for i, f := range all {
			if l := f.State().Load().Leader; l != "control-2" {
				t.Fatalf("follower %d still takes %q for the leader", i, l)
			}
		}
	})
}

// A control host with a hundred followers hears of a server. The other control hosts place requests by what they hear, and are told at once.
func TestControlHostsHearAtOnce(t *testing.T) {
	inBubble(t, func(t *testing.T, x *fleet) {
		for i := range 100 {
			x.follow(hingeids.HostID(fmt.Sprint("entry-", i)), "control-1")
		}
		d := &directory{
			records: hingeannounce.NewDirectory("control-2"),
		}
		f := New(Settings{
			Self:  "control-2",
			Clock: time.Now,
			Took:  d.took,
		}, x.network.Link("control-3"), []hingeids.HostID{"control-1"})
		x.running = append(x.running, f)
		go func() {
			_ = f.Run(x.ctx)
		}()
		x.all["control-1"].accept(1)
		time.Sleep(3 * time.Second)
		x.all["control-1"].source.Hear(time.Now(), announcement("server"))
		time.Sleep(2 * leastGather)
		if len(d.servers()) != 1 {
			t.Error("another control host hasn't heard of the server")
		}
	})
}

// A caller brings a key that this host doesn't know. Whether it was added a moment ago, only the leader can tell: a control
// host that is in touch with it sends the newer configuration, one that hears no leader can't tell, and nobody is denied on its word.
func TestNewestIsFoundOutBeforeADenial(t *testing.T) {
	inBubble(t, func(t *testing.T, x *fleet) {
		for _, c := range x.all {
			c.accept(3)
		}
		f, _ := x.follow("entry-1", "control-1")
		time.Sleep(time.Second)
		for _, c := range x.all {
			// Nobody is woken, as if the change were still on its way.
			c.documents.Load().Version = 4
		}
		if v, known := f.Newest(context.Background()); !known || v != 4 {
			t.Fatalf("version %d, known %v", v, known)
		}
		for _, c := range x.all {
			c.alone = true
		}
		time.Sleep(time.Second)
		if v, known := f.Newest(context.Background()); known {
			t.Fatalf("version %d is said to be the newest by hosts that hear no leader", v)
		}
	})
}

// Thousands of requests a second bring unknown keys. They share what was found out, or the leader would be asked by each.
func TestFindingsAreShared(t *testing.T) {
	inBubble(t, func(t *testing.T, x *fleet) {
		x.all["control-1"].accept(3)
		x.all["control-2"].accept(3)
		f, _ := x.follow("entry-1", "control-1")
		time.Sleep(time.Second)
		searches := make(map[*finding]bool)
		for range 1000 {
			searches[f.findNewest(time.Now())] = true
			time.Sleep(time.Millisecond)
		}
		if n := len(searches); n > 11 {
			t.Fatalf("%d searches in a second", n)
		}
	})
}

// A request was found that ends servers. A host that isn't told goes on sending it to them whenever it reaches nobody who places; one
// that hears an older list afterwards mustn't forget it again.
func TestListOfPoisonRequestsReachesEveryHost(t *testing.T) {
	inBubble(t, func(t *testing.T, x *fleet) {
		x.all["control-1"].accept(1)
		x.all["control-2"].accept(1)
		f, _ := x.follow("entry-1", "control-1")
		time.Sleep(3 * time.Second)
		older := (&hingepoison.List{}).With(hingepoison.Record{
			Fingerprint: 7,
		})
		newer := older.With(hingepoison.Record{
			Fingerprint: 8,
		})
		began := time.Now()
		x.all["control-2"].poisons.Store(newer)
		for len(f.State().Load().Poisons.Records) == 0 && time.Since(began) < time.Second {
			time.Sleep(time.Millisecond)
		}
		if took := time.Since(began); took > 20*time.Millisecond {
			t.Errorf("it took %v", took)
		}
		x.all["control-1"].poisons.Store(older)
		time.Sleep(3 * time.Second)
		if diff := cmp.Diff(*newer, f.State().Load().Poisons); diff != "" {
			t.Error(diff)
		}
	})
}
