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

// An engine ends, with or without a word, and starts again under the id that it had. Words of both lives are
// held up and come in any order, at one host or through another. If the new life were taken
// for the old one, callers would be refused while a good engine stands idle; if
// the old one came back, their requests would be sent to a process that is gone.
func TestLivesOfOneServerAreToldApart(t *testing.T) {
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
			playLives(t, steps)
		})
	}
}

// playLives plays lines of "hear LIFE SEQUENCE [leaving]", "told LIFE SEQUENCE [leaving]" (by another host),
// "leave LIFE" (0 if it doesn't say it), "pass MS" and "is LIFE usable|gone".
func playLives(t *testing.T, steps string) {
	d := NewDirectory("control-1")
	now := began
	for line := range strings.Lines(steps) {
		words := strings.Fields(line)
		number := func(i int) uint64 {
			n, err := strconv.ParseUint(words[i], 10, 64)
			if err != nil {
				t.Fatalf("%q: %v", line, err)
			}
			return n
		}
		said := func() Announcement {
			a := beat("engine", number(2))
			a.Incarnation = hingeids.Incarnation(number(1))
			a.Leaving = len(words) > 3
			return a
		}
		switch words[0] {
		case "hear":
			d.Hear(now, said())
		case "told":
			d.Merge(now, Record{
				Announcement: said(),
				Owner:        "control-2",
			})
		case "leave":
			d.Leave(now, "engine", hingeids.Incarnation(number(1)))
		case "pass":
			now = now.Add(time.Duration(number(1)) * time.Millisecond)
			d.Step(now)
		case "is":
			held := d.Since(0)[0]
			got := fmt.Sprintf("is %d %s", held.Announcement.Incarnation, standing(held))
			if diff := cmp.Diff(strings.TrimSpace(line), got); diff != "" {
				t.Fatal(diff)
			}
		default:
			t.Fatalf("%q isn't known", line)
		}
	}
}

func standing(r Record) string {
	if r.Usable() {
		return "usable"
	}
	return "gone"
}

// A server falls silent for seconds now and then. After it has started again it doesn't: what was learned of
// the earlier life's rhythm would keep a dead engine in use for seconds.
func TestRhythmOfAnEarlierLifeIsForgotten(t *testing.T) {
	d := NewDirectory("control-1")
	now := began
	for i := range uint64(20) {
		now = now.Add(5 * time.Second)
		d.Hear(now, beat("engine", i))
	}
	reborn := beat("engine", 1)
	reborn.Incarnation = 2
	d.Hear(now, reborn)
	d.Step(now.Add(goneAfter*leastSilence + time.Millisecond))
	if usable(d)["engine"] {
		t.Fatal("the new life is given the silence of the old one")
	}
}
