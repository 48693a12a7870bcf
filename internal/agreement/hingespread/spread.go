package hingespread

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/swifthinge/swifthinge/internal/agreement/hingeconfig"
	"github.com/swifthinge/swifthinge/internal/core/hingeboard"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/link/hingelink"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
)

// Peer is an entry host of the settings. HasDisk is set on a disk host.
type Peer struct {
	Host    hingeids.HostID
	Zone    hingeids.Zone
	HasDisk bool
}

// Settings configures a Replicator.
type Settings struct {
	Self hingeids.Instance
	Zone hingeids.Zone
	// Peers are all entry hosts, including this one.
	Peers    []Peer
	Clock    func() time.Time
	Recorder *hingeevents.Recorder
}

const (
	// maxRecordPeers is the number of peers that record a host's revision (rule 6).
	maxRecordPeers = 3
	// recordTimeout bounds how long a change waits for the record peers (rule 6).
	recordTimeout  = 300 * time.Millisecond
	recordInterval = 5 * time.Second
	// minRetryDelay is the first delay of a host that reaches no source. It doubles up
	// to maxRetryDelay.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = time.Second
	// recallExtraPeers is the number of peers queried at a time in addition to the
	// record peers. Querying all of them would cause a number of calls quadratic in
	// the size of the zone when it starts without a quorum.
	recallExtraPeers = 3
	recallTimeout    = 500 * time.Millisecond
	lagTimeout       = 200 * time.Millisecond
)

// Replicator follows the configuration on one host, and serves it to followers if the
// host has a disk.
type Replicator struct {
	settings    Settings
	link        hingelink.Link
	source      *source
	selector    *sourceSelector
	applied     hingeboard.Cell[State]
	peers       []hingeids.HostID
	recordPeers []hingeids.HostID
	// others are the peers of the zone that aren't record peers.
	others       []hingeids.HostID
	failedRounds int
	mu           sync.Mutex
	records      map[hingeids.HostID]hingeids.Revision
	done         chan struct{}
}

// New returns a host's Replicator and registers its handlers with the link. The
// origin is nil on a host without a disk.
func New(s Settings, link hingelink.Link, origin Origin) *Replicator {
	x := &Replicator{
		settings: s,
		link:     link,
		records:  make(map[hingeids.HostID]hingeids.Revision),
		done:     make(chan struct{}),
	}
	var sources []hingeids.HostID
	for _, p := range s.Peers {
		if p.HasDisk {
			sources = append(sources, p.Host)
		}
		if p.Zone == s.Zone && p.Host != s.Self.Host {
			x.peers = append(x.peers, p.Host)
		}
	}
	rankByHash(x.peers, string(s.Self.Host))
	n := min(maxRecordPeers, len(x.peers))
	x.recordPeers, x.others = x.peers[:n], x.peers[n:]
	rankByHash(sources, string(s.Self.Host))
	if origin != nil {
		// A disk host prefers itself as its source.
		sources = slices.DeleteFunc(sources, func(h hingeids.HostID) bool {
			return h == s.Self.Host
		})
		sources = append([]hingeids.HostID{s.Self.Host}, sources...)
		x.source = newSource(origin, s.Clock)
		link.HandleCall(methodFollow, x.source.handleFollow)
		link.HandleCall(methodLag, func(context.Context, hingeids.HostID, []byte) ([]byte, error) {
			return encode(x.source.lags()), nil
		})
	}
	x.selector = newSourceSelector(sources, x.recordPeers)
	x.publish()
	link.HandleCall(methodRecord, func(_ context.Context, from hingeids.HostID, body []byte) ([]byte, error) {
		return nil, x.handleRecord(from, body)
	})
	link.HandleDatagram(methodRecord, func(from hingeids.HostID, body []byte) {
		_ = x.handleRecord(from, body)
	})
	link.HandleCall(methodRecall, func(_ context.Context, from hingeids.HostID, _ []byte) ([]byte, error) {
		return encode(x.handleRecall(from)), nil
	})
	return x
}

// Applied returns the cell in which the configuration in force is published.
func (x *Replicator) Applied() *hingeboard.Cell[State] {
	return &x.applied
}

// Done returns a channel that is closed when Run has returned.
func (x *Replicator) Done() <-chan struct{} {
	return x.done
}

// Run polls sources until the context is done.
func (x *Replicator) Run(ctx context.Context) error {
	defer close(x.done)
	var reports sync.WaitGroup
	defer reports.Wait()
	reports.Go(func() {
		x.resendRecords(ctx)
	})
	for ctx.Err() == nil {
		x.pollOnce(ctx)
	}
	return nil
}

func (x *Replicator) publish() {
	s := x.selector.state
	x.applied.Store(&s)
}

