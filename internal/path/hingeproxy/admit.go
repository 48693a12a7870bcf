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
	// newestTime bounds how long a host finds out whether its configuration is the newest: a round trip to a control
	// host and one from there to the leader, at two hosts if the first is silent.
	newestTime = 500 * time.Millisecond
	// newestShare is the part of its time that a request may wait for that.
	newestShare = 0.5
	// unsureRetry is when a host that found nobody to ask is likely to find somebody: after an election.
	unsureRetry = time.Second
)

// admission is what a configuration says of a request.
type admission struct {
	table    *hingeroutes.Table
	route    *hingeroutes.Route
	customer *hingecustomers.Customer
	// denied is why the request isn't taken, nil if it is.
	denied *hingeverdict.Error
}

// look looks a request up in a configuration (rule 7).
func look(t *hingeroutes.Table, r *hingewire.Request, key hingecustomers.Key) admission {
	a := admission{
		table: t,
		route: t.Match(hostName(r.Host), pathOf(r.Target)),
	}
	if a.route == nil {
		a.denied = hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeNoRoute, 0, nil)
		return a
	}
	if key != "" {
		a.customer = t.Customers.Holder(key)
	}
	if a.customer == nil && t.Customers != nil && !a.route.Public {
		a.denied = hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeUnknownCustomer, 0, nil)
	}
	return a
}

// admit tells whose request it is and where it goes, or why it is denied (rule 8). Hosts hear of a configuration within
// milliseconds, or seconds if they are cut off or starting: to a caller whose key has just been added, a denial by such a
// host would be final and wrong.
func (p *Proxy) admit(ctx context.Context, r *hingewire.Request, asked Asked, t *hingeroutes.Table) admission {
	a := look(t, r, asked.Key)
	if a.denied == nil {
		return a
	}
	wait := newestTime
	if asked.Left > 0 {
		wait = min(wait, time.Duration(newestShare*float64(asked.Left)))
	}
	one, stop := context.WithTimeout(ctx, wait)
	defer stop()
	if !p.world.Newest(one) {
		a.denied = hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeNotReady, unsureRetry, a.denied)
		return a
	}
	return look(p.world.Table(), r, asked.Key)
}

// deny tells a caller that its request isn't taken.
func (p *Proxy) deny(w *hingewire.Writer, id RequestID, err *hingeverdict.Error) {
	p.refuse(w, id, err)
	if told, ok := p.denials.take(p.settings.Clock()); ok {
		p.settings.Recorder.Record(p.settings.Clock(), hingeevents.RequestDenied, hingeevents.Fields{
			Asked:  string(id),
			Count:  told,
			World:  p.world.Version(),
			Detail: err.Error(),
		})
	}
}

// statusOfDenial gives the status of what the configuration denies, zero for other errors.
func statusOfDenial(c hingeverdict.Code) int {
	switch c {
	case hingeverdict.CodeNoRoute:
		return http.StatusNotFound
	case hingeverdict.CodeUnknownCustomer:
		return http.StatusUnauthorized
	}
	return 0
}
