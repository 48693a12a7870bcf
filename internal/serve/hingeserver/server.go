// Package hingeserver runs an entry host: it connects its listeners, the control loop, the
// state that the entry hosts share, and the request path.
package hingeserver

import (
	"cmp"
	"context"
	"sync/atomic"
	"time"

	"github.com/swifthinge/swifthinge/internal/config/hingeinventory"
	"github.com/swifthinge/swifthinge/internal/config/hingesettings"
	"github.com/swifthinge/swifthinge/internal/core/hingeboard"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/membership/hingeannounce"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
	"github.com/swifthinge/swifthinge/internal/observe/hingemetrics"
	"github.com/swifthinge/swifthinge/internal/path/hingecaller"
	"github.com/swifthinge/swifthinge/internal/path/hingedispatch"
	"github.com/swifthinge/swifthinge/internal/path/hingeengine"
	"github.com/swifthinge/swifthinge/internal/path/hingetunnel"
)

// Options configure an entry host.
type Options struct {
	Settings hingesettings.Settings
	// Inventory and Rules are in force until the configuration log has a revision, if
	// HasConfiguration is set. Deployments leave them empty and apply their configuration through the log.
	Inventory        hingeinventory.Inventory
	Rules            hingeinventory.Rules
	HasConfiguration bool
	// SettleTimeout is how long a starting host waits for slots to grant before it accepts
	// requests. Zero means the default, a negative value means no wait.
	SettleTimeout time.Duration
	// AllowCut permits cutting links for tests.
	AllowCut bool
	// Dialer opens connections from this host to backend servers; nil means hingeengine.Direct.
	Dialer hingeengine.Dialer
}

// Server is one entry host. Its methods are safe for concurrent use, except Step.
type Server struct {
	settings       hingesettings.Settings
	instance       hingeids.Instance
	recorder       *hingeevents.Recorder
	metrics        *hingemetrics.Metrics
	configuration  hingeboard.Cell[Configuration]
	shared         *shared
	settleDeadline time.Time
	wasReady       bool
	servers        *hingeboard.Cell[hingeannounce.View]
	tunnels        *hingetunnel.Dialer
	poisonDetector *poisonDetector
	loop           *hingeboard.Loop
	callers        *hingecaller.Server
	gates          *gates
	slots          *slots
	collector      *collector
	orders         *orders
	listeners      listeners
	control        context.Context
	stop           context.CancelFunc
	draining       atomic.Bool
	done           chan struct{}
}

// New creates an entry host with a new instance, and opens its listeners and its durable
// state. Run has to be called to serve.
func New(o Options, now time.Time) (*Server, error) {
	instance := hingeids.Instance{
		Host:        o.Settings.Host,
		Incarnation: hingeids.Incarnation(now.UnixNano()),
	}
	s := &Server{
		settings: o.Settings,
		instance: instance,
		recorder: hingeevents.NewRecorder(instance),
		done:     make(chan struct{}),
	}
	s.metrics = hingemetrics.New(s.recorder)
	s.settleDeadline = now.Add(cmp.Or(o.SettleTimeout, defaultSettleTimeout))
	// Cancels have to be sent after the callers' requests have ended, so this context is
	// independent of Run's.
	s.control, s.stop = context.WithCancel(context.Background())
	if o.HasConfiguration {
		s.configuration.Store(newConfiguration(0, o.Inventory, o.Rules))
	}
	if err := s.listeners.open(o.Settings.Listen); err != nil {
		return nil, err
	}
	shared, err := openShared(sharedConfig{
		settings:        o.Settings,
		instance:        instance,
		recorder:        s.recorder,
		keyRetention:    s.keyRetention,
		onDeclaredEnded: s.endInstance,
		allowCut:        o.AllowCut,
	})
	if err != nil {
		s.listeners.close()
		return nil, err
	}
	s.shared = shared
	s.servers = shared.members.Servers()
	s.tunnels = s.newTunnels(o.Dialer)
	s.poisonDetector = s.newPoisonDetector()
	s.collector = newCollector(s)
	s.orders = newOrders(s)
	s.slots = newSlots(s)
	s.gates = newGates(s.control, s)
	s.callers = s.newCallerServer()
	s.loop = hingeboard.NewLoop(time.Now, s)
	s.registerGauges()
	shared.link.HandleCall(methodHistory, operatorAPI{
		server: s,
	}.serveHistory)
	return s, nil
}

// Addresses returns the addresses on which the process listens, with the actual ports where
// the settings have port 0.
func (s *Server) Addresses() hingesettings.Listen {
	return hingesettings.Listen{
		Callers:   s.listeners.callers.Addr().String(),
		Servers:   s.listeners.servers.Addr().String(),
		Operators: s.listeners.operators.Addr().String(),
		Link:      s.shared.link.Addr().String(),
	}
}

// Done returns a channel that is closed when Run has returned.
func (s *Server) Done() <-chan struct{} {
	return s.done
}

// Drain starts a graceful shutdown: it refuses new requests, and those in progress continue.
func (s *Server) Drain() {
	s.draining.Store(true)
	s.callers.Drain()
	s.shared.members.Leave()
}

