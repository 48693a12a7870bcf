package hingeproxy

import (
	"context"
	"net/http"
	"time"

	"github.com/swifthinge/swifthinge/internal/config/hingecustomers"
	"github.com/swifthinge/swifthinge/internal/config/hingeroutes"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
	"github.com/swifthinge/swifthinge/internal/path/hingewire"
)

const (
	// configCheckTimeout bounds the check whether this host has the newest configuration: a round trip to a control
	// host and one from there to the leader, with a second control host if the first doesn't answer.
	configCheckTimeout = 500 * time.Millisecond
	// configCheckShare is the fraction of the caller's timeout that the check may use.
	configCheckShare = 0.5
	// staleConfigRetry is the Retry-After of a request whose denial could not be confirmed. It covers an election.
	staleConfigRetry = time.Second
)

// admission is the result of looking up a request in a configuration.
type admission struct {
	table    *hingeroutes.Table
	route    *hingeroutes.Route
	customer *hingecustomers.Customer
	// denial is the error returned to the caller, nil if the request is admitted.
	denial *hingeverdict.Error
}

// lookUp finds the route and the customer of a request in a configuration (rule 7).
func lookUp(t *hingeroutes.Table, r *hingewire.Request, key hingecustomers.Key) admission {
	a := admission{
		table: t,
		route: t.Match(hostName(r.Host), pathOf(r.Target)),
	}
	if a.route == nil {
		a.denial = hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeNoRoute, 0, nil)
		return a
	}
	if key != "" {
		a.customer = t.Customers.CustomerByKey(key)
	}
	if a.customer == nil && t.Customers != nil && !a.route.Public {
		a.denial = hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeNoCustomer, 0, nil)
	}
	return a
}

// admit looks up a request and confirms a denial against the newest configuration (rule 8). A partitioned or starting
// host receives it seconds late, and would deny a key that was just added.
func (p *Proxy) admit(ctx context.Context, r *hingewire.Request, info RequestInfo, t *hingeroutes.Table) admission {
	a := lookUp(t, r, info.Key)
	if a.denial == nil {
		return a
	}
	wait := configCheckTimeout
	if info.MaxWait > 0 {
		wait = min(wait, time.Duration(configCheckShare*float64(info.MaxWait)))
	}
	checkCtx, stop := context.WithTimeout(ctx, wait)
	defer stop()
	if !p.view.ConfirmNewest(checkCtx) {
		a.denial = hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeNotReady, staleConfigRetry, a.denial)
		return a
	}
	return lookUp(p.view.Table(), r, info.Key)
}

// deny answers a request that the configuration denies, and records the denial.
func (p *Proxy) deny(w *hingewire.Writer, id RequestID, err *hingeverdict.Error) {
	p.writeError(w, id, err)
	if count, ok := p.denials.allow(p.settings.Clock()); ok {
		p.settings.Recorder.Record(p.settings.Clock(), hingeevents.RequestDenied, hingeevents.Fields{
			CallerRequestID: string(id),
			Count:           count,
			ViewVersion:     p.view.Version(),
			Detail:          err.Error(),
		})
	}
}

// statusOfDenial returns the HTTP status of a denial by the configuration, zero for other codes.
func statusOfDenial(c hingeverdict.Code) int {
	switch c {
	case hingeverdict.CodeNoRoute:
		return http.StatusNotFound
	case hingeverdict.CodeNoCustomer:
		return http.StatusUnauthorized
	}
	return 0
}
