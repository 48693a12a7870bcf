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
	"github.com/swifthinge/swifthinge/internal/decide/hingepoison"
	"github.com/swifthinge/swifthinge/internal/decide/hingequeue"
	"github.com/swifthinge/swifthinge/internal/decide/hingequota"
	"github.com/swifthinge/swifthinge/internal/link/hingelink"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
)

const (
	// gatherReports is how long changes are gathered into one report. A stream
	// changes three times in its life of seconds.
	gatherReports = 15 * time.Millisecond
	// reportEvery is the time between reports while streams run.
	reportEvery = 500 * time.Millisecond
	// reportTime bounds one report; the next says the same again.
	reportTime = time.Second
	// reachTime is how long a placer may take to answer beyond its hold time:
	// a round trip between zones, and a busy moment of a small host.
	reachTime = 250 * time.Millisecond
)

// Fleets is what an owner knows of the fleet: who places, and what to do alone.
type Fleets interface {
	Servers
	// Placers names the hosts to ask, the best first.
	Placers() []hingeids.HostID
}

// Owner is an entry host's side: it asks for placements and reports its streams.
type Owner struct {
	self  hingeids.HostID
	reach *reach
	// calls is the same for requests of plain services.
	calls    *reach
	fleets   Fleets
	clock    func() time.Time
	alone    *Placer
	recorder *hingeevents.Recorder
	done     chan struct{}
	dirty    chan struct{}

	mu       sync.Mutex
	sequence uint64
	streams  map[hingefleet.StreamID]*Stream
	notes    []note
	// expected are the questions for replicas whose answers haven't come.
	expected map[hingequeue.CallID]chan<- CallPlacement
	quotas   ownQuotas
	// ends are the servers that ended under this host's requests.
	ends hingepoison.Ledger
	// answered is the placer that answered last.
	answered hingeids.HostID
}

// Stream is one stream that this host owns.
type Stream struct {
	owner    *Owner
	service  hingeids.Service
	progress hingefleet.Progress
}

// NewOwner makes an entry host's side.
func NewOwner(
	self hingeids.HostID, link hingelink.Link, f Fleets, clock func() time.Time, r *hingeevents.Recorder,
	t hingequota.Params,
) *Owner {
	o := &Owner{
		recorder: r,
		self:     self,
		reach:    newReach(link, clock, streamDoubts),
		calls:    newReach(link, clock, callDoubts),
		fleets:   f,
		clock:    clock,
		done:     make(chan struct{}),
		dirty:    make(chan struct{}, 1),
		streams:  make(map[hingefleet.StreamID]*Stream),
		expected: make(map[hingequeue.CallID]chan<- CallPlacement),
		// A report with an older number is passed over, so a process goes on above its last
		// life. The boot clock wouldn't do: it begins anew when the machine does.
		sequence: uint64(time.Now().UnixNano()),
		quotas:   newOwnQuotas(clock(), t),
	}
	link.HandleDatagram(methodPlaced, o.placed)
	o.alone = New(ownShare{
		self:   self,
		fleets: f,
	}, nil, func() bool {
		return true
	}, clock, t)
	return o
}

// Done closes when Run has ended.
func (o *Owner) Done() <-chan struct{} {
	return o.done
}

// Place asks for engines until there is a decision. The context ends when the caller leaves.
func (o *Owner) Place(ctx context.Context, w Want) Placement {
	if after, refused := o.refuses(w.Print); refused {
		return Placement{
			Refused:    true,
			RetryAfter: after,
			Cause:      Poison,
		}
	}
	began := o.clock()
	waited := w.Waited
	for ctx.Err() == nil {
		w.Waited = waited + o.clock().Sub(began)
		w.Charge.NearLimit = o.doubts(w.Charge)
		if a := o.placeOnce(ctx, w); !a.Later {
			return a
		}
	}
	return Placement{
		Refused: true,
	}
}

// placeOnce asks the placers in turn, and the own host if none answers (rule 3).
func (o *Owner) placeOnce(ctx context.Context, w Want) Placement {
	var placed Placement
	if o.inTurn(ctx, o.reach, func(h hingeids.HostID) (bool, error) {
		var err error
		placed, err = o.ask(ctx, h, w)
		return placed.NotHere, err
	}) {
		if placed.Decode != "" {
			o.counted(w.Charge)
		}
		return placed
	}
	if ctx.Err() != nil {
		return Placement{
			Refused: true,
		}
	}
	if v := o.admitAlone(w.Charge); !v.Admitted {
		return Placement{
			Refused:    true,
			RetryAfter: v.RetryAfter,
			Cause:      causeOf(v),
		}
	}
	charge := w.Charge
	w.Charge = hingequota.Charge{}
	placed = o.alone.Place(ctx, o.self, w)
	placed.Alone = true
	if placed.Decode == "" {
		o.discount(charge)
	}
	return placed
}

