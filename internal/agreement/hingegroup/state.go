package hingegroup

import (
	"context"
	"time"

	"github.com/swifthinge/swifthinge/internal/agreement/hingelog"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
)

// ServeState lets ReadState, here and on other hosts, read this host's state. The function returns the
// published state and must be safe for concurrent use. Call it before Run.
func (g *Group) ServeState(export func() []byte) {
	g.export = export
	if g.member == nil {
		return
	}
	g.link.HandleCall(g.method(operationState), g.onState)
}

// SetContacts sets a function that returns hosts to contact besides those of SetExtraHosts and the members,
// such as hosts that the process knows from elsewhere. Call it before Run.
func (g *Group) SetContacts(contacts func() []hingeids.HostID) {
	g.contacts = contacts
}

// stateRead is the result of a read that several callers share.
type stateRead struct {
	state []byte
	err   error
}

// ReadState returns a state at least as new as anything that was committed before the call, wherever this
// host finds a leader (rule 9). The error carries a verdict.
func (g *Group) ReadState(ctx context.Context) ([]byte, error) {
	r, ok := g.stateReads.Do(ctx, func() stateRead {
		// Callers wait about two election times. The reason must arrive before they give up.
		runCtx, stop := context.WithTimeout(context.Background(), g.settings.ElectionTimeout*4/3)
		defer stop()
		state, err := g.readState(runCtx)
		return stateRead{
			state: state,
			err:   err,
		}
	})
	if !ok {
		return nil, hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeCancelled, g.retryAfter(), ctx.Err())
	}
	return r.state, r.err
}

func (g *Group) readState(ctx context.Context) ([]byte, error) {
	o, asked, err := g.requestLeader(ctx, operationRead, nil, searching)
	if err != nil {
		return nil, err
	}
	if state, ok := g.localState(ctx, o.Index, g.catchUpPatience()); ok {
		g.failures.clear()
		return state, nil
	}
	fetched, more, err := g.requestLeader(ctx, operationState, nil, searching)
	if err == nil {
		g.failures.clear()
		return fetched.Result, nil
	}
	// A leader of an earlier version doesn't serve its state.
	if state, ok := g.localState(ctx, o.Index, g.settings.ElectionTimeout); ok {
		g.failures.clear()
		return state, nil
	}
	return nil, hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeNotReady, g.retryAfter(), g.unavailable(Unavailable{
		Reason:  CopyBehind,
		Leader:  asked[len(asked)-1],
		Asked:   append(asked, more...),
		Applied: g.Status().Applied,
		Needed:  o.Index,
		Cause:   err,
	}))
}

// catchUpPatience returns how long to wait for the local copy before the leader's is fetched. A member
// learns of a commit with the next heartbeat at the latest. Any other host isn't sent entries.
func (g *Group) catchUpPatience() time.Duration {
	if s := g.Status(); !s.Leader.IsZero() && s.Members.Has(s.Self) {
		return 2 * g.settings.HeartbeatInterval
	}
	return 0
}

// localState returns the state of the local copy once that holds everything up to an index, and false if it
// doesn't in time.
func (g *Group) localState(ctx context.Context, needed hingelog.Index, patience time.Duration) ([]byte, bool) {
	if g.member == nil || g.export == nil {
		return nil, false
	}
	waitCtx, stop := context.WithTimeout(ctx, patience)
	defer stop()
	for {
		changed := g.status.Changed()
		reopens := g.reopens.Load()
		if g.status.Load().Applied >= needed {
			state := g.export()
			if g.reopens.Load() == reopens {
				return state, true
			}
			// The state was replaced meanwhile by an older one from the disk (rule 8).
			continue
		}
		select {
		case <-changed:
		case <-waitCtx.Done():
			return nil, false
		case <-g.done:
			return nil, false
		}
	}
}

// LoadAt calls load, which reads the published state, and reports whether that holds everything up to an index: the state is
// older for a while when it is read from the disk again (rule 8).
func (g *Group) LoadAt(index uint64, load func()) bool {
	reopens := g.reopens.Load()
	if uint64(g.status.Load().Applied) < index {
		return false
	}
	load()
	return g.reopens.Load() == reopens
}

// stateAsLeader answers a read with the state, under the lease.
func (g *Group) stateAsLeader(ctx context.Context) outcome {
	o := g.handleLocal(ctx, operationRead, nil)
	if o.Refused || o.Uncertain {
		return o
	}
	state, ok := g.localState(ctx, o.Index, g.settings.ElectionTimeout)
	if !ok {
		return outcome{
			Refused: true,
		}
	}
	o.Result = state
	return o
}
