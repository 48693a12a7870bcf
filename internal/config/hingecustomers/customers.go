// Package hingecustomers is who may ask: customers with their API keys, their priority and their quotas.
//
//  1. A set is checked whole before it is accepted, and refused with the first reason. Of two customers with one
//     key each would be taken for the other, and pay for its requests.
//  2. Keys are kept as digests only, so that whatever prints a set or an error about it prints no key.
//  3. A request has a customer if it brings a key that the set holds. Every request is looked at by itself: a key that
//     was taken away is of no use on a connection that was open before.
//  4. A quota counts requests, or tokens of prompt and answer as the request states them. A request that states none counts
//     as a fixed number of tokens.
package hingecustomers

import (
	"crypto/sha256"

	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// Key is an API key as a caller sends it. It prints as nothing that could be used.
type Key string

// String hides the key.
func (Key) String() string {
	return "(API key)"
}

// GoString hides the key.
func (Key) GoString() string {
	return "(API key)"
}

// Digest stands for a key: equal keys have equal digests, and nobody finds a key from its digest.
type Digest [sha256.Size]byte

// Digest gives the digest of a key.
func (k Key) Digest() Digest {
	return sha256.Sum256([]byte(k))
}

// Unit is what a quota counts.
type Unit uint8

// The units.
const (
	Requests Unit = iota
	Tokens
)

// Quota bounds what a customer may have run, over all hosts together.
type Quota struct {
	Unit Unit
	// Rate is what it may use a second, in units; zero is without a bound.
	Rate float64
	// Burst is what it may use beside that at any time.
	Burst hingeids.QuotaUnits
	// Plain is what a request costs that states no tokens, where tokens count.
	Plain hingeids.QuotaUnits
}

// Bounded reports whether there is a bound at all.
func (q Quota) Bounded() bool {
	return q.Rate > 0
}

// Cost is what one request counts, which may state tokens of prompt and answer (rule 4).
func (q Quota) Cost(tokens hingeids.Tokens, stated bool) hingeids.QuotaUnits {
	switch {
	case q.Unit == Requests:
		return 1
	case stated:
		return hingeids.QuotaUnits(tokens)
	}
	return q.Plain
}

// Customer is one customer.
type Customer struct {
	Name hingeids.CallerID
	Keys []Digest
	// Priority ranks its requests in place of their route's; nil leaves the route's.
	Priority *int
	Quota    Quota
}

// Set is all customers. Nobody changes it once it is made; a nil set asks for no keys.
type Set struct {
	byKey  map[Digest]*Customer
	byName map[hingeids.CallerID]*Customer
}

// NewSet checks and indexes customers (rule 1).
func NewSet(list []Customer) (*Set, error) {
	s := &Set{
		byKey:  make(map[Digest]*Customer),
		byName: make(map[hingeids.CallerID]*Customer, len(list)),
	}
	for i := range list {
		if err := s.add(i, &list[i]); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// add takes the customer that stands at a place of the list.
func (s *Set) add(place int, c *Customer) error {
	switch {
	case c.Name == "":
		return eris.Errorf("customer %d has no name", place+1)
	case s.byName[c.Name] != nil:
		return eris.Errorf("two customers have the name %q", c.Name)
	case c.Quota.Rate < 0 || c.Quota.Burst < 0 || c.Quota.Plain < 0:
		return eris.Errorf("customer %q: a figure of the quota is negative", c.Name)
	}
	s.byName[c.Name] = c
	for i, d := range c.Keys {
		if d == Key("").Digest() {
			return eris.Errorf("customer %q: key %d is empty", c.Name, i+1)
		}
		if other := s.byKey[d]; other != nil && other != c {
			return eris.Errorf("customers %q and %q have the same key", other.Name, c.Name)
		}
		s.byKey[d] = c
	}
	return nil
}

// Holder gives the customer that holds a key, or nil (rule 3).
func (s *Set) Holder(k Key) *Customer {
	if s == nil {
		return nil
	}
	return s.byKey[k.Digest()]
}

// Quota gives a customer's quota, without a bound if the customer isn't known.
func (s *Set) Quota(name hingeids.CallerID) Quota {
	if s == nil || s.byName[name] == nil {
		return Quota{}
	}
	return s.byName[name].Quota
}
