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

// Digest stands for the body of a request.
type Digest [16]byte

// DigestOf gives the digest of what makes two requests under one key the same:
// method, path and body.
func DigestOf(method, path string, body []byte) Digest {
	h := sha256.New()
	for _, part := range []string{method, path} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(body)
	return Digest(h.Sum(nil)[:len(Digest{})])
}

// Claim asks for the right to send a request.
type Claim struct {
	Caller  hingeids.CallerID       `cbor:"1,keyasint"`
	Key     hingeids.IdempotencyKey `cbor:"2,keyasint"`
	Digest  Digest                  `cbor:"3,keyasint"`
	Request hingeids.RequestID      `cbor:"4,keyasint"`
	// Until is the time, in Unix nanoseconds, from which the claimer neither
	// sends nor waits any more.
	Until int64 `cbor:"5,keyasint"`
	// Keep is how long the key is remembered; Ledger sets it from the rules.
	Keep time.Duration `cbor:"6,keyasint"`
}

// Kind says what became of a claim.
type Kind uint8

// The kinds of outcome.
const (
	// Malformed is a command that can't be read.
	Malformed Kind = iota
	// Granted lets the claimer send the request now.
	Granted
	// InProgress means that another attempt has the claim.
	InProgress
	// Answered gives the answer of the attempt that ran.
	Answered
	// AnsweredUnkept means that it ran, and its answer was too large to keep.
	AnsweredUnkept
	// Uncertain means that an attempt may have run and nobody can tell.
	Uncertain
	// OtherBody means that the key was used for another request.
	OtherBody
	// Withdrawn means that this request id has released its claim, or that its life is over.
	Withdrawn
	// CallerFull and Full refuse for want of room.
	CallerFull
	Full
	// Noted is the outcome of finishing, releasing and the end of a life.
	Noted
)

// Outcome is what became of a claim.
type Outcome struct {
	Kind Kind `cbor:"1,keyasint"`
	// By is the attempt that has or had the claim.
	By hingeids.RequestID `cbor:"2,keyasint"`
	// Until is when that attempt's claim ends, in Unix nanoseconds.
	Until int64 `cbor:"3,keyasint,omitempty"`
	// Answer is what that attempt was answered, for Answered.
	Answer []byte `cbor:"4,keyasint,omitempty"`
}

// verb is what a command does.
type verb uint8

const (
	verbClaim verb = iota + 1
	verbFinish
	verbRelease
	verbEndLife
)

// command is one input of State. Rule 6.
type command struct {
	Verb   verb              `cbor:"1,keyasint"`
	Time   int64             `cbor:"2,keyasint"`
	Claim  Claim             `cbor:"3,keyasint"`
	Answer []byte            `cbor:"4,keyasint,omitempty"`
	Life   hingeids.Instance `cbor:"5,keyasint"`
}

// issuedPrefix marks issued keys. Callers' own keys that begin with it are taken
// as issued ones, which is safe: the text alone says where a key goes. Rule 8.
const issuedPrefix = "hinge."

// issuedKey is an issued key in its parts.
type issuedKey struct {
	zone        hingeids.Zone
	incarnation hingeids.Incarnation
}

func newIssuedKey(zone hingeids.Zone, keeper hingeids.Incarnation) (hingeids.IdempotencyKey, error) {
	var random [16]byte
	if _, err := rand.Read(random[:]); err != nil {
		return "", eris.Wrap(err, "issue key")
	}
	return hingeids.IdempotencyKey(issuedPrefix + string(zone) + "." +
		strconv.FormatUint(uint64(keeper), 36) + "." + hex.EncodeToString(random[:])), nil
}

// IsIssued reports whether a zone's keeper issued the key, by its form.
func IsIssued(key hingeids.IdempotencyKey) bool {
	_, ok := parseIssued(key)
	return ok
}

// parseIssued reads hinge.zone.incarnation.random. A zone may hold dots.
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