// inTurn asks the placers that aren't taken for silent until one answers that it places here, and reports whether one did.
func (o *Owner) inTurn(ctx context.Context, r *reach, ask func(h hingeids.HostID) (notHere bool, err error)) bool {
	for _, h := range o.fleets.Placers() {
		if r.isSilent(h) {
			continue
		}
		notHere, err := ask(h)
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
		if !notHere {
			o.heard(h)
			return true
		}
	}
	return false
}

func (o *Owner) ask(ctx context.Context, h hingeids.HostID, w Want) (Placement, error) {
	one, stop := context.WithTimeout(ctx, holdTime+reachTime)
	defer stop()
	body, err := cbor.Marshal(w)
	if err != nil {
		return Placement{}, eris.Wrap(err, "a stream to be placed")
	}
	b, err := o.reach.call(one, h, methodPlace, body)
	if err != nil {
		return Placement{}, err
	}
	var a Placement
	return a, eris.Wrap(cbor.Unmarshal(b, &a), "placement")
}

// Begin notes a stream that was placed.
func (o *Owner) Begin(w Want, a Placement) *Stream {
	s := &Stream{
		owner:   o,
		service: w.Service,
		progress: hingefleet.Progress{
			ID:       w.ID,
			Decode:   a.Decode,
			Prompt:   w.Prompt,
			Expected: w.Expected,
		},
	}
	o.mu.Lock()
	o.streams[w.ID] = s
	o.mu.Unlock()
	o.changed()
	return s
}

// Note tells the placer how an engine did with the stream.
func (s *Stream) Note(server hingeids.ServerID, o hingefleet.Outcome) {
	s.owner.tell(s.service, hingefleet.OutcomeReport{
		Server:    server,
		Outcome:   o,
		Stream:    s.progress.ID,
		Generated: s.made(),
	})
}

// made is how many tokens have come.
func (s *Stream) made() hingeids.Tokens {
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	return s.progress.Generated
}

// Made notes how many tokens have come.
func (s *Stream) Made(t hingeids.Tokens) {
	o := s.owner
	o.mu.Lock()
	first := s.progress.Generated == 0
	s.progress.Generated = t
	o.mu.Unlock()
	if first {
		o.changed()
	}
}

// End notes that a stream is over, however it ended.
func (s *Stream) End() {
	o := s.owner
	o.mu.Lock()
	delete(o.streams, s.progress.ID)
	o.mu.Unlock()
	o.changed()
}

func (o *Owner) tell(service hingeids.Service, n hingefleet.OutcomeReport) {
	o.mu.Lock()
	o.notes = append(o.notes, note{
		Service: service,
		Note:    n,
	})
	o.mu.Unlock()
	o.changed()
}

func (o *Owner) changed() {
	select {
	case o.dirty <- struct{}{}:
	default:
	}
}

// Run reports until the context ends.
func (o *Owner) Run(ctx context.Context) error {
	defer close(o.done)
	inner, stop := context.WithCancel(ctx)
	defer func() {
		stop()
		<-o.alone.Done()
	}()
	go func() {
		// It ends with the context and never fails.
		_ = o.alone.Run(inner)
	}()
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	to := hingeids.HostID("")
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-o.dirty:
			hingeclock.Sleep(ctx, gatherReports)
		case <-ticker.C:
			placer := o.reportTo()
			if o.idle() && placer == to {
				continue
			}
			to = placer
		}
		o.report(ctx)
	}
}

func (o *Owner) idle() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.streams) == 0 && o.quotas.idle(o.clock())
}

// reportTo gives the host to report to: the one that answered last, since whoever places has to know of the streams, and before any has
// answered the one that is asked first.
func (o *Owner) reportTo() hingeids.HostID {
	list := o.fleets.Placers()
	o.mu.Lock()
	defer o.mu.Unlock()
	if slices.Contains(list, o.answered) {
		return o.answered
	}
	return first(list)
}

func (o *Owner) report(ctx context.Context) {
	h := o.reportTo()
	r := o.whole(h)
	o.alone.post(ctx, func(now time.Time) {
		o.alone.take(now, o.self, r)
	})
	if h == "" {
		return
	}
	one, stop := context.WithTimeout(ctx, reportTime)
	defer stop()
	b, err := o.reach.call(one, h, methodReport, message(r))
	var a reported
	if err == nil {
		err = cbor.Unmarshal(b, &a)
	}
	// A report that is lost is made good by the next one, within half a second.
	o.reported(r, a, err)
	o.toldEnds(h, r, a, err)
}

// first gives the host that is asked first, if any.
func first(list []hingeids.HostID) hingeids.HostID {
	if len(list) == 0 {
		return ""
	}
	return list[0]
}

func (o *Owner) whole(to hingeids.HostID) report {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sequence++
	r := report{
		Sequence: o.sequence,
		Streams:  make(map[hingeids.Service][]hingefleet.Progress),
		Notes:    o.notes,
	}
	o.notes = nil
	o.quotas.fill(o.clock(), &r)
	r.Ends, r.Passes = o.ends.Unreported(o.clock(), to)
	for _, s := range o.streams {
		r.Streams[s.service] = append(r.Streams[s.service], s.progress)
	}
	return r
}