// pollOnce implements rule 1.
func (x *Replicator) pollOnce(ctx context.Context) {
	source := x.selector.source(x.settings.Clock())
	resp, err := x.poll(ctx, source)
	now := x.settings.Clock()
	wasCutOff := !x.selector.state.CutOffSince.IsZero()
	if err != nil {
		x.selector.handleFailure(now, source)
	} else {
		next := x.selector.handleResponse(now, source, resp)
		// A confirmed response proves that no newer revision was ever in force (rule 5).
		x.apply(ctx, next, resp.NewestConfirmed)
	}
	x.recordCutOff(now, wasCutOff)
	if x.selector.allFailed() {
		x.handleCutOff(ctx)
	} else {
		x.failedRounds = 0
	}
	x.publish()
}

func (x *Replicator) poll(ctx context.Context, source hingeids.HostID) (response, error) {
	pollTime := x.selector.pollTime
	if !x.selector.state.Ready {
		// The source may have to read from the leader before it responds.
		pollTime = maxPollTime
	}
	callCtx, stop := context.WithTimeout(ctx, pollTime+responseGrace)
	defer stop()
	b, err := x.call(callCtx, source, methodFollow, encode(request{
		Incarnation:   x.settings.Self.Incarnation,
		Applied:       x.selector.state.View.Revision,
		ConfirmNewest: !x.selector.state.Ready,
	}))
	if err != nil {
		return response{}, err
	}
	return decode[response](b)
}

// A poll of this host itself doesn't use the link.
func (x *Replicator) call(
	ctx context.Context, to hingeids.HostID, m hingelink.Method, body []byte,
) ([]byte, error) {
	if to == x.settings.Self.Host && x.source != nil && m == methodFollow {
		return x.source.handleFollow(ctx, to, body)
	}
	return x.link.Call(ctx, to, m, body)
}

// A host that isn't ready queries its peers, a ready one keeps its configuration
// (rules 6 and 7). Both then delay the next round.
func (x *Replicator) handleCutOff(ctx context.Context) {
	if !x.selector.state.Ready {
		next, ready := x.selector.evaluateRecall(x.recall(ctx))
		if next.Revision > x.selector.state.View.Revision {
			x.settings.Recorder.Record(x.settings.Clock(), hingeevents.RevisionFromPeer, hingeevents.Fields{
				Revision: next.Revision,
			})
		}
		x.apply(ctx, next, ready)
	}
	timer := time.NewTimer(min(minRetryDelay<<min(x.failedRounds, 5), maxRetryDelay))
	defer timer.Stop()
	x.failedRounds++
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Only a ready host sends its revision to the record peers, since that of another
// would pass for a record of its earlier incarnation.
func (x *Replicator) apply(ctx context.Context, next *hingeconfig.View, proven bool) {
	s := &x.selector.state
	becomesReady := proven && !s.Ready
	if next == nil {
		next = s.View
	}
	if next.Revision == s.View.Revision && !becomesReady {
		return
	}
	if s.Ready || proven {
		x.sendRecord(ctx, next.Revision)
	}
	s.View = next
	s.Ready = s.Ready || proven
	x.publish()
	x.settings.Recorder.Record(x.settings.Clock(), hingeevents.RevisionApplied, hingeevents.Fields{
		Revision: next.Revision,
	})
}

func (x *Replicator) recordCutOff(now time.Time, wasCutOff bool) {
	cutOff := !x.selector.state.CutOffSince.IsZero()
	switch {
	case cutOff && !wasCutOff:
		x.settings.Recorder.Record(now, hingeevents.SpreadingCutOff, hingeevents.Fields{
			Revision: x.selector.state.View.Revision,
		})
	case wasCutOff && !cutOff:
		x.settings.Recorder.Record(now, hingeevents.SpreadingMended, hingeevents.Fields{
			Host: x.selector.state.Source,
		})
	}
}

// Lag queries all disk hosts for the lag of all hosts. If several know a host,
// the one that it polled last counts.
func (x *Replicator) Lag(ctx context.Context) []Lag {
	answers := make(chan []Lag, len(x.settings.Peers))
	var calls sync.WaitGroup
	for _, p := range x.settings.Peers {
		if p.HasDisk {
			calls.Go(func() {
				answers <- x.lagsFrom(ctx, p.Host)
			})
		}
	}
	calls.Wait()
	close(answers)
	newest := make(map[hingeids.HostID]Lag)
	for list := range answers {
		for _, l := range list {
			if l.LastSeen >= newest[l.Host].LastSeen {
				newest[l.Host] = l
			}
		}
	}
	out := make([]Lag, 0, len(newest))
	for _, l := range newest {
		out = append(out, l)
	}
	sortLags(out)
	return out
}

// lagsFrom returns nil if the host doesn't respond.
func (x *Replicator) lagsFrom(ctx context.Context, h hingeids.HostID) []Lag {
	if h == x.settings.Self.Host && x.source != nil {
		return x.source.lags()
	}
	callCtx, stop := context.WithTimeout(ctx, lagTimeout)
	defer stop()
	b, err := x.link.Call(callCtx, h, methodLag, nil)
	if err != nil {
		return nil
	}
	list, err := decode[[]Lag](b)
	if err != nil {
		return nil
	}
	return list
}
