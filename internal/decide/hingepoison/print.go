package hingepoison

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// PrintOf gives what a request has in common with all that are sent again, of its body and of what else tells it from others: whose it
// is, and what it asks. Nobody can make a request that has another's print, since the hash can't be turned round.
func PrintOf(body []byte, parts ...string) hingeids.Print {
	h := sha256.New()
	var length [8]byte
	for _, part := range parts {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write([]byte(part))
	}
	h.Write(body)
	// Zero is no print; to take the next one costs nothing.
	return hingeids.Print(max(binary.BigEndian.Uint64(h.Sum(nil)), 1))
}
