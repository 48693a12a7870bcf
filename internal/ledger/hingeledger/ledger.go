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

// The methods by which entry hosts ask voters and keepers.
const (
	methodSubmit hingelink.Method = "ledger.submit"
	methodIssue  hingelink.Method = "ledger.issue"
)

const (
	// claimTime bounds a claim before its request is refused as not run. Two
	// tries of a voter fit, so one lost leader or link costs a request a wait and
	// not a refusal; longer, and quay queries miss their target anyway.
	claimTime = 1200 * time.Millisecond
	// tryTime bounds one try: several round trips between zones and a sync.
	tryTime = 400 * time.Millisecond
)

// Proposer is the replicated group that a host with a disk belongs to. It gives
// what State.Apply gave.
type Proposer interface {
	Propose(ctx context.Context, data []byte) ([]byte, error)
}

// Config says who this host is and whom it asks.
type Config struct {
	Zone hingeids.Zone
	Link hingelink.Link
	// Group is nil on a host that is no voter.
	Group Proposer
	// Voters are the hosts whose Group can be asked, the nearest first.
	Voters []hingeids.HostID
	// Keepers are the hosts that keep the zones' issued keys.
	Keepers map[hingeids.Zone]hingeids.HostID
	// Keeper is nil unless this host is its zone's.
	Keeper *Keeper
	// Keep gives how long keys are remembered, from the rules in force.
	Keep     func() time.Duration
	Recorder *hingeevents.Recorder
	// Clock reads the present time; nil means the system's clock.
	Clock func() time.Time
}

// Ledger is what the request path asks. It is safe for many goroutines.
type Ledger struct {
	config Config
	clock  func() time.Time
	quorum gate
	zones  map[hingeids.Zone]*gate
	notes  notes
	done   chan struct{}
}

// New makes a host's ledger and sets its handlers on the link, which must not run yet.
func New(c Config) *Ledger {
	l := &Ledger{
		config: c,
		clock:  c.Clock,
		zones:  make(map[hingeids.Zone]*gate),
		done:   make(chan struct{}),
	}
	if l.clock == nil {
		l.clock = time.Now
	}
	for zone := range c.Keepers {
		l.zones[zone] = &gate{}
	}
	c.Link.HandleCall(methodSubmit, l.serveSubmit)
	c.Link.HandleCall(methodIssue, l.serveIssue)
	return l
}

// Claim asks for the right to send a request, before it is sent. The outcome is
// Granted, to send it before the claim's Until and then Finish or Release; or
// Answered, with the answer to give in place of sending it. Every other case is a
// *hingeverdict.Error for the caller.
//
// An error NotRun means that nothing is to be sent. The claim may have been taken
// all the same; it is then released as soon as the ledger can be asked.
func (l *Ledger) Claim(ctx context.Context, c Claim) (Outcome, error) {
	now := l.clock()
	place, err := l.placeOf(c.Key)
	if err != nil {
		return Outcome{}, err
	}
	if c.Until <= now.UnixNano() {
		return Outcome{}, hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeDeadline, 0,
			eris.New("the time for the request was over before its key was claimed"))
	}
	if !place.gate.admit(now) {
		return Outcome{}, place.unreachable(c.Request, eris.New("it could not be asked a moment ago"))
	}
	c.Keep = l.config.Keep()
	asked := command{
		Verb:  verbClaim,
		Claim: c,
	}
	within, cancel := context.WithTimeout(ctx, claimTime)
	defer cancel()
	outcome, err := l.ask(within, place, asked)
	// A caller that left says nothing about the place.
	if ctx.Err() == nil {
		l.noteAsked(place, err)
	}
	if err != nil {
		l.noteRelease(c)
		return Outcome{}, place.unreachable(c.Request, err)
	}
	l.recordClaim(c, outcome)
	return outcome, verdictOf(outcome, c, now)
}

// noteAsked tells the gate how asking went.
func (l *Ledger) noteAsked(p place, err error) {
	now := l.clock()
	if p.gate.note(now, err == nil) {
		l.config.Recorder.Record(now, hingeevents.LedgerUnreachable, hingeevents.Fields{
			Zone:   p.zone,
			Detail: err.Error(),
		})
	}
}

// Finish keeps the answer for resends. On an error it is tried again by Run.
func (l *Ledger) Finish(ctx context.Context, c Claim, answer []byte) error {
	return l.tell(ctx, command{
		Verb:   verbFinish,
		Claim:  c,
		Answer: answer,
	})
}

