// Package hingecustomers defines the customers that may send requests, with their API keys, priorities and quotas.
//
//  1. A set is validated completely before it is accepted, and rejected with the first error. Two customers can't have
//     the same key, since requests of one would be charged to the other.
//  2. Only digests of keys are stored, so that printing a set or an error about it reveals no key.
//  3. A request belongs to the customer whose key it carries. Each request is authenticated separately, so a revoked key
//     is rejected on connections that are already open too.
//  4. A quota counts requests, or the prompt and output tokens that a request declares. A request that declares no tokens
//     counts as a fixed number of tokens.
package hingecustomers

import (
	"crypto/sha256"

	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// Key is an API key as sent by a caller. Formatting it with fmt doesn't reveal it.
type Key string

// String returns a placeholder instead of the key.
func (Key) String() string {
	return "(API key)"
}

// GoString returns a placeholder instead of the key, for %#v.
func (Key) GoString() string {
	return "(API key)"
}

// Digest is the SHA-256 hash of a key.
type Digest [sha256.Size]byte

// Digest returns the SHA-256 hash of the key.
func (k Key) Digest() Digest {
	return sha256.Sum256([]byte(k))
}

// Unit is the unit that a quota counts.
type Unit uint8

// The units of a quota.
const (
	Requests Unit = iota
	Tokens
)

// Quota is the rate limit of a customer, over all hosts together.
type Quota struct {
	Unit Unit
	// Rate is the sustained rate in units per second; zero means unlimited.
	Rate float64
	// Burst is the number of units that may be used at once beyond the rate.
	Burst hingeids.QuotaUnits
	// DefaultCost is the cost of a request that declares no tokens, if the unit is Tokens.
	DefaultCost hingeids.QuotaUnits
}

// Limited reports whether the quota limits the customer.
func (q Quota) Limited() bool {
	return q.Rate > 0
}

// Cost returns the units that one request uses; declared means that the request declares its tokens (rule 4).
func (q Quota) Cost(tokens hingeids.Tokens, declared bool) hingeids.QuotaUnits {
	switch {
	case q.Unit == Requests:
		return 1
	case declared:
		return hingeids.QuotaUnits(tokens)
	}
	return q.DefaultCost
}

// Customer is a customer with the digests of its API keys.
type Customer struct {
	Name hingeids.CallerID
	Keys []Digest
	// Priority overrides the priority of the route for this customer's requests; nil means no override.
	Priority *int
	Quota    Quota
}

// Set has all customers. It is immutable and safe for concurrent use. A nil set means that no keys are required.
type Set struct {
	byKey  map[Digest]*Customer
	byName map[hingeids.CallerID]*Customer
}

// NewSet validates and indexes customers (rule 1). It keeps pointers into the list, which must not change afterwards.
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

func (s *Set) add(index int, c *Customer) error {
	switch {
	case c.Name == "":
		return eris.Errorf("customer %d has no name", index+1)
	case s.byName[c.Name] != nil:
		return eris.Errorf("two customers have the name %q", c.Name)
	case c.Quota.Rate < 0 || c.Quota.Burst < 0 || c.Quota.DefaultCost < 0:
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

// CustomerByKey returns the customer that has the key, or nil (rule 3).
func (s *Set) CustomerByKey(k Key) *Customer {
	if s == nil {
		return nil
	}
	return s.byKey[k.Digest()]
}

// Quota returns the quota of a customer, which is unlimited for an unknown customer.
func (s *Set) Quota(name hingeids.CallerID) Quota {
	if s == nil || s.byName[name] == nil {
		return Quota{}
	}
	return s.byName[name].Quota
}
