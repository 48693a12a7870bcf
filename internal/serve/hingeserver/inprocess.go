package hingeserver

import (
	"context"
	"time"

	"github.com/swifthinge/swifthinge/internal/agreement/hingeconfig"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// Host returns the id of this entry host.
func (s *Server) Host() hingeids.HostID {
	return s.settings.Host
}

// Ready reports whether this host should receive requests.
func (s *Server) Ready() bool {
	ready, _ := s.ready(time.Now())
	return ready
}

// UsableServers counts the backend servers that are announced and usable.
func (s *Server) UsableServers() int {
	return len(s.servers.Load().Servers)
}

// Propose proposes a change to the configuration log. It returns nil only if the change was
// accepted.
func (s *Server) Propose(ctx context.Context, c hingeconfig.Change) error {
	raw, err := s.shared.config.Propose(ctx, c.Encode())
	if err != nil {
		return err
	}
	answer, err := hingeconfig.DecodeAnswer(raw)
	if err != nil {
		return err
	}
	return answer.Err()
}