// Abort stops the entry host immediately, like a kill of its process: it notifies no other
// host, and engines keep their allocations. The demo and tests use it for entry hosts that
// have no process of their own.
func (s *Server) Abort() {
	s.listeners.close()
	s.stop()
	s.callers.Abort()
}

// stepInterval limits the age of the gates' view of the engines.
const stepInterval = 50 * time.Millisecond

// Step passes the newest configuration and the announced engines to the request path. The
// control loop calls it.
func (s *Server) Step(now time.Time) time.Time {
	s.applyConfiguration(now)
	s.recordReadiness(now)
	s.gates.update(now)
	s.slots.update()
	s.collector.update()
	s.orders.update()
	return now.Add(stepInterval)
}

func (s *Server) recordReadiness(now time.Time) {
	ready, reason := s.ready(now)
	if ready == s.wasReady {
		return
	}
	s.wasReady = ready
	number := hingeevents.ProcessReady
	if !ready {
		number = hingeevents.ProcessUnready
	}
	s.recorder.Record(now, number, hingeevents.Fields{
		Host:   s.settings.Host,
		Detail: reason,
	})
}

// applyConfiguration puts the newest revision in force. It never replaces a revision by an
// older one.
func (s *Server) applyConfiguration(now time.Time) {
	view := s.shared.replicator.Applied().Load().View
	before := s.configuration.Load()
	if view.Revision == 0 || before != nil && before.Revision >= view.Revision {
		return
	}
	items := make(hingeinventory.Items, len(view.Documents))
	for path, document := range view.Documents {
		if !isSystemPath(path) {
			items[string(path)] = document
		}
	}
	if len(items) == 0 {
		return
	}
	inventory, rules, err := hingeinventory.FromItems(items)
	if err != nil {
		// Changes are validated before they are proposed, so a newer version of the program made
		// this revision. The one in force stays.
		s.recorder.Record(now, hingeevents.RevisionUnread, hingeevents.Fields{
			Revision: view.Revision,
			Detail:   err.Error(),
		})
		return
	}
	s.configuration.Store(newConfiguration(view.Revision, inventory, rules))
	s.gates.reconfigure()
	s.recorder.Record(now, hingeevents.RevisionApplied, hingeevents.Fields{
		Revision: view.Revision,
	})
}

// ready also returns the reason if the host is not ready.
func (s *Server) ready(now time.Time) (ready bool, reason string) {
	configuration := s.configuration.Load()
	switch {
	case configuration == nil:
		return false, "no configuration has been applied yet"
	case configuration.Revision > 0 && !s.shared.replicator.Applied().Load().Ready:
		return false, "the configuration is not yet confirmed to be at least as new as before the restart"
	case now.Before(s.settleDeadline) && !s.slots.canGrantAny():
		return false, "no decode slot can be granted yet"
	default:
		return true, ""
	}
}

// defaultSettleTimeout is longer than the start of the slot pools, about 2.5 s: without the
// wait, a starting host would refuse requests for which other hosts have slots. After it, a
// host that is cut off or has no engines in its zone becomes ready for plain services.
const defaultSettleTimeout = 5 * time.Second

// defaultKeyRetention applies until there is a configuration.
const defaultKeyRetention = 24 * time.Hour

func (s *Server) keyRetention() time.Duration {
	if c := s.configuration.Load(); c != nil && c.Rules.KeepKeys > 0 {
		return c.Rules.KeepKeys
	}
	return defaultKeyRetention
}

func (s *Server) newCallerServer() *hingecaller.Server {
	client := hingeengine.NewClient(s.tunnels)
	counts := meter{
		metrics: s.metrics,
	}
	ledger := ledgerAdapter{
		ledger: s.shared.ledger,
		meter:  counts,
	}
	return hingecaller.New(hingecaller.Config{
		Instance:      s.instance,
		Limits:        s.settings.Limits,
		BehindGateway: s.settings.Callers.Gateway,
		Catalogue: catalogue{
			configuration: &s.configuration,
		},
		Completions: &hingedispatch.Dispatcher{
			Engines:        client,
			Gate:           s.gates,
			Slots:          s.slots,
			OwnedRequests:  s.collector,
			Meter:          counts,
			Canceller:      s.collector,
			Ledger:         ledger,
			PoisonDetector: s.poisonDetector,
			Recorder:       s.recorder,
			Limits:         hingedispatch.DefaultLimits(),
			Now:            time.Now,
		},
		Services: &hingedispatch.ServiceDispatcher{
			Client: client,
			ReplicaPool: &replicaPool{
				server: s,
				load:   newInFlight(),
				now:    time.Now,
			},
			Ledger:         ledger,
			PoisonDetector: s.poisonDetector,
			Meter:          counts,
			Recorder:       s.recorder,
			Limits:         hingedispatch.DefaultLimits(),
			Now:            time.Now,
		},
		Keys:         ledger,
		Ready:        s.Ready,
		OnDisconnect: s.metrics.Counter(hingemetrics.CallerDisconnects).Inc,
		Recorder:     s.recorder,
		Now:          time.Now,
	})
}
