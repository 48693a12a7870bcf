package hingemembers

import (
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// Timing of probe rounds and of failure detection (rule 4).
const (
	roundInterval = 200 * time.Millisecond
	// roundHistory is the number of rounds after which an acknowledgement is ignored.
	roundHistory = 64
	// fullProbePeers is the largest number of peers of which all are probed each round; of
	// more, probesPerRound are. Both limit a member's traffic, see gossip.go.
	fullProbePeers = 8
	probesPerRound = 4
	// maxOverdueProbes limits the additional probes a round to peers that don't answer.
	maxOverdueProbes = 4
	// minSilenceBound tolerates three lost probes in a row; maxSilenceBound limits how
	// long slow answers can delay the detection of a dead host.
	minSilenceBound = 700 * time.Millisecond
	maxSilenceBound = 2 * time.Second
	// indirectProbePeers is the number of other hosts through which a silent host is
	// probed.
	indirectProbePeers = 3
)

// Step runs a round of probes if one is due. It returns the datagrams to send and the time
// of the next step.
func (s *State) Step(now time.Time) (send []Outgoing, next time.Time) {
	send = s.flushUrgent(now)
	if now.Before(s.nextRoundAt) {
		return send, s.nextRoundAt
	}
	s.nextRoundAt = now.Add(roundInterval)
	s.round++
	s.sentAt[s.round%roundHistory] = now
	s.servers.Step(now)
	s.pruneHeartbeats(now)
	for _, p := range s.probeTargets(now) {
		if p.unansweredSince.IsZero() {
			p.unansweredSince = now
		}
		send = append(send, s.outgoing(now, p.Host, Message{
			Kind:   kindProbe,
			Origin: s.instance,
			Round:  s.round,
		}))
	}
	send = append(send, s.evaluatePeers(now)...)
	return send, s.nextRoundAt
}

// probeTargets implements rule 3.
func (s *State) probeTargets(now time.Time) []*peer {
	if len(s.peers) <= fullProbePeers {
		return s.peers
	}
	var out []*peer
	for _, p := range s.peers {
		if len(out) < maxOverdueProbes && p.probeOverdue(now) && !p.fact.Ended {
			out = append(out, p)
		}
	}
	for range probesPerRound {
		out = append(out, s.nextShuffled())
	}
	return out
}

func (s *State) nextShuffled() *peer {
	if len(s.probeOrder) == 0 {
		s.probeOrder = append(s.probeOrder, s.peers...)
		s.random.Shuffle(len(s.probeOrder), func(i, j int) {
			s.probeOrder[i], s.probeOrder[j] = s.probeOrder[j], s.probeOrder[i]
		})
	}
	p := s.probeOrder[0]
	s.probeOrder = s.probeOrder[1:]
	return p
}

func (p *peer) silenceBound() time.Duration {
	return p.intervals.Bound(minSilenceBound, maxSilenceBound)
}

func (p *peer) probeOverdue(now time.Time) bool {
	return !p.unansweredSince.IsZero() && now.Sub(p.unansweredSince) > p.silenceBound()
}

// A peer is silent after twice its silence bound, without answers to direct or
// indirect probes.
func (p *peer) silent(now time.Time) bool {
	return p.silentFor(now) > 2*p.silenceBound()
}

func (p *peer) silentFor(now time.Time) time.Duration {
	if p.unansweredSince.IsZero() {
		return 0
	}
	since := p.unansweredSince
	if p.lastSeen.After(since) {
		since = p.lastSeen
	}
	return now.Sub(since)
}

// evaluatePeers requests indirect probes of peers that don't answer, marks silent ones as
// suspect and casts failure votes that are due.
func (s *State) evaluatePeers(now time.Time) []Outgoing {
	var send []Outgoing
	for _, p := range s.peers {
		if !p.known || p.fact.Ended {
			continue
		}
		if p.probeOverdue(now) && now.Sub(p.indirectProbeAt) > p.silenceBound() {
			p.indirectProbeAt = now
			send = append(send, s.requestIndirectProbes(now, p)...)
		}
		if p.silent(now) && !p.fact.Suspect {
			suspected := p.fact
			suspected.Suspect = true
			s.mergeHost(suspected)
		}
		s.voteIfDue(now, p)
	}
	return send
}

// requestIndirectProbes implements rule 4.
func (s *State) requestIndirectProbes(now time.Time, about *peer) []Outgoing {
	var send []Outgoing
	for _, i := range s.random.Perm(len(s.peers)) {
		p := s.peers[i]
		if p == about || p.probeOverdue(now) || p.fact.Ended {
			continue
		}
		send = append(send, s.outgoing(now, p.Host, Message{
			Kind:   kindProbeRequest,
			Origin: s.instance,
			Round:  s.round,
			About:  about.fact.Instance,
		}))
		if len(send) == indirectProbePeers {
			break
		}
	}
	return send
}

// Receive applies a datagram from a peer and returns the datagrams to send in response.
func (s *State) Receive(now time.Time, from hingeids.HostID, m Message) []Outgoing {
	p := s.byHost[from]
	if p == nil || m.From.Host != from {
		return nil
	}
	s.mergeHost(HostFact{
		Instance: m.From,
	})
	if m.From.Incarnation < p.fact.Instance.Incarnation {
		return s.replyEnded(now, p)
	}
	p.lastSeen = now
	s.mergeFacts(now, m)
	s.compareDigest(p, m)
	switch m.Kind {
	case kindProbe:
		return s.acknowledge(now, p, m)
	case kindAck:
		return s.handleAck(now, p, m)
	case kindProbeRequest:
		return s.relayProbe(now, m)
	}
	return nil
}

// The instance may still be running.
func (s *State) replyEnded(now time.Time, p *peer) []Outgoing {
	o := s.outgoing(now, p.Host, Message{
		Kind: kindGossip,
	})
	o.Message.Hosts = append(o.Message.Hosts, p.fact)
	return []Outgoing{o}
}

func (s *State) mergeFacts(now time.Time, m Message) {
	for _, f := range m.Hosts {
		s.mergeHost(f)
	}
	for _, a := range m.FailureVotes {
		s.mergeVote(a)
	}
	for _, a := range m.Servers {
		if a.Announcement.Validate() == nil {
			s.mergeServer(now, a.Announcement, a.Age, false)
		}
	}
}

// An indirect probe renews no lease.
func (s *State) acknowledge(now time.Time, p *peer, m Message) []Outgoing {
	answer := Message{
		Kind:   kindAck,
		Origin: m.Origin,
		Round:  m.Round,
		About:  s.instance,
	}
	if m.Origin == m.From && s.mayRenew(m.From) {
		answer.Leased = true
		p.renewedAt = now
	}
	out := s.outgoing(now, p.Host, answer)
	if p.fact.Suspect || p.fact.Ended {
		out.Message.Hosts = append(out.Message.Hosts, p.fact) // Lets it refute the suspicion, or end (rule 5).
	}
	return []Outgoing{out}
}

// handleAck applies the answer to an own probe, or forwards the answer to an indirect one
// to the host that requested it.
func (s *State) handleAck(now time.Time, p *peer, m Message) []Outgoing {
	if m.Origin.Host != s.instance.Host {
		if s.byHost[m.Origin.Host] == nil || m.About != m.From {
			return nil
		}
		return []Outgoing{s.outgoing(now, m.Origin.Host, Message{
			Kind:   kindAck,
			Origin: m.Origin,
			Round:  m.Round,
			About:  m.About,
		})}
	}
	if m.Origin != s.instance || m.Round > s.round || s.round-m.Round >= roundHistory {
		return nil
	}
	sent := s.sentAt[m.Round%roundHistory]
	if m.About != m.From {
		s.handleRelayedAck(sent, m.About)
		return nil
	}
	if !p.unansweredSince.IsZero() {
		p.intervals.Observe(now.Sub(p.unansweredSince))
		p.unansweredSince = time.Time{}
	}
	if until := sent.Add(instanceLease); m.Leased && until.After(p.grantedUntil) {
		p.grantedUntil = until
	}
	return nil
}

func (s *State) handleRelayedAck(sent time.Time, about hingeids.Instance) {
	p := s.byHost[about.Host]
	if p != nil && p.fact.Instance == about && sent.After(p.lastSeen) {
		p.lastSeen = sent
	}
}

func (s *State) relayProbe(now time.Time, m Message) []Outgoing {
	if s.byHost[m.About.Host] == nil {
		return nil
	}
	return []Outgoing{s.outgoing(now, m.About.Host, Message{
		Kind:   kindProbe,
		Origin: m.Origin,
		Round:  m.Round,
	})}
}
