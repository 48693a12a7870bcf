package hingecaller

import (
	"bytes"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/swifthinge/swifthinge/internal/config/hingecustomers"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
)

const (
	// callerHeader is the customer's name, as the operators' gateway gives it to the router, and the router to backend servers.
	callerHeader = "X-Caller"
	// keyHeader holds the API key behind keyScheme.
	keyHeader = fasthttp.HeaderAuthorization
	keyScheme = "Bearer "
)

// anonymous is the one customer of all who aren't told apart: they share one fair share.
const anonymous hingeids.CallerID = "anonymous"

// asker is who asks.
type asker struct {
	name hingeids.CallerID
	// priority takes the place of the class's, nil if that stands.
	priority *int
	// byKey says that the request brought a key, which doesn't go on.
	byKey bool
}

// askerOf tells whose request it is (rule 8). The error says that nobody's key came with it.
func (s *Server) askerOf(ctx *fasthttp.RequestCtx) (asker, error) {
	a := asker{
		name: anonymous,
	}
	if name := ctx.Request.Header.Peek(callerHeader); s.config.Gateway && len(name) > 0 {
		a.name = hingeids.CallerID(name)
		return a, nil
	}
	customers := s.config.Catalogue.Customers()
	if customers == nil {
		return a, nil
	}
	customer := customers.Holder(keyOf(ctx))
	if customer == nil {
		return asker{}, hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeNoCustomer, 0,
			eris.New("no customer has the API key that the request brings"))
	}
	return asker{
		name:     customer.Name,
		priority: customer.Priority,
		byKey:    true,
	}, nil
}

// keyOf gives the one key that a request brings, empty if it brings none or several.
func keyOf(ctx *fasthttp.RequestCtx) hingecustomers.Key {
	values := ctx.Request.Header.PeekAll(keyHeader)
	if len(values) != 1 {
		return ""
	}
	key, ok := bytes.CutPrefix(values[0], []byte(keyScheme))
	if !ok {
		return ""
	}
	return hingecustomers.Key(key)
}

// rank gives the priority of a customer's request in a class.
func (a asker) rank(class int) int {
	if a.priority != nil {
		return *a.priority
	}
	return class
}

// sign sets whose request it is for a backend server, and takes the key away.
func (a asker) sign(sent *fasthttp.Request) {
	if a.byKey {
		sent.Header.Del(keyHeader)
	}
	sent.Header.Set(callerHeader, string(a.name))
}
