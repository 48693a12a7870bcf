package hingedispatch

import (
	"context"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
	"github.com/swifthinge/swifthinge/internal/path/hingeengine"
)

// Poisons detects poison requests, which crash the servers that run them.
type Poisons interface {
	// Judge returns an error if the request may not run on the servers of a model
	// or service. If suspect is true, a complete answer must be reported with
	// Passed.
	Judge(ctx context.Context, p hingeids.Fingerprint, s hingeids.Service) (suspect bool, refused *hingeverdict.Error)
	// Broke reports a server that failed a request and may have crashed.
	Broke(ctx context.Context, b Broken)
	// Passed reports a complete answer to a suspected request.
	Passed(p hingeids.Fingerprint)
}

// Broken describes an exchange that failed at a server.
type Broken struct {
	Print   hingeids.Fingerprint
	Request hingeids.RequestID
	Service hingeids.Service
	Caller  hingeids.CallerID
	Target  hingeengine.Target
	// Had is how long the server had the request.
	Had time.Duration
	Err error
}

// checkPoison returns a final error if the request is refused as a poison
// request.
func (a *Answer) checkPoison() error {
	var refused *hingeverdict.Error
	a.suspect, refused = a.dispatcher.Poisons.Judge(a.ctx, a.request.Print, hingeids.Service(a.request.Model))
	if refused == nil {
		return nil
	}
	a.refused = true
	return refused
}

// reportFailedExchange reports the failure of an exchange to the detection of
// poison requests.
func (a *Answer) reportFailedExchange(t hingeengine.Target, err error) {
	d := a.dispatcher
	d.Poisons.Broke(a.ctx, Broken{
		Print:   a.request.Print,
		Request: a.request.Request,
		Service: hingeids.Service(a.request.Model),
		Caller:  a.request.Caller,
		Target:  t,
		Had:     d.Now().Sub(a.sentAt),
		Err:     err,
	})
}
