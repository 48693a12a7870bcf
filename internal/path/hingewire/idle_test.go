package hingewire

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"
)

// idleConnections opens connections to a server, sends a request on each, and leaves them open.
func idleConnections(t *testing.T, address string, n int) []net.Conn {
	t.Helper()
	var out []net.Conn
	for range n {
		c, err := net.Dial("tcp4", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			_ = c.Close()
		})
		exchangeOn(t, c)
		out = append(out, c)
	}
	return out
}

// exchangeOn sends a request on a connection and reads its answer.
func exchangeOn(t *testing.T, c net.Conn) {
	t.Helper()
	if _, err := io.WriteString(c, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi"); err != nil {
		t.Fatal(err)
	}
	a, err := http.ReadResponse(bufio.NewReaderSize(c, 512), nil)
	if err != nil {
		t.Fatal(err)
	}
	if b, err := io.ReadAll(a.Body); err != nil || string(b) != "ok" {
		t.Fatalf("%q, %v", b, err)
	}
}

// Guards against a host that is ended for its memory because most new connections of a zone are handed to it: 4,000 open ones, nearly all idle,
// must leave most of 112 MB to requests.
func TestIdleConnectionsTakeLittleMemory(t *testing.T) {
	const connections, most = 1500, 12 << 10
	_, address := start(t, func(_ context.Context, _ *Request, w *Writer) {
		w.WriteResponse(http.StatusOK, http.Header{}, []byte("ok"))
	})
	idleConnections(t, address, 50)
	before := memoryInUse()
	open := idleConnections(t, address, connections)
	time.Sleep(100 * time.Millisecond)
	each := (memoryInUse() - before) / connections
	t.Logf("an idle connection takes %d bytes, both ends of it", each)
	if each > most {
		t.Errorf("an idle connection takes %d bytes, want at most %d", each, most)
	}
	// All of them are still served.
	for _, c := range open[:100] {
		exchangeOn(t, c)
	}
}

// memoryInUse returns the heap and the stacks after garbage collection, in bytes.
func memoryInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// Guards against callers that get no connection for as long as idle ones take all file descriptors, and against closing connections
// that are in use.
func TestLongestIdleConnectionsAreClosedFirst(t *testing.T) {
	s, address := start(t, func(_ context.Context, _ *Request, w *Writer) {
		w.WriteResponse(http.StatusOK, http.Header{}, []byte("ok"))
	})
	var open []net.Conn
	for i := range 6 {
		open = append(open, idleConnections(t, address, 1)...)
		awaitIdle(t, s, i+1)
	}
	// The first two are used again, so the next two have been idle for the longest time.
	for _, c := range open[:2] {
		exchangeOn(t, c)
		awaitIdle(t, s, len(open))
	}
	s.closeLongestIdle(2)
	for i, c := range open {
		if wantClosed := i == 2 || i == 3; !wantClosed {
			exchangeOn(t, c)
			continue
		}
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		if _, err := c.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
			t.Errorf("connection %d ends with %v, want to be closed", i, err)
		}
	}
}

// awaitIdle waits until n connections are idle for the server: a caller has its answer before that.
func awaitIdle(t *testing.T, s *Server, n int) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		idle := 0
		s.mu.Lock()
		for c := range s.conns {
			if _, is := c.idleSince(); is {
				idle++
			}
		}
		s.mu.Unlock()
		if idle == n {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d connections are idle, want %d", idle, n)
		}
	}
}
