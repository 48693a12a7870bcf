package hingeinventory

import (
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/swifthinge/swifthinge/internal/config/hingecustomers"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// Customer is the entry of a customer in the rules. If the rules have any, every request needs a customer's key.
type Customer struct {
	Name hingeids.CallerID `toml:"name"`
	// Keys has API keys as callers send them. They stay on the operator's machine: items have only their digests.
	Keys []string `toml:"keys,omitempty"`
	// KeyDigests has digests of API keys, as printed by `swifthinge keys customer`.
	KeyDigests []string `toml:"keyDigests,omitempty"`
	// Priority overrides the priority of the class; higher values come first.
	Priority *int `toml:"priority,omitempty"`
}

// digestPrefix names the hash algorithm of a digest.
const digestPrefix = "sha256:"

// DigestText returns the digest of a key as text: "sha256:" and hexadecimal digits.
func DigestText(k hingecustomers.Key) string {
	d := k.Digest()
	return digestPrefix + hex.EncodeToString(d[:])
}

func parseDigest(s string) (d hingecustomers.Digest, ok bool) {
	digits, hasPrefix := strings.CutPrefix(s, digestPrefix)
	b, err := hex.DecodeString(digits)
	if !hasPrefix || err != nil || len(b) != len(d) {
		return d, false
	}
	return hingecustomers.Digest(b), true
}

// withDigestsOnly returns a copy of the customer with its keys replaced by their digests.
func (c Customer) withDigestsOnly() Customer {
	var digests []string
	for _, k := range c.Keys {
		digests = append(digests, DigestText(hingecustomers.Key(k)))
	}
	c.KeyDigests = append(digests, c.KeyDigests...)
	c.Keys = nil
	return c
}

// CustomerSet returns the customers of the rules, or nil if there are none. It panics if the rules weren't validated.
func (r *Rules) CustomerSet() *hingecustomers.Set {
	if len(r.Customers) == 0 {
		return nil
	}
	list := make([]hingecustomers.Customer, 0, len(r.Customers))
	for _, c := range r.Customers {
		x := hingecustomers.Customer{
			Name:     c.Name,
			Priority: c.Priority,
		}
		for _, text := range c.withDigestsOnly().KeyDigests {
			if d, ok := parseDigest(text); ok {
				x.Keys = append(x.Keys, d)
			}
		}
		list = append(list, x)
	}
	set, err := hingecustomers.NewSet(list)
	if err != nil {
		// checkCustomers rejects everything that NewSet does.
		panic(err)
	}
	return set
}

// checkCustomers implements Rule 2 for customers: two customers can't have the same key, since their requests couldn't be
// distinguished.
func checkCustomers(d problemReporter, r *Rules) {
	customers := newNameSet(d, "customer")
	holders := make(map[string]string)
	for i, c := range r.Customers {
		at := fmt.Sprintf("customers[%d]", i)
		customers.add(at+".name", string(c.Name))
		for j, k := range c.Keys {
			key := fmt.Sprintf("%s.keys[%d]", at, j)
			if k == "" {
				d.Problem(key, "is empty", "a key as `swifthinge keys customer` makes it")
				continue
			}
			checkKeyHolder(d, holders, at, key, DigestText(hingecustomers.Key(k)))
		}
		for j, digest := range c.KeyDigests {
			key := fmt.Sprintf("%s.keyDigests[%d]", at, j)
			if parsed, ok := parseDigest(digest); !ok || parsed == hingecustomers.Key("").Digest() {
				d.Problem(key, "is no digest of a key", "sha256: and 64 hexadecimal digits, as `swifthinge keys customer` prints them")
				continue
			}
			checkKeyHolder(d, holders, at, key, strings.ToLower(digest))
		}
	}
}

// checkKeyHolder records which customer has a key, and adds a problem if another customer has it too. The problem doesn't
// contain the key or its digest.
func checkKeyHolder(d problemReporter, holders map[string]string, at, key, digest string) {
	holder, exists := holders[digest]
	holders[digest] = at
	if exists && holder != at {
		d.Problem(key, "is a key of "+holder+" too", "each key once")
	}
}
