package hingeledger

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
)

// place is where a key is claimed.
type place struct {
	gate  *gate
	hosts []hingeids.HostID
	code  hingeverdict.Code
	zone  hingeids.Zone
}

// placeOf says where a key is claimed. Rules 7 and 8.
func (l *Ledger) placeOf(key hingeids.IdempotencyKey) (place, error) {
	issued, ok := parseIssued(key)
	if !ok {
		return place{
			gate:  &l.quorum,
			hosts: l.config.Voters,
			code:  hingeverdict.CodeNoQuorum,
		}, nil
	}
	keeper, ok := l.config.Keepers[issued.zone]
	if !ok {
		// The zone may have had a keeper that claimed the key.
		return place{}, hingeverdict.New(hingeverdict.MayHaveRun, hingeverdict.CodeKeyUncertain, 0,
			eris.Errorf("the key was issued by zone %s, which keeps no keys", issued.zone))
	}
	return place{
		gate:  l.zones[issued.zone],
		hosts: []hingeids.HostID{keeper},
		code:  hingeverdict.CodeKeeperUnreachable,
		zone:  issued.zone,
	}, nil
}

func (p place) unreachable(r hingeids.RequestID, cause error) error {
	return hingeverdict.New(hingeverdict.NotRun, p.code, comeBack(time.Second, r), eris.Wrap(cause, "ledger"))
}

// comeBack spreads the time to come back over as much again, so that callers that
// were refused together don't return together.
func comeBack(least time.Duration, r hingeids.RequestID) time.Duration {
	return least + time.Duration(xxhash.Sum64String(r.String())%uint64(least))
}

// verdictOf says what an outcome means for the caller; nil where there is
// something to send or to answer.
func verdictOf(o Outcome, c Claim, now time.Time) error {
	refuse := func(v hingeverdict.Verdict, code hingeverdict.Code, retryAfter time.Duration, text string) error {
		return hingeverdict.New(v, code, retryAfter, eris.Errorf("%s (request %s)", text, o.By))
	}
	switch o.Kind {
	case Granted, Answered:
		return nil
	case InProgress:
		// Not "not run": the caller's own earlier attempt is running.
		left := max(time.Unix(0, o.Until).Sub(now), 0)
		return refuse(hingeverdict.MayHaveRun, hingeverdict.CodeKeyInProgress,
			comeBack(min(left, time.Second)+1, c.Request), "another attempt with this key is in progress")
	case AnsweredUnkept:
		return refuse(hingeverdict.Ran, hingeverdict.CodeTooLarge, 0, "it ran, and its answer was too large to keep")
	case OtherBody:
		return refuse(hingeverdict.NotRun, hingeverdict.CodeKeyOtherBody, 0, "the key was used for another request")
	case Withdrawn:
		return refuse(hingeverdict.NotRun, hingeverdict.CodeCancelled, time.Second, "this attempt was given up")
	case CallerFull:
		return refuse(hingeverdict.NotRun, hingeverdict.CodeCallerShare,
			comeBack(time.Minute, c.Request), "the caller has no room for more keys")
	case Full:
		return refuse(hingeverdict.NotRun, hingeverdict.CodeQueueFull,
			comeBack(time.Minute, c.Request), "the ledger has no room for more keys")
	default:
		return refuse(hingeverdict.MayHaveRun, hingeverdict.CodeKeyUncertain, 0,
			"an earlier attempt with this key may have run, and nobody can tell")
	}
}

func decodeOutcome(raw []byte) (Outcome, error) {
	var o Outcome
	if err := cbor.Unmarshal(raw, &o); err != nil {
		return Outcome{}, eris.Wrap(err, "ledger outcome")
	}
	if o.Kind == Malformed {
		return Outcome{}, eris.New("the ledger could not read the command")
	}
	return o, nil
}
