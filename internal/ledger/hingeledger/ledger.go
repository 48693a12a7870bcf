package hingeledger

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
	"github.com/swifthinge/swifthinge/internal/link/hingelink"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
)

// Link methods that entry hosts call at voters and key owners.
const (
	methodSubmit hingelink.Method = "ledger.submit"
	methodIssue  hingelink.Method = "ledger.issue"
)

const (
	// claimTimeout bounds a claim before its request is refused as not run. It
	// leaves time to call another voter after a call has timed out.
	claimTimeout = 1200 * time.Millisecond
	// callTimeout bounds one call: several round trips between zones and a sync.
	callTimeout = 400 * time.Millisecond
)

// Proposer is the replicated group of the voters. Propose returns the result of
// State.Apply once the command is committed.
type Proposer interface {
	Propose(ctx context.Context, data []byte) ([]byte, error)
}

// Config configures a Ledger.
type Config struct {
	Zone hingeids.Zone
	Link hingelink.Link
	// Group is nil unless this host is a voter.
	Group Proposer
	// Voters are the hosts with a Group, the nearest first.
	Voters []hingeids.HostID
	// KeyOwners are the key owners of the zones.
	KeyOwners map[hingeids.Zone]hingeids.HostID
	// KeyOwner is nil unless this host is the key owner of its zone.
	KeyOwner *KeyOwner
	// Retention returns the retention of keys from the rules in force.
	Retention func() time.Duration
	Recorder  *hingeevents.Recorder
	// Clock returns the current time; nil means the system clock.
	Clock func() time.Time
}

// Ledger is the client of the request path, and the server for calls of other hosts.
// It is safe for concurrent use.
type Ledger struct {
	config        Config
	clock         func() time.Time
	quorumBreaker breaker
	ownerBreakers map[hingeids.Zone]*breaker
	retryQueue    retryQueue
	done          chan struct{}
}

// New creates a host's ledger and registers its handlers on the link, which must not be
// running yet.
func New(c Config) *Ledger {
	l := &Ledger{
		config:        c,
		clock:         c.Clock,
		ownerBreakers: make(map[hingeids.Zone]*breaker),
		done:          make(chan struct{}),
	}
	if l.clock == nil {
		l.clock = time.Now
	}
	for zone := range c.KeyOwners {
		l.ownerBreakers[zone] = &breaker{}
	}
	c.Link.HandleCall(methodSubmit, l.serveSubmit)
	c.Link.HandleCall(methodIssue, l.serveIssue)
	return l
}

// Claim requests the right to send a request. After Granted, the request must be sent
// before the claim's Until and then be finished or released. After Answered, the
// stored answer is returned instead. Every other case is a *hingeverdict.Error for
// the caller.
//
// After an error the request must not be sent. A claim that may have been accepted
// although the call failed is released as soon as the ledger is reachable.
func (l *Ledger) Claim(ctx context.Context, c Claim) (Outcome, error) {
	now := l.clock()
	target, err := l.targetOf(c.Key)
	if err != nil {
		return Outcome{}, err
	}
	if c.Until <= now.UnixNano() {
		return Outcome{}, hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeDeadline, 0,
			eris.New("request deadline passed before its idempotency key was claimed"))
	}
	if !target.breaker.allow(now) {
		return Outcome{}, target.unreachable(c.Request, eris.New("call skipped after a recent failure"))
	}
	c.Retention = l.config.Retention()
	claim := command{
		Verb:  verbClaim,
		Claim: c,
	}
	callCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	outcome, err := l.send(callCtx, target, claim)
	// A canceled call says nothing about whether the target is reachable.
	if ctx.Err() == nil {
		l.recordSend(target, err)
	}
	if err != nil {
		l.queueRelease(c)
		return Outcome{}, target.unreachable(c.Request, err)
	}
	l.recordClaim(c, outcome)
	return outcome, verdictOf(outcome, c, now)
}

func (l *Ledger) recordSend(t target, err error) {
	now := l.clock()
	if t.breaker.record(now, err == nil) {
		l.config.Recorder.Record(now, hingeevents.LedgerUnreachable, hingeevents.Fields{
			Zone:   t.zone,
			Detail: err.Error(),
		})
	}
}

// Finish stores the answer for resends. If the ledger is unreachable, Finish returns
// an error and Run retries the command.
func (l *Ledger) Finish(ctx context.Context, c Claim, answer []byte) error {
	return l.deliver(ctx, command{
		Verb:   verbFinish,
		Claim:  c,
		Answer: answer,
	})
}

