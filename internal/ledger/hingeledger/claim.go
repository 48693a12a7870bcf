package hingeledger

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// Digest identifies a request by its method, path and body.
type Digest [16]byte

// DigestOf returns the digest of method, path and body. Two requests under one key
// are the same request if their digests are equal.
func DigestOf(method, path string, body []byte) Digest {
	h := sha256.New()
	for _, part := range []string{method, path} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(body)
	return Digest(h.Sum(nil)[:len(Digest{})])
}

// Claim requests the right to send a request.
type Claim struct {
	Caller  hingeids.CallerID       `cbor:"1,keyasint"`
	Key     hingeids.IdempotencyKey `cbor:"2,keyasint"`
	Digest  Digest                  `cbor:"3,keyasint"`
	Request hingeids.RequestID      `cbor:"4,keyasint"`
	// Until is the time, in Unix nanoseconds, from which the claiming host no
	// longer sends the request or waits for its answer.
	Until int64 `cbor:"5,keyasint"`
	// Retention is the retention of the key. Ledger sets it from the rules in force.
	Retention time.Duration `cbor:"6,keyasint"`
}

// Kind is the kind of an Outcome.
type Kind uint8

// The kinds of outcome.
const (
	// Malformed means that the command could not be decoded.
	Malformed Kind = iota
	// Granted permits the claiming host to send the request.
	Granted
	// InProgress means that another attempt holds the claim.
	InProgress
	// Answered means that an attempt has run. The Outcome contains its answer.
	Answered
	// AnsweredNotStored means that an attempt has run, but its answer was too large
	// to store.
	AnsweredNotStored
	// Uncertain means that an attempt may have run and its result is unknown.
	Uncertain
	// OtherBody means that the key was used for a request with another digest.
	OtherBody
	// Withdrawn means that the claim of this request id was already released, or
	// that its host instance has ended.
	Withdrawn
	// CallerFull and Full mean that the caller or the whole ledger is at its limit.
	CallerFull
	Full
	// Acknowledged acknowledges a finish, a release or the end of a host instance.
	Acknowledged
)

// Outcome is the result of a command.
type Outcome struct {
	Kind Kind `cbor:"1,keyasint"`
	// Holder is the request id that holds or held the claim, or the refused request
	// if the key has no claim.
	Holder hingeids.RequestID `cbor:"2,keyasint"`
	// Until is the end of that request's claim, in Unix nanoseconds.
	Until int64 `cbor:"3,keyasint,omitempty"`
	// Answer is the stored answer, set for Answered only.
	Answer []byte `cbor:"4,keyasint,omitempty"`
}

type verb uint8

const (
	verbClaim verb = iota + 1
	verbFinish
	verbRelease
	verbEndInstance
)

// command is one input of State (rule 6).
type command struct {
	Verb     verb              `cbor:"1,keyasint"`
	Time     int64             `cbor:"2,keyasint"`
	Claim    Claim             `cbor:"3,keyasint"`
	Answer   []byte            `cbor:"4,keyasint,omitempty"`
	Instance hingeids.Instance `cbor:"5,keyasint"`
}

// issuedPrefix marks issued keys. A caller's own key with this prefix is treated
// as an issued one, which is safe because the text of a key alone determines where
// it is claimed (rule 8).
const issuedPrefix = "hinge."

type issuedKey struct {
	zone        hingeids.Zone
	incarnation hingeids.Incarnation
}

func newIssuedKey(zone hingeids.Zone, incarnation hingeids.Incarnation) (hingeids.IdempotencyKey, error) {
	var random [16]byte
	if _, err := rand.Read(random[:]); err != nil {
		return "", eris.Wrap(err, "generate idempotency key")
	}
	return hingeids.IdempotencyKey(issuedPrefix + string(zone) + "." +
		strconv.FormatUint(uint64(incarnation), 36) + "." + hex.EncodeToString(random[:])), nil
}

// IsIssued reports whether the key has the format of an issued key. It doesn't check
// that a key owner issued it.
func IsIssued(key hingeids.IdempotencyKey) bool {
	_, ok := parseIssued(key)
	return ok
}

// The format is hinge.zone.incarnation.random. The zone may contain dots.
func parseIssued(key hingeids.IdempotencyKey) (issuedKey, bool) {
	rest, ok := strings.CutPrefix(string(key), issuedPrefix)
	if !ok {
		return issuedKey{}, false
	}
	parts := strings.Split(rest, ".")
	if len(parts) < 3 {
		return issuedKey{}, false
	}
	n := len(parts)
	incarnation, err := strconv.ParseUint(parts[n-2], 36, 64)
	if err != nil {
		return issuedKey{}, false
	}
	return issuedKey{
		zone:        hingeids.Zone(strings.Join(parts[:n-2], ".")),
		incarnation: hingeids.Incarnation(incarnation),
	}, true
}
