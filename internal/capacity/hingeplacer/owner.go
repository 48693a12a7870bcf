package hingeplacer

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/core/hingeclock"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/decide/hingefleet"
	"github.com/swifthinge/swifthinge/internal/decide/hingenotice"
	"github.com/swifthinge/swifthinge/internal/decide/hingepoison"
	"github.com/swifthinge/swifthinge/internal/decide/hingequeue"
	"github.com/swifthinge/swifthinge/internal/decide/hingequota"
	"github.com/swifthinge/swifthinge/internal/link/hingelink"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
)

const (
	// reportDelay is the delay between a change and its report, so that one report covers several changes.
	reportDelay = 15 * time.Millisecond
	// reportInterval is the interval between reports while streams run.
	reportInterval = 500 * time.Millisecond
	// reportTimeout is the timeout of a report. The next report replaces a lost one.
	reportTimeout = time.Second
	// answerMargin is how long an answer may take in addition to holdTimeout: a round trip between zones and
	// a scheduling delay on a busy host.
	answerMargin = 250 * time.Millisecond
)

// ClusterView is an owner's cluster view: the placers, and the servers for local placement.
type ClusterView interface {
	Servers
	// Placers returns the hosts to request placements from, the preferred one first.
	Placers() []hingeids.HostID
}

// Owner is the client side on an entry host. It requests placements and reports streams, quota usage and crashes.
// Its methods are safe for concurrent use.
type Owner struct {
	self   hingeids.HostID
	client *client
	// callClient is the client for requests to plain services; the other one is for streams and reports.
	callClient *client
	view       ClusterView
	clock      func() time.Time
	local      *Placer
	recorder   *hingeevents.Recorder
	done       chan struct{}
	dirty      chan struct{}

	// instance distinguishes the reports of this process from those of earlier ones of the host. Only equality is
	// compared: the wall clock may have been set back since those started.
	instance uint64

	mu       sync.Mutex
	sequence uint64
	streams  map[hingefleet.StreamID]*Stream
	outcomes []serviceOutcome
	waiters  map[hingequeue.CallID]chan<- CallPlacement
	quotas   quotaState
	// crashes records the server crashes and complete answers that this host has observed.
	crashes hingepoison.Ledger
	notices noticeState
	// lastAnswered is the last placer that answered a request.
	lastAnswered hingeids.HostID
}

// Stream is a placed stream of this host.
type Stream struct {
	owner    *Owner
	service  hingeids.Service
	parts    []hingeids.Fingerprint
	progress hingefleet.Progress
}

// NewOwner returns an Owner and registers its message handlers on the link. Run must be called for reports and
// local placement.
func NewOwner(
	self hingeids.HostID, link hingelink.Link, v ClusterView, clock func() time.Time, r *hingeevents.Recorder,
	params hingequota.Params,
) *Owner {
	o := &Owner{
		recorder:   r,
		self:       self,
		client:     newClient(link, clock, streamTimeouts),
		callClient: newClient(link, clock, callTimeouts),
		view:       v,
		clock:      clock,
		done:       make(chan struct{}),
		dirty:      make(chan struct{}, 1),
		streams:    make(map[hingefleet.StreamID]*Stream),
		waiters:    make(map[hingequeue.CallID]chan<- CallPlacement),
		instance:   uint64(time.Now().UnixNano()),
		quotas:     newQuotaState(clock(), params),
	}
	link.HandleDatagram(methodPlaced, o.handlePlaced)
	share := localShare{
		self:     self,
		view:     v,
		replicas: make(map[hingeids.Service]localReplicas),
	}
	o.local = New(share, nil, func() bool {
		return true
	}, clock, params)
	o.local.limitPart = share.limitPart
	return o
}

// Done is closed when Run returns.
func (o *Owner) Done() <-chan struct{} {
	return o.done
}

