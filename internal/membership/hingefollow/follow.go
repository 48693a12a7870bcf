// Package hingefollow takes what the control hosts know to everyone else: the
// configuration in force and the directory of backend servers.
//
//  1. A follower asks a few control hosts (mostFollowed), each with one long
//     question at a time: those of its own zone first, then others by
//     lot. The leader isn't preferred: it places requests, and needs its processor
//     for that. An answer comes at a change, or when the hold time is over. Each
//     answer is whole in itself, so a lost one costs a question and nothing else.
//  2. A follower takes the newest of all that it hears: of the configuration the
//     highest version, of a backend server the newest record. So a control host that is cut
//     off can hold nobody back, and nothing in force ever goes back to an older state.
//  3. A follower learns control hosts from its seeds and from answers, and forgets one
//     that no control host names and that doesn't answer.
//  4. A follower is ready once a control host has confirmed, by asking the leader,
//     that its configuration isn't older than one that was accepted before the
//     question: a process that restarts must not come up with an older one.
//  5. Control hosts follow each other too, so a follower that reaches only one of them
//     still hears everything. Records that are merged twice change nothing, which
//     ends the round.
//  6. A configuration comes from the first of those that are asked; the others only say its
//     version, and send it when they are asked once more because it hasn't come.
//  7. After a change of servers all followers have to be answered, hundreds of them. A
//     control host gathers changes for as long as these answers take it, so that many
//     changes in a row (a cut that ends, a start of everything) don't keep it from
//     placing requests; followers that know as much get the same answer. A new leader
//     or configuration is told at once.
//  8. What the configuration lacks is not denied by a follower that may be behind: it asks first whether
//     there is a newer one, which a control host confirms by asking the leader.
//  9. The list of the requests that end servers goes the same way, at once and whole: it is short, and changes a few times a day.
package hingefollow

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/agreement/hingeversion"
	"github.com/swifthinge/swifthinge/internal/core/hingeboard"
	"github.com/swifthinge/swifthinge/internal/core/hingeclock"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/decide/hingepoison"
	"github.com/swifthinge/swifthinge/internal/link/hingelink"
	"github.com/swifthinge/swifthinge/internal/membership/hingeannounce"
)

const methodFollow hingelink.Method = "follow.ask"

const (
	// hold is how long a question waits for a change. A host that is asked once
	// in two seconds by each of 560 followers spends 280 small answers a second on it.
	hold = 2 * time.Second
	// answerGrace is how long after the hold time an answer may come; a link that has
	// gone silent is given up by then.
	answerGrace = 500 * time.Millisecond
	// freshWait bounds how long a control host asks the leader for rule 4.
	freshWait = time.Second
	// retryPause keeps a follower from asking a host that is away without a break.
	retryPause = 150 * time.Millisecond
	// forgetAfter is how long a control host that nobody names may go unheard.
	forgetAfter = 10 * time.Second
	// mostFollowed is how many control hosts an entry host asks. One may be cut off, and
	// another be ending: with three somebody is always heard, and 560 hosts ask
	// 840 questions a second of 15 control hosts, not 4,200.
	mostFollowed = 3
	// briefWait is how long a configuration may be late behind its version (rule 6).
	briefWait = 150 * time.Millisecond
	// leastGather is how long an answer waits for more after a change: a control host that
	// comes back hears dozens of servers at once.
	leastGather = 2 * time.Millisecond
	// gatherPerFollower lengthens it with those who ask (rule 7): a call takes 0.17 ms of a server-class core, a control host
	// may have half of one, and two thirds of that are for requests.
	gatherPerFollower = time.Millisecond
	// mostGather bounds it: a server that leaves may get no work two seconds later, and what one control host heard is gathered by
	// a second one.
	mostGather = 300 * time.Millisecond
	// shareFor is how long an answer is given to others who know as much: those who wait are answered within it.
	shareFor = 20 * time.Millisecond
)

