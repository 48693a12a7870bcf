package hingepoison

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// FingerprintOf returns the fingerprint of a request, which is the same for all resends: a hash of the body and of parts such as the
// caller and the path. The hash is cryptographic, so that a client can't craft a request with the fingerprint of another's. It is never
// zero.
func FingerprintOf(body []byte, parts ...string) hingeids.Fingerprint {
	h := sha256.New()
	var length [8]byte
	for _, part := range parts {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write([]byte(part))
	}
	h.Write(body)
	// Zero means no fingerprint.
	return hingeids.Fingerprint(max(binary.BigEndian.Uint64(h.Sum(nil)), 1))
}
