package hingemembers

import (
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// Rounds and how silence is judged, in rule 4.
const (
	roundEvery = 200 * time.Millisecond
	// sentRounds is how many rounds an answer may be late and still count.
	sentRounds = 64
	// fewPeers is up to how many peers every one is probed each round; with more,
	// probesPerRound are. Both keep a member under its bytes, see spread.go.
	fewPeers       = 8
	probesPerRound = 4
	// overdueProbes bounds how many silent peers are probed beyond that.
	overdueProbes = 4
	// leastGap bears three lost probes in a row; mostGap bounds how long a
	// slow host can put off being found dead.
	leastGap = 700 * time.Millisecond
	mostGap  = 2 * time.Second
	// askedPeers is through how many others a silent host is probed.
	askedPeers = 3
)

// Step does what is due: a round of probes. It gives what to send, and when to
// step again.
func (s *State) Step(now time.Time) (send []Outgoing, next time.Time) {
	send = s.flushUrgent(now)
	if now.Before(s.nextAt) {
		return send, s.nextAt
	}
	s.nextAt = now.Add(roundEvery)
	s.round++
	s.sentAt[s.round%sentRounds] = now
	s.servers.Step(now)
	s.forgetTurns(now)
	for _, p := range s.targets(now) {
		if p.waitingSince.IsZero() {
			p.waitingSince = now
		}
		send = append(send, s.outgoing(now, p.Host, Message{
			Kind:   kindProbe,
			Origin: s.life,
			Round:  s.round,
		}))
	}
	send = append(send, s.judge(now)...)
	return send, s.nextAt
}

// targets chooses whom to probe this round. Rule 3.
func (s *State) targets(now time.Time) []*peer {
	if len(s.peers) <= fewPeers {
		return s.peers
	}
	var out []*peer
	for _, p := range s.peers {
		if len(out) < overdueProbes && p.overdue(now) && !p.fact.Over {
			out = append(out, p)
		}
	}
	for range probesPerRound {
		out = append(out, s.nextInOrder())
	}
	return out
}

func (s *State) nextInOrder() *peer {
	if len(s.order) == 0 {
		s.order = append(s.order, s.peers...)
		s.random.Shuffle(len(s.order), func(i, j int) {
			s.order[i], s.order[j] = s.order[j], s.order[i]
		})
	}
	p := s.order[0]
	s.order = s.order[1:]
	return p
}

// gap is the longest ordinary wait for an answer of the peer.
func (p *peer) gap() time.Duration {
	return p.gaps.Bound(leastGap, mostGap)
}

func (p *peer) overdue(now time.Time) bool {
	return !p.waitingSince.IsZero() && now.Sub(p.waitingSince) > p.gap()
}

// silent reports that the peer has answered nobody we asked for twice its
// ordinary gap.
func (p *peer) silent(now time.Time) bool {
	return p.silentFor(now) > 2*p.gap()
}

func (p *peer) silentFor(now time.Time) time.Duration {
	if p.waitingSince.IsZero() {
		return 0
	}
	since := p.waitingSince
	if p.evidence.After(since) {
		since = p.evidence
	}
	return now.Sub(since)
}

// judge asks others about overdue peers, suspects silent ones and promises.
func (s *State) judge(now time.Time) []Outgoing {
	var send []Outgoing
	for _, p := range s.peers {
		if !p.known || p.fact.Over {
			continue
		}
		if p.overdue(now) && now.Sub(p.askedAt) > p.gap() {
			p.askedAt = now
			send = append(send, s.ask(now, p)...)
		}
		if p.silent(now) && !p.fact.Suspect {
			suspected := p.fact
			suspected.Suspect = true
			s.takeHost(suspected)
		}
		s.promise(now, p)
	}
	return send
}

// ask asks others to probe a peer. Rule 4.
func (s *State) ask(now time.Time, about *peer) []Outgoing {
	var send []Outgoing
	for _, i := range s.random.Perm(len(s.peers)) {
		p := s.peers[i]
		if p == about || p.overdue(now) || p.fact.Over {
			continue
		}
		send = append(send, s.outgoing(now, p.Host, Message{
			Kind:   kindAsk,
			Origin: s.life,
			Round:  s.round,
			About:  about.fact.Life,
		}))
		if len(send) == askedPeers {
			break
		}
	}
	return send
}

// Receive takes a datagram from a peer and gives what to send at once.
func (s *State) Receive(now time.Time, from hingeids.HostID, m Message) []Outgoing {
	p := s.byHost[from]
	if p == nil || m.From.Host != from {
		return nil
	}
	s.takeHost(HostFact{
		Life: m.From,
	})
	if m.From.Incarnation < p.fact.Life.Incarnation {
		return s.tellOver(now, p)
	}
	p.evidence = now
	s.takeFacts(now, m)
	s.compareDigest(p, m)
	switch m.Kind {
	case kindProbe:
		return s.acknowledge(now, p, m)
	case kindAck:
		return s.takeAck(now, p, m)
	case kindAsk:
		return s.passAsk(now, m)
	}
	return nil
}

// tellOver answers a life that ended: whoever lives it must learn of it.
func (s *State) tellOver(now time.Time, p *peer) []Outgoing {
	o := s.outgoing(now, p.Host, Message{
		Kind: kindNews,
	})
	o.Message.Hosts = append(o.Message.Hosts, p.fact)
	return []Outgoing{o}
}

func (s *State) takeFacts(now time.Time, m Message) {
	for _, f := range m.Hosts {
		s.takeHost(f)
	}
	for _, a := range m.Against {
		s.takeTestimony(a)
	}
	for _, a := range m.Servers {
		if a.Announcement.Check() == nil {
			s.takeServer(now, a.Announcement, a.Age, false)
		}
	}
}

// acknowledge answers a probe. One that came on another's behalf renews nothing.
func (s *State) acknowledge(now time.Time, p *peer, m Message) []Outgoing {
	answer := Message{
		Kind:   kindAck,
		Origin: m.Origin,
		Round:  m.Round,
		About:  s.life,
	}
	if m.Origin == m.From && s.mayRenew(m.From) {
		answer.Leased = true
		p.leasedAt = now
	}
	out := s.outgoing(now, p.Host, answer)
	if p.fact.Suspect || p.fact.Over {
		out.Message.Hosts = append(out.Message.Hosts, p.fact) // So that it can refute, or end. Rule 5.
	}
	return []Outgoing{out}
}

// takeAck takes the answer to an own probe, or passes it on to who asked.
func (s *State) takeAck(now time.Time, p *peer, m Message) []Outgoing {
	if m.Origin.Host != s.life.Host {
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
	if m.Origin != s.life || m.Round > s.round || s.round-m.Round >= sentRounds {
		return nil
	}
	sent := s.sentAt[m.Round%sentRounds]
	if m.About != m.From {
		s.takeRelayed(sent, m.About)
		return nil
	}
	if !p.waitingSince.IsZero() {
		p.gaps.Observe(now.Sub(p.waitingSince))
		p.waitingSince = time.Time{}
	}
	if until := sent.Add(lifeLease); m.Leased && until.After(p.standUntil) {
		p.standUntil = until
	}
	return nil
}

// takeRelayed takes that a peer answered another who probed it for us.
func (s *State) takeRelayed(sent time.Time, about hingeids.Instance) {
	p := s.byHost[about.Host]
	if p != nil && p.fact.Life == about && sent.After(p.evidence) {
		p.evidence = sent
	}
}

// passAsk probes a host on another's behalf.
func (s *State) passAsk(now time.Time, m Message) []Outgoing {
	if s.byHost[m.About.Host] == nil {
		return nil
	}
	return []Outgoing{s.outgoing(now, m.About.Host, Message{
		Kind:   kindProbe,
		Origin: m.Origin,
		Round:  m.Round,
	})}
}
