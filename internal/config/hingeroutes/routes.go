// Package hingeroutes defines the shared routing configuration: routes map host
// names and path prefixes to services, with a retry policy and limits for each.
//
//  1. A table is validated completely before it is accepted, and rejected with the first error.
//  2. Among the routes of a host, the longest prefix that matches the path wins.
//  3. A route that splits its traffic selects the service by a hash of the
//     request ID, so that a retry of the same request goes to the same service.
package hingeroutes

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/swifthinge/swifthinge/internal/config/hingecustomers"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// Kind is the retry policy of a route.
type Kind uint8

// Idempotent requests may run several times; AtMostOnce requests run at most
// once; a Stream may be retried only if its route is resumable, and continues
// after the last event sent.
const (
	Idempotent Kind = iota + 1
	AtMostOnce
	Stream
)

// Share is a service with its weight in a traffic split.
type Share struct {
	Service hingeids.Service
	Weight  int
}

// Route maps a host name and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Shares has one or more services.
	Shares []Share
	// Timeout is the maximum time that a request may wait.
	Timeout time.Duration
	// LatencyTarget is the latency target for the response, or for the first event of a stream.
	LatencyTarget time.Duration
	// EventGapTarget is the latency target for the time between events of a stream.
	EventGapTarget time.Duration
	// MaxWait is the time after which callers disconnect if a stream has sent no event.
	MaxWait time.Duration
	// Attempts is the maximum number of backend servers that one request may be sent to.
	Attempts int
	// Priority orders routes; 0 is the highest.
	Priority  int
	Resumable bool
	// Public means that requests need no customer's key.
	Public bool
	// Engine means that requests specify a model and a prompt.
	Engine bool
}

// MayRetry reports whether a request that may have run may be retried.
func (r *Route) MayRetry() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Engine has the properties that all engines of a service share.
type Engine struct {
	Slots hingeids.Slots
	// Memory is the size of one engine's KV cache.
	Memory hingeids.Tokens
	// CacheBytesPerToken is the size of one token in the KV cache.
	CacheBytesPerToken hingeids.Bytes
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens hingeids.Tokens
	// HandleTTL is how long the KV cache of a finished prefill is kept for its transfer.
	HandleTTL time.Duration
	// RoleChangeTime is how long an engine is unavailable during a role change.
	RoleChangeTime time.Duration
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name hingeids.Service
	// Connections is the maximum number of connections to one backend server, over all hosts together.
	Connections int
	// Engine is nil for plain services.
	Engine *Engine
}

// Limits bounds the size and duration of what a caller sends.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is a complete routing configuration. It must not change after Index and is then safe for concurrent use.
type Table struct {
	Version  uint64
	Routes   []Route
	Services map[hingeids.Service]Service
	// Customers has the customers with their keys; nil means that no keys are required.
	Customers *hingecustomers.Set
	Limits    Limits
	byHost    map[string]hostRoutes
}

// hostRoutes are the routes of one host by their prefixes. depth is the largest number of slashes in one of these.
type hostRoutes struct {
	byPrefix map[string]*Route
	depth    int
}

// Index prepares Match. It must be called once, before the table is shared.
func (t *Table) Index() {
	t.byHost = make(map[string]hostRoutes)
	for i := range t.Routes {
		r := &t.Routes[i]
		h := t.byHost[r.Host]
		if h.byPrefix == nil {
			h.byPrefix = make(map[string]*Route)
		}
		h.byPrefix[r.Prefix] = r
		h.depth = max(h.depth, strings.Count(r.Prefix, "/"))
		t.byHost[r.Host] = h
	}
}

// HasService reports whether the configuration has the service. A nil table has every service.
func (t *Table) HasService(s hingeids.Service) bool {
	if t == nil {
		return true
	}
	_, exists := t.Services[s]
	return exists
}

// Quota returns the quota of a customer, which is unlimited if the table is nil or the customer unknown.
func (t *Table) Quota(c hingeids.CallerID) hingecustomers.Quota {
	if t == nil {
		return hingecustomers.Quota{}
	}
	return t.Customers.Quota(c)
}

// Match returns the route of a request, or nil (rule 2). As prefixes end with a slash, only the path up to each of its first
// slashes can be one: the time depends on the depth of the host's prefixes, not on the number of routes or the path's length.
func (t *Table) Match(host, path string) *Route {
	h := t.byHost[host]
	var found *Route
	end := 0
	for range h.depth {
		slash := strings.IndexByte(path[end:], '/')
		if slash < 0 {
			break
		}
		end += slash + 1
		if r := h.byPrefix[path[:end]]; r != nil {
			found = r
		}
	}
	return found
}

// Service returns the service for a request (rule 3).
func (r *Route) Service(requestID string) hingeids.Service {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	point := int(xxhash.Sum64String(requestID) % uint64(max(total, 1)))
	for _, s := range r.Shares {
		if point < s.Weight {
			return s.Service
		}
		point -= s.Weight
	}
	return r.Shares[len(r.Shares)-1].Service
}
