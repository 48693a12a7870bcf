package hingedispatch

import (
	"context"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
	"github.com/swifthinge/swifthinge/internal/path/hingeengine"
)

// Poisons knows which requests end the servers that run them.
type Poisons interface {
	// Judge gives why a request mustn't run at a model's or a service's servers, nil if it may. Suspect says that a whole answer has to
	// be told.
	Judge(ctx context.Context, p hingeids.Fingerprint, s hingeids.Service) (suspect bool, refused *hingeverdict.Error)
	// Broke tells of a server that failed a request, after which it may have ended.
	Broke(ctx context.Context, b Broken)
	// Passed tells of a suspected request that was answered whole.
	Passed(p hingeids.Fingerprint)
}

// Broken is an exchange that a server failed.
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

// judge asks whether the request may run.
func (a *Answer) judge() error {
	var refused *hingeverdict.Error
	a.suspect, refused = a.dispatcher.Poisons.Judge(a.ctx, a.work.Print, hingeids.Service(a.work.Model))
	if refused == nil {
		return nil
	}
	a.refused = true
	return refused
}

// broke tells of a server that failed the request.
func (a *Answer) broke(t hingeengine.Target, err error) {
	d := a.dispatcher
	d.Poisons.Broke(a.ctx, Broken{
		Print:   a.work.Print,
		Request: a.work.Request,
		Service: hingeids.Service(a.work.Model),
		Caller:  a.work.Caller,
		Target:  t,
		Had:     d.Now().Sub(a.sentAt),
		Err:     err,
	})
}
