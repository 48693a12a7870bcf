package hingeledger

import (
	"encoding/binary"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// A snapshot consists of a header and the entries in the order of the expiry queue.
// The size in bytes precedes the header and each entry; the entry's checkAt precedes
// its size. These numbers are big-endian and have eight bytes.

type snapshotHeader struct {
	Now             int64                                    `cbor:"1,keyasint"`
	MinIncarnations map[hingeids.HostID]hingeids.Incarnation `cbor:"2,keyasint"`
	Entries         int                                      `cbor:"3,keyasint"`
}

type snapshotEntry struct {
	Caller  hingeids.CallerID       `cbor:"1,keyasint"`
	Key     hingeids.IdempotencyKey `cbor:"2,keyasint"`
	Phase   phase                   `cbor:"3,keyasint"`
	Digest  Digest                  `cbor:"4,keyasint"`
	Request hingeids.RequestID      `cbor:"5,keyasint"`
	Until   int64                   `cbor:"6,keyasint"`
	Expires int64                   `cbor:"7,keyasint"`
	Answer  []byte                  `cbor:"8,keyasint,omitempty"`
}

var encoder = mustEncoder()

func mustEncoder() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

// encode panics on types that can't be encoded, which none of this package's are.
func encode(v any) []byte {
	b, err := encoder.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// The answer is the last encoded field, so e.answer becomes a slice of encoded to
// share its memory.
func (e *entry) encode() {
	e.encoded = encode(snapshotEntry{
		Caller:  e.id.caller,
		Key:     e.id.key,
		Phase:   e.phase,
		Digest:  e.digest,
		Request: e.request,
		Until:   e.until,
		Expires: e.expires,
		Answer:  e.answer,
	})
	e.answer = e.encoded[len(e.encoded)-len(e.answer):]
}

// Snapshot returns the encoded State. States that have applied the same commands
// return the same bytes, even if one of them was restored from a snapshot.
func (s *State) Snapshot() []byte {
	header := encode(snapshotHeader{
		Now:             s.now,
		MinIncarnations: s.minIncarnation,
		Entries:         len(s.queue),
	})
	size := numberSize + len(header)
	for _, e := range s.queue {
		size += 2*numberSize + len(e.encoded)
	}
	out := make([]byte, 0, size)
	out = binary.BigEndian.AppendUint64(out, uint64(len(header)))
	out = append(out, header...)
	for _, e := range s.queue {
		out = binary.BigEndian.AppendUint64(out, uint64(e.checkAt))
		out = binary.BigEndian.AppendUint64(out, uint64(len(e.encoded)))
		out = append(out, e.encoded...)
	}
	return out
}

// Restore replaces the State by a snapshot. An empty snapshot is the state of a new
// group. On an error the State is unchanged.
func (s *State) Restore(data []byte) error {
	fresh := NewState(s.limits)
	if len(data) > 0 {
		if err := fresh.read(&snapshotReader{remaining: data}); err != nil {
			return eris.Wrap(err, "restore ledger snapshot")
		}
	}
	*s = *fresh
	return nil
}

func (s *State) read(r *snapshotReader) error {
	var header snapshotHeader
	if err := cbor.Unmarshal(r.block(), &header); err != nil {
		return eris.Wrap(err, "decode header")
	}
	s.now = header.Now
	for host, i := range header.MinIncarnations {
		s.minIncarnation[host] = i
	}
	for i := range header.Entries {
		checkAt := r.number()
		raw := r.block()
		if r.truncated {
			return eris.Errorf("truncated in entry %d of %d", i, header.Entries)
		}
		if err := s.readEntry(checkAt, raw); err != nil {
			return eris.Wrapf(err, "entry %d", i)
		}
	}
	if len(r.remaining) > 0 {
		return eris.Errorf("%d bytes after the last entry", len(r.remaining))
	}
	return nil
}

func (s *State) readEntry(checkAt int64, raw []byte) error {
	var in snapshotEntry
	if err := cbor.Unmarshal(raw, &in); err != nil {
		return err
	}
	e := &entry{
		id: entryID{
			caller: in.Caller,
			key:    in.Key,
		},
		phase:   in.Phase,
		digest:  in.Digest,
		request: in.Request,
		until:   in.Until,
		expires: in.Expires,
		checkAt: checkAt,
		answer:  in.Answer,
	}
	if s.entries[e.id] != nil {
		return eris.Errorf("duplicate key %q of caller %q", in.Key, in.Caller)
	}
	// Encoded again, because a slice of raw would retain the whole snapshot in memory.
	e.encode()
	s.insert(e)
	return nil
}

const numberSize = 8

// truncated is set if a read exceeds the data.
type snapshotReader struct {
	remaining []byte
	truncated bool
}

func (r *snapshotReader) number() int64 {
	if len(r.remaining) < numberSize {
		r.truncated = true
		return 0
	}
	n := binary.BigEndian.Uint64(r.remaining)
	r.remaining = r.remaining[numberSize:]
	return int64(n)
}

func (r *snapshotReader) block() []byte {
	size := r.number()
	if size < 0 || size > int64(len(r.remaining)) {
		r.truncated = true
		return nil
	}
	p := r.remaining[:size]
	r.remaining = r.remaining[size:]
	return p
}
