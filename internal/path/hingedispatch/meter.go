package hingedispatch

import (
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// Result is the result of a completion request.
type Result struct {
	CompletionRequest *CompletionRequest
	// FirstToken is the time to the first token, zero if there was none.
	FirstToken time.Duration
	// Tokens is the number of tokens returned, MeanTokenGap the mean time between
	// them.
	Tokens       int
	MeanTokenGap time.Duration
	// Err is nil if the answer was complete.
	Err error
}

// MetTargets reports whether the answer was complete and met the class's targets
// for the first token and the token gap.
func (r Result) MetTargets() bool {
	c := r.CompletionRequest.Class
	return r.Err == nil &&
		(c.FirstToken <= 0 || r.FirstToken <= c.FirstToken) &&
		(c.TokenGap <= 0 || r.MeanTokenGap <= c.TokenGap)
}

// Meter updates the metrics of completion requests. It must be safe for
// concurrent use.
type Meter interface {
	RecordResult(r Result)
	// AddPrefilledTokens counts prompt tokens that were processed, AddWastedTokens
	// those whose KV cache was dropped before it was decoded.
	AddPrefilledTokens(n hingeids.Tokens)
	AddWastedTokens(n hingeids.Tokens)
	// CountRetry counts resumed streams, transfers and retries; reason is the name of
	// the hingeretry.Action.
	CountRetry(reason string)
}

func (a *Answer) reportResult(now time.Time, err error) {
	result := Result{
		CompletionRequest: a.request,
		Tokens:            a.next,
		Err:               err,
	}
	if !a.firstTokenAt.IsZero() {
		result.FirstToken = a.firstTokenAt.Sub(a.request.Arrived)
		if a.next > 1 {
			result.MeanTokenGap = now.Sub(a.firstTokenAt) / time.Duration(a.next-1)
		}
	}
	a.dispatcher.Meter.RecordResult(result)
}
