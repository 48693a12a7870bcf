package hingeannounce

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

var began = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func beat(id hingeids.ServerID, sequence uint64) Announcement {
	return Announcement{
		Server:      id,
		Incarnation: 1,
		Sequence:    sequence,
		Kind:        Decode,
		Zone:        "cancale",
		Address:     "10.0.0.1:80",
	}
}

// usable gives the servers that a directory would have used.
func usable(d *Directory) map[hingeids.ServerID]bool {
	out := make(map[hingeids.ServerID]bool)
	for _, r := range d.Since(0) {
		out[r.Announcement.Server] = r.Usable()
	}
	return out
}

// Heartbeats are held up behind a cut and come after their server has left. If one
// of them revived it, requests would go to a server that is ending.
func TestLateHeartbeatDoesNotReviveALeavingServer(t *testing.T) {
	d := NewDirectory("control-1")
	d.Hear(began, beat("engine", 5))
	d.Leave(began.Add(time.Second), "engine", 0)
	d.Hear(began.Add(2*time.Second), beat("engine", 4))
	d.Hear(began.Add(2*time.Second), beat("engine", 6))
	d.Merge(began.Add(2*time.Second), Record{
		Announcement: beat("engine", 7),
		Owner:        "control-2",
	})
	want := map[hingeids.ServerID]bool{
		"engine": false,
	}
	if diff := cmp.Diff(want, usable(d)); diff != "" {
		t.Fatal(diff)
	}
}

// A server says that it leaves at a host that hasn't heard of it, since its
// heartbeats went elsewhere.
func TestLeavingIsRememberedBeforeTheFirstHeartbeat(t *testing.T) {
	d := NewDirectory("control-1")
	if !d.Leave(began, "engine", 0) {
		t.Fatal("the followers weren't told")
	}
	d.Merge(began, Record{
		Announcement: beat("engine", 3),
		Owner:        "control-2",
	})
	if usable(d)["engine"] {
		t.Fatal("a server that left is usable")
	}
}

// An engine crashes without a word. Its owner notices; a host that only heard of it
// from others must not, or every server would be silent everywhere but at one host.
func TestOnlyTheOwnerFindsSilence(t *testing.T) {
	owner, other := NewDirectory("control-1"), NewDirectory("control-2")
	owner.Hear(began, beat("engine", 1))
	for _, r := range owner.Since(0) {
		other.Merge(began, r)
	}
	late := began.Add(time.Minute)
	if other.Step(late) || !usable(other)["engine"] {
		t.Fatal("a host that isn't the owner called a server silent")
	}
	seen := other.Change()
	if !owner.Step(late) || usable(owner)["engine"] {
		t.Fatal("the owner didn't notice the silence")
	}
	for _, r := range owner.Since(0) {
		other.Merge(late, r)
	}
	if usable(other)["engine"] || len(other.Since(seen)) != 1 {
		t.Fatal("the silence wasn't told on")
	}
	// It was cut off from its owner only, and finds another one.
	if !other.Hear(late, beat("engine", 2)) || !usable(other)["engine"] {
		t.Fatal("a server that is heard again isn't usable")
	}
	for _, r := range other.Since(0) {
		owner.Merge(late, r)
	}
	if !usable(owner)["engine"] {
		t.Fatal("the old owner still calls it silent")
	}
}

// Heartbeats that change nothing stay where they are heard: told on, they would be most of what 560
// hosts say to each other.
func TestHeartbeatsAreNotToldOn(t *testing.T) {
	d := NewDirectory("control-1")
	d.Hear(began, beat("engine", 1))
	change := d.Change()
	for i := range uint64(100) {
		if d.Hear(began.Add(time.Duration(i)*time.Second), beat("engine", 2+i)) {
			t.Fatalf("heartbeat %d is told on", i)
		}
	}
	if got := d.Since(change); len(got) != 0 {
		t.Fatalf("%d records to be told", len(got))
	}
}

// Three control hosts hear servers that come, fall silent and leave, and tell each other in any
// order. If they didn't end up alike, entry hosts that ask different ones
// would send work to different servers for good.
func TestDirectoriesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []hingeids.HostID{"control-1", "control-2", "control-3"}
		var all []*Directory
		for _, n := range names {
			all = append(all, NewDirectory(n))
		}
		now, sequence := began, uint64(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
			d := all[rapid.IntRange(0, 2).Draw(t, "host")]
			id := hingeids.ServerID(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "server"))
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				d.Leave(now, id, 0)
			case 1:
				d.Step(now)
			case 2:
				for _, r := range all[rapid.IntRange(0, 2).Draw(t, "from")].Since(0) {
					d.Merge(now, r)
				}
			default:
				sequence++
				d.Hear(now, beat(id, sequence))
			}
		}
		for range 4 {
			for _, from := range all {
				for _, to := range all {
					for _, r := range from.Since(0) {
						to.Merge(now, r)
					}
				}
			}
		}
		for _, d := range all[1:] {
			if diff := cmp.Diff(usable(all[0]), usable(d)); diff != "" {
				t.Fatal(diff)
			}
		}
	})
}
