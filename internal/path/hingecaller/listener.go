package hingecaller

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// watchedListener accepts connections that detect when their caller disconnects.
type watchedListener struct {
	net.Listener
	maxWriteTime *atomic.Int64
	open         openConns
}

// openConns is the set of open connections. It is safe for concurrent use.
type openConns struct {
	mu    sync.Mutex
	conns map[*watchedConn]struct{}
}

func (o *openConns) add(c *watchedConn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.conns == nil {
		o.conns = make(map[*watchedConn]struct{})
	}
	o.conns[c] = struct{}{}
}

func (o *openConns) remove(c *watchedConn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.conns, c)
}

// closeAll closes every connection at once, also those with a request in
// progress.
func (o *openConns) closeAll() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for c := range o.conns {
		_ = c.Conn.Close()
	}
}

func (l *watchedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	w := &watchedConn{
		Conn:         c,
		maxWriteTime: l.maxWriteTime,
		open:         &l.open,
	}
	l.open.add(w)
	return w, nil
}

// watchedConn reads ahead while a request is in progress, to detect a
// disconnected caller whose request would otherwise keep engine memory. The
// HTTP library doesn't report disconnections. The bytes are kept for the next
// request.
type watchedConn struct {
	net.Conn
	maxWriteTime *atomic.Int64
	open         *openConns

	mu        sync.Mutex
	readAhead []byte
	watchDone chan struct{}
	// linger says that the rest of a refused request may still arrive.
	linger atomic.Bool
}

// Read returns the bytes that were read ahead before it reads from the
// connection.
func (c *watchedConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if len(c.readAhead) > 0 {
		n := copy(p, c.readAhead)
		c.readAhead = c.readAhead[n:]
		c.mu.Unlock()
		return n, nil
	}
	c.mu.Unlock()
	return c.Conn.Read(p)
}

// Close closes the connection. If linger is set, it first discards the rest of the
// refused request.
func (c *watchedConn) Close() error {
	c.open.remove(c)
	if c.linger.Load() {
		c.discardInput()
	}
	return c.Conn.Close()
}

// Bounds of the time and bytes for which the rest of a refused request is read and
// discarded. They cover requests several times larger than the limits from nearby
// callers and bound the cost of an attack.
const (
	lingerLimit = time.Second
	lingerBytes = 64 << 20
)

// discardInput reads and discards the rest of a refused request. Closing with
// unread bytes would reset the connection, and a caller that loses the refusal
// has to assume that its request may have run.
func (c *watchedConn) discardInput() {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = c.SetReadDeadline(time.Now().Add(lingerLimit))
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
}

// Write writes with a timeout, so that callers that don't read can't block it. The
// timeout applies to each write, since one for the whole answer would cut off long
// streams.
func (c *watchedConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(time.Duration(c.maxWriteTime.Load()))); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// startWatch calls onDisconnect from another goroutine if the caller closes the
// connection or the connection fails before stopWatch. As in net/http, closing
// only the sending half counts as a disconnection.
func (c *watchedConn) startWatch(onDisconnect func()) {
	watchDone := make(chan struct{})
	c.watchDone = watchDone
	_ = c.SetReadDeadline(time.Time{})
	go func() {
		defer close(watchDone)
		one := make([]byte, 1)
		n, err := c.Conn.Read(one)
		if n > 0 {
			c.mu.Lock()
			c.readAhead = append(c.readAhead, one[:n]...)
			c.mu.Unlock()
			return
		}
		if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
			return
		}
		onDisconnect()
	}()
}

// stopWatch stops the goroutine of startWatch and waits for it.
func (c *watchedConn) stopWatch() {
	if c.watchDone == nil {
		return
	}
	_ = c.SetReadDeadline(time.Unix(1, 0))
	<-c.watchDone
	c.watchDone = nil
	_ = c.SetReadDeadline(time.Time{})
}