// Release gives a key back, with proof that the request was not run and is not
// going to be. On an error it is tried again by Run.
func (l *Ledger) Release(ctx context.Context, c Claim) error {
	return l.tell(ctx, command{
		Verb:  verbRelease,
		Claim: c,
	})
}

// EndLife tells the quorum and this host's keeper that a life of a host is over, so
// that what it had claimed becomes uncertain at once and not at its Until.
func (l *Ledger) EndLife(ctx context.Context, life hingeids.Instance) error {
	c := command{
		Verb: verbEndLife,
		Life: life,
	}
	if l.config.Keeper != nil {
		key, err := l.config.Keeper.issue()
		if err != nil {
			return err
		}
		own := c
		own.Claim.Key = key
		if _, err := l.config.Keeper.submit(ctx, own); err != nil {
			return err
		}
	}
	place, err := l.placeOf("")
	if err != nil {
		return err
	}
	_, err = l.ask(ctx, place, c)
	return err
}

// Issue gives a new key of this host's zone. It asks the keeper each time, so a
// caller gets none while its zone could not claim it.
func (l *Ledger) Issue(ctx context.Context, _ hingeids.CallerID) (hingeids.IdempotencyKey, error) {
	keeper, ok := l.config.Keepers[l.config.Zone]
	if !ok {
		return "", hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeKeeperUnreachable, 0,
			eris.Errorf("zone %s has no host that keeps issued keys", l.config.Zone))
	}
	ctx, cancel := context.WithTimeout(ctx, tryTime)
	defer cancel()
	key, err := l.config.Link.Call(ctx, keeper, methodIssue, nil)
	if err != nil {
		return "", hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeKeeperUnreachable, time.Second,
			eris.Wrapf(err, "keeper of zone %s", l.config.Zone))
	}
	return hingeids.IdempotencyKey(key), nil
}

// ask brings a command to its place and gives the outcome. Every command may be
// brought more than once (rules 1 and 2), so whatever went wrong, the next
// host is asked until the context ends or each was asked twice.
func (l *Ledger) ask(ctx context.Context, p place, c command) (Outcome, error) {
	body := encode(c)
	err := eris.New("nobody to ask")
	for range 2 {
		for _, host := range p.hosts {
			if ctx.Err() != nil {
				return Outcome{}, eris.Wrap(err, ctx.Err().Error())
			}
			var outcome Outcome
			if outcome, err = l.askHost(ctx, host, body); err == nil {
				return outcome, nil
			}
		}
	}
	return Outcome{}, err
}

func (l *Ledger) askHost(ctx context.Context, host hingeids.HostID, body []byte) (Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, tryTime)
	defer cancel()
	answer, err := l.config.Link.Call(ctx, host, methodSubmit, body)
	if err != nil {
		return Outcome{}, err
	}
	return decodeOutcome(answer)
}

// serveSubmit is the voter's and the keeper's end.
func (l *Ledger) serveSubmit(ctx context.Context, from hingeids.HostID, body []byte) ([]byte, error) {
	c, err := decodeCommand(body)
	if err != nil {
		return nil, err
	}
	if c.Verb != verbEndLife && c.Claim.Request.Host != from {
		// A host claims for itself alone: in another's name it could end that host's life.
		return nil, eris.Errorf("host %s claimed for request %s", from, c.Claim.Request)
	}
	if _, issued := parseIssued(c.Claim.Key); issued {
		if l.config.Keeper == nil {
			return nil, eris.Errorf("host %s keeps no issued keys", l.config.Link.Self())
		}
		o, err := l.config.Keeper.submit(ctx, c)
		if err != nil {
			return nil, err
		}
		return encode(o), nil
	}
	if l.config.Group == nil {
		return nil, eris.Errorf("host %s is no voter", l.config.Link.Self())
	}
	c.Time = l.clock().UnixNano()
	return l.config.Group.Propose(ctx, encode(c))
}

func (l *Ledger) serveIssue(context.Context, hingeids.HostID, []byte) ([]byte, error) {
	if l.config.Keeper == nil {
		return nil, eris.Errorf("host %s keeps no issued keys", l.config.Link.Self())
	}
	select {
	case <-l.config.Keeper.Done():
		return nil, errLost
	default:
	}
	key, err := l.config.Keeper.issue()
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
