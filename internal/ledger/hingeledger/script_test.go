package hingeledger

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

var kindNames = map[Kind]string{
	Malformed:         "malformed",
	Granted:           "granted",
	InProgress:        "inProgress",
	Answered:          "answered",
	AnsweredNotStored: "answeredUnkept",
	Uncertain:         "uncertain",
	OtherBody:         "otherBody",
	Withdrawn:         "withdrawn",
	CallerFull:        "callerFull",
	Full:              "full",
	Acknowledged:      "",
}

// script executes the steps of one file on one State:
//
//	claim|release CALLER KEY BODY HOST.INCARNATION.SEQUENCE [-> OUTCOME]
//	finish CALLER KEY BODY HOST.INCARNATION.SEQUENCE ANSWER
//	over HOST INCARNATION
//	at TIME
//	restore
//
// Claims last 10 s and have a retention of one hour.
type script struct {
	state *State
	now   time.Duration
}

// The limits are small enough for a script to reach.
func scriptLimits() Limits {
	l := DefaultLimits()
	l.Entries = 4
	l.CallerEntries = 3
	l.AnswerBytes = 10
	return l
}

func (s *script) step(t *testing.T, words []string) string {
	t.Helper()
	switch words[0] {
	case "at":
		d, err := time.ParseDuration(words[1])
		if err != nil {
			t.Fatal(err)
		}
		s.now = d
		return ""
	case "restore":
		fresh := NewState(scriptLimits())
		if err := fresh.Restore(s.state.Snapshot()); err != nil {
			t.Fatal(err)
		}
		s.state = fresh
		return ""
	case "over":
		incarnation, err := strconv.ParseUint(words[2], 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		return s.apply(t, command{Verb: verbEndInstance, Instance: hingeids.Instance{
			Host: hingeids.HostID(words[1]), Incarnation: hingeids.Incarnation(incarnation),
		}})
	}
	c := command{
		Verb:  map[string]verb{"claim": verbClaim, "finish": verbFinish, "release": verbRelease}[words[0]],
		Claim: s.claim(t, words),
	}
	if c.Verb == verbFinish {
		c.Answer = []byte(words[5])
	}
	return s.apply(t, c)
}

func (s *script) claim(t *testing.T, words []string) Claim {
	t.Helper()
	request, err := hingeids.ParseRequestID(words[4])
	if err != nil {
		t.Fatal(err)
	}
	return Claim{
		Caller:    hingeids.CallerID(words[1]),
		Key:       hingeids.IdempotencyKey(words[2]),
		Digest:    DigestOf("POST", "/", []byte(words[3])),
		Request:   request,
		Until:     int64(s.now + claimDuration),
		Retention: time.Hour,
	}
}

func (s *script) apply(t *testing.T, c command) string {
	t.Helper()
	c.Time = int64(s.now)
	var o Outcome
	if err := cbor.Unmarshal(s.state.Apply(0, encode(c)), &o); err != nil {
		t.Fatal(err)
	}
	name := kindNames[o.Kind]
	switch o.Kind {
	case Answered:
		return name + " " + string(o.Answer)
	case Granted, Acknowledged:
		return name
	default:
		return name + " " + o.Holder.String()
	}
}

func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			raw, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			s := &script{state: NewState(scriptLimits())}
			for i, line := range strings.Split(string(raw), "\n") {
				if line == "" || strings.HasPrefix(line, "#") {
					continue
				}
				step, want, _ := strings.Cut(line, " -> ")
				if diff := cmp.Diff(want, s.step(t, strings.Fields(step))); diff != "" {
					t.Fatalf("%s:%d: %s\n%s", file, i+1, line, diff)
				}
			}
		})
	}
}

// Every member of a new group restores an empty snapshot, which must result in an empty
// State.
func TestEmptySnapshotRestoresEmptyState(t *testing.T) {
	s := NewState(scriptLimits())
	s.apply(&command{Verb: verbClaim, Claim: Claim{Caller: "depot", Key: "lot-7"}})
	if err := s.Restore(nil); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(NewState(scriptLimits()).Snapshot(), s.Snapshot()); diff != "" {
		t.Fatal(diff)
	}
}
