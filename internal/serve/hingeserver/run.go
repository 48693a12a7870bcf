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

// shutdownCancelTimeout is how long a shutdown waits until engines have confirmed its
// cancels. It allows for two lost attempts, as an engine responds within one second.
const shutdownCancelTimeout = 3 * time.Second

// Run serves until the context ends, then drains and waits for the requests in progress. It
// returns an error if a part of the host failed.
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
		return s.runInstanceRegistry(control)
	})
	g.Go(func() error {
		return s.slots.driver.Run(control)
	})
	g.Go(func() error {
		return s.collector.driver.Run(control)
	})
	g.Go(func() error {
		return s.orders.driver.Run(control)
	})
	g.Go(func() error {
		return s.poisonDetector.run(control)
	})
	g.Go(func() error {
		return s.tunnels.Run(control)
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

// serveCallers shuts down in the order that leaves no allocations behind: first the callers'
// requests, then the cancels at engines, then the announcement that this instance has ended.
func (s *Server) serveCallers(ctx, control context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// The failure of any part stops the whole host: the remaining parts would accept requests
	// that they can't answer.
	stop := context.AfterFunc(control, cancel)
	defer stop()
	go func() {
		<-ctx.Done()
		s.Drain()
	}()
	if err := s.callers.Run(ctx, s.listeners.callers); err != nil {
		return err
	}
	s.waitForTunnels(control)
	s.collector.waitForCancels(shutdownCancelTimeout)
	if control.Err() == nil {
		s.shared.members.End()
	}
	return nil
}

const controlReadTimeout = 10 * time.Second

func (s *Server) serveControl(control context.Context, g *errgroup.Group) {
	admin := hingeadmin.NewHandler(hingeadmin.Config{
		Configuration: operatorAPI{
			server: s,
		},
		Status: operatorAPI{
			server: s,
		},
		Drainer: operatorAPI{
			server: s,
		},
		Voters: operatorAPI{
			server: s,
		},
		Events:  s.recorder,
		Metrics: s.metrics.Write,
		Clock:   time.Now,
	})
	for _, endpoint := range []struct {
		listener net.Listener
		handler  fasthttp.RequestHandler
		limit    int
	}{
		{
			listener: s.listeners.servers,
			handler:  s.handleAnnouncements,
			limit:    2 * hingeannounce.MaxBody,
		},
		{
			listener: s.listeners.operators,
			handler:  admin.Handle,
			limit:    2 * hingeadmin.MaxChangeBytes,
		},
	} {
		web := &fasthttp.Server{
			Handler:               endpoint.handler,
			MaxRequestBodySize:    endpoint.limit,
			ReadTimeout:           controlReadTimeout,
			NoDefaultServerHeader: true,
		}
		g.Go(func() error {
			return eris.Wrap(web.Serve(endpoint.listener), "serve the control listener")
		})
		g.Go(func() error {
			<-control.Done()
			return eris.Wrap(web.Shutdown(), "shut down the control listener")
		})
	}
}
