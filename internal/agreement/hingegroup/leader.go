package hingegroup

import (
	"context"
	"slices"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// maxContacts limits the hosts that are asked for the leader.
const maxContacts = 128

// setLeaderHint records the host that led last, or "" if it doesn't. Members use it only while their own
// log knows no leader.
func (g *Group) setLeaderHint(h hingeids.HostID) {
	g.hint.Store(&leaderHint{
		host:   h,
		seenAt: g.settings.Clock(),
	})
}

// leaderHint is the host that led the group at seenAt.
type leaderHint struct {
	host   hingeids.HostID
	seenAt time.Time
}

// target is a host to which a request is sent. Found is set if other hosts named it, and unset if this
// host's own log did.
type target struct {
	host  hingeids.HostID
	found bool
}

// pursuit is the search of one request for the leader.
type pursuit struct {
	group *Group
	// asked are the hosts to which the request was sent, contacted those that were asked for the leader.
	asked     []hingeids.HostID
	contacted []hingeids.HostID
	// redirect is the leader that the last asked host named; empty for none.
	redirect hingeids.HostID
	// hinted allows the hint, and discoveries is how many times other hosts may be asked for the leader.
	hinted      bool
	discoveries int
}

// newPursuit returns the search of a request. A member that isn't searching relies on its own log, and a host
// without a disk always searches.
func (g *Group) newPursuit(s search) *pursuit {
	p := &pursuit{
		group: g,
	}
	switch {
	case g.member == nil:
		p.hinted = true
		p.discoveries = maxLeaderAttempts
	case s == searching:
		p.hinted = true
		p.discoveries = 1
	}
	return p
}

// next returns the next host to ask, and false if there is none.
func (p *pursuit) next(ctx context.Context) (target, bool) {
	h := p.redirect
	p.redirect = ""
	if h != "" && !slices.Contains(p.asked, h) {
		return p.ask(h, true)
	}
	if own := p.group.ownLeader(); own != "" && !slices.Contains(p.asked, own) {
		return p.ask(own, false)
	}
	if h := p.group.recentHint(); p.hinted && h != "" && (p.group.member == nil || !slices.Contains(p.asked, h)) {
		return p.ask(h, true)
	}
	if p.discoveries == 0 {
		return target{}, false
	}
	p.discoveries--
	d := p.group.discoverLeader(ctx)
	p.contacted = d.contacted
	if d.leader == "" {
		return target{}, false
	}
	return p.ask(d.leader, true)
}

func (p *pursuit) ask(h hingeids.HostID, found bool) (target, bool) {
	p.asked = append(p.asked, h)
	return target{
		host:  h,
		found: found,
	}, true
}

// ownLeader returns the leader that this member's log knows, or "".
func (g *Group) ownLeader() hingeids.HostID {
	if g.member == nil {
		return ""
	}
	return g.Status().Leader.Host
}

func (g *Group) recentHint() hingeids.HostID {
	hint := g.hint.Load()
	if hint == nil || g.settings.Clock().Sub(hint.seenAt) >= g.settings.ElectionTimeout {
		return ""
	}
	return hint.host
}

// discovery is the result of asking other hosts for the leader. Leader is empty if none was found.
type discovery struct {
	leader    hingeids.HostID
	contacted []hingeids.HostID
}

// leaderReply is one host's reply during discovery: itself as leader, or a redirect.
type leaderReply struct {
	leader   hingeids.HostID
	redirect hingeids.HostID
}

// discoverLeader asks all known hosts, and those to which they redirect, for the leader. Callers of one
// moment share one discovery. Discovery can be canceled without harm, but a proposal sent to an unresponsive
// host may have run.
func (g *Group) discoverLeader(ctx context.Context) discovery {
	d, _ := g.discoveries.Do(ctx, func() discovery {
		limit := g.settings.ElectionTimeout
		if g.member != nil {
			// A member answers its operators within two election times, whether it finds a leader or not.
			limit /= 2
		}
		callCtx, stop := context.WithTimeout(context.Background(), limit)
		defer stop()
		return g.queryLeader(callCtx)
	})
	return d
}

// queryLeader returns the first host that leads, else one named by a redirect, which may not answer.
func (g *Group) queryLeader(ctx context.Context) discovery {
	var d discovery
	replies := make(chan leaderReply, maxContacts)
	pending := 0
	query := func(h hingeids.HostID) {
		if len(d.contacted) >= maxContacts || slices.Contains(d.contacted, h) {
			return
		}
		d.contacted = append(d.contacted, h)
		pending++
		go func() {
			replies <- g.queryHost(ctx, h)
		}()
	}
	for _, h := range g.knownHosts() {
		if h != g.settings.Self || g.Status().IsLeader {
			query(h)
		}
	}
	redirect := hingeids.HostID("")
	for pending > 0 {
		select {
		case <-ctx.Done():
			pending = 0
		case <-g.done:
			return d
		case reply := <-replies:
			pending--
			if reply.leader != "" {
				d.leader = reply.leader
				return d
			}
			if reply.redirect != "" && reply.redirect != g.settings.Self {
				redirect = reply.redirect
				query(redirect)
			}
		}
	}
	if g.member == nil {
		d.leader = redirect
	}
	return d
}

func (g *Group) queryHost(ctx context.Context, h hingeids.HostID) leaderReply {
	o, err := g.callHost(ctx, h, operationRead, nil)
	switch {
	case err != nil || o.Uncertain:
		return leaderReply{}
	case o.Refused:
		return leaderReply{
			redirect: o.Leader,
		}
	default:
		return leaderReply{
			leader: h,
		}
	}
}

// callLeader calls the leader and cancels the call once the host no longer leads. The link
// alone would take seconds to detect an unresponsive host.
func (g *Group) callLeader(ctx context.Context, t target, op operation, body []byte) (outcome, error) {
	callCtx, stop := context.WithCancel(ctx)
	defer stop()
	g.watchLeader(callCtx, t, stop)
	return g.callHost(callCtx, t.host, op, body)
}

// watchLeader calls stop if the host no longer leads, and ends with the context.
func (g *Group) watchLeader(ctx context.Context, t target, stop context.CancelFunc) {
	interval := g.settings.HeartbeatInterval
	if t.found {
		interval = g.settings.ElectionTimeout
	}
	time.AfterFunc(interval, func() {
		switch {
		case ctx.Err() != nil:
		case g.hasStoppedLeading(ctx, t):
			stop()
		default:
			g.watchLeader(ctx, t, stop)
		}
	})
}

func (g *Group) hasStoppedLeading(ctx context.Context, t target) bool {
	if !t.found {
		s := g.Status()
		return s.Leader.Host != t.host || t.host == g.settings.Self && g.leaseLapsed(s)
	}
	if g.ownLeader() == t.host {
		return false
	}
	h := g.discoverLeader(ctx).leader
	return h != "" && h != t.host
}

// leaseLapsed reports whether the lease in this host's own status ended more than an
// election time ago. The loop is then blocked by a stalled disk, so the status is stale and
// proposals here would wait until the disk answers.
func (g *Group) leaseLapsed(s Status) bool {
	return !s.LeaseUntil.IsZero() && g.settings.Clock().After(s.LeaseUntil.Add(g.settings.ElectionTimeout))
}
