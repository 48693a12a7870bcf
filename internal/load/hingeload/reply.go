package hingeload

import (
	"errors"
	"net"
	"time"
)

type reply struct {
	status  int
	verdict string
	// requestID is the router's id for the attempt, code the verdict code of a refusal.
	requestID string
	code      int
	// retryAfter is 0 if the answer has no Retry-After header.
	retryAfter time.Duration
	text       string
	// complete reports that a stream had its end mark or a call its full body,
	// errorEvent that a stream ended with an error event.
	complete, errorEvent bool
	// runs is the number of runs under the call's key that the stand-in counted.
	runs      int
	firstAt   time.Time
	lastAt    time.Time
	tokenGaps []time.Duration
	err       error
}

type outcome uint8

const (
	// answered ended as a complete answer.
	answered outcome = iota
	// refused was not run, according to the router's verdict.
	refused
	// uncertain ended with an error that doesn't exclude that the request ran.
	uncertain
	// incomplete lost its connection before a final answer.
	incomplete
	// unreachable failed to open a connection to a host.
	unreachable
)

const (
	statusOK = 200
	notRun   = "notRun"
)

func (r reply) outcome() outcome {
	var dial *net.OpError
	switch {
	case r.err != nil && errors.As(r.err, &dial) && dial.Op == "dial":
		return unreachable
	case r.status == statusOK && r.complete:
		return answered
	case r.errorEvent:
		return uncertain
	case r.status == 0 || r.status == statusOK:
		return incomplete
	case r.verdict == notRun:
		return refused
	default:
		return uncertain
	}
}

// immediateRetryDelay is the delay before a retry that ignores Retry-After or
// follows a connection failure.
const immediateRetryDelay = 50 * time.Millisecond

// retry decides whether the caller retries and after which delay (rule 4).
func retry(c *Class, r reply, honorsRetryAfter bool) (wait time.Duration, again bool) {
	switch r.outcome() {
	case unreachable:
		return immediateRetryDelay, true
	case incomplete:
		return immediateRetryDelay, true
	case refused, uncertain:
		// An idempotency key makes a resend safe even if the first attempt ran.
		safe := r.outcome() == refused || c.Key != NoKey
		if r.retryAfter == 0 || !safe {
			return 0, false
		}
		if !honorsRetryAfter {
			return immediateRetryDelay, true
		}
		return r.retryAfter, true
	}
	return 0, false
}
