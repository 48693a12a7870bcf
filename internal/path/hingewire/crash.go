package hingewire

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"
)

// CrashProbeTimeout limits the dial that checks whether a server has crashed, for a request that waits for the result. A host on
// which the process has terminated refuses the connection within a round trip.
const CrashProbeTimeout = 100 * time.Millisecond

// RefusesConnections reports whether the server at an address refuses connections, as
// after a crash. It distinguishes a crash from a network failure after an error for which
// IsDisconnect is true, so that a request isn't blamed for the network. The dial takes timeout at most.
func RefusesConnections(ctx context.Context, d Dialer, address string, timeout time.Duration) bool {
	dialCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	x, err := Dial(dialCtx, d, address)
	if err == nil {
		x.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// IsDisconnect reports whether an error means that the peer closed or reset the connection
// during an exchange.
func IsDisconnect(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
