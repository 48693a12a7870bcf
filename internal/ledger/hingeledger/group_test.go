package hingeledger

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/swifthinge/swifthinge/internal/agreement/hingegroup"
	"github.com/swifthinge/swifthinge/internal/core/hingefolder"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/link/hingefake"
	"github.com/swifthinge/swifthinge/internal/link/hingelink"
)

type countingLink struct {
	hingelink.Link
	messages *atomic.Int64
}

func (l countingLink) Call(ctx context.Context, to hingeids.HostID, m hingelink.Method, body []byte) ([]byte, error) {
	if to != l.Self() {
		l.messages.Add(2)
	}
	return l.Link.Call(ctx, to, m, body)
}

func (l countingLink) Send(to hingeids.HostID, m hingelink.Method, body []byte) {
	if to != l.Self() {
		l.messages.Add(1)
	}
	l.Link.Send(to, m, body)
}

// realHost is an entry host with the real group and key owner on real files.
type realHost struct {
	id       hingeids.HostID
	group    *hingegroup.Group
	keyOwner *KeyOwner
	ledger   *Ledger
	stop     context.CancelFunc
}

// realHosts are one host with a disk in each zone, and one without a disk in cancale.
type realHosts struct {
	network  *hingefake.Network
	links    map[hingeids.HostID]hingelink.Link
	messages atomic.Int64
	all      []*realHost
	running  sync.WaitGroup
}

var (
	diskHosts = []hingeids.HostID{"cancale-1", "roscoff-1", "quiberon-1"}
	allHosts  = append([]hingeids.HostID{"cancale-2"}, diskHosts...)
)

func startRealHosts(t *testing.T) *realHosts {
	r := &realHosts{
		network: hingefake.NewNetwork(),
		links:   make(map[hingeids.HostID]hingelink.Link),
	}
	for _, id := range allHosts {
		r.links[id] = r.network.Link(id)
	}
	r.startAll(t)
	time.Sleep(5 * time.Second)
	return r
}

func (r *realHosts) startAll(t testing.TB) {
	for i, id := range diskHosts {
		r.start(t, id, zones[i], true)
	}
	r.start(t, "cancale-2", "cancale", false)
}

func (r *realHosts) start(t testing.TB, id hingeids.HostID, zone hingeids.Zone, disk bool) {
	link := countingLink{Link: r.links[id], messages: &r.messages}
	ctx, stop := context.WithCancel(context.Background())
	h := &realHost{id: id, stop: stop}
	c := Config{
		Zone:      zone,
		Link:      link,
		Voters:    diskHosts,
		KeyOwners: map[hingeids.Zone]hingeids.HostID{"cancale": "cancale-1", "roscoff": "roscoff-1", "quiberon": "quiberon-1"},
		Retention: func() time.Duration { return testRetention },
	}
	if disk {
		files, err := hingefolder.Open(t.TempDir())
		if err != nil {
			t.Fatal(err)
		}
		h.group, err = hingegroup.New(hingegroup.Settings{
			Name:         "ledger",
			Self:         id,
			Hosts:        diskHosts,
			Clock:        time.Now,
			Seed:         uint64(len(r.all) + 1),
			CompactAfter: 50,
		}, link, files, NewState(DefaultLimits()))
		if err != nil {
			t.Fatal(err)
		}
		h.keyOwner = openKeyOwner(t, openStore(t, t.TempDir()), time.Now())
		c.Group, c.KeyOwner = h.group, h.keyOwner
		r.running.Go(func() { _ = h.group.Run(ctx) })
		r.running.Go(func() { _ = h.keyOwner.Run(ctx) })
	}
	h.ledger = New(c)
	r.all = append(r.all, h)
}

func (r *realHosts) kill(id hingeids.HostID) {
	r.network.Remove(id)
	for i, h := range r.all {
		if h.id == id {
			h.stop()
			r.all = append(r.all[:i:i], r.all[i+1:]...)
			return
		}
	}
}

func (r *realHosts) stopAll() {
	for _, h := range r.all {
		h.stop()
	}
	r.running.Wait()
}

func (r *realHosts) syncs() (n int64) {
	for _, h := range r.all {
		if h.group != nil {
			n += h.group.Status().Journal.Syncs + h.keyOwner.syncs.Load()
		}
	}
	return n
}

func realClaim(h *realHost, key hingeids.IdempotencyKey, sequence uint64) (Outcome, error) {
	return h.ledger.Claim(context.Background(), Claim{
		Caller:  "depot",
		Key:     key,
		Request: hingeids.RequestID{Instance: hingeids.Instance{Host: h.id, Incarnation: 1}, Sequence: sequence},
		Until:   time.Now().Add(claimDuration).UnixNano(),
	})
}

// Every entry host claims each key at the same time while a voter is lost. At most
// one claim per key may be granted, and the remaining voters must grant keys again.
func TestAtMostOneConcurrentAttemptIsGranted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := startRealHosts(t)
		defer r.stopAll()
		const keys = 60
		var grants [keys]atomic.Int64
		for k := range keys {
			if k == keys/3 {
				r.kill("roscoff-1")
			}
			var group sync.WaitGroup
			for i, h := range r.all {
				group.Go(func() {
					o, err := realClaim(h, hingeids.IdempotencyKey(fmt.Sprintf("lot-%d", k)), uint64(k*10+i))
					if err == nil && o.Kind == Granted {
						grants[k].Add(1)
					}
				})
			}
			group.Wait()
			time.Sleep(200 * time.Millisecond)
		}
		for k := range keys {
			n := grants[k].Load()
			if n > 1 {
				t.Errorf("key %d was granted %d times", k, n)
			}
			// The claims of the last third start 4 s after the loss of the voter.
			if n == 0 && (k < keys/3 || k >= 2*keys/3) {
				t.Errorf("key %d was not granted to any attempt", k)
			}
		}
	})
}

// Guards against additional round trips or syncs per claim.
func TestMessagesAndSyncsPerClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := startRealHosts(t)
		defer r.stopAll()
		const claims = 200
		requester := r.all[len(r.all)-1]
		prefix, err := requester.ledger.Issue(context.Background(), "depot")
		if err != nil {
			t.Fatal(err)
		}
		for _, kind := range []struct {
			name     string
			prefix   hingeids.IdempotencyKey
			messages float64
			syncs    float64
		}{
			{name: "free", prefix: "lot-", messages: 8, syncs: 3},
			{name: "issued", prefix: prefix, messages: 2, syncs: 1},
		} {
			messages, syncs := r.messages.Load(), r.syncs()
			for i := range claims {
				key := kind.prefix + hingeids.IdempotencyKey(fmt.Sprint(i))
				o, err := realClaim(requester, key, uint64(i))
				if err != nil {
					t.Fatal(err)
				}
				if diff := cmp.Diff(Granted, o.Kind); diff != "" {
					t.Fatal(diff)
				}
			}
			messagesPerClaim := float64(r.messages.Load()-messages) / claims
			syncsPerClaim := float64(r.syncs()-syncs) / claims
			t.Logf("%s key: %.2f messages, %.2f syncs per claim", kind.name, messagesPerClaim, syncsPerClaim)
			if messagesPerClaim > kind.messages*1.1 || syncsPerClaim > kind.syncs*1.1 {
				t.Errorf("%s key: more than %.0f messages or %.0f syncs per claim", kind.name, kind.messages, kind.syncs)
			}
		}
	})
}
