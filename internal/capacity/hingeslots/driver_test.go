package hingeslots

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
	"github.com/swifthinge/swifthinge/internal/link/hingefake"
)

type emptyEngines struct{}

func (emptyEngines) Held(context.Context, hingeids.ServerID) ([]hingeids.RequestID, error) {
	return nil, nil
}

// Guards against errors of the driver: two hosts share an engine of two slots, and
// a request that times out is reported as not run.
func TestDriversShareAnEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := hingefake.NewNetwork()
		hosts := []hingeids.HostID{"a", "b"}
		ctx, cancel := context.WithCancel(t.Context())
		group, ctx := errgroup.WithContext(ctx)
		all := make(map[hingeids.HostID]*Slots)
		for _, h := range hosts {
			s := New(Config{
				Instance: hingeids.Instance{
					Host:        h,
					Incarnation: 1,
				},
				Hosts:   hosts,
				Link:    network.Link(h),
				Engines: emptyEngines{},
			})
			all[h] = s
			s.SetEngines([]Engine{{
				ID:          "engine-0",
				Incarnation: 1,
				Slots:       2,
			}})
			s.SetView(View{
				Alive: hosts,
				Recorded: map[hingeids.HostID]hingeids.Incarnation{
					"a": 1,
					"b": 1,
				},
				LeaseUntil: time.Now().Add(time.Hour),
			})
			group.Go(func() error {
				return s.Run(ctx)
			})
		}
		request := func(h hingeids.HostID, n uint64) hingeids.RequestID {
			return hingeids.RequestID{
				Instance: hingeids.Instance{
					Host:        h,
					Incarnation: 1,
				},
				Sequence: n,
			}
		}
		for _, h := range hosts {
			if _, err := all[h].Acquire(ctx, []hingeids.ServerID{"engine-0"}, request(h, 1), 0); err != nil {
				t.Fatal(err)
			}
		}
		shortCtx, cancelShort := context.WithTimeout(ctx, 200*time.Millisecond)
		defer cancelShort()
		_, err := all["a"].Acquire(shortCtx, []hingeids.ServerID{"engine-0"}, request("a", 2), 0)
		if diff := cmp.Diff(hingeverdict.NotRun, hingeverdict.Of(err)); diff != "" {
			t.Error(diff)
		}
		group.Go(func() error {
			_, err := all["b"].Acquire(ctx, []hingeids.ServerID{"engine-0"}, request("b", 3), 0)
			return err
		})
		time.Sleep(50 * time.Millisecond)
		all["a"].Release(request("a", 1))
		time.Sleep(50 * time.Millisecond)
		cancel()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
}
