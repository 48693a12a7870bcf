package hingepoison

import (
	"slices"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// maxKept bounds the recorded facts of each kind. The newest are kept.
const maxKept = 256

// Ledger holds the crashes and completions that one host observed (rule 2). It is not safe for concurrent use.
type Ledger struct {
	crashes     reportLog[Crash]
	completions reportLog[hingeids.Fingerprint]
	placer      hingeids.HostID
	// answers are the recent completions that this host observed, by service.
	answers map[hingeids.Service]*completions
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

func (l *reportLog[T]) add(now time.Time, value T) {
	l.facts = append(l.facts, fact[T]{
		at:    now,
		value: value,
	})
	l.drop(len(l.facts) - maxKept)
}

func (l *reportLog[T]) drop(n int) {
	if n <= 0 {
		return
	}
	l.facts = l.facts[n:]
	l.reported = max(l.reported-n, 0)
}

// unreported removes facts older than suspectTTL and returns the remaining ones that the placer hasn't accepted.
func (l *reportLog[T]) unreported(now time.Time) []fact[T] {
	expired := 0
	for expired < len(l.facts) && now.Sub(l.facts[expired].at) > suspectTTL {
		expired++
	}
	l.drop(expired)
	return l.facts[l.reported:]
}

func (l *reportLog[T]) markReported(n int) {
	l.reported = min(l.reported+n, len(l.facts))
}

// AddCrash records a crash that this host observed, with the parts of the request that are popular by the host's own completions. A new
// placer has no completions to tell by.
func (l *Ledger) AddCrash(now time.Time, c Crash) {
	for _, fp := range c.Parts {
		if l.answers[c.Service].isPopular(now, fp) {
			c.Popular = append(c.Popular, fp)
		}
	}
	l.crashes.add(now, c)
}

// AddCompletion records the completion of a suspected request.
func (l *Ledger) AddCompletion(now time.Time, fp hingeids.Fingerprint) {
	l.completions.add(now, fp)
}

// Unreported returns the facts that the placer hasn't accepted yet; that is all of them if the placer has changed.
func (l *Ledger) Unreported(now time.Time, placer hingeids.HostID) ([]Crash, []Completion) {
	if placer != l.placer {
		l.ResetReported()
		l.placer = placer
	}
	var crashes []Crash
	for _, f := range l.crashes.unreported(now) {
		c := f.value
		c.Ago += now.Sub(f.at)
		crashes = append(crashes, c)
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

// MarkReported records that the placer accepted the given numbers of the facts that Unreported returned. It does nothing if the placer has
// changed since.
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

// AddPartCompletion records that a request with these parts was completed.
func (l *Ledger) AddPartCompletion(now time.Time, s hingeids.Service, parts []hingeids.Fingerprint) {
	if len(parts) == 0 {
		return
	}
	if l.answers == nil {
		l.answers = make(map[hingeids.Service]*completions)
	}
	if l.answers[s] == nil {
		l.answers[s] = &completions{}
	}
	l.answers[s].add(now, parts)
	l.ClearParts(parts)
}

// ClearParts removes parts from the recorded crashes, since a request with them was completed. A new placer, which doesn't
// learn of earlier completions, then doesn't count these crashes against them (rule 7).
func (l *Ledger) ClearParts(parts []hingeids.Fingerprint) {
	for i, f := range l.crashes.facts {
		if slices.ContainsFunc(f.value.Parts, func(fp hingeids.Fingerprint) bool {
			return slices.Contains(parts, fp)
		}) {
			// The slice may be shared with a report that is being sent.
			l.crashes.facts[i].value.Parts = slices.DeleteFunc(slices.Clone(f.value.Parts), func(fp hingeids.Fingerprint) bool {
				return slices.Contains(parts, fp)
			})
		}
	}
}
