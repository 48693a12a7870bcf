package hingepoison

import (
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// mostKept bounds what a host remembers of what it has seen: the newest are told to another placer.
const mostKept = 256

// Ledger is what one host has seen (rule 2). It is for one goroutine.
type Ledger struct {
	ends   seen[End]
	passes seen[hingeids.Print]
	// to is the placer that was told.
	to hingeids.HostID
}

// seen is facts of one kind, the oldest first, of which a placer knows the first told.
type seen[T any] struct {
	facts []fact[T]
	told  int
}

type fact[T any] struct {
	at   time.Time
	what T
}

func (s *seen[T]) add(now time.Time, what T) {
	s.facts = append(s.facts, fact[T]{
		at:   now,
		what: what,
	})
	s.drop(len(s.facts) - mostKept)
}

// drop forgets so many of the oldest.
func (s *seen[T]) drop(n int) {
	if n <= 0 {
		return
	}
	s.facts = s.facts[n:]
	s.told = max(s.told-n, 0)
}

// untold drops what no placer would remember, and gives what isn't told of the rest.
func (s *seen[T]) untold(now time.Time) []fact[T] {
	old := 0
	for old < len(s.facts) && now.Sub(s.facts[old].at) > suspectTime {
		old++
	}
	s.drop(old)
	return s.facts[s.told:]
}

func (s *seen[T]) tell(n int) {
	s.told = min(s.told+n, len(s.facts))
}

// End notes an end that this host has seen.
func (l *Ledger) End(now time.Time, e End) {
	l.ends.add(now, e)
}

// Pass notes that a suspected request was answered whole.
func (l *Ledger) Pass(now time.Time, p hingeids.Print) {
	l.passes.add(now, p)
}

// Untold gives what a placer hasn't been told.
func (l *Ledger) Untold(now time.Time, to hingeids.HostID) ([]End, []Pass) {
	if to != l.to {
		l.Forgotten()
		l.to = to
	}
	var ends []End
	for _, f := range l.ends.untold(now) {
		e := f.what
		e.Ago += now.Sub(f.at)
		ends = append(ends, e)
	}
	var passes []Pass
	for _, f := range l.passes.untold(now) {
		passes = append(passes, Pass{
			Print: f.what,
			Ago:   now.Sub(f.at),
		})
	}
	return ends, passes
}

// Told notes that a placer has taken the next so many.
func (l *Ledger) Told(to hingeids.HostID, ends, passes int) {
	if to != l.to {
		return
	}
	l.ends.tell(ends)
	l.passes.tell(passes)
}

// Forgotten notes that the placer knows nothing any more.
func (l *Ledger) Forgotten() {
	l.ends.told = 0
	l.passes.told = 0
}
