package hingedispatch

import (
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// Finished is the result of a completion request.
type Finished struct {
	Work *Work
	// FirstToken is the time to the first token, zero if there was none.
	FirstToken time.Duration
	// Tokens is the number of tokens returned, Gap the mean time between them.
	Tokens int
	Gap    time.Duration
	// Err is nil if the answer was complete.
	Err error
}

// InTarget reports whether the answer was complete and met the class's targets
// for the first token and the token gap.
func (f Finished) InTarget() bool {
	c := f.Work.Class
	return f.Err == nil &&
		(c.FirstToken <= 0 || f.FirstToken <= c.FirstToken) &&
		(c.TokenGap <= 0 || f.Gap <= c.TokenGap)
}

// Meter updates the metrics of completion requests. It must be safe for
// concurrent use.
type Meter interface {
	Finished(f Finished)
	// Prefilled counts prompt tokens that were processed, Wasted those whose KV
	// cache was dropped before it was decoded.
	Prefilled(n hingeids.Tokens)
	Wasted(n hingeids.Tokens)
	// Retried counts resumed streams, transfers and retries; reason is the name of
	// the hingeretry.Action.
	Retried(reason string)
}

// reportResult passes the result of the answer to the meter.
func (a *Answer) reportResult(now time.Time, err error) {
	f := Finished{
		Work:   a.request,
		Tokens: a.next,
		Err:    err,
	}
	if !a.firstTokenAt.IsZero() {
		f.FirstToken = a.firstTokenAt.Sub(a.request.Arrived)
		if a.next > 1 {
			f.Gap = now.Sub(a.firstTokenAt) / time.Duration(a.next-1)
		}
	}
	a.dispatcher.Meter.Finished(f)
}