// question is what a follower asks.
type question struct {
	// Life is the life of the asked host that Change speaks of.
	Life   hingeids.Incarnation `cbor:"1,keyasint"`
	Change uint64               `cbor:"2,keyasint"`
	// Version is that of the configuration held.
	Version hingeversion.Version `cbor:"3,keyasint"`
	// Fresh asks for rule 4.
	Fresh bool `cbor:"4,keyasint,omitempty"`
	// Entry says that the follower takes requests from callers.
	Entry bool `cbor:"5,keyasint,omitempty"`
	// Brief asks for the version of a newer configuration only (rule 6).
	Brief bool `cbor:"6,keyasint,omitempty"`
	// Once says that the follower asks this host for rule 8, and doesn't follow it.
	Once bool `cbor:"7,keyasint,omitempty"`
	// Poisons is the revision of the list held (rule 9).
	Poisons uint64 `cbor:"8,keyasint,omitempty"`
}

// named is a control host as others name it.
type named struct {
	Host hingeids.HostID `cbor:"1,keyasint"`
	Zone hingeids.Zone   `cbor:"2,keyasint,omitempty"`
}

// answer is what a control host says.
type answer struct {
	Life     hingeids.Incarnation   `cbor:"1,keyasint"`
	Change   uint64                 `cbor:"2,keyasint"`
	Records  []hingeannounce.Record `cbor:"3,keyasint,omitempty"`
	Document *hingeversion.Document `cbor:"4,keyasint,omitempty"`
	Leader   hingeids.HostID        `cbor:"5,keyasint,omitempty"`
	Control  []named                `cbor:"6,keyasint,omitempty"`
	// Version is that of the newest configuration, whether or not Document is sent.
	Version hingeversion.Version `cbor:"12,keyasint,omitempty"`
	// Askers are the entry hosts that ask this host, told to control hosts only; Entries is how many there are in all.
	Askers  Askers        `cbor:"15,keyasint,omitempty"`
	Entries int           `cbor:"7,keyasint,omitempty"`
	Fresh   bool          `cbor:"8,keyasint,omitempty"`
	InTouch bool          `cbor:"9,keyasint,omitempty"`
	Term    uint64        `cbor:"10,keyasint,omitempty"`
	Zone    hingeids.Zone `cbor:"11,keyasint,omitempty"`
	// Poisons is the list of the requests that end servers, if it is newer than the follower's.
	Poisons *hingepoison.List `cbor:"16,keyasint,omitempty"`
}

// State is what a follower knows; nobody changes it.
type State struct {
	Document hingeversion.Document
	// Poisons are the requests that end servers.
	Poisons hingepoison.List
	// Ready is rule 4.
	Ready bool
	// Leader is the control host that leads, as heard last, in its term.
	Leader hingeids.HostID
	Term   uint64
	// Entries is how many hosts take requests from callers, as heard last.
	Entries int
	// Control are the control hosts known of, by name.
	Control []ControlHost
	// HeardAt is when a control host in touch with the leader was heard last.
	HeardAt time.Time
}

// ControlHost is a control host as it was heard last.
type ControlHost struct {
	Host hingeids.HostID
	Zone hingeids.Zone
	// InTouch says that it heard a leader, HeardAt when it said so; zero before it said anything.
	InTouch bool
	HeardAt time.Time
	// Askers are the entry hosts that ask it.
	Askers Askers
}

// Settings of a follower.
type Settings struct {
	Self hingeids.HostID
	Zone hingeids.Zone
	// Entry says that the host takes requests from callers. Others are control hosts, and
	// follow all of their kind (rule 5).
	Entry bool
	Clock func() time.Time
	// Took is called for each record that is new here, in no goroutine of its own.
	Took func(now time.Time, records []hingeannounce.Record)
}

// Follower follows the control hosts.
type Follower struct {
	settings Settings
	link     hingelink.Link
	state    hingeboard.Cell[State]
	done     chan struct{}

	mu    sync.Mutex
	hosts map[hingeids.HostID]*host
	seeds []hingeids.HostID
	// newest is the last search of rule 8.
	newest *finding
	all    sync.WaitGroup
}

