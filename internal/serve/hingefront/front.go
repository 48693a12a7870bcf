// Package hingefront joins the parts of an entry host in a fleet whose
// configuration and membership are kept by control hosts (hingecontrol).
//
//  1. It keeps nothing on disk and knows nobody but its seeds at its start.
//  2. It tells the balancer that it is ready once it has a configuration that is
//     proven not to be older than one it may have had (hingefollow rule 4).
//  3. It writes no line on what control hosts told it, which they log themselves: lines on requests name the version of what
//     the host knew.
//  4. Told to end, it leaves the balancer first, goes on answering, closes idle
//     connections once the balancer has noticed, and ends when nothing is left to do.
package hingefront

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/swifthinge/swifthinge/internal/capacity/hingeplacer"
	"github.com/swifthinge/swifthinge/internal/config/hingeroutes"
	"github.com/swifthinge/swifthinge/internal/core/hingeboard"
	"github.com/swifthinge/swifthinge/internal/core/hingeclock"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/decide/hingequota"
	"github.com/swifthinge/swifthinge/internal/link/hingelink"
	"github.com/swifthinge/swifthinge/internal/membership/hingeannounce"
	"github.com/swifthinge/swifthinge/internal/membership/hingefollow"
	"github.com/swifthinge/swifthinge/internal/membership/hingeworld"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
	"github.com/swifthinge/swifthinge/internal/path/hingeproxy"
	"github.com/swifthinge/swifthinge/internal/path/hingewire"
)

// Options of an entry host.
type Options struct {
	Life hingeids.Instance
	Zone hingeids.Zone
	// Listen is the address for callers.
	Listen string
	// Link is the address for our own processes, AddressOf that of another host.
	Link      string
	AddressOf func(hingeids.HostID) (string, error)
	Seeds     []hingeids.HostID
	Dialect   hingeproxy.Dialect
	// Parse reads the body of a configuration.
	Parse  func(body []byte) (*hingeroutes.Table, error)
	Budget hingeproxy.RetryBudget
	// Quotas are what customers' quotas are judged by.
	Quotas hingequota.Params
	// Grace is how long the process may take to end.
	Grace    time.Duration
	Recorder *hingeevents.Recorder
}

const (
	// leaveTime is how long the balancer takes to notice that a host isn't
	// ready: two checks, a second apart, and some.
	leaveTime = 2500 * time.Millisecond
	// lastMoment is what is kept of the grace for the end itself. A host with a fifth of a core
	// takes some tenths of a second to close a hundred connections.
	lastMoment = 600 * time.Millisecond
	// drainLook is how often a process that ends looks whether it may.
	drainLook = 50 * time.Millisecond
)

// startLimits hold until a configuration says others.
var startLimits = hingewire.Limits{
	HeaderBytes:   16 << 10,
	BodyBytes:     4 << 20,
	HeaderTimeout: 3 * time.Second,
	IdleTimeout:   15 * time.Second,
}

// Front is an entry host.
type Front struct {
	options  Options
	link     *hingelink.QUIC
	follower *hingefollow.Follower
	owner    *hingeplacer.Owner
	proxy    *hingeproxy.Proxy
	server   *hingewire.Server
	world    hingeboard.Cell[hingeworld.ClusterView]
	done     chan struct{}

	mu        sync.Mutex
	directory *hingeannounce.Directory
	table     *hingeroutes.Table
	draining  bool
}

// New makes an entry host.
func New(o Options) (*Front, error) {
	f := &Front{
		options:   o,
		directory: hingeannounce.NewDirectory(o.Life.Host),
		done:      make(chan struct{}),
	}
	f.world.Store(hingeworld.Build(nil, nil))
	var err error
	if f.link, err = hingelink.NewInsecure(o.Life, o.Link, o.AddressOf, o.Recorder); err != nil {
		return nil, err
	}
	f.follower = hingefollow.New(hingefollow.Settings{
		Self:      o.Life.Host,
		Zone:      o.Zone,
		EntryHost: true,
		Clock:     hingeclock.BootTime,
		OnRecords: f.took,
	}, f.link, o.Seeds)
	f.owner = hingeplacer.NewOwner(o.Life.Host, f.link, f, hingeclock.BootTime, o.Recorder, o.Quotas)
	f.proxy = hingeproxy.New(hingeproxy.Settings{
		Self:        o.Life,
		Zone:        o.Zone,
		RetryBudget: o.Budget,
		Clock:       hingeclock.BootTime,
		StartedAt:   hingeclock.BootTime(),
		Recorder:    o.Recorder,
	}, o.Dialect, f, f.owner)
	f.server = hingewire.NewServer(f.proxy, f.limits, hingeclock.BootTime)
	return f, nil
}

