package hingelog

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// Runs the scripts of testdata. The first lines of each say which failure it guards
// against; each other line is a step.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/scripts/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatal("no scripts", err)
	}
	for _, f := range files {
		t.Run(strings.TrimSuffix(filepath.Base(f), ".txt"), func(t *testing.T) {
			b, err := os.ReadFile(f)
			if err != nil {
				t.Fatal(err)
			}
			s := script{
				c:      newCluster(7, "a", "b", "c"),
				copies: make(map[string]DurableState),
			}
			for i, line := range expandRepeats(string(b)) {
				if line == "" || strings.HasPrefix(line, "#") {
					continue
				}
				if err := s.do(strings.Fields(line)); err != nil {
					t.Fatalf("%s: step %d: %s: %v", f, i+1, line, err)
				}
				if s.c.violation != "" {
					t.Fatalf("%s: step %d: %s: %s", f, i+1, line, s.c.violation)
				}
			}
		})
	}
}

// The lines between "repeat N" and "end" are repeated N times.
func expandRepeats(text string) []string {
	var out, body []string
	times := 0
	for _, line := range strings.Split(text, "\n") {
		w := strings.Fields(line)
		switch {
		case len(w) == 2 && w[0] == "repeat":
			times, _ = strconv.Atoi(w[1])
			body = nil
		case line == "end":
			for range times {
				out = append(out, body...)
			}
			times = 0
		case times > 0:
			body = append(body, line)
		default:
			out = append(out, line)
		}
	}
	return out
}

type script struct {
	c *cluster
	// oldLeader, other and third are the hosts that the step "name" assigned.
	oldLeader *node
	other     *node
	third     *node
	copies    map[string]DurableState
}

func (s *script) host(name string) *node {
	switch name {
	case "old":
		return s.oldLeader
	case "other":
		return s.other
	case "third":
		return s.third
	}
	return s.c.host(hingeids.HostID(name))
}

// The names are "old" for the leader, "other" and "third" for the followers.
func (s *script) name() error {
	s.oldLeader = s.c.activeLeader()
	if s.oldLeader == nil {
		return eris.New("no member leads")
	}
	var rest []*node
	for _, n := range s.c.nodes {
		if n != s.oldLeader {
			rest = append(rest, n)
		}
	}
	s.other, s.third = rest[0], rest[1]
	return nil
}

func (s *script) do(w []string) error {
	switch w[0] {
	case "run":
		d, err := time.ParseDuration(w[1])
		s.c.run(d)
		return err
	case "name":
		return s.name()
	case "cut":
		s.c.cutLinks[[2]hingeids.HostID{s.host(w[1]).self.Host, s.host(w[2]).self.Host}] = true
	case "heal":
		clear(s.c.cutLinks)
	case "isolate":
		s.c.cutOff(s.host(w[1]))
	case "join":
		s.c.join()
	case "addHost":
		s.c.start(s.c.addNode(Member{
			Host: hingeids.HostID(w[1]),
			Disk: 1,
		}))
	case "propose":
		return s.propose(w)
	case "clear":
		clear(s.c.sent)
		s.c.messagesWithEntries = 0
		s.c.events = nil
	default:
		if strings.HasPrefix(w[0], "want") {
			return s.checkExpectation(w)
		}
		return s.doNode(s.host(w[1]), w)
	}
	return nil
}

func (s *script) doNode(n *node, w []string) error {
	switch w[0] {
	case "kill":
		s.c.kill(n)
	case "start":
		s.c.start(n)
	case "loseDisk":
		s.c.loseDisk(n)
	case "copyDisk":
		s.copies[w[1]] = n.disk
	case "restoreDisk":
		n.disk = s.copies[w[1]]
	case "freeze":
		n.frozen = true
	case "thaw":
		n.frozen = false
	case "compact":
		s.c.compact(n, 0)
	case "removeItself":
		defer s.c.processOutput(n, 0)
		return n.log.ChangeMembers(s.c.clock(n), Change{
			Kind:   Remove,
			Member: n.self,
		})
	default:
		return eris.Errorf("unknown step %s", w[0])
	}
	return nil
}

// With "refused" the host must reject the entries.
func (s *script) propose(w []string) error {
	n := s.host(w[1])
	count, err := strconv.Atoi(w[2])
	if err != nil {
		return err
	}
	for i := range count {
		if accepted := s.c.propose(n, fmt.Sprint("x", i)); accepted == (len(w) > 3 && w[3] == "refused") {
			return eris.Errorf("proposal accepted: %v", accepted)
		}
	}
	s.c.processOutput(n, 0)
	return nil
}

func (s *script) checkExpectation(w []string) error {
	switch w[0] {
	case "wantLeader":
		if l := s.c.activeLeader(); l == nil || (w[1] != "any" && l != s.host(w[1])) {
			return eris.Errorf("unexpected leader: %v", l)
		}
	case "wantNoLeader":
		if l := s.c.activeLeader(); l != nil {
			return eris.Errorf("%v leads", l.self)
		}
	case "wantNoRole":
		if n := s.host(w[1]); n.log.Status().IsLeader {
			return eris.Errorf("%v still has the leader role", n.self)
		}
	case "wantHeld":
		n, at := s.host(w[1]), w[2]
		if at == "all" {
			at = fmt.Sprint(s.c.commit)
		}
		if fmt.Sprint(n.appliedIndex) != at {
			return eris.Errorf("applied index is %d, commit index is %d", n.appliedIndex, s.c.commit)
		}
	case "wantSent":
		kinds := map[string]MessageKind{"install": InstallSnapshot, "vote": Vote, "append": Append}
		if got := s.c.sent[kinds[w[1]]]; fmt.Sprint(got) != w[2] {
			return eris.Errorf("%d messages of this kind were sent", got)
		}
	case "wantFilled":
		if fmt.Sprint(s.c.messagesWithEntries) != w[1] {
			return eris.Errorf("%d messages had entries", s.c.messagesWithEntries)
		}
	case "wantVoters":
		if got := len(s.c.members.Voters); fmt.Sprint(got) != w[1] || !s.c.fullyRepaired() {
			return eris.Errorf("unexpected members or incomplete repair: %v", s.c.members)
		}
	case "wantForgetful":
		if n := s.host(w[1]); !n.log.HasStaleDisk() {
			return eris.New("member didn't stop with StaleDisk")
		}
	case "wantTerm":
		if got := s.c.activeLeader().log.Status().Term; fmt.Sprint(got) != w[1] {
			return eris.Errorf("term is %d", got)
		}
	default:
		return eris.Errorf("unknown step %s", w[0])
	}
	return nil
}
