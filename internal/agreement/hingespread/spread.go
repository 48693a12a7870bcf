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

// Peer is an entry host as the settings name it.
type Peer struct {
	Host hingeids.HostID
	Zone hingeids.Zone
	Disk bool
}

// Settings of one host's part in spreading.
type Settings struct {
	Self hingeids.Instance
	Zone hingeids.Zone
	// Peers are all entry hosts, this one among them.
	Peers    []Peer
	Clock    func() time.Time
	Recorder *hingeevents.Recorder
}

const (
	// witnesses is the number of peers that remember what a host applies.
	witnesses = 3
	// witnessWait bounds how long a change waits for a witness (rule 6).
	witnessWait = 300 * time.Millisecond
	// reportEvery is how often witnesses are told again.
	reportEvery = 5 * time.Second
	// retryPause, doubled up to longestPause, keeps hosts that reach no source
	// from calling without a break.
	retryPause   = 200 * time.Millisecond
	longestPause = time.Second
	// recallOthers is the number of peers beside the witnesses that are asked at
	// once. To ask all at a start without a quorum would be a burst of
	// calls that grows with the square of a zone's hosts.
	recallOthers = 3
	// recallWait bounds how long peers are waited for at a start.
	recallWait = 500 * time.Millisecond
	// lagWait bounds how long status waits for a disk host that is gone.
	lagWait = 200 * time.Millisecond
)

// Spread is one host's part.
type Spread struct {
	settings Settings
	link     hingelink.Link
	source   *source
	choose   *chooser
	applied  hingeboard.Cell[State]
	peers    []hingeids.HostID
	watchers []hingeids.HostID
	// others are the peers that aren't witnesses.
	others []hingeids.HostID
	// tries counts rounds without any source.
	tries    int
	mu       sync.Mutex
	memories map[hingeids.HostID]hingeids.Revision
	done     chan struct{}
}

// New makes a host's part and sets its handlers. Origin is nil on a host without a disk.
func New(s Settings, link hingelink.Link, origin Origin) *Spread {
	x := &Spread{
		settings: s,
		link:     link,
		memories: make(map[hingeids.HostID]hingeids.Revision),
		done:     make(chan struct{}),
	}
	var sources []hingeids.HostID
	for _, p := range s.Peers {
		if p.Disk {
			sources = append(sources, p.Host)
		}
		if p.Zone == s.Zone && p.Host != s.Self.Host {
			x.peers = append(x.peers, p.Host)
		}
	}
	rank(x.peers, string(s.Self.Host))
	n := min(witnesses, len(x.peers))
	x.watchers, x.others = x.peers[:n], x.peers[n:]
	rank(sources, string(s.Self.Host))
	if origin != nil {
		// A disk host follows itself first; its own log is as near as any.
		sources = slices.DeleteFunc(sources, func(h hingeids.HostID) bool {
			return h == s.Self.Host
		})
		sources = append([]hingeids.HostID{s.Self.Host}, sources...)
		x.source = newSource(origin, s.Clock)
		link.HandleCall(methodFollow, x.source.follow)
		link.HandleCall(methodLag, func(context.Context, hingeids.HostID, []byte) ([]byte, error) {
			return encode(x.source.lags()), nil
		})
	}
	x.choose = newChooser(sources, x.watchers)
	x.publish()
	link.HandleCall(methodWitness, func(_ context.Context, from hingeids.HostID, body []byte) ([]byte, error) {
		return nil, x.witness(from, body)
	})
	link.HandleDatagram(methodWitness, func(from hingeids.HostID, body []byte) {
		_ = x.witness(from, body)
	})
	link.HandleCall(methodRecall, func(_ context.Context, from hingeids.HostID, _ []byte) ([]byte, error) {
		return encode(x.recollect(from)), nil
	})
	return x
}

// Applied is where the configuration in force is published.
func (x *Spread) Applied() *hingeboard.Cell[State] {
	return &x.applied
}

// Done closes when Run has ended.
func (x *Spread) Done() <-chan struct{} {
	return x.done
}

// Run follows until the context ends.
func (x *Spread) Run(ctx context.Context) error {
	defer close(x.done)
	var reports sync.WaitGroup
	defer reports.Wait()
	reports.Go(func() {
		x.reportAgain(ctx)
	})
	for ctx.Err() == nil {
		x.round(ctx)
	}
	return nil
}

func (x *Spread) publish() {
	s := x.choose.state
	x.applied.Store(&s)
}

