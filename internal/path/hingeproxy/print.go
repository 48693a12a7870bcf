package hingeproxy

import (
	"github.com/swifthinge/swifthinge/internal/config/hingecustomers"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/decide/hingepoison"
	"github.com/swifthinge/swifthinge/internal/path/hingewire"
)

// printOf gives the print of a request, of nothing that is made anew for each attempt.
func printOf(r *hingewire.Request, c *hingecustomers.Customer) hingeids.Fingerprint {
	name := ""
	if c != nil {
		name = string(c.Name)
	}
	return hingepoison.FingerprintOf(r.Body, name, r.Method, hostName(r.Host), r.Target)
}
