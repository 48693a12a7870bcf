package hingeroutes

import (
	"strings"

	"github.com/rotisserie/eris"
)

// routeKey is the host and path prefix of a route; no two routes may have the same.
type routeKey struct {
	host   string
	prefix string
}

// Check returns the first error that makes the table invalid, or nil (rule 1).
func (t *Table) Check() error {
	if t.Version == 0 {
		return eris.New("the configuration has no version")
	}
	seen := make(map[routeKey]string, len(t.Routes))
	for i := range t.Routes {
		r := &t.Routes[i]
		if err := t.checkRoute(r); err != nil {
			return err
		}
		key := routeKey{
			host:   r.Host,
			prefix: r.Prefix,
		}
		if other, exists := seen[key]; exists {
			return eris.Errorf("routes %q and %q stand at the same host and prefix", other, r.Name)
		}
		seen[key] = r.Name
	}
	return nil
}

func (t *Table) checkRoute(r *Route) error {
	switch {
	case r.Host == "":
		return eris.Errorf("route %q has no host", r.Name)
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return eris.Errorf("route %q: the prefix %q doesn't begin and end with a slash", r.Name, r.Prefix)
	case r.Kind == 0:
		return eris.Errorf("route %q has no kind", r.Name)
	case r.Timeout <= 0:
		return eris.Errorf("route %q has no timeout", r.Name)
	case len(r.Shares) == 0:
		return eris.Errorf("route %q names no service", r.Name)
	}
	total := 0
	for _, s := range r.Shares {
		if _, exists := t.Services[s.Service]; !exists {
			return eris.Errorf("route %q: service %q isn't in the configuration", r.Name, s.Service)
		}
		if s.Weight < 0 {
			return eris.Errorf("route %q: the weight of service %q is negative", r.Name, s.Service)
		}
		total += s.Weight
	}
	if total == 0 {
		return eris.Errorf("route %q: the weights add up to 0", r.Name)
	}
	return nil
}