// round asks one source once (rule 1).
func (x *Spread) round(ctx context.Context) {
	from := x.choose.source(x.settings.Clock())
	a, err := x.ask(ctx, from)
	now := x.settings.Clock()
	wasCutOff := !x.choose.state.CutOffSince.IsZero()
	if err != nil {
		x.choose.silent(now, from)
	} else {
		next := x.choose.heard(now, from, a)
		// A fresh answer proves that nothing newer was ever in force (rule 5).
		x.putInForce(ctx, next, a.Fresh)
	}
	x.tellCutOff(now, wasCutOff)
	if x.choose.allMissed() {
		x.cutOff(ctx)
	} else {
		x.tries = 0
	}
	x.publish()
}

func (x *Spread) ask(ctx context.Context, from hingeids.HostID) (answer, error) {
	hold := x.choose.hold
	if !x.choose.state.Ready {
		// The source may ask the leader first, and wait for what it hears.
		hold = longestHold
	}
	one, stop := context.WithTimeout(ctx, hold+answerGrace)
	defer stop()
	b, err := x.call(one, from, methodFollow, encode(request{
		Incarnation: x.settings.Self.Incarnation,
		Applied:     x.choose.state.View.Revision,
		Fresh:       !x.choose.state.Ready,
	}))
	if err != nil {
		return answer{}, err
	}
	return decode[answer](b)
}

// call asks the own source in place.
func (x *Spread) call(
	ctx context.Context, to hingeids.HostID, m hingelink.Method, body []byte,
) ([]byte, error) {
	if to == x.settings.Self.Host && x.source != nil && m == methodFollow {
		return x.source.follow(ctx, to, body)
	}
	return x.link.Call(ctx, to, m, body)
}

// cutOff is what a host does that reaches no source: before it is ready it
// asks its peers, afterwards it goes on with what it has (rules 6 and 7).
func (x *Spread) cutOff(ctx context.Context) {
	if !x.choose.state.Ready {
		next, ready := x.choose.recalled(x.recall(ctx))
		if next.Revision > x.choose.state.View.Revision {
			x.settings.Recorder.Record(x.settings.Clock(), hingeevents.RevisionFromPeer, hingeevents.Fields{
				Revision: next.Revision,
			})
		}
		x.putInForce(ctx, next, ready)
	}
	pause := time.NewTimer(min(retryPause<<min(x.tries, 5), longestPause))
	defer pause.Stop()
	x.tries++
	select {
	case <-pause.C:
	case <-ctx.Done():
	}
}

// putInForce takes the next view, if any. Witnesses are told only by a host that
// is ready: the word of one that isn't would pass for a memory of its earlier life.
func (x *Spread) putInForce(ctx context.Context, next *hingeconfig.View, proven bool) {
	s := &x.choose.state
	becomesReady := proven && !s.Ready
	if next == nil {
		next = s.View
	}
	if next.Revision == s.View.Revision && !becomesReady {
		return
	}
	if s.Ready || proven {
		x.tellWitnesses(ctx, next.Revision)
	}
	s.View = next
	s.Ready = s.Ready || proven
	x.publish()
	x.settings.Recorder.Record(x.settings.Clock(), hingeevents.RevisionApplied, hingeevents.Fields{
		Revision: next.Revision,
	})
}

func (x *Spread) tellCutOff(now time.Time, was bool) {
	is := !x.choose.state.CutOffSince.IsZero()
	switch {
	case is && !was:
		x.settings.Recorder.Record(now, hingeevents.SpreadingCutOff, hingeevents.Fields{
			Revision: x.choose.state.View.Revision,
		})
	case was && !is:
		x.settings.Recorder.Record(now, hingeevents.SpreadingMended, hingeevents.Fields{
			Host: x.choose.state.Source,
		})
	}
}

// Lag asks all disk hosts how far the others are behind; of two that know of a
// host, the one that heard from it last counts.
func (x *Spread) Lag(ctx context.Context) []Lag {
	answers := make(chan []Lag, len(x.settings.Peers))
	var calls sync.WaitGroup
	for _, p := range x.settings.Peers {
		if p.Disk {
			calls.Go(func() {
				answers <- x.lagAt(ctx, p.Host)
			})
		}
	}
	calls.Wait()
	close(answers)
	newest := make(map[hingeids.HostID]Lag)
	for list := range answers {
		for _, l := range list {
			if l.HeardAt >= newest[l.Host].HeardAt {
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

// lagAt gives what one disk host knows; nothing if it is silent.
func (x *Spread) lagAt(ctx context.Context, h hingeids.HostID) []Lag {
	if h == x.settings.Self.Host && x.source != nil {
		return x.source.lags()
	}
	one, stop := context.WithTimeout(ctx, lagWait)
	defer stop()
	b, err := x.link.Call(one, h, methodLag, nil)
	if err != nil {
		return nil
	}
	list, err := decode[[]Lag](b)
	if err != nil {
		return nil
	}
	return list
}
