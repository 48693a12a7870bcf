package hingeproxy

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/swifthinge/swifthinge/internal/config/hingecustomers"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/path/hingewire"
)

// printOf gives what a request has in common with all that are sent again: whose it is, what it asks and its body, and
// nothing that is made anew for each attempt. Nobody can make a request that has another customer's print, since the
// hash can't be turned round.
func printOf(r *hingewire.Request, c *hingecustomers.Customer) hingeids.Print {
	h := sha256.New()
	name := ""
	if c != nil {
		name = string(c.Name)
	}
	var length [8]byte
	for _, part := range []string{name, r.Method, hostName(r.Host), r.Target} {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write([]byte(part))
	}
	h.Write(r.Body)
	// Zero is no print; to take the next one costs nothing.
	return hingeids.Print(max(binary.BigEndian.Uint64(h.Sum(nil)), 1))
}
