package hingeserver

import (
	"context"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/swifthinge/swifthinge/internal/membership/hingeannounce"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
	"github.com/swifthinge/swifthinge/internal/operate/hingeadmin"
)

// lastCancels bounds how long a shutdown waits for cancels to be answered. An
// engine that lives answers within its time limit of a second; three allow for
// two lost tries.
const lastCancels = 3 * time.Second

// Run serves until the context ends, then finishes what is in progress.
func (s *Server) Run(ctx context.Context) error {
	defer close(s.done)
	defer s.stop()
	s.recorder.Record(time.Now(), hingeevents.ProcessStarted, hingeevents.Fields{
		Host: s.settings.Host,
		Zone: s.settings.Zone,
	})
	g, control := errgroup.WithContext(s.control)
	g.Go(func() error {
		return s.shared.run(control)
	})
	g.Go(func() error {
		return s.loop.Run(control)
	})
	g.Go(func() error {
		return s.keepLives(control)
	})
	g.Go(func() error {
		return s.slots.driver.Run(control)
	})
	g.Go(func() error {
		return s.holds.driver.Run(control)
	})
	g.Go(func() error {
		return s.orders.driver.Run(control)
	})
	g.Go(func() error {
		return s.poisons.run(control)
	})
	s.serveControl(control, g)
	g.Go(func() error {
		defer s.stop()
		return s.serveCallers(ctx, control)
	})
	if err := g.Wait(); err != nil {
		return err
	}
	return s.gates.wait()
}

// serveCallers serves until the context ends, then hands on what this host
// answers for, in the order that leaves nothing behind: callers, then cancels,
// then the news that this life is over.
func (s *Server) serveCallers(ctx, control context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// A part that failed ends the process: half an entry host would take
	// requests that it can't answer.
	stop := context.AfterFunc(control, cancel)
	defer stop()
	go func() {
		<-ctx.Done()
		s.Drain()
	}()
	if err := s.callers.Run(ctx, s.listeners.callers); err != nil {
		return err
	}
	s.holds.wait(lastCancels)
	if control.Err() == nil {
		s.shared.members.End()
	}
	return nil
}

// controlReadLimit bounds the reading of an announcement or an operator's command.
const controlReadLimit = 10 * time.Second

// serveControl serves backend servers and operators.
func (s *Server) serveControl(control context.Context, g *errgroup.Group) {
	admin := hingeadmin.NewHandler(hingeadmin.Config{
		Configuration: operatorsSide{
			server: s,
		},
		Status: operatorsSide{
			server: s,
		},
		Drainer: operatorsSide{
			server: s,
		},
		Voters: operatorsSide{
			server: s,
		},
		Events:  s.recorder,
		Metrics: s.metrics.Write,
		Clock:   time.Now,
	})
	for _, side := range []struct {
		listener net.Listener
		handler  fasthttp.RequestHandler
		limit    int
	}{
		{
			listener: s.listeners.servers,
			handler:  s.handleServers,
			limit:    2 * hingeannounce.MaxBody,
		},
		{
			listener: s.listeners.operators,
			handler:  admin.Handle,
			limit:    2 * hingeadmin.MaxChangeBytes,
		},
	} {
		web := &fasthttp.Server{
			Handler:               side.handler,
			MaxRequestBodySize:    side.limit,
			ReadTimeout:           controlReadLimit,
			NoDefaultServerHeader: true,
		}
		g.Go(func() error {
			return eris.Wrap(web.Serve(side.listener), "control address")
		})
		g.Go(func() error {
			<-control.Done()
			return eris.Wrap(web.Shutdown(), "control address")
		})
	}
}
