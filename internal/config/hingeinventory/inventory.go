// Package hingeinventory holds what operators write and all hosts share: the
// inventory (which hosts, engines, models and services they own) and the rules
// (which work comes first, what is never repeated, the latency targets).
//
// Both are TOML files. In the configuration log they are kept item by item, a
// document for each entry under a path such as "models/redacteur", so that a
// change travels as the few items it touches and not as whole files.
//
//  1. A key that isn't known is an error, in files and in items: a misspelt
//     neverRepeat that were passed over would let a request run twice.
//  2. Names are unique among their kind, and whatever one entry names in
//     another is there.
//  3. Routes of services don't overlap, so that the order of the entries never
//     decides who gets a call. A route matches whole path segments.
//  4. Of the classes the first that matches applies, and each can match something
//     that those before it don't.
//  5. A class may say neverRepeat only if idempotency keys are kept for longer
//     than its requests may take; else a key would be forgotten while its
//     request still runs, and a resend would run it again.
//  6. The items of the same inventory and rules are the same bytes on every
//     host: entries are sorted by name, but for classes, which carry their order.
package hingeinventory

import (
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// Inventory is what the operators own.
type Inventory struct {
	Zones    []Zone    `toml:"zones"`
	Models   []Model   `toml:"models"`
	Services []Service `toml:"services"`
	Servers  []Server  `toml:"servers"`
	Links    []Link    `toml:"links"`
	// WeightStore is the rate of the store that model weights come from.
	WeightStore hingeids.BytesPerSecond `toml:"weightStore"`
}

// Zone is an availability zone and its entry hosts.
type Zone struct {
	Name  hingeids.Zone     `toml:"name"`
	Hosts []hingeids.HostID `toml:"hosts"`
}

// Model is a model and its latency needs.
type Model struct {
	Name hingeids.Model `toml:"name"`
	// CacheBytesPerToken is the size of the KV cache of one prompt token.
	CacheBytesPerToken hingeids.Bytes `toml:"cacheBytesPerToken"`
	// WeightBytes is the size of the weights.
	WeightBytes hingeids.Bytes `toml:"weightBytes"`
}

// Service is a plain service whose calls are routed by path prefix.
type Service struct {
	Name hingeids.Service `toml:"name"`
	// Route is the path prefix under which callers reach it.
	Route string `toml:"route"`
}

// Server is a backend server the operators own. One that announces itself
// without standing here is not used.
type Server struct {
	Name    hingeids.ServerID `toml:"name"`
	Zone    hingeids.Zone     `toml:"zone"`
	Model   hingeids.Model    `toml:"model,omitempty"`
	Service hingeids.Service  `toml:"service,omitempty"`
	// Version of the model, Adapters beside it and Role (prefill, decode or both)
	// are what the engine is ordered to be; an engine without them is left as it is.
	Version  string   `toml:"version,omitempty"`
	Adapters []string `toml:"adapters,omitempty"`
	Role     string   `toml:"role,omitempty"`
}

// Link is the rate of KV cache transfers between two availability zones, or
// within one when both are the same.
type Link struct {
	From hingeids.Zone           `toml:"from"`
	To   hingeids.Zone           `toml:"to"`
	Rate hingeids.BytesPerSecond `toml:"rate"`
}

// Rules are the operators' rules on top of the inventory.
type Rules struct {
	// Weights say what the firm weighs more; each from 0 to 1.
	Weights Weights `toml:"weights"`
	// Classes are kinds of work, the first matching one applies.
	Classes []Class `toml:"classes"`
	// KeepKeys is how long an idempotency key is remembered.
	KeepKeys time.Duration `toml:"keepKeys"`
	// Customers are those whose keys are asked for; without any, nobody needs one.
	Customers []Customer `toml:"customers"`
}

// Weights are the two ends of the trade-off between the firms.
type Weights struct {
	Goodput       float64 `toml:"goodput"`
	WastedPrefill float64 `toml:"wastedPrefill"`
}

// Class is a kind of work with its priority and targets.
type Class struct {
	Name string `toml:"name"`
	// Model or Service says what it applies to; an empty one matches all.
	Model   hingeids.Model   `toml:"model"`
	Service hingeids.Service `toml:"service"`
	// Route narrows it to requests whose path is this or goes on below it. It is
	// the whole path as callers write it, the service's own route included.
	Route string `toml:"route"`
	// Methods narrows it to HTTP methods; empty matches all.
	Methods []string `toml:"methods"`
	// Priority orders work: the higher goes first.
	Priority int `toml:"priority"`
	// NeverRepeat says that a request runs at most once; it needs an Idempotency-Key.
	NeverRepeat bool `toml:"neverRepeat"`
	// CanWait says that late is better than refused.
	CanWait bool `toml:"canWait"`
	// FirstToken is the target for the time to the first token.
	FirstToken time.Duration `toml:"firstToken"`
	// TokenGap is the target for the time between tokens.
	TokenGap time.Duration `toml:"tokenGap"`
	// Deadline is when a request without a deadline of its own is given up.
	Deadline time.Duration `toml:"deadline"`
}
