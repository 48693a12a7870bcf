package hingeserver

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/agreement/hingeconfig"
	"github.com/swifthinge/swifthinge/internal/agreement/hingegroup"
	"github.com/swifthinge/swifthinge/internal/agreement/hingespread"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
	"github.com/swifthinge/swifthinge/internal/link/hingelink"
	"github.com/swifthinge/swifthinge/internal/membership/hingemembers"
	"github.com/swifthinge/swifthinge/internal/operate/hingeadmin"
)

// operatorAPI implements the interfaces of hingeadmin for this host.
type operatorAPI struct {
	server *Server
}

var (
	_ hingeadmin.Configuration = operatorAPI{}
	_ hingeadmin.StatusReader  = operatorAPI{}
	_ hingeadmin.Drainer       = operatorAPI{}
	_ hingeadmin.VoterChanger  = operatorAPI{}
)

// Propose proposes a change to the configuration log. The error is a ConflictError if
// another change was accepted first.
func (o operatorAPI) Propose(
	ctx context.Context, c hingeadmin.Change, now time.Time,
) (hingeadmin.AcceptedChange, error) {
	change := hingeconfig.Change{
		ID:       hingeconfig.ChangeID(c.ChangeID),
		Expected: c.ExpectedRevision,
		Puts:     make(map[hingeconfig.Path][]byte, len(c.Puts)),
		Operator: c.Operator,
		SentAt:   now.UnixNano(),
	}
	for path, document := range c.Puts {
		change.Puts[hingeconfig.Path(path)] = []byte(document)
	}
	for _, path := range c.Deletes {
		change.Deletes = append(change.Deletes, hingeconfig.Path(path))
	}
	raw, err := o.server.shared.config.Propose(ctx, change.Encode())
	if err != nil {
		return hingeadmin.AcceptedChange{}, err
	}
	answer, err := hingeconfig.DecodeAnswer(raw)
	if err != nil {
		return hingeadmin.AcceptedChange{}, err
	}
	return o.acceptedChange(c, answer, now)
}

func (o operatorAPI) acceptedChange(
	c hingeadmin.Change, a hingeconfig.Answer, now time.Time,
) (hingeadmin.AcceptedChange, error) {
	if err := a.Err(); err != nil {
		var v *hingeverdict.Error
		if errors.As(err, &v) && a.Result != hingeconfig.Malformed {
			return hingeadmin.AcceptedChange{}, &hingeadmin.ConflictError{
				Code: v.Code,
				Winner: hingeadmin.AcceptedChange{
					Revision: a.AcceptedChange.Revision,
					ChangeID: hingeadmin.ChangeID(a.AcceptedChange.ID),
					Operator: a.AcceptedChange.Operator,
				},
			}
		}
		return hingeadmin.AcceptedChange{}, err
	}
	return hingeadmin.AcceptedChange{
		Revision: a.Revision,
		ChangeID: c.ChangeID,
		Operator: c.Operator,
		At:       now,
		Paths:    pathsOf(c),
	}, nil
}

func pathsOf(c hingeadmin.Change) []string {
	out := slices.Clone(c.Deletes)
	for path := range c.Puts {
		out = append(out, path)
	}
	slices.Sort(out)
	return out
}

// At returns the configuration items at a revision, or at the one in force for zero. Of
// older revisions it knows only those that were followed by system changes only: their items are
// still the current ones.
func (o operatorAPI) At(r hingeids.Revision) (hingeadmin.Snapshot, error) {
	view := o.server.shared.replicator.Applied().Load().View
	if r == 0 {
		r = view.Revision
	}
	switch {
	case r > view.Revision:
		return hingeadmin.Snapshot{}, hingeadmin.ErrRevisionNotApplied
	case r < view.OperatorRevision:
		return hingeadmin.Snapshot{}, hingeadmin.ErrRevisionNotRetained
	}
	items := make(map[string]string)
	for path, document := range view.Documents {
		if !isSystemPath(path) {
			items[string(path)] = string(document)
		}
	}
	return hingeadmin.Snapshot{
		Revision: r,
		Items:    items,
	}, nil
}

// methodHistory requests the accepted changes that a host with a disk keeps.
const methodHistory hingelink.Method = "operators.history"

const historyTimeout = time.Second

// History returns the accepted changes that are kept, newest first. A host without a disk
// requests them from the hosts that have one, and returns nil if none responds.
func (o operatorAPI) History() []hingeadmin.AcceptedChange {
	if o.server.settings.DataFolder != "" {
		return o.ownHistory()
	}
	for _, host := range votersNearestFirst(o.server.settings) {
		if list, err := o.historyOf(host); err == nil {
			return list
		}
	}
	return nil
}

func (o operatorAPI) historyOf(host hingeids.HostID) ([]hingeadmin.AcceptedChange, error) {
	ctx, cancel := context.WithTimeout(context.Background(), historyTimeout)
	defer cancel()
	raw, err := o.server.shared.link.Call(ctx, host, methodHistory, nil)
	if err != nil {
		return nil, err
	}
	var out []hingeadmin.AcceptedChange
	err = json.Unmarshal(raw, &out)
	return out, eris.Wrapf(err, "decode the change history of host %s", host)
}

func (o operatorAPI) serveHistory(context.Context, hingeids.HostID, []byte) ([]byte, error) {
	return json.Marshal(o.ownHistory())
}

