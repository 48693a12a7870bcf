package hingeinventory

import (
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/swifthinge/swifthinge/internal/config/hingecustomers"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// Customer is a customer as written in the rules. Where there is one, every request needs the key of one.
type Customer struct {
	Name hingeids.CallerID `toml:"name"`
	// Keys are its API keys as callers send them. They don't leave the operator's machine: items hold their digests.
	Keys []string `toml:"keys,omitempty"`
	// KeyDigests are digests of API keys, as `swifthinge keys customer` prints them.
	KeyDigests []string `toml:"keyDigests,omitempty"`
	// Priority takes the place of the class's; the higher goes first.
	Priority *int `toml:"priority,omitempty"`
}

// digestMark says how a digest was made.
const digestMark = "sha256:"

// DigestText gives the digest of a key as it is written.
func DigestText(k hingecustomers.Key) string {
	d := k.Digest()
	return digestMark + hex.EncodeToString(d[:])
}

func parseDigest(s string) (d hingecustomers.Digest, ok bool) {
	digits, marked := strings.CutPrefix(s, digestMark)
	b, err := hex.DecodeString(digits)
	if !marked || err != nil || len(b) != len(d) {
		return d, false
	}
	return hingecustomers.Digest(b), true
}

// sealed gives the customer with digests in place of its keys.
func (c Customer) sealed() Customer {
	var digests []string
	for _, k := range c.Keys {
		digests = append(digests, DigestText(hingecustomers.Key(k)))
	}
	c.KeyDigests = append(digests, c.KeyDigests...)
	c.Keys = nil
	return c
}

// CustomerSet gives the customers of rules that were checked, nil if there are none.
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
		for _, text := range c.sealed().KeyDigests {
			if d, ok := parseDigest(text); ok {
				x.Keys = append(x.Keys, d)
			}
		}
		list = append(list, x)
	}
	set, err := hingecustomers.NewSet(list)
	if err != nil {
		// What the set refuses is a problem of the check.
		panic(err)
	}
	return set
}

// checkCustomers carries out Rule 2 for customers: of two with one key each would be taken for the other.
func checkCustomers(d place, r *Rules) {
	customers := newNames(d, "customer")
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
			holdKey(d, holders, at, key, DigestText(hingecustomers.Key(k)))
		}
		for j, digest := range c.KeyDigests {
			key := fmt.Sprintf("%s.keyDigests[%d]", at, j)
			if parsed, ok := parseDigest(digest); !ok || parsed == hingecustomers.Key("").Digest() {
				d.Problem(key, "is no digest of a key", "sha256: and 64 hexadecimal digits, as `swifthinge keys customer` prints them")
				continue
			}
			holdKey(d, holders, at, key, strings.ToLower(digest))
		}
	}
}

// holdKey notes whose a key is, and a problem if it is another's too. Neither is shown.
func holdKey(d place, holders map[string]string, at, key, digest string) {
	holder, there := holders[digest]
	holders[digest] = at
	if there && holder != at {
		d.Problem(key, "is a key of "+holder+" too", "each key once")
	}
}
