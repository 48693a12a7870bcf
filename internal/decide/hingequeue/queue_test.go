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

// Each script is a case with a comment on its cause and effect. Its lines begin with a time in
// milliseconds:
//
//	0 replicas a:2@cancale b:2@roscoff
//	0 ask 1..4 from cancale due 150 left 1000 [patience 1000] [priority 1] [avoid a,b]
//	30 end 1 at a answered took 28
//	30 step
//	> 2 a
//	> 3 refused
//
// Lines with > are the expected decisions of the preceding step, in any order.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/scripts/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scripts found in testdata: %v", err)
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

type script struct {
	t     *testing.T
	queue *Queue
	// got holds the decisions of the last step, and want the expected ones, for the step at the
	// given line.
	got  []string
	want []string
	line int
}

func (s *script) run(lines []string) {
	for i, l := range lines {
		if want, ok := strings.CutPrefix(l, "> "); ok {
			s.want = append(s.want, want)
			continue
		}
		s.compare()
		s.line = i + 1
		if l == "" || strings.HasPrefix(l, "#") {
			continue
		}
		words := strings.Fields(l)
		s.do(start.Add(milliseconds(words[0])), words[1], words[2:])
	}
	s.compare()
}

func (s *script) compare() {
	s.t.Helper()
	slices.Sort(s.got)
	slices.Sort(s.want)
	if diff := cmp.Diff(s.want, s.got); diff != "" {
		s.t.Errorf("line %d: decisions differ (-want +got): %s", s.line, diff)
	}
	s.got, s.want = nil, nil
}

func milliseconds(word string) time.Duration {
	n, err := strconv.Atoi(word)
	if err != nil {
		panic(err)
	}
	return time.Duration(n) * time.Millisecond
}

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
	"unreached": hingebalance.ConnectFailed,
	"unknown":   hingebalance.Unknown,
}

func (s *script) do(now time.Time, command string, words []string) {
	switch command {
	case "replicas":
		s.queue.SetReplicas(replicas(words))
	case "ask":
		for _, id := range idRange(words[0]) {
			s.queue.Enqueue(now, parseRequest(now, id, words[1:]))
		}
	case "end":
		o := options(words[1:])
		s.queue.RecordCompletion(now, Completion{
			ID:      CallID(words[0]),
			Server:  hingeids.ServerID(o["at"]),
			Outcome: outcomes[words[3]],
			Elapsed: milliseconds(words[len(words)-1]),
			Zone:    "cancale",
		})
	case "step":
		for _, d := range s.queue.Step(now) {
			if d.Refused {
				s.got = append(s.got, fmt.Sprintf("%s refused", d.ID))
				continue
			}
			s.got = append(s.got, fmt.Sprintf("%s %s", d.ID, d.Server))
		}
	default:
		s.t.Fatalf("line %d: unknown command %q", s.line, command)
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

// idRange returns the ids of a range such as 1..4, or the word itself.
func idRange(word string) []CallID {
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

func parseRequest(now time.Time, id CallID, words []string) CallRequest {
	o := options(words)
	r := CallRequest{
		ID:           id,
		Zone:         hingeids.Zone(o["from"]),
		SoftDeadline: now.Add(milliseconds(o["due"])),
		Deadline:     now.Add(milliseconds(o["left"])),
	}
	if p := o["patience"]; p != "" {
		r.MaxWait = milliseconds(p)
	}
	if p := o["priority"]; p != "" {
		r.Priority, _ = strconv.Atoi(p)
	}
	if a := o["avoid"]; a != "" {
		for _, id := range strings.Split(a, ",") {
			r.Avoid = append(r.Avoid, hingeids.ServerID(id))
		}
	}
	return r
}
