// Package hingefront assembles an entry host in a fleet whose configuration and membership are managed
// by control hosts (hingecontrol).
//
//  1. It stores nothing on disk and at its start knows no host but its seeds.
//  2. It reports to the balancer that it is ready once it has a configuration that is confirmed not
//     to be older than one that it may have had before (hingefollow rule 4).
//  3. It records no events on what it receives from control hosts, which record these themselves:
//     events on requests contain the version of the cluster view that the host had.
//  4. To shut down, it first reports to the balancer that it isn't ready, continues to serve
//     requests, closes idle connections once the balancer has noticed, and stops when no connection
//     is left. It opens no connection to a server for another host any more, but keeps those that are open.
//  5. A host that reaches no server itself reaches them through other entry hosts (hingetunnel).
package hingefront

import (
	"context"
	"io"
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
	"github.com/swifthinge/swifthinge/internal/decide/hingeretry"
	"github.com/swifthinge/swifthinge/internal/link/hingelink"
	"github.com/swifthinge/swifthinge/internal/membership/hingeannounce"
	"github.com/swifthinge/swifthinge/internal/membership/hingefollow"
	"github.com/swifthinge/swifthinge/internal/membership/hingeworld"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
	"github.com/swifthinge/swifthinge/internal/path/hingeproxy"
	"github.com/swifthinge/swifthinge/internal/path/hingetunnel"
	"github.com/swifthinge/swifthinge/internal/path/hingewire"
)

// Options configures an entry host.
type Options struct {
	Instance hingeids.Instance
	Zone     hingeids.Zone
	// Listen is the address on which callers connect.
	Listen string
	// LinkAddress is the address for connections of other hosts of the router; AddressOf returns that of
	// another host.
	LinkAddress string
	AddressOf   func(hingeids.HostID) (string, error)
	Seeds       []hingeids.HostID
	Dialect     hingeproxy.Dialect
	// Parse decodes the body of a configuration.
	Parse       func(body []byte) (*hingeroutes.Table, error)
	RetryBudget hingeretry.FleetLimits
	// QuotaParams are the parameters by which customers' quotas are enforced.
	QuotaParams hingequota.Params
	// Grace is the maximum time between a request to stop and the end of the process.
	Grace    time.Duration
	Recorder *hingeevents.Recorder
	// Dialer opens connections from this host to backend servers.
	Dialer hingewire.Dialer
}

const (
	// balancerDelay is the time until the balancer notices that a host isn't ready: two checks, a
	// second apart, with a margin.
	balancerDelay = 2500 * time.Millisecond
	// closeReserve is the part of the grace period that is reserved for closing connections, which
	// takes tenths of a second on a host with little CPU.
	closeReserve = 600 * time.Millisecond
	// drainInterval is how often a draining process checks whether it may stop.
	drainInterval = 50 * time.Millisecond
)

// defaultLimits apply until a configuration sets others.
var defaultLimits = hingewire.Limits{
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
	tunnels  *hingetunnel.Dialer
	proxy    *hingeproxy.Proxy
	server   *hingewire.Server
	view     hingeboard.Cell[hingeworld.ClusterView]
	// startedAt is when the process started.
	startedAt time.Time
	done      chan struct{}

	mu        sync.Mutex
	directory *hingeannounce.Directory
	// builder makes the views; it has the directory up to revision.
	builder  *hingeworld.Builder
	revision uint64
	table    *hingeroutes.Table
	draining bool
}

// New creates an entry host. Run starts it.
func New(o Options) (*Front, error) {
	f := &Front{
		options:   o,
		directory: hingeannounce.NewDirectory(o.Instance.Host),
		builder:   hingeworld.NewBuilder(),
		startedAt: hingeclock.BootTime(),
		done:      make(chan struct{}),
	}
	f.view.Store(f.builder.View())
	var err error
	if f.link, err = hingelink.NewInsecure(o.Instance, o.LinkAddress, o.AddressOf, f.keepAlive, o.Recorder); err != nil {
		return nil, err
	}
	f.follower = hingefollow.New(hingefollow.Settings{
		Self:      o.Instance.Host,
		Zone:      o.Zone,
		EntryHost: true,
		Clock:     hingeclock.BootTime,
		OnRecords: f.mergeRecords,
		Holds:     f.holdsRecord,
		Lacked:    f.lackedRecords,
		OnFetchError: func(from hingeids.HostID, err error) {
			f.record(hingeevents.RevisionMissing, hingeevents.Fields{
				Host:   from,
				Detail: err.Error(),
			})
		},
		OnReturnError: func(to hingeids.HostID, err error) {
			f.record(hingeevents.RecordsNotReturned, hingeevents.Fields{
				Host:   to,
				Detail: err.Error(),
			})
		},
	}, f.link, o.Seeds)
	f.owner = hingeplacer.NewOwner(o.Instance.Host, f.link, f, hingeclock.BootTime, o.Recorder, o.QuotaParams)
	f.tunnels = hingetunnel.New(hingetunnel.Settings{
		Direct:     o.Dialer,
		Candidates: f.follower.SampleEntryHosts,
		Accepts: func() bool {
			return !f.isDraining()
		},
		Clock:    hingeclock.BootTime,
		Recorder: o.Recorder,
	}, f.link)
	f.proxy = hingeproxy.New(hingeproxy.Settings{
		Self:        o.Instance,
		Zone:        o.Zone,
		RetryBudget: o.RetryBudget,
		Clock:       hingeclock.BootTime,
		StartedAt:   f.startedAt,
		Recorder:    o.Recorder,
		Dialer:      f.tunnels,
	}, o.Dialect, f, f.owner)
	f.server = hingewire.NewServer(f.proxy, f.limits, hingeclock.BootTime)
	return f, nil
}

