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
	// callerHeader holds the customer's name in requests from the operators'
	// gateway and in requests to backend servers.
	callerHeader = "X-Caller"
	// keyHeader holds the API key, preceded by keyScheme.
	keyHeader = fasthttp.HeaderAuthorization
	keyScheme = "Bearer "
)

// anonymous is the customer of all requests that are not identified. Together
// they get the fair share of one customer.
const anonymous hingeids.CallerID = "anonymous"

// requester is the customer that a request is attributed to.
type requester struct {
	name hingeids.CallerID
	// priority replaces the priority of the class unless it is nil.
	priority *int
	// hasKey says that the request has an API key, which must not be forwarded.
	hasKey bool
}

// identify returns the requester (rule 8), or an error if the request needs an
// API key and has no valid one.
func (s *Server) identify(ctx *fasthttp.RequestCtx) (requester, error) {
	r := requester{
		name: anonymous,
	}
	if name := ctx.Request.Header.Peek(callerHeader); s.config.BehindGateway && len(name) > 0 {
		r.name = hingeids.CallerID(name)
		return r, nil
	}
	customers := s.config.Catalogue.Customers()
	if customers == nil {
		return r, nil
	}
	customer := customers.CustomerByKey(apiKeyOf(ctx))
	if customer == nil {
		return requester{}, hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeNoCustomer, 0,
			eris.New("the request has no API key of a known customer"))
	}
	return requester{
		name:     customer.Name,
		priority: customer.Priority,
		hasKey:   true,
	}, nil
}

// apiKeyOf returns the API key of a request, or an empty key if the request has
// several Authorization headers or none with keyScheme.
func apiKeyOf(ctx *fasthttp.RequestCtx) hingecustomers.Key {
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

func (r requester) effectivePriority(classPriority int) int {
	if r.priority != nil {
		return *r.priority
	}
	return classPriority
}

// setCallerHeader sets the customer's name in a request to a backend server and
// removes the API key.
func (r requester) setCallerHeader(outgoing *fasthttp.Request) {
	if r.hasKey {
		outgoing.Header.Del(keyHeader)
	}
	outgoing.Header.Set(callerHeader, string(r.name))
}
