package hingewire

import (
	"bufio"
	"net"
)

// Most connections of callers are idle, and a host may be handed most of a zone's. An idle one therefore has no buffers: the first
// bytes of the next request are read into firstBytes, and the buffers are taken from a pool when they have arrived.

const (
	// minHeadBuffer is the minimum size of the read buffer in bytes, while there is no configuration with limits.
	minHeadBuffer = 16 << 10
	// firstBytesSize is the size of what an idle connection reads. The heads of most requests fit, so that they cost no
	// additional read.
	firstBytesSize = 1 << 10
)

// source reads a connection, after the bytes that were read while it was idle.
type source struct {
	raw        net.Conn
	pending    []byte
	firstBytes [firstBytesSize]byte
}

func (s *source) Read(b []byte) (int, error) {
	if len(s.pending) == 0 {
		return s.raw.Read(b)
	}
	n := copy(b, s.pending)
	s.pending = s.pending[n:]
	return n, nil
}

// hasBuffered reports whether bytes of a next request have arrived already.
func (c *conn) hasBuffered() bool {
	return c.reader != nil && (c.reader.Buffered() > 0 || len(c.source.pending) > 0)
}

// awaitBytes waits for the first bytes of a request, without buffers unless there are some already.
func (c *conn) awaitBytes(limits Limits) error {
	if c.hasBuffered() {
		return nil
	}
	c.releaseBuffers()
	n, err := c.raw.Read(c.source.firstBytes[:])
	if n == 0 {
		return err
	}
	c.source.pending = c.source.firstBytes[:n]
	c.acquireBuffers(limits)
	return nil
}

func (c *conn) acquireBuffers(limits Limits) {
	size := max(limits.HeaderBytes, minHeadBuffer) + len(headEnd)
	c.source.raw = c.raw
	// A configuration may have raised the limit since a buffer was made.
	if r, _ := c.server.readers.Get().(*bufio.Reader); r != nil && r.Size() >= size {
		r.Reset(&c.source)
		c.reader = r
	} else {
		c.reader = bufio.NewReaderSize(&c.source, size)
	}
	if w, _ := c.server.writers.Get().(*bufio.Writer); w != nil {
		w.Reset(c.raw)
		c.writer = w
	} else {
		c.writer = bufio.NewWriter(c.raw)
	}
}

// releaseBuffers must not be called while a request is handled.
func (c *conn) releaseBuffers() {
	if c.reader == nil {
		return
	}
	c.reader.Reset(nil)
	c.server.readers.Put(c.reader)
	c.reader = nil
	c.writer.Reset(nil)
	c.server.writers.Put(c.writer)
	c.writer = nil
}
