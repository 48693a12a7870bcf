package hingewire

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"
)

// endedTime bounds the look whether a server has ended. A host whose process is gone refuses within a round trip.
const endedTime = 100 * time.Millisecond

// Ended reports whether a server that broke off an exchange has ended (BrokeOff), by dialling it anew: a connection that was cut on
// its way breaks in the same manner, and to take that for an end would blame a request for the network.
func Ended(ctx context.Context, address string) bool {
	one, stop := context.WithTimeout(ctx, endedTime)
	defer stop()
	x, err := Dial(one, address)
	if err == nil {
		x.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// BrokeOff reports whether the other end closed or reset a connection in the middle of an exchange.
func BrokeOff(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