// New makes a follower of the seeds.
func New(s Settings, link hingelink.Link, seeds []hingeids.HostID) *Follower {
	f := &Follower{
		settings: s,
		link:     link,
		hosts:    make(map[hingeids.HostID]*host),
		seeds:    slices.Clone(seeds),
		done:     make(chan struct{}),
	}
	f.state.Store(&State{})
	return f
}

// State is where what is known is published.
func (f *Follower) State() *hingeboard.Cell[State] {
	return &f.state
}

// Done closes when Run has ended.
func (f *Follower) Done() <-chan struct{} {
	return f.done
}

// Reseed takes other seeds.
func (f *Follower) Reseed(seeds []hingeids.HostID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seeds = slices.Clone(seeds)
}

// lookEvery is how often the list of control hosts is gone through.
const lookEvery = 250 * time.Millisecond

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	defer close(f.done)
	defer f.all.Wait()
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	for {
		f.look(ctx, f.settings.Clock())
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// follow asks one control host until the context ends.
func (f *Follower) follow(ctx context.Context, id hingeids.HostID, h *host) {
	for ctx.Err() == nil {
		a, err := f.ask(ctx, id, h)
		now := f.settings.Clock()
		if err != nil {
			hingeclock.Sleep(ctx, retryPause)
			continue
		}
		f.take(now, h, a)
		if f.lacks(a.Version) {
			hingeclock.Sleep(ctx, briefWait)
			f.note(h, f.lacks(a.Version))
		}
	}
}

// lacks reports whether a configuration has been told of that hasn't come.
func (f *Follower) lacks(v hingeversion.Version) bool {
	return f.state.Load().Document.Version < v
}

// note notes whether a host has to send a configuration whole.
func (f *Follower) note(h *host, behind bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	h.behind = behind
}

func (f *Follower) ask(ctx context.Context, id hingeids.HostID, h *host) (answer, error) {
	s := f.state.Load()
	f.mu.Lock()
	q := question{
		Life:    h.life,
		Change:  h.change,
		Version: s.Document.Version,
		Poisons: s.Poisons.Revision,
		Fresh:   !s.Ready,
		Entry:   f.settings.Entry,
		Brief:   s.Ready && !h.first && !h.behind,
	}
	f.mu.Unlock()
	one, stop := context.WithTimeout(ctx, hold+answerGrace)
	defer stop()
	return f.put(one, id, q)
}

// put puts a question to a control host.
func (f *Follower) put(ctx context.Context, id hingeids.HostID, q question) (answer, error) {
	body, err := cbor.Marshal(q)
	if err != nil {
		return answer{}, eris.Wrap(err, "question to a control host")
	}
	b, err := f.link.Call(ctx, id, methodFollow, body)
	if err != nil {
		return answer{}, err
	}
	var a answer
	return a, eris.Wrap(cbor.Unmarshal(b, &a), "answer of a control host")
}

// take brings an answer into the state (rule 2).
func (f *Follower) take(now time.Time, h *host, a answer) {
	if len(a.Records) > 0 {
		f.settings.Took(now, a.Records)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	h.heard = now
	h.life = a.Life
	h.change = a.Change
	h.zone = a.Zone
	h.behind = false
	h.inTouch = a.InTouch
	h.askers = a.Askers
	next := *f.state.Load()
	if a.Document != nil && a.Document.Version > next.Document.Version {
		next.Document = *a.Document
	}
	if a.Poisons != nil && a.Poisons.Revision > next.Poisons.Revision {
		next.Poisons = *a.Poisons
	}
	// What a host that hears no leader says of control hosts may be old.
	if a.InTouch {
		next.HeardAt = now
		if a.Entries > 0 {
			next.Entries = a.Entries
		}
		for _, c := range a.Control {
			f.name(now, c.Host)
			if h := f.hosts[c.Host]; h != nil && c.Zone != "" {
				h.zone = c.Zone
			}
		}
	}
	if a.Leader != "" && a.Term >= next.Term {
		next.Leader = a.Leader
		next.Term = a.Term
	}
	next.Ready = next.Ready || a.Fresh && next.Document.Version > 0
	next.Control = f.control()
	f.state.Store(&next)
}
