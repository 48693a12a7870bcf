package hingeinventory

import (
	"slices"
	"strings"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// RequestAttributes has the attributes of a request that classes match.
type RequestAttributes struct {
	// Model is set for completions, Service for calls to plain services.
	Model   hingeids.Model
	Service hingeids.Service
	// Route is the path of the request.
	Route  string
	Method string
}

// DefaultClass applies if no class of the rules matches. Its deadline bounds
// how long such a request may wait.
var DefaultClass = Class{
	Name:       "default",
	FirstToken: 5 * time.Second,
	TokenGap:   250 * time.Millisecond,
	Deadline:   2 * time.Minute,
}

// Classify returns the class of a request (Rule 4). It doesn't allocate. It
// scans the classes, which is cheaper than an index for some tens of them.
func (r *Rules) Classify(attributes RequestAttributes) Class {
	for i := range r.Classes {
		if r.Classes[i].matches(attributes) {
			return r.Classes[i]
		}
	}
	return DefaultClass
}

func (c *Class) matches(attributes RequestAttributes) bool {
	if c.Model != "" && c.Model != attributes.Model {
		return false
	}
	if c.Service != "" && c.Service != attributes.Service {
		return false
	}
	if c.Route != "" && !underRoute(attributes.Route, c.Route) {
		return false
	}
	return len(c.Methods) == 0 || slices.Contains(c.Methods, attributes.Method)
}

// covers reports whether c matches every request that o matches.
func (c *Class) covers(o *Class) bool {
	if c.Model != "" && c.Model != o.Model {
		return false
	}
	if c.Service != "" && c.Service != o.Service {
		return false
	}
	if c.Route != "" && (o.Route == "" || !underRoute(o.Route, c.Route)) {
		return false
	}
	if len(c.Methods) == 0 {
		return true
	}
	for _, m := range o.Methods {
		if !slices.Contains(c.Methods, m) {
			return false
		}
	}
	return len(o.Methods) > 0
}

// ServiceOf returns the plain service whose route matches a request path (Rule 3).
func (inv *Inventory) ServiceOf(path string) (hingeids.Service, bool) {
	for i := range inv.Services {
		if underRoute(path, inv.Services[i].Route) {
			return inv.Services[i].Name, true
		}
	}
	return "", false
}

// The route /lots matches /lots/7 but not /lotsize.
func underRoute(path, route string) bool {
	route = strings.TrimSuffix(route, "/")
	if !strings.HasPrefix(path, route) {
		return false
	}
	return len(path) == len(route) || path[len(route)] == '/'
}
