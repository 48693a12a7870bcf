package hingefollow

import (
	"testing"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/membership/hingeannounce"
)

// Guards against a server that ended while no control host ran and that entry hosts then use for good, as no control host knows of it; also if
// its control host doesn't come back.
func TestServerThatEndedWithAllControlHostsIsNotUsed(t *testing.T) {
	for _, owner := range []hingeids.HostID{"control-1", "control-2", "control-lost"} {
		withCluster(t, func(t *testing.T, x *cluster) {
			_, d := x.startFollower("entry-1", "control-1")
			time.Sleep(3 * time.Second)
			x.hosts["control-1"].source.Merge(time.Now(), []hingeannounce.Record{
				{
					Announcement: announcement("server-1"),
					Owner:        owner,
				},
			})
			time.Sleep(3 * time.Second)
			if !d.uses("server-1") {
				t.Fatal("the server isn't used")
			}
			for _, id := range []hingeids.HostID{"control-1", "control-2"} {
				x.network.Remove(id)
			}
			time.Sleep(time.Second)
			x.startControlHosts()
			for range 60 {
				time.Sleep(250 * time.Millisecond)
				for _, c := range x.hosts {
					c.source.RemoveExpired(time.Now())
				}
			}
			if d.uses("server-1") {
				t.Errorf("owner %s: the server is used 15 s after all control hosts were restarted", owner)
			}
		})
	}
}

// Guards against a failed return of records that nobody sees, or that is reported as a configuration that wasn't fetched.
func TestFailedReturnIsReported(t *testing.T) {
	withCluster(t, func(t *testing.T, x *cluster) {
		fetches, returns := 0, 0
		f := New(Settings{
			Self:      "entry-1",
			EntryHost: true,
			Clock:     time.Now,
			OnFetchError: func(hingeids.HostID, error) {
				fetches++
			},
			OnReturnError: func(hingeids.HostID, error) {
				returns++
			},
		}, x.network.Link("entry-1"), nil)
		f.returnRecords(x.ctx, "control-lost", []hingeannounce.Record{
			{
				Announcement: announcement("server-1"),
				Owner:        "control-1",
			},
		})
		if fetches != 0 || returns != 1 {
			t.Errorf("%d failed fetches and %d failed returns were reported, want 0 and 1", fetches, returns)
		}
	})
}

// startControlHosts restarts the control hosts of a cluster, and has them follow each other.
func (x *cluster) startControlHosts() {
	for _, id := range []hingeids.HostID{"control-1", "control-2"} {
		x.start(id, 2)
	}
	for id, other := range map[hingeids.HostID]hingeids.HostID{
		"control-1": "control-2",
		"control-2": "control-1",
	} {
		source := x.hosts[id].source
		f := New(Settings{
			Self:      id,
			Clock:     time.Now,
			OnRecords: source.Merge,
			Holds:     source.Holds,
		}, x.links[id], []hingeids.HostID{other})
		x.followers = append(x.followers, f)
		go func() {
			_ = f.Run(x.ctx)
		}()
	}
}

func (d *directory) uses(id hingeids.ServerID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range d.records.Since(0) {
		if r.Announcement.Server == id {
			return r.Usable()
		}
	}
	return false
}
