package hingefollow

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/swifthinge/swifthinge/internal/core/hingeclock"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// host is a control host as this follower knows it.
type host struct {
	named   time.Time
	heard   time.Time
	life    hingeids.Incarnation
	change  uint64
	zone    hingeids.Zone
	inTouch bool
	askers  Askers
	// first says that it sends configurations whole, and behind that it has told
	// of one that hasn't come (rule 6).
	first  bool
	behind bool
	// askedAt is when the follower began to ask it.
	askedAt time.Time
	stop    context.CancelFunc
	started bool
}

// look begins to ask hosts that are new, and forgets others (rule 3).
func (f *Follower) look(ctx context.Context, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range f.seeds {
		f.name(now, h)
	}
	for id, h := range f.hosts {
		if now.Sub(h.named) > forgetAfter && now.Sub(h.heard) > forgetAfter {
			h.end()
			delete(f.hosts, id)
		}
	}
	for i, id := range f.ranked(now) {
		h := f.hosts[id]
		if f.settings.Entry && i >= mostFollowed {
			h.end()
			continue
		}
		h.first = i == 0
		if h.started {
			continue
		}
		h.started = true
		h.askedAt = now
		var inner context.Context
		inner, h.stop = context.WithCancel(ctx)
		f.all.Go(func() {
			f.follow(inner, id, h)
		})
	}
}

// end stops asking a host.
func (h *host) end() {
	if h.started {
		h.stop()
		h.started = false
	}
}

// ranked gives the control hosts, the best to ask first (rule 1). One that is asked and
// hasn't answered for a while goes behind the others. The caller holds the lock.
func (f *Follower) ranked(now time.Time) []hingeids.HostID {
	rank := func(id hingeids.HostID) int {
		h := f.hosts[id]
		switch {
		case h.started && now.Sub(hingeclock.Later(h.heard, h.askedAt)) > hold+answerGrace:
			return 2
		case h.zone == f.settings.Zone:
			return 0
		}
		return 1
	}
	list := slices.Collect(maps.Keys(f.hosts))
	slices.SortFunc(list, func(a, b hingeids.HostID) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(f.lot(a), f.lot(b)))
	})
	return list
}

// lot orders control hosts differently for each follower.
func (f *Follower) lot(id hingeids.HostID) uint64 {
	return xxhash.Sum64String(string(f.settings.Self) + "/" + string(id))
}

// name notes that somebody speaks of a control host. The caller holds the lock.
func (f *Follower) name(now time.Time, id hingeids.HostID) {
	if id == f.settings.Self {
		return
	}
	h := f.hosts[id]
	if h == nil {
		h = &host{}
		f.hosts[id] = h
	}
	h.named = now
}

// control lists the control hosts. The caller holds the lock.
func (f *Follower) control() []ControlHost {
	out := make([]ControlHost, 0, len(f.hosts))
	for id, h := range f.hosts {
		out = append(out, ControlHost{
			Host:    id,
			Zone:    h.zone,
			InTouch: h.inTouch,
			HeardAt: h.heard,
			Askers:  h.askers,
		})
	}
	slices.SortFunc(out, func(a, b ControlHost) int {
		return cmp.Compare(a.Host, b.Host)
	})
	return out
}
