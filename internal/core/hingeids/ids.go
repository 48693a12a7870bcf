// Package hingeids defines the identifiers and units that all packages share.
// Each has its own type, so that the compiler rejects a host in place of a
// backend server, or bytes in place of tokens.
package hingeids

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// HostID identifies an entry host by the name in its settings.
type HostID string

// Zone identifies an availability zone.
type Zone string

// ServerID identifies a backend server: a model engine or a plain service
// replica. It may carry an incarnation; see WithIncarnation.
type ServerID string

// incarnationSeparator separates a server's name from its incarnation. It can't
// occur in a name, because names are URL path segments and "#" ends a path.
const incarnationSeparator = "#"

// WithIncarnation returns the id of one incarnation of a server. State keyed by
// it (health, streams, orders) isn't applied to a later incarnation.
// Incarnation 1 has the bare name: servers that take a new name at each start
// have no other.
func (s ServerID) WithIncarnation(i Incarnation) ServerID {
	if i <= 1 {
		return s
	}
	return s + incarnationSeparator + ServerID(strconv.FormatUint(uint64(i), 10))
}

// Name returns the server's name without the incarnation.
func (s ServerID) Name() ServerID {
	name, _, _ := strings.Cut(string(s), incarnationSeparator)
	return ServerID(name)
}

// Incarnation returns the incarnation in the id, or 1 if it has none.
func (s ServerID) Incarnation() Incarnation {
	_, text, _ := strings.Cut(string(s), incarnationSeparator)
	i, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		// Only WithIncarnation writes the separator, so an id that doesn't parse has none.
		return 1
	}
	return Incarnation(i)
}

// Model identifies a model by its name in the inventory.
type Model string

// Service identifies a plain service by its name in the inventory.
type Service string

// CallerID identifies the customer on whose behalf a request is made.
type CallerID string

// Fingerprint is a digest that all resends of the same request share, over all
// attempts, hosts and clients. Zero means no fingerprint.
type Fingerprint uint64

// String formats the fingerprint as 16 hexadecimal digits, the form in logs and
// in operators' commands. It returns "" for zero.
func (f Fingerprint) String() string {
	if f == 0 {
		return ""
	}
	return fmt.Sprintf("%016x", uint64(f))
}

// MarshalText implements encoding.TextMarshaler with the format of String.
func (f Fingerprint) MarshalText() ([]byte, error) {
	return []byte(f.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler. It accepts the format of
// String; an empty text is zero.
func (f *Fingerprint) UnmarshalText(b []byte) error {
	if len(b) == 0 {
		*f = 0
		return nil
	}
	n, err := strconv.ParseUint(string(b), 16, 64)
	*f = Fingerprint(n)
	return eris.Wrap(err, "request fingerprint isn't a 64-bit hexadecimal number")
}

// IdempotencyKey is the key under which a caller's request runs at most once.
type IdempotencyKey string

// Incarnation distinguishes successive starts of a process or successive disks
// of a host. It only grows: it is the wall clock in nanoseconds at the start,
// so that it grows even if the disk was lost.
type Incarnation uint64

// Revision is the number of an accepted configuration. Zero is the empty
// configuration.
type Revision uint64

// Fence is a fencing number. An engine rejects an order with a lower number than
// the highest it has seen, because the issuer has been replaced.
type Fence uint64

// Tokens is a number of tokens of a prompt or of an answer.
type Tokens int64

// QuotaUnits is an amount of a customer's quota, in requests or in tokens.
type QuotaUnits int64

// Bytes is a size in bytes.
type Bytes int64

// BytesPerSecond is the throughput of a link.
type BytesPerSecond int64

// RequestsPerSecond is a rate of requests.
type RequestsPerSecond float64

// Slots is a number of decode slots. A decode engine holds one request in each.
type Slots int

// Instance is one instance of an entry host: the host with its incarnation.
type Instance struct {
	Host        HostID      `cbor:"1,keyasint" json:"host"`
	Incarnation Incarnation `cbor:"2,keyasint" json:"incarnation"`
}

// RequestID identifies a request. It contains the instance of the entry host that
// owns the request, so that engine memory that was allocated under the id can be
// freed once that instance has ended.
type RequestID struct {
	Instance
	Sequence uint64 `cbor:"3,keyasint" json:"sequence"`
	// Attempt counts the placements of the request on engines. Each placement has
	// its own id there, so that a delayed cancel of an earlier attempt doesn't
	// free the memory of a later one.
	Attempt uint16 `cbor:"4,keyasint,omitempty" json:"attempt,omitempty"`
}

// Base returns the id without the attempt, which is the id that the caller sees.
func (r RequestID) Base() RequestID {
	r.Attempt = 0
	return r
}

// String formats the id as host.incarnation.sequence, followed by -attempt if the
// attempt isn't zero. Numbers are in base 36.
func (r RequestID) String() string {
	s := string(r.Host) + "." + strconv.FormatUint(uint64(r.Incarnation), 36) +
		"." + strconv.FormatUint(r.Sequence, 36)
	if r.Attempt == 0 {
		return s
	}
	return s + "-" + strconv.FormatUint(uint64(r.Attempt), 36)
}

// IsZero reports whether the id is the zero value, which identifies no request.
func (r RequestID) IsZero() bool {
	return r == RequestID{}
}

// ParseRequestID parses the format of RequestID.String. A host name may contain
// dots: the numbers are the last two dot-separated parts.
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
		Instance: Instance{
			Host:        HostID(host),
			Incarnation: Incarnation(i),
		},
		Sequence: q,
		Attempt:  attempt,
	}, nil
}

func cutAttempt(s string) (sequence string, attempt uint16, err error) {
	sequence, text, found := strings.Cut(s, "-")
	if !found {
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