// Done returns a channel that is closed when Run has returned.
func (f *Front) Done() <-chan struct{} {
	return f.done
}

// Run serves until the context is canceled, or until all connections are closed after Drain.
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
		return f.tunnels.Run(inner)
	})
	group.Go(func() error {
		return f.watchConfiguration(inner)
	})
	group.Go(func() error {
		return f.watchBehind(inner)
	})
	group.Go(func() error {
		defer stop()
		return f.server.Run(inner, l)
	})
	group.Go(func() error {
		f.closeWhenDrained(inner, l)
		return nil
	})
	return group.Wait()
}

func (f *Front) watchConfiguration(ctx context.Context) error {
	for {
		changed := f.follower.State().Changed()
		f.applyConfiguration()
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

func (f *Front) applyConfiguration() {
	d := f.follower.State().Load().Document
	f.mu.Lock()
	defer f.mu.Unlock()
	if d.Version == 0 || f.table != nil && uint64(d.Version) <= f.table.Version {
		return
	}
	t, err := f.options.Parse(d.Body)
	if err != nil {
		// The control hosts checked it before it was accepted, but their build may be newer than this
		// one.
		f.record(hingeevents.RevisionUnread, hingeevents.Fields{
			Revision: hingeids.Revision(d.Version),
			Detail:   err.Error(),
		})
		return
	}
	f.table = t
	f.builder.SetTable(t)
	f.view.Store(f.builder.View())
}

// mergeRecords merges records of backend servers that a control host sent.
func (f *Front) mergeRecords(now time.Time, records []hingeannounce.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range records {
		f.directory.Merge(now, r)
	}
	if f.directory.TakeFull() {
		f.record(hingeevents.DirectoryFull, hingeevents.Fields{
			Count:  hingeannounce.MaxServers,
			Detail: hingeannounce.ErrFull.Error(),
		})
	}
	f.directory.Step(now)
	f.builder.Expire(f.directory.TakeExpired())
	changed := f.builder.Apply(f.directory.Since(f.revision))
	f.revision = f.directory.Change()
	if changed {
		f.view.Store(f.builder.View())
	}
}

// keepAlivePerHost makes the interval of keep-alives proportional to the number of entry hosts, all of
// which have a connection to the leader.
const keepAlivePerHost = time.Millisecond

func (f *Front) keepAlive() time.Duration {
	return time.Duration(f.EntryHosts()) * keepAlivePerHost
}

func (f *Front) holdsRecord(g hingeannounce.Digest) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.directory.Holds(g)
}

func (f *Front) lackedRecords(named map[hingeannounce.Digest]bool) []hingeannounce.Record {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.directory.Lacked(named)
}

func (f *Front) record(n hingeevents.Number, fields hingeevents.Fields) {
	f.options.Recorder.Record(time.Now(), n, fields)
}

// limits returns the limits in force.
func (f *Front) limits() hingewire.Limits {
	return limitsOf(f.Table())
}

// limitsOf returns the limits of a configuration. One that it leaves out has its default: zero bytes or no time would refuse
// every request.
func limitsOf(t *hingeroutes.Table) hingewire.Limits {
	if t == nil {
		return defaultLimits
	}
	return hingewire.Limits{
		HeaderBytes:   positive(t.Limits.HeaderBytes, defaultLimits.HeaderBytes),
		BodyBytes:     positive(t.Limits.BodyBytes, defaultLimits.BodyBytes),
		HeaderTimeout: positive(t.Limits.HeaderTimeout, defaultLimits.HeaderTimeout),
		IdleTimeout:   positive(t.Limits.IdleTimeout, defaultLimits.IdleTimeout),
	}
}

func positive[T int | time.Duration](value, other T) T {
	if value <= 0 {
		return other
	}
	return value
}

// Ready reports whether the balancer may send callers to this host (rules 2 and 4).
func (f *Front) Ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.draining && f.table != nil && f.follower.State().Load().Ready
}

// Drain starts a graceful shutdown (rule 4). Further calls have no effect.
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

// closeWhenDrained closes the listener once a draining process has no connections left, or closes all
// connections shortly before the end of the grace period.
func (f *Front) closeWhenDrained(ctx context.Context, l net.Listener) {
	var drainStart time.Time
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for {
		now := hingeclock.BootTime()
		switch {
		case !f.isDraining():
		case drainStart.IsZero():
			drainStart = now
		case now.Sub(drainStart) > f.options.Grace-closeReserve:
			_ = l.Close()
			f.server.CloseAll()
			return
		case now.Sub(drainStart) > balancerDelay:
			f.server.CloseIdle()
			if f.server.ConnectionCount() == 0 && f.tunnels.Serving() == 0 {
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

// SetSeeds replaces the seeds.
func (f *Front) SetSeeds(seeds []hingeids.HostID) {
	f.follower.SetSeeds(seeds)
}

// WriteMetrics writes the host's metrics in the Prometheus text format.
func (f *Front) WriteMetrics(w io.Writer) {
	f.proxy.WriteMetrics(w)
	f.tunnels.WriteMetrics(w)
	f.writeConfigMetrics(hingeclock.BootTime(), w)
}
