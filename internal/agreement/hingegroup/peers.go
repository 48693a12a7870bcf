package hingegroup

import (
	"sync"
	"time"

	"github.com/swifthinge/swifthinge/internal/agreement/hingelog"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// maxPeers limits the hosts that a host remembers having heard. It exceeds the number of hosts with
// a disk in a group.
const maxPeers = 64

// Peer is another host of the group as last heard.
type Peer struct {
	// Member is the host with the newest incarnation of its disk that was heard.
	Member  hingelog.Member
	HeardAt time.Time
	// LastIndex is the highest index of its log that its messages stated; zero if none did.
	LastIndex hingelog.Index
}

// peers records the hosts from which messages of the group arrive, also those that aren't members and
// those whose messages are meant for an earlier incarnation of this host's disk. It is safe for
// concurrent use.
type peers struct {
	mu    sync.Mutex
	heard map[hingeids.HostID]Peer
}

func (p *peers) record(now time.Time, from hingelog.Member, last hingelog.Index) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.heard == nil {
		p.heard = make(map[hingeids.HostID]Peer)
	}
	known, found := p.heard[from.Host]
	switch {
	case !found && len(p.heard) >= maxPeers:
		p.removeOldest()
	case known.Member.Disk > from.Disk:
		// A delayed message of a lost disk.
		return
	case known.Member.Disk == from.Disk:
		last = max(last, known.LastIndex)
	}
	p.heard[from.Host] = Peer{
		Member:    from,
		HeardAt:   now,
		LastIndex: last,
	}
}

func (p *peers) removeOldest() {
	oldest := hingeids.HostID("")
	for h, x := range p.heard {
		if oldest == "" || x.HeardAt.Before(p.heard[oldest].HeardAt) {
			oldest = h
		}
	}
	delete(p.heard, oldest)
}

func (p *peers) all() []Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]Peer, 0, len(p.heard))
	for _, x := range p.heard {
		out = append(out, x)
	}
	return out
}

// statedIndex returns the index of its sender's log that a message states, or zero.
func statedIndex(m hingelog.Message) hingelog.Index {
	switch m.Kind {
	case hingelog.PreVote, hingelog.Vote, hingelog.CheckIn, hingelog.AppendResponse:
		return m.At.Index
	case hingelog.Append:
		return m.At.Index + hingelog.Index(len(m.Entries))
	default:
		return 0
	}
}