// Place requests engines until there is a decision. The context must end when the caller disconnects.
func (o *Owner) Place(ctx context.Context, r StreamRequest) Placement {
	if after, refused := o.blockedFor(append([]hingeids.Fingerprint{r.Fingerprint}, r.Parts...)...); refused {
		return Placement{
			Refused:    true,
			RetryAfter: after,
			Cause:      Poison,
		}
	}
	start := o.clock()
	waited := r.Waited
	for ctx.Err() == nil {
		backoffs, after, refused := o.backoffs(r.Service)
		if refused {
			return Placement{
				Refused:    true,
				RetryAfter: after,
			}
		}
		r.Backoffs = backoffs
		r.Waited = waited + o.clock().Sub(start)
		r.Charge.NearLimit = o.mayBeNearLimit(r.Charge)
		if a := o.placeOnce(ctx, r); !a.Undecided {
			return a
		}
	}
	return Placement{
		Refused: true,
	}
}

// placeOnce requests engines from the placers in turn, and places locally if none answers (rule 3).
func (o *Owner) placeOnce(ctx context.Context, r StreamRequest) Placement {
	var placement Placement
	if o.tryPlacers(ctx, o.client, func(h hingeids.HostID) (bool, error) {
		var err error
		placement, err = o.requestEngines(ctx, h, r)
		return placement.NotPlacer, err
	}) {
		if placement.Decode != "" {
			o.addUsage(r.Charge)
		}
		return placement
	}
	if ctx.Err() != nil {
		return Placement{
			Refused: true,
		}
	}
	if d := o.admitLocally(r.Charge); !d.Admitted {
		return Placement{
			Refused:    true,
			RetryAfter: d.RetryAfter,
			Cause:      causeOf(d),
		}
	}
	charge := r.Charge
	r.Charge = hingequota.Charge{}
	placement = o.local.Place(ctx, o.self, r)
	placement.Local = true
	if placement.Decode == "" {
		o.removeUsage(charge)
	}
	return placement
}

// tryPlacers calls request for each placer that isn't marked silent, until one answers that it is the placer. It reports
// whether one did.
func (o *Owner) tryPlacers(ctx context.Context, c *client, request func(h hingeids.HostID) (notPlacer bool, err error)) bool {
	for _, h := range o.view.Placers() {
		if c.isSilent(h) {
			continue
		}
		notPlacer, err := request(h)
		if ctx.Err() != nil {
			return false
		}
		if err != nil {
			o.recorder.Record(time.Now(), hingeevents.PlacerSilent, hingeevents.Fields{
				Host:   h,
				Detail: err.Error(),
			})
			continue
		}
		if !notPlacer {
			o.recordAnswer(h)
			return true
		}
	}
	return false
}

func (o *Owner) requestEngines(ctx context.Context, h hingeids.HostID, r StreamRequest) (Placement, error) {
	callCtx, cancel := context.WithTimeout(ctx, holdTimeout+answerMargin)
	defer cancel()
	body, err := cbor.Marshal(r)
	if err != nil {
		return Placement{}, eris.Wrap(err, "encoding a stream request")
	}
	b, err := o.client.call(callCtx, h, methodPlace, body)
	if err != nil {
		return Placement{}, err
	}
	var a Placement
	return a, eris.Wrap(cbor.Unmarshal(b, &a), "decoding a placement")
}

// StartStream registers a placed stream, which the reports include until Stream.Finish.
func (o *Owner) StartStream(r StreamRequest, a Placement) *Stream {
	s := &Stream{
		owner:   o,
		service: r.Service,
		parts:   r.Parts,
		progress: hingefleet.Progress{
			ID:       r.ID,
			Decode:   a.Decode,
			Prompt:   r.PromptTokens,
			Expected: r.ExpectedTokens,
		},
	}
	o.mu.Lock()
	o.streams[r.ID] = s
	o.mu.Unlock()
	o.triggerReport()
	return s
}

// RecordOutcome reports the outcome of the stream at an engine to the placer, with what the engine has just stated in
// its answer.
func (s *Stream) RecordOutcome(server hingeids.ServerID, o hingefleet.Outcome, n hingenotice.Notice) {
	outcome := serviceOutcome{
		Service: s.service,
		OutcomeReport: hingefleet.OutcomeReport{
			Server:    server,
			Outcome:   o,
			Stream:    s.progress.ID,
			Generated: s.generated(),
			Notice:    n,
		},
	}
	if o == hingefleet.Succeeded && server == s.progress.Decode {
		outcome.Parts = s.parts
	}
	s.owner.queueOutcome(outcome)
}