// Release releases the claim of a request that was not run and won't be. If the
// ledger is unreachable, Release returns an error and Run retries the command.
func (l *Ledger) Release(ctx context.Context, c Claim) error {
	return l.deliver(ctx, command{
		Verb:  verbRelease,
		Claim: c,
	})
}

// EndInstance reports to the quorum and to this host's key owner that a host instance
// has ended, so that its claims become uncertain at once and not at their Until.
func (l *Ledger) EndInstance(ctx context.Context, instance hingeids.Instance) error {
	c := command{
		Verb:     verbEndInstance,
		Instance: instance,
	}
	if l.config.KeyOwner != nil {
		key, err := l.config.KeyOwner.issue()
		if err != nil {
			return err
		}
		ownerCommand := c
		ownerCommand.Claim.Key = key
		if _, err := l.config.KeyOwner.submit(ctx, ownerCommand); err != nil {
			return err
		}
	}
	target, err := l.targetOf("")
	if err != nil {
		return err
	}
	_, err = l.send(ctx, target, c)
	return err
}

// Issue returns a new key of this host's zone. It calls the key owner each time, so
// that no key is issued while the zone could not claim it.
func (l *Ledger) Issue(ctx context.Context, _ hingeids.CallerID) (hingeids.IdempotencyKey, error) {
	owner, ok := l.config.KeyOwners[l.config.Zone]
	if !ok {
		return "", hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeKeeperUnreachable, 0,
			eris.Errorf("zone %s has no key owner", l.config.Zone))
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key, err := l.config.Link.Call(ctx, owner, methodIssue, nil)
	if err != nil {
		return "", hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeKeeperUnreachable, time.Second,
			eris.Wrapf(err, "request a key from the key owner of zone %s", l.config.Zone))
	}
	return hingeids.IdempotencyKey(key), nil
}

// send delivers a command to its target and returns the outcome. Commands are
// idempotent (rules 1 and 2), so after any error the next host is called until the
// context ends or each host was called twice.
func (l *Ledger) send(ctx context.Context, t target, c command) (Outcome, error) {
	body := encode(c)
	err := eris.New("no host was called")
	for range 2 {
		for _, host := range t.hosts {
			if ctx.Err() != nil {
				return Outcome{}, eris.Wrap(err, ctx.Err().Error())
			}
			var outcome Outcome
			if outcome, err = l.sendTo(ctx, host, body); err == nil {
				return outcome, nil
			}
		}
	}
	return Outcome{}, err
}

func (l *Ledger) sendTo(ctx context.Context, host hingeids.HostID, body []byte) (Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := l.config.Link.Call(ctx, host, methodSubmit, body)
	if err != nil {
		return Outcome{}, err
	}
	return decodeOutcome(answer)
}

// serveSubmit runs on voters and key owners.
func (l *Ledger) serveSubmit(ctx context.Context, from hingeids.HostID, body []byte) ([]byte, error) {
	c, err := decodeCommand(body)
	if err != nil {
		return nil, err
	}
	if c.Verb != verbEndInstance && c.Claim.Request.Host != from {
		// A claim in another host's name could end an instance of that host.
		return nil, eris.Errorf("host %s sent a command for request %s of another host", from, c.Claim.Request)
	}
	if _, issued := parseIssued(c.Claim.Key); issued {
		if l.config.KeyOwner == nil {
			return nil, eris.Errorf("host %s is not a key owner", l.config.Link.Self())
		}
		o, err := l.config.KeyOwner.submit(ctx, c)
		if err != nil {
			return nil, err
		}
		return encode(o), nil
	}
	if l.config.Group == nil {
		return nil, eris.Errorf("host %s is not a voter", l.config.Link.Self())
	}
	c.Time = l.clock().UnixNano()
	return l.config.Group.Propose(ctx, encode(c))
}

func (l *Ledger) serveIssue(context.Context, hingeids.HostID, []byte) ([]byte, error) {
	if l.config.KeyOwner == nil {
		return nil, eris.Errorf("host %s is not a key owner", l.config.Link.Self())
	}
	select {
	case <-l.config.KeyOwner.Done():
		return nil, errKeyOwnerStopped
	default:
	}
	key, err := l.config.KeyOwner.issue()
	return []byte(key), err
}

func (l *Ledger) recordClaim(c Claim, o Outcome) {
	number := hingeevents.KeyClaimed
	caller := c.Caller
	switch o.Kind {
	case Granted:
	case Uncertain:
		number = hingeevents.KeyUncertain
	case CallerFull:
		number = hingeevents.LedgerFull
	case Full:
		number = hingeevents.LedgerFull
		caller = ""
	default:
		return
	}
	l.config.Recorder.Record(l.clock(), number, hingeevents.Fields{
		Request: c.Request,
		Caller:  caller,
	})
}