func (o operatorAPI) ownHistory() []hingeadmin.AcceptedChange {
	view := o.server.shared.machine.Views().Load()
	var out []hingeadmin.AcceptedChange
	for _, h := range slices.Backward(view.History) {
		if h.Change.System {
			continue
		}
		out = append(out, hingeadmin.AcceptedChange{
			Revision: h.Revision,
			ChangeID: hingeadmin.ChangeID(h.Change.ID),
			Operator: h.Change.Operator,
			At:       time.Unix(0, h.Change.SentAt),
			Paths:    changedPaths(h.Change),
		})
	}
	return out
}

func changedPaths(c hingeconfig.Change) []string {
	var out []string
	for path := range c.Puts {
		out = append(out, string(path))
	}
	for _, path := range c.Deletes {
		out = append(out, string(path))
	}
	slices.Sort(out)
	return out
}

// Drain refuses new requests and returns the number of those in progress, which continue.
func (o operatorAPI) Drain(time.Time) int {
	o.server.Drain()
	return int(o.server.callers.Active())
}

// isVoter considers both groups.
func (s *Server) isVoter() bool {
	for _, group := range []*hingegroup.Group{s.shared.config, s.shared.ledgerGroup} {
		state := group.Status()
		if s.settings.DataFolder == "" || !state.Members.HasVoter(state.Self) {
			return false
		}
	}
	return true
}

// ChangeVoters adds a host to the voters of both groups, or removes it.
func (o operatorAPI) ChangeVoters(ctx context.Context, v hingeadmin.VoterChange) error {
	for _, group := range []*hingegroup.Group{o.server.shared.config, o.server.shared.ledgerGroup} {
		var err error
		if v.Admit != "" {
			err = group.Admit(ctx, v.Admit)
		} else {
			err = group.Remove(ctx, v.Remove)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// Status returns the state of the cluster as this host knows it.
func (o operatorAPI) Status(now time.Time) hingeadmin.Status {
	s := o.server
	applied := s.shared.replicator.Applied().Load()
	// A server that grants slots makes the host ready: read in the other order, the status of a start may show
	// such a server beside a host that isn't ready because there is none.
	servers := o.servers(now)
	ready, reason := s.ready(now)
	return hingeadmin.Status{
		Host:        s.settings.Host,
		Zone:        s.settings.Zone,
		Incarnation: s.instance.Incarnation,
		Ready:       ready,
		Reason:      reason,
		Draining:    s.callers.Draining(),
		InProgress:  int(s.callers.Active()),
		Leader:      s.confirmedLeader(),
		Voting:      s.isVoter(),
		Committed:   applied.View.Revision,
		Hosts:       o.hosts(),
		Servers:     servers,
	}
}

// leaderQueryTimeout limits how long a status waits for the leader; one that is silent is noticed sooner.
const leaderQueryTimeout = time.Second

// confirmedLeader returns the leader, empty if none answers. The log of a host with a disk follows it. A host
// without one remembers who answered its last request, which may be long ago, and so asks.
func (s *Server) confirmedLeader() hingeids.HostID {
	group := s.shared.config
	if s.settings.DataFolder != "" {
		return group.Leader()
	}
	ctx, stop := context.WithTimeout(context.Background(), leaderQueryTimeout)
	defer stop()
	if _, err := group.Read(ctx); err != nil {
		return ""
	}
	return group.Leader()
}

func (o operatorAPI) servers(now time.Time) []hingeadmin.ServerStatus {
	s := o.server
	configuration := s.configuration.Load()
	var out []hingeadmin.ServerStatus
	for _, server := range s.servers.Load().Servers {
		out = append(out, hingeadmin.ServerStatus{
			Server:   server.Server,
			Kind:     string(server.Kind),
			Zone:     server.Zone,
			Model:    server.Model,
			Service:  server.Service,
			Running:  server.Load.Running,
			Slots:    server.Slots,
			Listed:   configuration != nil && configuration.listed[server.Server],
			Leaving:  server.Leaving,
			Granting: s.slots.canGrant(now, server),
		})
	}
	return out
}

// lagsTimeout limits the requests to the hosts with a disk, so that a zone that is cut off
// still returns a status.
const lagsTimeout = 500 * time.Millisecond

// hosts returns the state of each entry host. Only the host that another one follows knows
// which revision that one has applied.
func (o operatorAPI) hosts() []hingeadmin.HostStatus {
	s := o.server
	members := s.shared.members.Hosts().Load()
	newest := s.shared.replicator.Applied().Load().View.Revision
	lags := make(map[hingeids.HostID]hingespread.Lag)
	ctx, cancel := context.WithTimeout(context.Background(), lagsTimeout)
	defer cancel()
	for _, l := range s.shared.replicator.Lag(ctx) {
		lags[l.Host] = l
	}
	var out []hingeadmin.HostStatus
	for _, p := range s.settings.Peers {
		host, _ := members.Find(p.Host)
		status := hingeadmin.HostStatus{
			Host:        p.Host,
			Zone:        p.Zone,
			Operators:   p.Operators,
			Disk:        p.Disk,
			Alive:       host.State == hingemembers.Alive,
			Incarnation: host.Instance.Incarnation,
			Revision:    lags[p.Host].Applied,
		}
		if p.Host == s.settings.Host {
			status.Revision = newest
		}
		if since := lags[p.Host].LagSince; since != 0 {
			status.LagsSince = time.Unix(0, since)
		}
		out = append(out, status)
	}
	return out
}