func (s *Stream) generated() hingeids.Tokens {
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	return s.progress.Generated
}

// SetGenerated sets the number of tokens generated so far. The first call triggers a report.
func (s *Stream) SetGenerated(t hingeids.Tokens) {
	o := s.owner
	o.mu.Lock()
	firstToken := s.progress.Generated == 0
	s.progress.Generated = t
	o.mu.Unlock()
	if firstToken {
		o.triggerReport()
	}
}

// Finish removes the stream, whatever its outcome.
func (s *Stream) Finish() {
	o := s.owner
	o.mu.Lock()
	delete(o.streams, s.progress.ID)
	o.mu.Unlock()
	o.triggerReport()
}

func (o *Owner) queueOutcome(outcome serviceOutcome) {
	o.mu.Lock()
	o.outcomes = append(o.outcomes, outcome)
	o.crashes.AddPartCompletion(o.clock(), outcome.Service, outcome.Parts)
	o.mu.Unlock()
	o.triggerReport()
}

// triggerReport doesn't block.
func (o *Owner) triggerReport() {
	select {
	case o.dirty <- struct{}{}:
	default:
	}
}

// Run sends reports and runs the local placer until the context ends.
func (o *Owner) Run(ctx context.Context) error {
	defer close(o.done)
	localCtx, cancel := context.WithCancel(ctx)
	defer func() {
		cancel()
		<-o.local.Done()
	}()
	go func() {
		// Run returns when the context ends and never fails.
		_ = o.local.Run(localCtx)
	}()
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	lastTarget := hingeids.HostID("")
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-o.dirty:
			hingeclock.Sleep(ctx, reportDelay)
		case <-ticker.C:
			target := o.reportTarget()
			if o.idle() && target == lastTarget {
				continue
			}
			lastTarget = target
		}
		o.report(ctx)
	}
}

func (o *Owner) idle() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.streams) == 0 && o.quotas.idle(o.clock()) && o.notices.idle()
}

// reportTarget returns the host to report to: the last placer that answered a request if it is still in the list, or
// else the preferred one.
func (o *Owner) reportTarget() hingeids.HostID {
	list := o.view.Placers()
	o.mu.Lock()
	defer o.mu.Unlock()
	if slices.Contains(list, o.lastAnswered) {
		return o.lastAnswered
	}
	return firstHost(list)
}

// report sends one report to the local placer and to a remote one.
func (o *Owner) report(ctx context.Context) {
	h := o.reportTarget()
	r := o.nextReport(h)
	o.local.post(ctx, func(now time.Time) {
		o.local.handleReport(now, o.self, r)
	})
	if h == "" {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	b, err := o.client.call(callCtx, h, methodReport, encodeMessage(r))
	var reply reportReply
	if err == nil {
		err = cbor.Unmarshal(b, &reply)
	}
	// The next report replaces a lost one.
	o.reportReply(r, reply, err)
	o.recordAcknowledged(h, r, reply, err)
}

// firstHost returns an empty id for an empty list.
func firstHost(list []hingeids.HostID) hingeids.HostID {
	if len(list) == 0 {
		return ""
	}
	return list[0]
}

func (o *Owner) nextReport(to hingeids.HostID) report {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sequence++
	r := report{
		Instance: o.instance,
		Sequence: o.sequence,
		Streams:  make(map[hingeids.Service][]hingefleet.Progress),
		Outcomes: o.outcomes,
	}
	o.outcomes = nil
	o.quotas.fill(o.clock(), &r)
	r.Crashes, r.Completions = o.crashes.Unreported(o.clock(), to)
	r.Statements, r.statementsUpTo = o.unreportedStatements(to)
	for _, s := range o.streams {
		r.Streams[s.service] = append(r.Streams[s.service], s.progress)
	}
	return r
}
