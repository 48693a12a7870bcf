package hingeinventory

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

var knownMethods = []string{"DELETE", "GET", "HEAD", "PATCH", "POST", "PUT"}

// checkRules implements Rules 2, 4 and 5.
func checkRules(d problemReporter, inv *Inventory, r *Rules) {
	checkWeights(d, r.Weights)
	if r.KeepKeys < 0 {
		d.Problem("keepKeys", "is below zero", `a duration such as "24h"`)
	}
	checkCustomers(d, r)
	classes := newNameSet(d, "class")
	for i := range r.Classes {
		c := &r.Classes[i]
		at := fmt.Sprintf("classes[%d]", i)
		classes.add(at+".name", c.Name)
		checkMatcher(d, inv, at, c)
		checkTargets(d, at, c)
		checkNeverRepeat(d, at, c, r.KeepKeys)
		for j := range r.Classes[:i] {
			if r.Classes[j].covers(c) {
				d.Problem(at, fmt.Sprintf("can never apply, since classes[%d] (%s) matches all it does", j, r.Classes[j].Name),
					"the narrower class first")
				break
			}
		}
	}
}

func checkWeights(d problemReporter, w Weights) {
	for _, x := range []struct {
		path  string
		value float64
	}{
		{
			path:  "weights.goodput",
			value: w.Goodput,
		},
		{
			path:  "weights.wastedPrefill",
			value: w.WastedPrefill,
		},
	} {
		// The negated condition also rejects NaN, which TOML allows.
		if !(x.value >= 0 && x.value <= 1) {
			d.Problem(x.path, fmt.Sprintf("is %v", x.value), "a number from 0 to 1")
		}
	}
	if w.Goodput == 0 && w.WastedPrefill == 0 {
		d.Problem("weights", "are both zero", "at least one above zero")
	}
}

func checkMatcher(d problemReporter, inv *Inventory, at string, c *Class) {
	if c.Model != "" && c.Service != "" {
		d.Problem(at, "names both a model and a service", "one of them, or neither")
	}
	if c.Model != "" && !slices.ContainsFunc(inv.Models, func(m Model) bool {
		return m.Name == c.Model
	}) {
		d.Problem(at+".model", fmt.Sprintf("no such model: %q", c.Model), "a model of the inventory")
	}
	if c.Service != "" {
		checkServiceRoute(d, inv, at, c)
	}
	if c.Route != "" && !strings.HasPrefix(c.Route, "/") {
		d.Problem(at+".route", "is no path prefix: "+c.Route, "a path that begins with /")
	}
	for i, m := range c.Methods {
		if !slices.Contains(knownMethods, m) {
			d.Problem(fmt.Sprintf("%s.methods[%d]", at, i), "is no method: "+m, "one of "+strings.Join(knownMethods, ", "))
		}
	}
}

// checkServiceRoute adds a problem if the route of a class is outside the route of its service:
// such a class matches no request, so its requests would run without its neverRepeat.
func checkServiceRoute(d problemReporter, inv *Inventory, at string, c *Class) {
	i := slices.IndexFunc(inv.Services, func(s Service) bool {
		return s.Name == c.Service
	})
	if i < 0 {
		d.Problem(at+".service", fmt.Sprintf("no such service: %q", c.Service), "a service of the inventory")
		return
	}
	if c.Route != "" && !underRoute(c.Route, inv.Services[i].Route) {
		d.Problem(at+".route", "is not below the route of its service: "+c.Route, "a path below "+inv.Services[i].Route)
	}
}

func checkTargets(d problemReporter, at string, c *Class) {
	checkDuration(d, at+".firstToken", c.FirstToken)
	checkDuration(d, at+".deadline", c.Deadline)
	if c.Service == "" {
		checkDuration(d, at+".tokenGap", c.TokenGap)
	} else if c.TokenGap != 0 {
		d.Problem(at+".tokenGap", "is given for a plain service, which sends no tokens", "no tokenGap")
	}
	if c.FirstToken > 0 && c.Deadline > 0 && c.Deadline < c.FirstToken {
		d.Problem(at+".deadline", fmt.Sprintf("%v is before the target %v", c.Deadline, c.FirstToken), "one after firstToken")
	}
}

func checkDuration(d problemReporter, path string, value time.Duration) {
	if value <= 0 {
		d.Problem(path, "is missing or not above zero", `a duration such as "250ms"`)
	}
}

// checkNeverRepeat implements Rule 5.
func checkNeverRepeat(d problemReporter, at string, c *Class, keepKeys time.Duration) {
	if !c.NeverRepeat {
		return
	}
	if keepKeys <= 0 {
		d.Problem(at+".neverRepeat", "needs idempotency keys to be kept", `keepKeys = "24h" or so`)
		return
	}
	if keepKeys <= c.Deadline {
		d.Problem(at+".neverRepeat", fmt.Sprintf("keys are kept for %v, which is no longer than the deadline %v", keepKeys, c.Deadline),
			"keepKeys above the deadline")
	}
}
