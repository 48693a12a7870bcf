// Package hingeinventory defines the configuration that operators write and all
// hosts share: the inventory (hosts, engines, models and services) and the rules
// (priorities, requests that are never repeated, latency targets).
//
// Both are TOML files. The configuration log stores them as items, one document
// per entry under a path such as "models/redacteur", so that a change contains
// only the items it modifies.
//
//  1. An unknown key is an error, in files and in items: if a misspelt
//     neverRepeat were ignored, a request could run twice.
//  2. Names are unique among entries of their kind, and every reference to
//     another entry resolves.
//  3. Routes of services don't overlap, so that the service of a call doesn't
//     depend on the order of the entries. A route matches whole path segments.
//  4. The first class that matches a request applies, and no class is
//     unreachable because an earlier one matches all its requests.
//  5. A class may set neverRepeat only if idempotency keys are kept for longer
//     than its deadline. Otherwise a key could expire while its request still
//     runs, and a retry would run the request again.
//  6. The items of the same inventory and rules are byte-identical on every
//     host: entries are sorted by name, except classes, whose items contain
//     their position.
package hingeinventory

import (
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// Inventory has the zones, models, services, backend servers and zone links of
// the operators.
type Inventory struct {
	Zones    []Zone    `toml:"zones"`
	Models   []Model   `toml:"models"`
	Services []Service `toml:"services"`
	Servers  []Server  `toml:"servers"`
	Links    []Link    `toml:"links"`
	// WeightStore is the read rate of the store of model weights.
	WeightStore hingeids.BytesPerSecond `toml:"weightStore"`
}

// Zone is an availability zone and its entry hosts.
type Zone struct {
	Name  hingeids.Zone     `toml:"name"`
	Hosts []hingeids.HostID `toml:"hosts"`
}

// Model is a model with the sizes of its KV cache and weights.
type Model struct {
	Name hingeids.Model `toml:"name"`
	// CacheBytesPerToken is the size of one token in the KV cache.
	CacheBytesPerToken hingeids.Bytes `toml:"cacheBytesPerToken"`
	// WeightBytes is the size of the model weights.
	WeightBytes hingeids.Bytes `toml:"weightBytes"`
}

// Service is a plain service whose calls are routed by path prefix.
type Service struct {
	Name hingeids.Service `toml:"name"`
	// Route is the path prefix of requests to the service.
	Route string `toml:"route"`
}

// Server is a backend server. A server that announces itself but isn't in the
// inventory is not used.
type Server struct {
	Name    hingeids.ServerID `toml:"name"`
	Zone    hingeids.Zone     `toml:"zone"`
	Model   hingeids.Model    `toml:"model,omitempty"`
	Service hingeids.Service  `toml:"service,omitempty"`
	// Version, Adapters and Role (prefill, decode or both) are the desired state
	// of an engine; an empty field leaves the engine's state unchanged.
	Version  string   `toml:"version,omitempty"`
	Adapters []string `toml:"adapters,omitempty"`
	Role     string   `toml:"role,omitempty"`
}

// Link is the rate of KV cache transfers from one availability zone to another,
// or within a zone if both are the same.
type Link struct {
	From hingeids.Zone           `toml:"from"`
	To   hingeids.Zone           `toml:"to"`
	Rate hingeids.BytesPerSecond `toml:"rate"`
}

// Rules has the operators' scheduling rules.
type Rules struct {
	// Weights are the weights of the scheduling objectives, each from 0 to 1.
	Weights Weights `toml:"weights"`
	// Classes are in order of precedence; the first that matches a request applies.
	Classes []Class `toml:"classes"`
	// KeepKeys is how long idempotency keys are kept.
	KeepKeys time.Duration `toml:"keepKeys"`
	// Customers has the customers with their keys; if empty, requests need no key.
	Customers []Customer `toml:"customers"`
}

// Weights has the weights of two competing objectives: goodput and little wasted prefill.
type Weights struct {
	Goodput       float64 `toml:"goodput"`
	WastedPrefill float64 `toml:"wastedPrefill"`
}

// Class has the priority and latency targets of the requests that it matches.
type Class struct {
	Name string `toml:"name"`
	// Model and Service restrict the class to a model or service; empty matches all.
	Model   hingeids.Model   `toml:"model"`
	Service hingeids.Service `toml:"service"`
	// Route restricts the class to requests whose path is the route or below it.
	// It is the full path that callers use, including the service's route.
	Route string `toml:"route"`
	// Methods restricts the class to HTTP methods; empty matches all.
	Methods []string `toml:"methods"`
	// Priority orders requests; higher values come first.
	Priority int `toml:"priority"`
	// NeverRepeat means that a request runs at most once; it needs an Idempotency-Key.
	NeverRepeat bool `toml:"neverRepeat"`
	// CanWait means that a late response is better than a rejection.
	CanWait bool `toml:"canWait"`
	// FirstToken is the target of the time to first token.
	FirstToken time.Duration `toml:"firstToken"`
	// TokenGap is the target of the time between tokens.
	TokenGap time.Duration `toml:"tokenGap"`
	// Deadline is the time after which a request without its own deadline expires.
	Deadline time.Duration `toml:"deadline"`
}
