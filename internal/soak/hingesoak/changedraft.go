package hingesoak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/swifthinge/swifthinge/internal/config/hingeroutes"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	hingeplatform "github.com/swifthinge/swifthinge/platform"
)

// The prefixes of the routes that changes concern. Those of addedPrefix, freshPrefix and barredPrefix go on with a version.
// A fresh route is added together with its service, and a barred one stands in content that must never be in force.
const (
	fixedPrefix  = "/fixed/"
	slowPrefix   = "/slow/"
	movedPrefix  = "/moved-"
	addedPrefix  = "/added-"
	freshPrefix  = "/fresh-"
	barredPrefix = "/barred-"
)

const (
	slowService hingeids.Service = "slow"
	// slowAnswerTime is how long the servers of slowService take.
	slowAnswerTime = 3 * time.Second
	movedRoutes    = 3
	// keptAdded is the number of added routes, of both kinds, from which on the oldest is dropped.
	keptAdded    = 14
	routeTimeout = 8 * time.Second
)

var (
	movedServices = []hingeids.Service{"alpha", "beta", "gamma"}
	// slowTimeouts are the time limits of the slow route; its servers answer only the last one in time.
	slowTimeouts = []time.Duration{400 * time.Millisecond, 600 * time.Millisecond, 800 * time.Millisecond, 1500 * time.Millisecond, routeTimeout}
)

// draft has the routes of the next version, in their order, and all further services that versions have named.
type draft struct {
	routes []hingeplatform.ConfigRoute
	fresh  []hingeids.Service
}

func newDraft() *draft {
	d := &draft{}
	d.set(fixedPrefix, routeTimeout, movedServices[0])
	d.set(slowPrefix, slowTimeouts[1], slowService)
	for i := range movedRoutes {
		d.set(movedRoute(i), routeTimeout, movedServices[i])
	}
	return d
}

func movedRoute(i int) string {
	return fmt.Sprintf("%s%d/", movedPrefix, i)
}

func ownPrefix(kind string, version uint64) string {
	return fmt.Sprintf("%s%d/", kind, version)
}

// set makes a route lead to services, with equal shares.
func (d *draft) set(prefix string, timeout time.Duration, services ...hingeids.Service) {
	r := hingeplatform.ConfigRoute{
		Prefix:  prefix,
		Timeout: timeout,
	}
	for _, s := range services {
		r.Shares = append(r.Shares, hingeroutes.Share{
			Service: s,
			Weight:  1,
		})
	}
	d.drop(prefix)
	d.routes = append(d.routes, r)
}

func (d *draft) drop(prefix string) {
	d.routes = slices.DeleteFunc(d.routes, func(r hingeplatform.ConfigRoute) bool {
		return r.Prefix == prefix
	})
}

// mutate draws what a version changes. It returns the service that the version adds, if any.
func (d *draft) mutate(random *rand.Rand, version uint64) hingeids.Service {
	fresh := hingeids.Service("")
	for range 2 + random.IntN(3) {
		prefix := movedRoute(random.IntN(movedRoutes))
		switch random.IntN(11) {
		case 0, 1, 2:
			d.set(prefix, routeTimeout, movedServices[random.IntN(len(movedServices))])
		case 3:
			d.split(random, prefix)
		case 4:
			d.drop(prefix)
		case 5, 6:
			d.set(slowPrefix, slowTimeouts[random.IntN(len(slowTimeouts))], slowService)
		case 7, 8:
			d.set(ownPrefix(addedPrefix, version), routeTimeout, movedServices[random.IntN(len(movedServices))])
		default:
			if fresh == "" {
				fresh = hingeids.Service(fmt.Sprint("fresh-", version))
				d.fresh = append(d.fresh, fresh)
				d.set(ownPrefix(freshPrefix, version), routeTimeout, fresh)
			}
		}
	}
	d.dropOldest()
	return fresh
}

// split makes a route lead to two services with different weights, and to the third one with the weight zero.
func (d *draft) split(random *rand.Rand, prefix string) {
	order := random.Perm(len(movedServices))
	d.set(prefix, routeTimeout, movedServices[order[0]], movedServices[order[1]], movedServices[order[2]])
	r := &d.routes[len(d.routes)-1]
	r.Shares[0].Weight = 1 + random.IntN(9)
	r.Shares[2].Weight = 0
}

// dropOldest drops the oldest added route if there are many.
func (d *draft) dropOldest() {
	var added []string
	for _, r := range d.routes {
		if strings.HasPrefix(r.Prefix, addedPrefix) || strings.HasPrefix(r.Prefix, freshPrefix) {
			added = append(added, r.Prefix)
		}
	}
	if len(added) > keptAdded {
		d.drop(added[0])
	}
}

// change returns the draft as a version.
func (d *draft) change(version uint64) *change {
	return newChange(version, d.routes, d.services(), "")
}

func (d *draft) services() []string {
	out := []string{string(slowService)}
	for _, s := range slices.Concat(movedServices, d.fresh) {
		out = append(out, string(s))
	}
	return out
}

func newChange(version uint64, routes []hingeplatform.ConfigRoute, services []string, b barred) *change {
	c := &change{
		version: version,
		routes:  make(map[string]hingeplatform.ConfigRoute, len(routes)),
		call:    wire.PutRoutes(version, requestHost, plainService, engineService, services, routes),
		barred:  b,
	}
	for _, r := range routes {
		c.routes[r.Prefix] = r
	}
	return c
}

// barredRoute is a route that no valid version has.
func barredRoute(random *rand.Rand, version uint64) hingeplatform.ConfigRoute {
	return hingeplatform.ConfigRoute{
		Prefix:  ownPrefix(barredPrefix, version),
		Timeout: routeTimeout,
		Shares: []hingeroutes.Share{
			{
				Service: movedServices[random.IntN(len(movedServices))],
				Weight:  1,
			},
		},
	}
}

// other returns other content under a version that is held.
func (d *draft) other(random *rand.Rand, version uint64) *change {
	return newChange(version, append(slices.Clone(d.routes), barredRoute(random, version)), d.services(), barredOther)
}

// invalid returns an invalid change: cut short, with an unknown service, two routes at the same host and prefix, weights
// that add up to zero, or a time limit of zero.
func (d *draft) invalid(random *rand.Rand, version uint64) *change {
	sound := barredRoute(random, version)
	faulty := sound
	faulty.Prefix = ownPrefix("/faulty-", version)
	cuts := false
	switch random.IntN(5) {
	case 0:
		cuts = true
	case 1:
		faulty.Shares = []hingeroutes.Share{
			{
				Service: "nowhere",
				Weight:  1,
			},
		}
	case 2:
		faulty.Prefix = sound.Prefix
	case 3:
		faulty.Shares = []hingeroutes.Share{
			{
				Service: movedServices[0],
			},
			{
				Service: movedServices[1],
			},
		}
	default:
		faulty.Timeout = 0
	}
	c := newChange(version, append(slices.Clone(d.routes), sound, faulty), d.services(), barredInvalid)
	if cuts {
		c.call.Body = c.call.Body[:len(c.call.Body)-1-random.IntN(len(c.call.Body)/2)]
	}
	return c
}
