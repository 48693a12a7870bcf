package hingeserver

import (
	"context"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeclock"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/path/hingeengine"
	"github.com/swifthinge/swifthinge/internal/path/hingetunnel"
)

const (
	// tunnelEndTimeout is how long a stopping host keeps the connections to servers that it has open for others, and tunnelEndInterval
	// how often it checks whether there are any.
	tunnelEndTimeout  = 5 * time.Second
	tunnelEndInterval = 20 * time.Millisecond
)

// newTunnels returns the dialer of backend servers. Those that this host doesn't reach itself are reached through another entry host.
func (s *Server) newTunnels(direct hingeengine.Dialer) *hingetunnel.Dialer {
	if direct == nil {
		direct = hingeengine.Direct{}
	}
	var sameZone, otherZones []hingeids.HostID
	for _, p := range s.settings.Peers {
		switch {
		case p.Host == s.settings.Host:
		case p.Zone == s.settings.Zone:
			sameZone = append(sameZone, p.Host)
		default:
			otherZones = append(otherZones, p.Host)
		}
	}
	return hingetunnel.New(hingetunnel.Settings{
		Direct: direct,
		Candidates: func(context.Context) []hingeids.HostID {
			return append(sameZone[:len(sameZone):len(sameZone)], otherZones...)
		},
		Accepts: func() bool {
			return !s.draining.Load()
		},
		Clock:    time.Now,
		Recorder: s.recorder,
	}, s.shared.link)
}

// waitForTunnels waits until no other host uses a connection of this one.
func (s *Server) waitForTunnels(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, tunnelEndTimeout)
	defer stop()
	for ctx.Err() == nil && s.tunnels.Serving() > 0 {
		hingeclock.Sleep(ctx, tunnelEndInterval)
	}
}
