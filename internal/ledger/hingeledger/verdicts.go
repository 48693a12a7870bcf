package hingeledger

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
)

// target is the destination of commands about a key: the voters or a key owner.
type target struct {
	breaker *breaker
	hosts   []hingeids.HostID
	code    hingeverdict.Code
	zone    hingeids.Zone
}

// targetOf implements rules 7 and 8.
func (l *Ledger) targetOf(key hingeids.IdempotencyKey) (target, error) {
	issued, ok := parseIssued(key)
	if !ok {
		return target{
			breaker: &l.quorumBreaker,
			hosts:   l.config.Voters,
			code:    hingeverdict.CodeNoQuorum,
		}, nil
	}
	owner, ok := l.config.KeyOwners[issued.zone]
	if !ok {
		// An earlier key owner of the zone may have granted a claim of the key.
		return target{}, hingeverdict.New(hingeverdict.MayHaveRun, hingeverdict.CodeKeyUncertain, 0,
			eris.Errorf("idempotency key was issued by zone %s, which has no key owner", issued.zone))
	}
	return target{
		breaker: l.ownerBreakers[issued.zone],
		hosts:   []hingeids.HostID{owner},
		code:    hingeverdict.CodeKeeperUnreachable,
		zone:    issued.zone,
	}, nil
}

func (t target) unreachable(r hingeids.RequestID, cause error) error {
	return hingeverdict.New(hingeverdict.NotRun, t.code, retryDelay(time.Second, r), eris.Wrap(cause, "ledger unreachable"))
}

// The delay is minimum to twice minimum, spread by request id so that callers refused
// together don't retry together.
func retryDelay(minimum time.Duration, r hingeids.RequestID) time.Duration {
	return minimum + time.Duration(xxhash.Sum64String(r.String())%uint64(minimum))
}

// verdictOf returns the error for the caller, or nil if the request is to be sent or
// its stored answer is to be returned.
func verdictOf(o Outcome, c Claim, now time.Time) error {
	refuse := func(v hingeverdict.Verdict, code hingeverdict.Code, retryAfter time.Duration, text string) error {
		return hingeverdict.New(v, code, retryAfter, eris.Errorf("%s (request %s)", text, o.Holder))
	}
	switch o.Kind {
	case Granted, Answered:
		return nil
	case InProgress:
		// The verdict isn't NotRun, because another attempt of the caller is in progress.
		remaining := max(time.Unix(0, o.Until).Sub(now), 0)
		return refuse(hingeverdict.MayHaveRun, hingeverdict.CodeKeyInProgress,
			retryDelay(min(remaining, time.Second)+1, c.Request), "another attempt with this key is in progress")
	case AnsweredNotStored:
		return refuse(hingeverdict.Ran, hingeverdict.CodeTooLarge, 0, "the request ran, but its answer was too large to store")
	case OtherBody:
		return refuse(hingeverdict.NotRun, hingeverdict.CodeKeyOtherBody, 0, "the idempotency key was used for a different request")
	case Withdrawn:
		return refuse(hingeverdict.NotRun, hingeverdict.CodeCancelled, time.Second, "the claim was already released or the claiming host instance has ended")
	case CallerFull:
		return refuse(hingeverdict.NotRun, hingeverdict.CodeCallerShare,
			retryDelay(time.Minute, c.Request), "the caller has reached its limit of idempotency keys")
	case Full:
		return refuse(hingeverdict.NotRun, hingeverdict.CodeQueueFull,
			retryDelay(time.Minute, c.Request), "the ledger has reached its limit of idempotency keys")
	default:
		return refuse(hingeverdict.MayHaveRun, hingeverdict.CodeKeyUncertain, 0,
			"an earlier attempt with this key may have run; its result is unknown")
	}
}

func decodeOutcome(raw []byte) (Outcome, error) {
	var o Outcome
	if err := cbor.Unmarshal(raw, &o); err != nil {
		return Outcome{}, eris.Wrap(err, "decode ledger outcome")
	}
	if o.Kind == Malformed {
		return Outcome{}, eris.New("the ledger could not decode the command")
	}
	return o, nil
}
