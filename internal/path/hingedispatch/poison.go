package hingedispatch

import (
	"context"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
	"github.com/swifthinge/swifthinge/internal/path/hingeengine"
)

// PoisonDetector detects poison requests, which crash the servers that run them.
type PoisonDetector interface {
	// Evaluate returns an error if the request may not run on the servers of a model
	// or service. If suspect is true, a complete answer must be reported with
	// HandleCompletion.
	Evaluate(ctx context.Context, fingerprint hingeids.Fingerprint, s hingeids.Service) (suspect bool, refused *hingeverdict.Error)
	// HandleFailedExchange reports a server that failed a request and may have crashed.
	HandleFailedExchange(ctx context.Context, e FailedExchange)
	// HandleCompletion reports a complete answer to a suspected request.
	HandleCompletion(fingerprint hingeids.Fingerprint)
}

// FailedExchange describes an exchange that failed at a server.
type FailedExchange struct {
	Fingerprint hingeids.Fingerprint
	Request     hingeids.RequestID
	Service     hingeids.Service
	Caller      hingeids.CallerID
	Target      hingeengine.Target
	// Held is how long the server had the request.
	Held time.Duration
	Err  error
}

// checkPoison returns a final error if the request is refused as a poison
// request.
func (a *Answer) checkPoison() error {
	var refused *hingeverdict.Error
	a.suspect, refused = a.dispatcher.PoisonDetector.Evaluate(a.ctx, a.request.Fingerprint, hingeids.Service(a.request.Model))
	if refused == nil {
		return nil
	}
	a.refused = true
	return refused
}

func (a *Answer) reportFailedExchange(t hingeengine.Target, err error) {
	d := a.dispatcher
	d.PoisonDetector.HandleFailedExchange(a.ctx, FailedExchange{
		Fingerprint: a.request.Fingerprint,
		Request:     a.request.Request,
		Service:     hingeids.Service(a.request.Model),
		Caller:      a.request.Caller,
		Target:      t,
		Held:        d.Now().Sub(a.sentAt),
		Err:         err,
	})
}
