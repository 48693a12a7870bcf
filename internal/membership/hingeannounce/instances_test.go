package hingeannounce

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// An engine restarts under the same ID, and announcements of both incarnations arrive
// in any order. The new one must be usable and the old one not.
func TestInstancesOfOneServerAreDistinguished(t *testing.T) {
	data, err := os.ReadFile("testdata/lives.txt")
	if err != nil {
		t.Fatal(err)
	}
	for block := range strings.SplitSeq(string(data), "\n\n") {
		title, steps, ok := strings.Cut(strings.TrimSpace(block), "\n")
		if !ok {
			continue
		}
		t.Run(title, func(t *testing.T) {
			runScript(t, steps)
		})
	}
}

// runScript runs the steps of a script, one on each line:
//
//	hear INCARNATION SEQUENCE [leaving]  an announcement from the server
//	told INCARNATION SEQUENCE [leaving]  a record from another host
//	leave INCARNATION                    the server leaves; 0 if it sent no incarnation
//	pass MS                              time passes
//	is INCARNATION usable|gone           checks the record
func runScript(t *testing.T, steps string) {
	d := NewDirectory("control-1")
	now := startTime
	for line := range strings.Lines(steps) {
		words := strings.Fields(line)
		number := func(i int) uint64 {
			n, err := strconv.ParseUint(words[i], 10, 64)
			if err != nil {
				t.Fatalf("%q: %v", line, err)
			}
			return n
		}
		announced := func() Announcement {
			a := heartbeat("engine", number(2))
			a.Incarnation = hingeids.Incarnation(number(1))
			a.Leaving = len(words) > 3
			return a
		}
		switch words[0] {
		case "hear":
			d.Receive(now, announced())
		case "told":
			d.Merge(now, Record{
				Announcement: announced(),
				Owner:        "control-2",
			})
		case "leave":
			d.MarkLeaving(now, "engine", hingeids.Incarnation(number(1)))
		case "pass":
			now = now.Add(time.Duration(number(1)) * time.Millisecond)
			d.Step(now)
		case "is":
			record := d.Since(0)[0]
			got := fmt.Sprintf("is %d %s", record.Announcement.Incarnation, usability(record))
			if diff := cmp.Diff(strings.TrimSpace(line), got); diff != "" {
				t.Fatal(diff)
			}
		default:
			t.Fatalf("%q: unknown command", line)
		}
	}
}

func usability(r Record) string {
	if r.Usable() {
		return "usable"
	}
	return "gone"
}

// A restarted server must not inherit the long heartbeat intervals of its previous
// incarnation, or a dead engine would stay in use for seconds.
func TestIntervalsOfAnEarlierInstanceAreDropped(t *testing.T) {
	d := NewDirectory("control-1")
	now := startTime
	for i := range uint64(20) {
		now = now.Add(5 * time.Second)
		d.Receive(now, heartbeat("engine", i))
	}
	restarted := heartbeat("engine", 1)
	restarted.Incarnation = 2
	d.Receive(now, restarted)
	d.Step(now.Add(deadFactor*minSilenceBound + time.Millisecond))
	if usable(d)["engine"] {
		t.Fatal("the new incarnation is permitted the silence of the old one")
	}
}
