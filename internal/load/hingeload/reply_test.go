package hingeload

import (
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against resending a call without a key that may have run, and against losing a request
// whose answer was cut off.
func TestRetry(t *testing.T) {
	type step struct {
		Outcome outcome
		Wait    time.Duration
		Again   bool
	}
	retriable := reply{
		status:     503,
		verdict:    "mayHaveRun",
		retryAfter: time.Second,
	}
	refusal := retriable
	refusal.verdict = notRun
	final := refusal
	final.retryAfter = 0
	cut := reply{
		status: statusOK,
	}
	cutByRouter := cut
	cutByRouter.errorEvent = true
	got := make(map[string]step)
	for name, c := range map[string]struct {
		reply            reply
		key              KeyKind
		honorsRetryAfter bool
	}{
		"refused": {
			reply:            refusal,
			honorsRetryAfter: true,
		},
		"refused, ignores Retry-After": {
			reply: refusal,
		},
		"refused without Retry-After": {
			reply:            final,
			honorsRetryAfter: true,
		},
		"may have run": {
			reply:            retriable,
			honorsRetryAfter: true,
		},
		"may have run, with a key": {
			reply:            retriable,
			key:              OwnKey,
			honorsRetryAfter: true,
		},
		"stream without end mark": {
			reply: cut,
		},
		"stream with error event": {
			reply: cutByRouter,
		},
		"complete": {
			reply: reply{
				status:   statusOK,
				complete: true,
			},
		},
		"no host": {reply: reply{
			err: &net.OpError{
				Op: "dial",
			},
		}},
		"connection broke": {reply: reply{
			err: &net.OpError{
				Op: "read",
			},
		}},
	} {
		wait, again := retry(&Class{
			Key: c.key,
		}, c.reply, c.honorsRetryAfter)
		got[name] = step{
			Outcome: c.reply.outcome(),
			Wait:    wait,
			Again:   again,
		}
	}
	if diff := cmp.Diff(map[string]step{
		"refused": {
			Outcome: refused,
			Wait:    time.Second,
			Again:   true,
		},
		"refused, ignores Retry-After": {
			Outcome: refused,
			Wait:    immediateRetryDelay,
			Again:   true,
		},
		"refused without Retry-After": {
			Outcome: refused,
		},
		"may have run": {
			Outcome: uncertain,
		},
		"may have run, with a key": {
			Outcome: uncertain,
			Wait:    time.Second,
			Again:   true,
		},
		"stream without end mark": {
			Outcome: incomplete,
			Wait:    immediateRetryDelay,
			Again:   true,
		},
		"stream with error event": {
			Outcome: uncertain,
		},
		"complete": {
			Outcome: answered,
		},
		"no host": {
			Outcome: unreachable,
			Wait:    immediateRetryDelay,
			Again:   true,
		},
		"connection broke": {
			Outcome: incomplete,
			Wait:    immediateRetryDelay,
			Again:   true,
		},
	}, got); diff != "" {
		t.Error(diff)
	}
}
