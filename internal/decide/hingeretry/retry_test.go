package hingeretry

import (
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
)

var (
	start    = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	verdicts = map[string]hingeverdict.Verdict{
		"notRun":     hingeverdict.NotRun,
		"mayHaveRun": hingeverdict.MayHaveRun,
		"ran":        hingeverdict.Ran,
	}
	actions = []string{"answer", "resume", "transfer", "repeat"}
)

// Each line of the file is a failure with the expected action and verdict. A wrong action or verdict
// may cause a request to run twice or not at all.
func TestDecide(t *testing.T) {
	data, err := os.ReadFile("testdata/decide.txt")
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range strings.Split(string(data), "\n") {
		if line == "" || line[0] == '#' {
			continue
		}
		in, want, _ := strings.Cut(line, " -> ")
		f, b := parseFailure(t, in)
		d := Decide(start, f, b)
		got := actions[d.Action]
		if d.Action == ReturnError {
			got += " " + d.Err.Verdict.String()
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%s: %s", in, diff)
		}
	}
}

func parseFailure(t *testing.T, line string) (Failure, *Budget) {
	words := strings.Fields(line)
	b := NewBudget(start)
	f := Failure{
		Err:            hingeverdict.New(verdicts[words[0]], hingeverdict.CodeServerFailed, 0, nil),
		EarlierVerdict: verdicts[words[1]],
		Attempts:       1,
		ExtraMessages:  1,
		SentTokens:     17,
		TransferTime:   200 * time.Millisecond,
		RetryTime:      10 * time.Second,
		Deadline:       start.Add(time.Minute),
	}
	for _, w := range words[2:] {
		name, value, _ := strings.Cut(w, "=")
		n, _ := strconv.Atoi(value)
		d, _ := time.ParseDuration(value)
		switch name {
		case "neverRepeat":
			f.NeverRepeat = true
		case "sameLife":
			f.SameInstance = true
		case "arrivals":
			f.ExtraMessages = n
		case "resumes":
			f.Resumes = n
		case "attempts":
			f.Attempts = n
		case "cache":
			f.CacheUntil = start.Add(d)
		case "deadline":
			f.Deadline = start.Add(d)
		case "noBudget":
			b.tokens = 0
		default:
			t.Fatalf("unknown word %q in a test case", w)
		}
	}
	return f, b
}

// A request marked NeverRepeat must be retried only if none of its attempts can have run, and only
// then may its caller get the verdict NotRun.
func TestNeverRepeatedUnlessNotRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drawVerdict := func(name string) hingeverdict.Verdict {
			return hingeverdict.Verdict(rapid.IntRange(0, 2).Draw(t, name))
		}
		f := Failure{
			Err:            hingeverdict.New(drawVerdict("now"), hingeverdict.CodeServerFailed, 0, nil),
			EarlierVerdict: drawVerdict("before"),
			Attempts:       rapid.IntRange(1, 4).Draw(t, "attempts"),
			NeverRepeat:    true,
			Deadline:       start.Add(time.Duration(rapid.IntRange(-1, 60).Draw(t, "deadline")) * time.Second),
			CacheUntil:     start.Add(time.Duration(rapid.IntRange(-1, 1).Draw(t, "cache")) * time.Second),
		}
		notRun := f.EarlierVerdict == hingeverdict.NotRun && f.Err.Verdict == hingeverdict.NotRun
		d := Decide(start, f, NewBudget(start))
		if d.Action != ReturnError && !notRun {
			t.Fatalf("verdict %v after %v: action %s, want answer", f.Err.Verdict, f.EarlierVerdict, actions[d.Action])
		}
		if d.Action == ReturnError && d.Err.Verdict == hingeverdict.NotRun && !notRun {
			t.Fatal("the verdict is NotRun although an attempt may have run")
		}
	})
}

// Hedges must remain a small share of the requests when engines fail, or they overload the
// remaining engines.
func TestHedgesStayWithinTheBudget(t *testing.T) {
	b := NewBudget(start)
	hedges := 0
	for range 1000 {
		b.RecordRequest()
		if Hedge(start.Add(time.Second), PendingRequest{
			SentAt:           start,
			Expected:         100 * time.Millisecond,
			FirstTokenTarget: start.Add(time.Minute),
		}, b) {
			hedges++
		}
	}
	if hedges < 90 || hedges > 111 {
		t.Fatalf("%d hedges for 1000 requests, want 90 to 111", hedges)
	}
}
