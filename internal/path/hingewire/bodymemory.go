package hingewire

import (
	"io"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// freeBodyBytes is the part of each body that needs no room in a BodyMemory, so that answers of the usual size are read
// whatever the long ones take.
const freeBodyBytes = 64 << 10

// BodyMemory bounds the memory of the long bodies that are being read at the same time: each alone is allowed, but not one
// for each request of a host. It is safe for concurrent use.
type BodyMemory struct {
	free atomic.Int64
}

// NewBodyMemory returns a memory with room for a number of bytes.
func NewBodyMemory(size int) *BodyMemory {
	m := &BodyMemory{}
	m.free.Store(int64(size))
	return m
}

func (m *BodyMemory) reserve(n int) bool {
	if m.free.Add(-int64(n)) < 0 {
		m.free.Add(int64(n))
		return false
	}
	return true
}

var errNoBodyMemory = eris.New("long response bodies of other requests take all memory for them")

// reservingReader reserves memory for what it reads beyond freeBodyBytes.
type reservingReader struct {
	source   io.Reader
	memory   *BodyMemory
	read     int
	reserved int
}

func (r *reservingReader) Read(b []byte) (int, error) {
	n, err := r.source.Read(b)
	r.read += n
	if need := r.read - freeBodyBytes - r.reserved; r.memory != nil && need > 0 {
		if !r.memory.reserve(need) {
			return 0, errNoBodyMemory
		}
		r.reserved += need
	}
	return n, err
}

func (r *reservingReader) release() {
	if r.memory != nil {
		r.memory.free.Add(int64(r.reserved))
	}
}
