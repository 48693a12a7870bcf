package hingepoison

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// FingerprintOf returns the same fingerprint for all resends of a request: a hash of the body and of parts such as the caller and the path.
// It is cryptographic, so that a client can't craft a request with another's fingerprint, and never zero.
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

// maxParts bounds the parts of a prompt that are compared, the first ones. Later ones are shared by fewer requests.
const maxParts = 16

// PartsOf returns the fingerprints of the shared parts of a prompt, for one service: another one may run other software.
// Empty and repeated parts have none.
func PartsOf(s hingeids.Service, parts []string) []hingeids.Fingerprint {
	var out []hingeids.Fingerprint
	for _, id := range parts {
		if len(out) >= maxParts {
			break
		}
		fp := FingerprintOf(nil, "part", string(s), id)
		if id != "" && !slices.Contains(out, fp) {
			out = append(out, fp)
		}
	}
	return out
}
