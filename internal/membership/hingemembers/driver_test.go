package hingemembers

import (
	"context"
	"testing"
	"time"

	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/link/hingefake"
)

// A server announced to one of three hosts must become usable at all, a host declared
// ended must get a new instance, and no goroutine may be left.
func TestDriversFindEachOther(t *testing.T) {
	defer goleak.VerifyNone(t)
	network := hingefake.NewNetwork()
	names := []hingeids.HostID{"a", "b", "c"}
	var peers []Peer
	for _, n := range names {
		peers = append(peers, Peer{
			Host:  n,
			Zone:  "zone-0",
			Voter: true,
		})
	}
	ctx, cancel := context.WithCancel(t.Context())
	group, ctx := errgroup.WithContext(ctx)
	declaredEnded := make(chan hingeids.Instance, 1)
	all := make(map[hingeids.HostID]*Members)
	registry := make(Registry)
	for _, n := range names {
		m := New(Config{
			StateConfig: StateConfig{
				Instance: hingeids.Instance{
					Host:        n,
					Incarnation: 1,
				},
				Zone:  "zone-0",
				Voter: true,
				Peers: peers,
			},
			Link: network.Link(n),
			OnDeclaredEnded: func(ended hingeids.Instance) {
				declaredEnded <- ended
			},
		})
		all[n] = m
		registry[n] = RegistryEntry{
			Incarnation: 1,
		}
		group.Go(func() error {
			return m.Run(ctx)
		})
	}
	for _, m := range all {
		m.SetRegistry(registry)
	}
	all["a"].Announce(announcement(1))
	for _, m := range all {
		waitFor(t, m, func(v *View) bool {
			_, usable := m.Servers().Load().Find("engine-1")
			return len(v.Alive("zone-0")) == 3 && usable && v.LeaseUntil.After(time.Now())
		})
	}
	ended := Registry{
		"a": RegistryEntry{
			Incarnation: 1,
			Ended:       true,
		},
	}
	all["a"].SetRegistry(ended)
	<-declaredEnded
	waitFor(t, all["b"], func(v *View) bool {
		h, _ := v.Find("a")
		return h.Instance.Incarnation > 1 && h.State == Alive
	})
	cancel()
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
}

// The wait is limited only by the test binary's timeout.
func waitFor(t *testing.T, m *Members, ready func(v *View) bool) {
	t.Helper()
	for {
		changed := m.Hosts().Changed()
		if ready(m.Hosts().Load()) {
			return
		}
		select {
		case <-changed:
		case <-t.Context().Done():
			t.Fatal("test ended before the condition was met")
		}
	}
}
