package hingelink

import (
	"bytes"
	"encoding/binary"
	"io"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
)

// A message on a stream consists of the lengths of its header and its body as
// four-byte big-endian integers, the header in CBOR, and the body. A datagram
// consists of one byte with the length of its header, the header, and the body.

const (
	lengthsSize = 8
	// maxHeader is the maximum size in bytes of a header: a method or an error
	// text, and a few numbers.
	maxHeader = 2048
	// maxErrorText is the maximum size of an error text in bytes, so that it fits a header.
	maxErrorText = 1024
	// maxDatagramHeader is the maximum size of a datagram header in bytes. With it,
	// a body of MaxDatagram bytes still fits a QUIC packet on any network path.
	maxDatagramHeader = 60
)

type callHeader struct {
	Method      Method               `cbor:"1,keyasint"`
	Incarnation hingeids.Incarnation `cbor:"2,keyasint"`
	Stamp       hingeevents.Stamp    `cbor:"3,keyasint"`
}

type responseHeader struct {
	Stamp   hingeevents.Stamp `cbor:"1,keyasint"`
	Failure *failure          `cbor:"2,keyasint,omitempty"`
	// Opened is set if the bytes of a tunnel follow.
	Opened bool `cbor:"3,keyasint,omitempty"`
}

type failure struct {
	Verdict    hingeverdict.Verdict `cbor:"1,keyasint"`
	Code       hingeverdict.Code    `cbor:"2,keyasint"`
	RetryAfter time.Duration        `cbor:"3,keyasint"`
	Text       string               `cbor:"4,keyasint"`
}

var (
	encoder = mustEncoder()
	decoder = mustDecoder()
	buffers = sync.Pool{
		New: func() any {
			return new(bytes.Buffer)
		},
	}
)

func mustEncoder() cbor.UserBufferEncMode {
	m, err := cbor.CoreDetEncOptions().UserBufferEncMode()
	if err != nil {
		panic(err)
	}
	return m
}

func mustDecoder() cbor.DecMode {
	m, err := cbor.DecOptions{
		MaxNestedLevels: 8,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// maxPooledBuffer is the maximum capacity in bytes of a buffer in the pool, so
// that one large message doesn't retain its memory.
const maxPooledBuffer = 64 << 10

func putBuffer(b *bytes.Buffer) {
	if b.Cap() <= maxPooledBuffer {
		b.Reset()
		buffers.Put(b)
	}
}

// writeMessage writes header and body with a single Write, and reports whether
// the complete message was written. Otherwise the reader can't receive it.
func writeMessage(w io.Writer, header any, body []byte) (complete bool, err error) {
	b := buffers.Get().(*bytes.Buffer)
	defer putBuffer(b)
	var lengths [lengthsSize]byte
	b.Write(lengths[:])
	if err := encoder.MarshalToBuffer(header, b); err != nil {
		return false, eris.Wrap(err, "encode header")
	}
	binary.BigEndian.PutUint32(b.Bytes(), uint32(b.Len()-lengthsSize))
	binary.BigEndian.PutUint32(b.Bytes()[4:], uint32(len(body)))
	b.Write(body)
	n, err := w.Write(b.Bytes())
	return n == b.Len(), err
}

// readMessage reads a message. It calls reserve with the size of the body before
// it allocates the body, and returns the error of reserve.
func readMessage(r io.Reader, header any, reserve func(int) error) ([]byte, error) {
	var lengths [lengthsSize]byte
	if _, err := io.ReadFull(r, lengths[:]); err != nil {
		return nil, eris.Wrap(err, "read message lengths")
	}
	headerSize := binary.BigEndian.Uint32(lengths[:])
	bodySize := binary.BigEndian.Uint32(lengths[4:])
	if headerSize > maxHeader || bodySize > MaxCall {
		return nil, eris.Errorf("message has %d header and %d body bytes, maximum is %d and %d", headerSize, bodySize, maxHeader, MaxCall)
	}
	if err := readHeader(r, header, int(headerSize)); err != nil {
		return nil, err
	}
	if err := reserve(int(bodySize)); err != nil {
		return nil, err
	}
	body := make([]byte, bodySize)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, eris.Wrap(err, "read message body")
	}
	return body, nil
}

func readHeader(r io.Reader, header any, size int) error {
	b := buffers.Get().(*bytes.Buffer)
	defer putBuffer(b)
	b.Grow(size)
	raw := b.AvailableBuffer()[:size]
	if _, err := io.ReadFull(r, raw); err != nil {
		return eris.Wrap(err, "read message header")
	}
	return eris.Wrap(decoder.Unmarshal(raw, header), "decode message header")
}

// encodeDatagram writes a datagram to an empty buffer, and reports whether it is
// within the maximum sizes.
func encodeDatagram(b *bytes.Buffer, header *callHeader, body []byte) bool {
	b.WriteByte(0)
	if err := encoder.MarshalToBuffer(header, b); err != nil {
		return false
	}
	headerSize := b.Len() - 1
	if headerSize > maxDatagramHeader || len(body) > MaxDatagram {
		return false
	}
	b.Bytes()[0] = byte(headerSize)
	b.Write(body)
	return true
}

func decodeDatagram(raw []byte, header *callHeader) ([]byte, error) {
	if len(raw) == 0 || len(raw) < 1+int(raw[0]) {
		return nil, eris.Errorf("datagram of %d bytes is shorter than its header", len(raw))
	}
	end := 1 + int(raw[0])
	if err := decoder.Unmarshal(raw[1:end], header); err != nil {
		return nil, eris.Wrap(err, "decode datagram header")
	}
	return raw[end:], nil
}
