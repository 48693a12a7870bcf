// Package hingeroutes is the shared configuration of which requests go where:
// routes by host name and path to services, and what may be done with each.
//
//  1. A table is checked whole before it is accepted, and refused with the first reason.
//  2. Among the routes of a host the one with the longest prefix of the path
//     is taken.
//  3. A route that splits its traffic gives each request a service by a hash of the
//     request's id, so that a repeat of the same request goes the same way.
package hingeroutes

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/swifthinge/swifthinge/internal/config/hingecustomers"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// Kind says what may be repeated.
type Kind uint8

// Repeatable requests may run several times; Once requests at most once; a
// Stream may run again only if its route is resumable, from where it broke off.
const (
	Repeatable Kind = iota + 1
	Once
	Stream
)

// Share is a service with its weight in a split.
type Share struct {
	Service hingeids.Service
	Weight  int
}

// Route says where requests go and what may be done with them.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Shares are the services, one or several.
	Shares []Share
	// Timeout is the longest that a request may be kept waiting.
	Timeout time.Duration
	// Target is the time to the answer, or to a stream's first event, that counts as on time.
	Target time.Duration
	// GapTarget is the longest pause between a stream's events that counts as on time.
	GapTarget time.Duration
	// Patience is how long callers wait for the first event of a stream before they leave.
	Patience time.Duration
	// Attempts is how many backend servers one request may be sent to.
	Attempts int
	// Priority ranks routes; 0 goes first.
	Priority  int
	Resumable bool
	// Public says that anybody may ask, where others need a customer's key.
	Public bool
	// Engine says that requests name a model and their prompt.
	Engine bool
}

// MayRepeat reports whether a request that may have run may be sent again.
func (r *Route) MayRepeat() bool {
	return r.Kind == Repeatable || r.Kind == Stream && r.Resumable
}

// Engine is what the engines of a service have in common.
type Engine struct {
	Slots hingeids.Slots
	// Memory is the KV cache of one engine.
	Memory hingeids.Tokens
	// TokenBytes is the KV cache of one token.
	TokenBytes hingeids.Bytes
	// EventTokens is how many tokens one event of a stream carries.
	EventTokens hingeids.Tokens
	// HandleTime is how long a finished prefill is kept for its transfer.
	HandleTime time.Duration
	// RoleTime is how long an engine is away when it changes its role.
	RoleTime time.Duration
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name hingeids.Service
	// Connections is how many one backend server takes from all hosts together.
	Connections int
	// Engine is nil for plain services.
	Engine *Engine
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes int
	BodyBytes   int
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

// Table is a whole configuration of routes. Nobody changes it once it is made.
type Table struct {
	Version  uint64
	Routes   []Route
	Services map[hingeids.Service]Service
	// Customers are those whose keys are asked for; nil where nobody needs one.
	Customers *hingecustomers.Set
	Limits    Limits
	byHost    map[string][]*Route
}

// Index prepares Match; to be called once, before the table is shared.
func (t *Table) Index() {
	t.byHost = make(map[string][]*Route)
	for i := range t.Routes {
		r := &t.Routes[i]
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, list := range t.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int {
			return cmp.Compare(len(b.Prefix), len(a.Prefix))
		})
	}
}

// Names reports whether a service stands in the configuration. Before any is known, each may.
func (t *Table) Names(s hingeids.Service) bool {
	if t == nil {
		return true
	}
	_, there := t.Services[s]
	return there
}

// Quota gives a customer's quota, without a bound where none is known.
func (t *Table) Quota(c hingeids.CallerID) hingecustomers.Quota {
	if t == nil {
		return hingecustomers.Quota{}
	}
	return t.Customers.Quota(c)
}

// Match gives the route of a request, or nil (rule 2).
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service gives the service for a request (rule 3).
func (r *Route) Service(requestID string) hingeids.Service {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	at := int(xxhash.Sum64String(requestID) % uint64(max(total, 1)))
	for _, s := range r.Shares {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return r.Shares[len(r.Shares)-1].Service
}
