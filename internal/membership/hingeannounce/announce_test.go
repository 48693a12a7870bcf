package hingeannounce

import (
	"encoding/json"
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

var start = time.Unix(1_700_000_000, 0)

func engine(incarnation hingeids.Incarnation, sequence uint64) Announcement {
	return Announcement{
		Server:      "engine-1",
		Incarnation: incarnation,
		Sequence:    sequence,
		Kind:        Decode,
		Zone:        "roscoff",
		Address:     "127.0.0.1:9000",
		Model:       "redacteur",
		Slots:       20,
	}
}

func TestParseErrorHasReason(t *testing.T) {
	cases := map[Reason]func(a *Announcement){
		ReasonName:         func(a *Announcement) { a.Server = "" },
		ReasonIncarnation:  func(a *Announcement) { a.Incarnation = 0 },
		ReasonKind:         func(a *Announcement) { a.Kind = "oracle" },
		ReasonAddress:      func(a *Announcement) { a.Address = "engine.example:80" },
		ReasonModelService: func(a *Announcement) { a.Model = "" },
		ReasonSlots:        func(a *Announcement) { a.Slots = 0 },
		ReasonLoad:         func(a *Announcement) { a.Load.Running = -1 },
	}
	for want, corrupt := range cases {
		a := engine(1, 1)
		corrupt(&a)
		body, err := json.Marshal(a)
		if err != nil {
			t.Fatal(err)
		}
		_, err = Parse(body)
		var e *ParseError
		if !errors.As(err, &e) {
			t.Fatalf("%s: accepted, or not a ParseError: %v", want, err)
		}
		if diff := cmp.Diff(want, e.Reason); diff != "" {
			t.Error(diff)
		}
	}
}

func FuzzParse(f *testing.F) {
	body, _ := json.Marshal(engine(1, 1))
	f.Add(body)
	f.Add([]byte(`{"server":"a","incarnation":-1}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		a, err := Parse(body)
		var e *ParseError
		if err != nil && !errors.As(err, &e) {
			t.Fatalf("error is not a ParseError: %v", err)
		}
		if err == nil && a.Validate() != nil {
			t.Fatalf("accepted although Check fails: %+v", a)
		}
	})
}

// The announcements of a leaving server arrive reordered and twice. None may revive
// the server, or it would be sent requests that it rejects.
func TestLeavingIsFinalInEveryOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []Announcement
		for i := range 6 {
			a := engine(1, uint64(i))
			a.Leaving = i == 3
			all = append(all, a)
		}
		order := rapid.Permutation(append(all, all...)).Draw(t, "order")
		table := NewTable()
		left := false
		for i, a := range order {
			now := start.Add(time.Duration(i) * 50 * time.Millisecond)
			table.Apply(now, a, 0)
			left = left || a.Leaving
			if _, usable := table.View(now).Find("engine-1"); usable == left {
				t.Fatalf("after %d: left %v, usable %v", i, left, usable)
			}
		}
	})
}

// A delayed or repeated heartbeat must not revive an older incarnation or a dead server.
func TestLateAnnouncementRevivesNothing(t *testing.T) {
	table := NewTable()
	table.Apply(start, engine(1, 7), 0)
	table.Apply(start, engine(2, 1), 0)
	if got := table.Apply(start, engine(1, 8), 0); got != Stale {
		t.Errorf("older incarnation: outcome %d, want Stale", got)
	}
	later := start.Add(time.Minute)
	if got := table.Apply(later, engine(2, 1), 0); got != Stale {
		t.Errorf("repeated announcement: outcome %d, want Stale", got)
	}
	table.Apply(later, engine(2, 2), 50*time.Second)
	if _, usable := table.View(later).Find("engine-1"); usable {
		t.Error("an announcement 50 s old revived its server")
	}
	table.Apply(later, engine(2, 3), 0)
	if _, usable := table.View(later).Find("engine-1"); !usable {
		t.Error("a new heartbeat of the same incarnation did not make the server usable")
	}
}

// A server with slow and uneven heartbeats must stay usable through intervals like those
// observed before, and must still be detected as dead when it stops.
func TestSilenceBoundFollowsObservedIntervals(t *testing.T) {
	table := NewTable()
	now := start
	for i := range 40 {
		now = now.Add([]time.Duration{300 * time.Millisecond, 1900 * time.Millisecond}[i%2])
		table.Apply(now, engine(1, uint64(i+1)), 0)
	}
	s, usable := table.View(now.Add(2 * time.Second)).Find("engine-1")
	if !usable || s.Suspect {
		t.Errorf("silent for 2 s, as before: usable %v, suspect %v", usable, s.Suspect)
	}
	if _, usable := table.View(now.Add(11 * time.Second)).Find("engine-1"); usable {
		t.Error("still usable after 11 s of silence")
	}
}

func TestTombstonesAreBounded(t *testing.T) {
	table := NewTable()
	for i := range 3 * maxTombstones {
		a := engine(1, 1)
		a.Server = hingeids.ServerID(rune(0x4e00 + i))
		a.Leaving = true
		table.Apply(start.Add(time.Duration(i)*time.Millisecond), a, 0)
	}
	table.Step(start.Add(20 * time.Second))
	if got := len(table.entries); got != maxTombstones {
		t.Errorf("%d tombstones, want %d", got, maxTombstones)
	}
	table.Step(start.Add(time.Hour))
	if got := len(table.entries); got != 0 {
		t.Errorf("%d tombstones after an hour, want none", got)
	}
}
