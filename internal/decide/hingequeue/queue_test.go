package hingequeue

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/decide/hingebalance"
)

// Each script tells in comments how its case comes about and what callers notice. Its lines begin with milliseconds:
//
//	0 replicas a:2@cancale b:2@roscoff
//	0 ask 1..4 from cancale due 150 left 1000 [patience 1000] [priority 1] [avoid a,b]
//	30 end 1 at a answered took 28
//	30 step
//	> 2 a
//	> 3 refused
//
// Lines with > are what the step before them has to decide, in any order.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/scripts/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, f := range files {
		t.Run(strings.TrimSuffix(filepath.Base(f), ".txt"), func(t *testing.T) {
			b, err := os.ReadFile(f)
			if err != nil {
				t.Fatal(err)
			}
			(&script{
				t:     t,
				queue: New(1),
			}).run(strings.Split(string(b), "\n"))
		})
	}
}

// script runs the lines of one file.
type script struct {
	t     *testing.T
	queue *Queue
	// decided is what the last step decided, wanted what it had to, since line.
	decided []string
	wanted  []string
	line    int
}

func (s *script) run(lines []string) {
	for i, l := range lines {
		if want, ok := strings.CutPrefix(l, "> "); ok {
			s.wanted = append(s.wanted, want)
			continue
		}
		s.compare()
		s.line = i + 1
		if l == "" || strings.HasPrefix(l, "#") {
			continue
		}
		words := strings.Fields(l)
		s.do(began.Add(milliseconds(words[0])), words[1], words[2:])
	}
	s.compare()
}

func (s *script) compare() {
	s.t.Helper()
	slices.Sort(s.decided)
	slices.Sort(s.wanted)
	if diff := cmp.Diff(s.wanted, s.decided); diff != "" {
		s.t.Errorf("line %d: %s", s.line, diff)
	}
	s.decided, s.wanted = nil, nil
}

func milliseconds(word string) time.Duration {
	n, err := strconv.Atoi(word)
	if err != nil {
		panic(err)
	}
	return time.Duration(n) * time.Millisecond
}

// options reads pairs of words.
func options(words []string) map[string]string {
	out := make(map[string]string)
	for i := 0; i+1 < len(words); i += 2 {
		out[words[i]] = words[i+1]
	}
	return out
}

var outcomes = map[string]hingebalance.Outcome{
	"answered":  hingebalance.Answered,
	"full":      hingebalance.Full,
	"failed":    hingebalance.Failed,
	"unreached": hingebalance.Unreached,
	"unknown":   hingebalance.Unknown,
}

func (s *script) do(now time.Time, verb string, words []string) {
	switch verb {
	case "replicas":
		s.queue.SetReplicas(replicas(words))
	case "ask":
		for _, id := range span(words[0]) {
			s.queue.Offer(now, asked(now, id, words[1:]))
		}
	case "end":
		o := options(words[1:])
		s.queue.End(now, End{
			ID:      CallID(words[0]),
			Server:  hingeids.ServerID(o["at"]),
			Outcome: outcomes[words[3]],
			Took:    milliseconds(words[len(words)-1]),
			Zone:    "cancale",
		})
	case "step":
		for _, d := range s.queue.Step(now) {
			if d.Refused {
				s.decided = append(s.decided, fmt.Sprintf("%s refused", d.ID))
				continue
			}
			s.decided = append(s.decided, fmt.Sprintf("%s %s", d.ID, d.Server))
		}
	default:
		s.t.Fatalf("line %d: %q", s.line, verb)
	}
}

func replicas(words []string) []hingebalance.Replica {
	var out []hingebalance.Replica
	for _, w := range words {
		name, zone, _ := strings.Cut(w, "@")
		server, slots, _ := strings.Cut(name, ":")
		n, err := strconv.Atoi(slots)
		if err != nil {
			panic(err)
		}
		out = append(out, hingebalance.Replica{
			Server: hingeids.ServerID(server),
			Zone:   hingeids.Zone(zone),
			Slots:  hingeids.Slots(n),
		})
	}
	return out
}

// span gives the ids of a word like 1..4, or the word itself.
func span(word string) []CallID {
	first, last, ok := strings.Cut(word, "..")
	if !ok {
		return []CallID{CallID(word)}
	}
	var out []CallID
	from, _ := strconv.Atoi(first)
	to, _ := strconv.Atoi(last)
	for i := from; i <= to; i++ {
		out = append(out, CallID(strconv.Itoa(i)))
	}
	return out
}

func asked(now time.Time, id CallID, words []string) Want {
	o := options(words)
	w := Want{
		ID:       id,
		Zone:     hingeids.Zone(o["from"]),
		Due:      now.Add(milliseconds(o["due"])),
		Deadline: now.Add(milliseconds(o["left"])),
	}
	if p := o["patience"]; p != "" {
		w.Patience = milliseconds(p)
	}
	if p := o["priority"]; p != "" {
		w.Priority, _ = strconv.Atoi(p)
	}
	if a := o["avoid"]; a != "" {
		for _, id := range strings.Split(a, ",") {
			w.Avoid = append(w.Avoid, hingeids.ServerID(id))
		}
	}
	return w
}
