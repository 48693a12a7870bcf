package hingeproxy

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
	"github.com/swifthinge/swifthinge/internal/path/hingewire"
)

// endedTime bounds the look whether a server has ended. A host whose process is gone refuses within a round trip.
const endedTime = 100 * time.Millisecond

// ended reports whether a server that broke off a request has ended, by dialling it anew: a connection that was cut on
// its way breaks in the same manner, and to take that for an end would blame a request for the network.
func (p *Proxy) ended(ctx context.Context, j *job, id hingeids.ServerID, address string, had time.Duration, err error) bool {
	if address == "" || !brokeOff(err) {
		return false
	}
	one, stop := context.WithTimeout(ctx, endedTime)
	defer stop()
	x, dialled := hingewire.Dial(one, address)
	if dialled == nil {
		x.Close()
		return false
	}
	if !errors.Is(dialled, syscall.ECONNREFUSED) {
		return false
	}
	p.settings.Recorder.Record(p.settings.Clock(), hingeevents.ServerEnded, hingeevents.Fields{
		Asked:  string(j.asked.ID),
		Print:  j.print,
		Caller: j.caller(),
		Server: id,
		Took:   had,
		Route:  j.route.Name,
	})
	return true
}

// brokeOff reports whether the other end closed or reset a connection in the middle of an exchange.
func brokeOff(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
