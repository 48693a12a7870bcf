package hingepoison

import (
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// mostKept bounds what a host remembers of what it has seen: the newest are told to another placer.
const mostKept = 256

// Ledger is what one host has seen (rule 2). It is for one goroutine.
type Ledger struct {
	ends   []seenEnd
	passes []seenPass
	// to is the placer that knows the first told ends and passes.
	to         hingeids.HostID
	toldEnds   int
	toldPasses int
}

type seenEnd struct {
	at  time.Time
	end End
}

type seenPass struct {
	at    time.Time
	print hingeids.Print
}

// End notes an end that this host has seen.
func (l *Ledger) End(now time.Time, e End) {
	l.ends = append(l.ends, seenEnd{
		at:  now,
		end: e,
	})
	if over := len(l.ends) - mostKept; over > 0 {
		l.ends = l.ends[over:]
		l.toldEnds = max(l.toldEnds-over, 0)
	}
}

// Pass notes that a suspected request was answered whole.
func (l *Ledger) Pass(now time.Time, p hingeids.Print) {
	l.passes = append(l.passes, seenPass{
		at:    now,
		print: p,
	})
	if over := len(l.passes) - mostKept; over > 0 {
		l.passes = l.passes[over:]
		l.toldPasses = max(l.toldPasses-over, 0)
	}
}

// Untold gives what a placer hasn't been told.
func (l *Ledger) Untold(now time.Time, to hingeids.HostID) ([]End, []Pass) {
	if to != l.to {
		l.Forgotten()
		l.to = to
	}
	l.expire(now)
	var ends []End
	for _, s := range l.ends[l.toldEnds:] {
		e := s.end
		e.Ago += now.Sub(s.at)
		ends = append(ends, e)
	}
	var passes []Pass
	for _, s := range l.passes[l.toldPasses:] {
		passes = append(passes, Pass{
			Print: s.print,
			Ago:   now.Sub(s.at),
		})
	}
	return ends, passes
}

// Told notes that a placer has taken the next so many.
func (l *Ledger) Told(to hingeids.HostID, ends, passes int) {
	if to != l.to {
		return
	}
	l.toldEnds = min(l.toldEnds+ends, len(l.ends))
	l.toldPasses = min(l.toldPasses+passes, len(l.passes))
}

// Forgotten notes that the placer knows nothing any more.
func (l *Ledger) Forgotten() {
	l.toldEnds = 0
	l.toldPasses = 0
}

// expire drops what no placer would remember.
func (l *Ledger) expire(now time.Time) {
	for len(l.ends) > 0 && now.Sub(l.ends[0].at) > suspectTime {
		l.ends = l.ends[1:]
		l.toldEnds = max(l.toldEnds-1, 0)
	}
	for len(l.passes) > 0 && now.Sub(l.passes[0].at) > suspectTime {
		l.passes = l.passes[1:]
		l.toldPasses = max(l.toldPasses-1, 0)
	}
}
