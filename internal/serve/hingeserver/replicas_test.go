package hingeserver

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
	"github.com/swifthinge/swifthinge/internal/membership/hingeannounce"
)

// Guards against calls to a replica that has refused one and asked this host for a pause, and against callers that
// aren't told when the first of several is over.
func TestReplicaInPauseIsNotChosen(t *testing.T) {
	var list []hingeannounce.Server
	for _, id := range []hingeids.ServerID{"app-1", "app-2"} {
		var s hingeannounce.Server
		s.Server = id
		list = append(list, s)
	}
	start := time.Unix(1000, 0)
	at := func(seconds int) time.Time {
		return start.Add(time.Duration(seconds) * time.Second)
	}
	refused := func(after time.Duration) error {
		return hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeServerRefused, after, nil)
	}
	type choice struct {
		Servers []hingeids.ServerID
		Wait    time.Duration
	}
	var b backoffs
	accepting := func(now time.Time) choice {
		servers, wait := b.accepting(now, list)
		out := choice{
			Wait: wait,
		}
		for _, s := range servers {
			out.Servers = append(out.Servers, s.Server)
		}
		return out
	}
	var got []choice
	b.record(at(0), "app-1", refused(0))
	got = append(got, accepting(at(0)))
	b.record(at(0), "app-1", refused(5*time.Second))
	got = append(got, accepting(at(1)))
	b.record(at(1), "app-2", refused(2*time.Second))
	got = append(got, accepting(at(2)), accepting(at(3)), accepting(at(5)))
	want := []choice{
		{
			Servers: []hingeids.ServerID{"app-1", "app-2"},
		},
		{
			Servers: []hingeids.ServerID{"app-2"},
		},
		{
			Wait: time.Second,
		},
		{
			Servers: []hingeids.ServerID{"app-2"},
		},
		{
			Servers: []hingeids.ServerID{"app-1", "app-2"},
		},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatal(diff)
	}
}
