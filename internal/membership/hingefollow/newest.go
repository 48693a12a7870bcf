package hingefollow

import (
	"context"
	"slices"
	"time"

	"github.com/swifthinge/swifthinge/internal/agreement/hingeversion"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

const (
	// newestAge is how old a finding may be that is given to several who ask: a configuration that was accepted so
	// shortly before counts as accepted after. It bounds the questions that a host asks to ten a second, whatever its callers send.
	newestAge = 100 * time.Millisecond
	// newestTries is how many control hosts are asked in turn, newestTime how long each has.
	newestTries = 3
	newestTime  = 200 * time.Millisecond
)

// finding is one search for the newest version. Its fields are set before done closes.
type finding struct {
	began   time.Time
	done    chan struct{}
	version hingeversion.Version
	known   bool
}

// Newest gives the version of the newest configuration that was accepted before the call, which is held then; false if
// no control host can tell (rule 8).
func (f *Follower) Newest(ctx context.Context) (hingeversion.Version, bool) {
	x := f.findNewest(f.settings.Clock())
	select {
	case <-x.done:
		return x.version, x.known
	case <-ctx.Done():
		return 0, false
	}
}

// findNewest gives the search that is new enough, or begins one.
func (f *Follower) findNewest(now time.Time) *finding {
	f.mu.Lock()
	defer f.mu.Unlock()
	if x := f.newest; x != nil && now.Sub(x.began) < newestAge {
		return x
	}
	x := &finding{
		began: now,
		done:  make(chan struct{}),
	}
	f.newest = x
	go f.find(x)
	return x
}

// find asks control hosts in turn. It ends within newestTries times newestTime.
func (f *Follower) find(x *finding) {
	defer close(x.done)
	for _, id := range f.likely() {
		ctx, stop := context.WithTimeout(context.Background(), newestTime)
		fresh := f.askFresh(ctx, id)
		stop()
		if fresh {
			x.version = f.state.Load().Document.Version
			x.known = true
			return
		}
	}
}

// likely gives the control hosts that can probably tell: those that were heard last and hear the leader, the nearest first.
func (f *Follower) likely() []hingeids.HostID {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := f.ranked(f.settings.Clock())
	slices.SortStableFunc(list, func(a, b hingeids.HostID) int {
		return f.hosts[b].touchRank() - f.hosts[a].touchRank()
	})
	return list[:min(len(list), newestTries)]
}

// touchRank is higher for a host that heard the leader when it was heard itself.
func (h *host) touchRank() int {
	if h.inTouch {
		return 1
	}
	return 0
}

// askFresh asks a control host to confirm by the leader what is newest, and takes its answer.
func (f *Follower) askFresh(ctx context.Context, id hingeids.HostID) bool {
	f.mu.Lock()
	h := f.hosts[id]
	if h == nil {
		f.mu.Unlock()
		return false
	}
	q := question{
		Life:    h.life,
		Change:  h.change,
		Version: f.state.Load().Document.Version,
		Fresh:   true,
		Entry:   f.settings.Entry,
		Once:    true,
	}
	f.mu.Unlock()
	a, err := f.put(ctx, id, q)
	if err != nil {
		// Another is asked, and the caller is told to come back if none answers.
		return false
	}
	f.take(f.settings.Clock(), h, a)
	return a.Fresh && f.state.Load().Document.Version >= a.Version
}
