// Package hingeserver joins the parts of an entry host to one process: its
// listeners, its control loop, what it shares with other entry hosts, and the
// request path.
package hingeserver

import (
	"cmp"
	"context"
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
)

// Options are what an entry host is made of.
type Options struct {
	Settings hingesettings.Settings
	// Inventory and Rules are in force until the configuration log has a
	// revision, if Given says so. A deployment applies its configuration instead.
	Inventory hingeinventory.Inventory
	Rules     hingeinventory.Rules
	Given     bool
	// Settle is how long a host that starts waits for slots to grant before it
	// takes requests; zero is defaultSettle, less than zero not to wait.
	Settle time.Duration
	// AllowCut lets the links be cut on command; only tests set it.
	AllowCut bool
}

// Server is one entry host.
type Server struct {
	settings      hingesettings.Settings
	life          hingeids.Instance
	recorder      *hingeevents.Recorder
	metrics       *hingemetrics.Metrics
	configuration hingeboard.Cell[Configuration]
	shared        *shared
	settled       time.Time
	wasReady      bool
	servers       *hingeboard.Cell[hingeannounce.View]
	poisons       *poisons
	loop          *hingeboard.Loop
	callers       *hingecaller.Server
	gates         *gates
	slots         *slots
	holds         *holds
	orders        *orders
	listeners     listeners
	control       context.Context
	stop          context.CancelFunc
	done          chan struct{}
}

// New makes an entry host that starts its life now, and opens its addresses
// and its durable state.
func New(o Options, now time.Time) (*Server, error) {
	life := hingeids.Instance{
		Host:        o.Settings.Host,
		Incarnation: hingeids.Incarnation(now.UnixNano()),
	}
	s := &Server{
		settings: o.Settings,
		life:     life,
		recorder: hingeevents.NewRecorder(life),
		done:     make(chan struct{}),
	}
	s.metrics = hingemetrics.New(s.recorder)
	s.settled = now.Add(cmp.Or(o.Settle, defaultSettle))
	// What still has to be cancelled outlives the callers' side, so it doesn't
	// end with the context of Run.
	s.control, s.stop = context.WithCancel(context.Background())
	if o.Given {
		s.configuration.Store(newConfiguration(0, o.Inventory, o.Rules))
	}
	if err := s.listeners.open(o.Settings.Listen); err != nil {
		return nil, err
	}
	shared, err := openShared(sharedConfig{
		settings: o.Settings,
		life:     life,
		recorder: s.recorder,
		keepKeys: s.keepKeys,
		onOver:   s.endLife,
		allowCut: o.AllowCut,
	})
	if err != nil {
		s.listeners.close()
		return nil, err
	}
	s.shared = shared
	s.servers = shared.members.Servers()
	s.poisons = s.newPoisons()
	s.holds = newHolds(s)
	s.orders = newOrders(s)
	s.slots = newSlots(s)
	s.gates = newGates(s.control, s)
	s.callers = s.newCallers()
	s.loop = hingeboard.NewLoop(time.Now, s)
	s.openGauges()
	shared.link.HandleCall(methodHistory, operatorsSide{
		server: s,
	}.serveHistory)
	return s, nil
}

// Addresses are where the process really listens, also if its settings left
// the port to the system.
func (s *Server) Addresses() hingesettings.Listen {
	return hingesettings.Listen{
		Callers:   s.listeners.callers.Addr().String(),
		Servers:   s.listeners.servers.Addr().String(),
		Operators: s.listeners.operators.Addr().String(),
		Link:      s.shared.link.Addr().String(),
	}
}

// Done closes when the entry host has ended.
func (s *Server) Done() <-chan struct{} {
	return s.done
}

// Drain starts a graceful shutdown: new requests are refused, those in progress
// go on.
func (s *Server) Drain() {
	s.callers.Drain()
	s.shared.members.Leave()
}

// Abort ends the entry host at once, as a kill of its process would: nobody is
// told, and what engines hold for it is left behind. It is for the demo and for
// tests, where an entry host has no process of its own.
func (s *Server) Abort() {
	s.listeners.close()
	s.stop()
	s.callers.Abort()
}

// stepEvery bounds how old what the gates know of the engines may be.
const stepEvery = 50 * time.Millisecond

// Step brings the configuration and the engines to the request path.
func (s *Server) Step(now time.Time) time.Time {
	s.applyConfiguration(now)
	s.noteReady(now)
	s.gates.feed(now)
	s.slots.feed()
	s.holds.feed()
	s.orders.feed()
	return now.Add(stepEvery)
}

// noteReady tells when the host begins or ceases to take requests.
func (s *Server) noteReady(now time.Time) {
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

// applyConfiguration puts the newest revision in force, and never an older one
// after a newer one.
func (s *Server) applyConfiguration(now time.Time) {
	view := s.shared.spread.Applied().Load().View
	before := s.configuration.Load()
	if view.Revision == 0 || before != nil && before.Revision >= view.Revision {
		return
	}
	items := make(hingeinventory.Items, len(view.Documents))
	for path, document := range view.Documents {
		if !isFact(path) {
			items[string(path)] = document
		}
	}
	if len(items) == 0 {
		return
	}
	inventory, rules, err := hingeinventory.FromItems(items)
	if err != nil {
		// A change is checked before it is proposed, so this is a revision that a
		// newer version of the program made. The one in force stays.
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

// ready tells whether this host should get requests, and if not, why.
func (s *Server) ready(now time.Time) (ready bool, reason string) {
	configuration := s.configuration.Load()
	switch {
	case configuration == nil:
		return false, "no configuration has been applied yet"
	case configuration.Revision > 0 && !s.shared.spread.Applied().Load().Ready:
		return false, "it is not known yet that the configuration is not older than before"
	case now.Before(s.settled) && !s.slots.granting():
		return false, "no decode slot can be granted yet"
	default:
		return true, ""
	}
}

// defaultSettle bounds how long a host that starts waits for slots: its pools
// open after some 2.5 s. Taking requests before would refuse them while other
// hosts have slots. A host whose zone has no engines, or that is cut off, goes on
// without, since it can still serve plain services.
const defaultSettle = 5 * time.Second

// defaultKeepKeys is for the time before there is a configuration.
const defaultKeepKeys = 24 * time.Hour

func (s *Server) keepKeys() time.Duration {
	if c := s.configuration.Load(); c != nil && c.Rules.KeepKeys > 0 {
		return c.Rules.KeepKeys
	}
	return defaultKeepKeys
}

func (s *Server) newCallers() *hingecaller.Server {
	client := hingeengine.NewClient()
	counts := meter{
		metrics: s.metrics,
	}
	ledger := ledgerAdapter{
		ledger: s.shared.ledger,
		meter:  counts,
	}
	return hingecaller.New(hingecaller.Config{
		Instance:      s.life,
		Limits:        s.settings.Limits,
		BehindGateway: s.settings.Callers.Gateway,
		Catalogue: catalogue{
			configuration: &s.configuration,
		},
		Completions: &hingedispatch.Dispatcher{
			Engines:        client,
			Gate:           s.gates,
			Slots:          s.slots,
			OwnedRequests:  s.holds,
			Meter:          counts,
			Canceller:      s.holds,
			Ledger:         ledger,
			PoisonDetector: s.poisons,
			Recorder:       s.recorder,
			Limits:         hingedispatch.DefaultLimits(),
			Now:            time.Now,
		},
		Services: &hingedispatch.ServiceDispatcher{
			Client: client,
			ReplicaPool: &replicas{
				server: s,
				load:   newInFlight(),
			},
			Ledger:         ledger,
			PoisonDetector: s.poisons,
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
