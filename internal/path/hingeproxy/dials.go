package hingeproxy

import (
	"context"
	"errors"
	"net"
	"syscall"

	"github.com/swifthinge/swifthinge/internal/path/hingewire"
)

// countingDialer counts the connections to backend servers by result.
type countingDialer struct {
	hingewire.Dialer
	meter *meter
}

// DialServer implements hingewire.Dialer.
func (d countingDialer) DialServer(ctx context.Context, address string) (net.Conn, error) {
	c, err := d.Dialer.DialServer(ctx, address)
	switch {
	case err == nil:
		d.meter.dialsConnected.Inc()
	case errors.Is(err, syscall.ECONNREFUSED):
		d.meter.dialsRefused.Inc()
	case ctx.Err() == nil:
		d.meter.dialsFailed.Inc()
	}
	return c, err
}
