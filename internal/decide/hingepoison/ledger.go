package hingepoison

import (
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// maxKept bounds the recorded facts of each kind. The newest are kept.
const maxKept = 256

// Ledger holds the crashes and completions that one host observed (rule 2). It is not safe for concurrent use.
type Ledger struct {
	crashes     reportLog[Crash]
	completions reportLog[hingeids.Fingerprint]
	// placer is the placer that receives the reports.
	placer hingeids.HostID
}

// reportLog is a log of facts of one kind, oldest first. The placer has accepted the first reported of them.
type reportLog[T any] struct {
	facts    []fact[T]
	reported int
}

type fact[T any] struct {
	at    time.Time
	value T
}

func (s *reportLog[T]) add(now time.Time, value T) {
	s.facts = append(s.facts, fact[T]{
		at:    now,
		value: value,
	})
	s.drop(len(s.facts) - maxKept)
}

// drop removes the n oldest facts.
func (s *reportLog[T]) drop(n int) {
	if n <= 0 {
		return
	}
	s.facts = s.facts[n:]
	s.reported = max(s.reported-n, 0)
}

// unreported removes facts older than suspectTTL and returns the remaining ones that the placer hasn't accepted.
func (s *reportLog[T]) unreported(now time.Time) []fact[T] {
	expired := 0
	for expired < len(s.facts) && now.Sub(s.facts[expired].at) > suspectTTL {
		expired++
	}
	s.drop(expired)
	return s.facts[s.reported:]
}

func (s *reportLog[T]) markReported(n int) {
	s.reported = min(s.reported+n, len(s.facts))
}

// AddCrash records a crash that this host observed.
func (l *Ledger) AddCrash(now time.Time, e Crash) {
	l.crashes.add(now, e)
}

// AddCompletion records the completion of a suspected request.
func (l *Ledger) AddCompletion(now time.Time, p hingeids.Fingerprint) {
	l.completions.add(now, p)
}

// Unreported returns the facts that the placer hasn't accepted yet; that is all of them if the placer has changed.
func (l *Ledger) Unreported(now time.Time, placer hingeids.HostID) ([]Crash, []Completion) {
	if placer != l.placer {
		l.ResetReported()
		l.placer = placer
	}
	var crashes []Crash
	for _, f := range l.crashes.unreported(now) {
		e := f.value
		e.Ago += now.Sub(f.at)
		crashes = append(crashes, e)
	}
	var completions []Completion
	for _, f := range l.completions.unreported(now) {
		completions = append(completions, Completion{
			Fingerprint: f.value,
			Ago:         now.Sub(f.at),
		})
	}
	return crashes, completions
}

// MarkReported records that the placer accepted that many of the facts from Untold. It does nothing if the placer has changed since.
func (l *Ledger) MarkReported(placer hingeids.HostID, crashes, completions int) {
	if placer != l.placer {
		return
	}
	l.crashes.markReported(crashes)
	l.completions.markReported(completions)
}

// ResetReported records that the placer has lost its state, so that all facts are reported again.
func (l *Ledger) ResetReported() {
	l.crashes.reported = 0
	l.completions.reported = 0
}