// Done closes when Run has ended.
func (f *Front) Done() <-chan struct{} {
	return f.done
}

// Run serves until the context ends, or until Drain has let all requests end.
func (f *Front) Run(ctx context.Context) error {
	defer close(f.done)
	l, err := net.Listen("tcp4", f.options.Listen)
	if err != nil {
		return eris.Wrap(err, "listen for callers")
	}
	inner, stop := context.WithCancel(ctx)
	defer stop()
	group, inner := errgroup.WithContext(inner)
	group.Go(func() error {
		return f.link.Run(inner)
	})
	group.Go(func() error {
		return f.follower.Run(inner)
	})
	group.Go(func() error {
		return f.owner.Run(inner)
	})
	group.Go(func() error {
		return f.watch(inner)
	})
	group.Go(func() error {
		defer stop()
		return f.server.Run(inner, l)
	})
	group.Go(func() error {
		f.awaitDrained(inner, l)
		return nil
	})
	return group.Wait()
}

// watch puts each newer configuration in force.
func (f *Front) watch(ctx context.Context) error {
	for {
		changed := f.follower.State().Changed()
		f.putInForce()
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

func (f *Front) putInForce() {
	d := f.follower.State().Load().Document
	f.mu.Lock()
	defer f.mu.Unlock()
	if d.Version == 0 || f.table != nil && uint64(d.Version) <= f.table.Version {
		return
	}
	t, err := f.options.Parse(d.Body)
	if err != nil {
		// It was checked before it was accepted, by a build that may be newer than this one.
		f.record(hingeevents.RevisionUnread, hingeevents.Fields{
			Revision: hingeids.Revision(d.Version),
			Detail:   err.Error(),
		})
		return
	}
	f.table = t
	f.build()
}

// took takes records of backend servers from a control host.
func (f *Front) took(now time.Time, records []hingeannounce.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := false
	for _, r := range records {
		changed = f.directory.Merge(now, r) || changed
	}
	if changed {
		f.build()
	}
}

func (f *Front) record(n hingeevents.Number, fields hingeevents.Fields) {
	f.options.Recorder.Record(time.Now(), n, fields)
}

// build publishes the world anew. The caller holds the lock.
func (f *Front) build() {
	f.world.Store(hingeworld.Build(f.table, f.directory.Since(0)))
}

func (f *Front) limits() hingewire.Limits {
	t := f.Table()
	if t == nil || t.Limits.HeaderBytes == 0 {
		return startLimits
	}
	return hingewire.Limits{
		HeaderBytes:   t.Limits.HeaderBytes,
		BodyBytes:     t.Limits.BodyBytes,
		HeaderTimeout: t.Limits.HeaderTime,
		IdleTimeout:   t.Limits.IdleTime,
	}
}

// Ready reports whether the balancer may send callers here (rules 2 and 4).
func (f *Front) Ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.draining && f.table != nil && f.follower.State().Load().Ready
}

// Drain begins the end (rule 4).
func (f *Front) Drain() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.draining {
		return
	}
	f.draining = true
	f.record(hingeevents.ProcessDraining, hingeevents.Fields{})
	f.proxy.Drain(hingeclock.BootTime())
	f.server.Drain()
}

func (f *Front) isDraining() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.draining
}

// awaitDrained closes the listener once a process that was told to end may.
func (f *Front) awaitDrained(ctx context.Context, l net.Listener) {
	var since time.Time
	ticker := time.NewTicker(drainLook)
	defer ticker.Stop()
	for {
		now := hingeclock.BootTime()
		switch {
		case !f.isDraining():
		case since.IsZero():
			since = now
		case now.Sub(since) > f.options.Grace-lastMoment:
			_ = l.Close()
			f.server.CloseAll()
			return
		case now.Sub(since) > leaveTime:
			f.server.CloseIdle()
			if f.server.ConnectionCount() == 0 {
				_ = l.Close()
				return
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Reseed takes other seeds.
func (f *Front) Reseed(seeds []hingeids.HostID) {
	f.follower.SetSeeds(seeds)
}

// Proxy gives the part that answers callers.
func (f *Front) Proxy() *hingeproxy.Proxy {
	return f.proxy
}
