// Package hingeids holds the identifiers and units that every part of
// swifthinge shares, each as a type of its own so that the compiler refuses a
// host where a backend server is meant, or bytes where tokens are meant.
package hingeids

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// HostID names one entry host, as written in its settings.
type HostID string

// Zone names an availability zone.
type Zone string

// ServerID names a backend server: a model engine or a plain service replica.
type ServerID string

// lifeMark stands between a server's name and its incarnation. No name holds one: names are parts of
// paths, where it would end the path.
const lifeMark = "#"

// InLife names one life of a server. Whoever uses a server knows it by this name, so that nothing that
// was learned of an earlier life (its health, its streams, its orders) is believed of a later one. Servers that take
// a new name at each start have the incarnation 1 and no other name.
func (s ServerID) InLife(i Incarnation) ServerID {
	if i <= 1 {
		return s
	}
	return s + lifeMark + ServerID(strconv.FormatUint(uint64(i), 10))
}

// Name is the server's own name, without the life.
func (s ServerID) Name() ServerID {
	name, _, _ := strings.Cut(string(s), lifeMark)
	return ServerID(name)
}

// Life is the incarnation that the name speaks of, 1 if it names none.
func (s ServerID) Life() Incarnation {
	_, life, _ := strings.Cut(string(s), lifeMark)
	i, err := strconv.ParseUint(life, 10, 64)
	if err != nil {
		// Only InLife writes the mark, so what can't be read is a name without a life.
		return 1
	}
	return Incarnation(i)
}

// Model names a model, as written in the inventory.
type Model string

// Service names a plain service, as written in the inventory.
type Service string

// CallerID names the customer on whose behalf a request is made.
type CallerID string

// Print tells one request from another, over all attempts, hosts and clients: whoever sends the same again sends the
// same print. Zero is no print.
type Print uint64

// String writes a print as log lines and operators name it.
func (p Print) String() string {
	if p == 0 {
		return ""
	}
	return fmt.Sprintf("%016x", uint64(p))
}

// MarshalText writes a print as String does.
func (p Print) MarshalText() ([]byte, error) {
	return []byte(p.String()), nil
}

// UnmarshalText reads what MarshalText wrote.
func (p *Print) UnmarshalText(b []byte) error {
	if len(b) == 0 {
		*p = 0
		return nil
	}
	n, err := strconv.ParseUint(string(b), 16, 64)
	*p = Print(n)
	return eris.Wrap(err, "print of a request")
}

// IdempotencyKey is the caller's name for one request that must run at most once.
type IdempotencyKey string

// Incarnation counts the lives of a process or of a disk. It only ever grows:
// a process takes the wall clock in nanoseconds at its start, so a later life
// has a higher number even if the earlier one left nothing on disk.
type Incarnation uint64

// Revision numbers an accepted configuration. Zero is the empty configuration.
type Revision uint64

// Fence is a fencing number: an order with a lower one than an engine has seen
// comes from an issuer that has been replaced.
type Fence uint64

// Tokens counts tokens of a prompt or of an answer.
type Tokens int64

// Units counts what a customer's quota is measured in: requests or tokens.
type Units int64

// Bytes counts bytes.
type Bytes int64

// BytesPerSecond is the rate of a link.
type BytesPerSecond int64

// Slots counts the requests that a decode engine holds at once.
type Slots int

// Life is one life of an entry host.
type Life struct {
	Host        HostID      `cbor:"1,keyasint" json:"host"`
	Incarnation Incarnation `cbor:"2,keyasint" json:"incarnation"`
}

// RequestID names a request, and with it the life of the entry host that
// answers for it, so that whoever finds engine memory held under the id knows
// whether its owner still lives.
type RequestID struct {
	Life
	Sequence uint64 `cbor:"3,keyasint" json:"sequence"`
	// Attempt counts the times the request was placed at engines. Each has an id
	// of its own there: else the cancel of an earlier attempt, late on its way,
	// would drop what a later one holds.
	Attempt uint16 `cbor:"4,keyasint,omitempty" json:"attempt,omitempty"`
}

// Base is the id that the caller knows, without the attempt.
func (r RequestID) Base() RequestID {
	r.Attempt = 0
	return r
}

// String writes the id as host.incarnation.sequence, with -attempt if there is
// one. Numbers are in base 36.
func (r RequestID) String() string {
	s := string(r.Host) + "." + strconv.FormatUint(uint64(r.Incarnation), 36) +
		"." + strconv.FormatUint(r.Sequence, 36)
	if r.Attempt == 0 {
		return s
	}
	return s + "-" + strconv.FormatUint(uint64(r.Attempt), 36)
}

// IsZero reports whether the id names no request.
func (r RequestID) IsZero() bool {
	return r == RequestID{}
}

// ParseRequestID reads what RequestID.String wrote. A host name may hold dots:
// the two numbers are the last two parts.
func ParseRequestID(s string) (RequestID, error) {
	head, sequence, ok := cutLast(s)
	if !ok {
		return RequestID{}, eris.Errorf("request id %q: want host.incarnation.sequence", s)
	}
	host, incarnation, ok := cutLast(head)
	if !ok || host == "" {
		return RequestID{}, eris.Errorf("request id %q: want host.incarnation.sequence", s)
	}
	sequence, attempt, err := cutAttempt(sequence)
	if err != nil {
		return RequestID{}, eris.Wrapf(err, "request id %q: attempt", s)
	}
	i, err := strconv.ParseUint(incarnation, 36, 64)
	if err != nil {
		return RequestID{}, eris.Wrapf(err, "request id %q: incarnation", s)
	}
	q, err := strconv.ParseUint(sequence, 36, 64)
	if err != nil {
		return RequestID{}, eris.Wrapf(err, "request id %q: sequence", s)
	}
	return RequestID{
		Life: Life{
			Host:        HostID(host),
			Incarnation: Incarnation(i),
		},
		Sequence: q,
		Attempt:  attempt,
	}, nil
}

func cutAttempt(s string) (sequence string, attempt uint16, err error) {
	sequence, text, there := strings.Cut(s, "-")
	if !there {
		return s, 0, nil
	}
	n, err := strconv.ParseUint(text, 36, 16)
	return sequence, uint16(n), err
}

func cutLast(s string) (before, after string, ok bool) {
	i := strings.LastIndexByte(s, '.')
	if i < 0 {
		return "", "", false
	}
	return s[:i], s[i+1:], true
}
