package hingeproxy

import (
	"github.com/swifthinge/swifthinge/internal/config/hingecustomers"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/decide/hingepoison"
	"github.com/swifthinge/swifthinge/internal/path/hingewire"
)

// fingerprintOf returns the fingerprint of a request. It covers only what is the same in every resend.
func fingerprintOf(r *hingewire.Request, c *hingecustomers.Customer) hingeids.Fingerprint {
	name := ""
	if c != nil {
		name = string(c.Name)
	}
	return hingepoison.FingerprintOf(r.Body, name, r.Method, hostName(r.Host), r.Target)
}
