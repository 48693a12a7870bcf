package hingecaller_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Load generator of the benchmarks: a source of events in place of an engine,
// and callers that count tokens. It can run in a separate process, to measure
// the router alone.

// loadProcessEnv is the environment variable that makes the test binary run as
// the load process.
const loadProcessEnv = "SWIFTHINGE_BENCH_ENDS"

func TestMain(m *testing.M) {
	if os.Getenv(loadProcessEnv) == "" {
		os.Exit(m.Run())
	}
	if err := runLoadProcess(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// runLoadProcess writes the address of its source, then answers each line of
// input with the number of tokens read so far: "open ROUTER STREAMS GAP" once
// all streams have received a token, "count" at once. It returns at the end of
// its input.
func runLoadProcess(in io.Reader, out io.Writer) error {
	source, err := newSource()
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintln(out, source.address()); err != nil {
		return err
	}
	var callers callers
	for lines := bufio.NewScanner(in); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if fields[0] == "open" {
			streams, _ := strconv.Atoi(fields[2])
			gap, _ := time.ParseDuration(fields[3])
			source.gap.Store(int64(gap))
			if err := callers.open(fields[1], streams, 1<<30); err != nil {
				return err
			}
		}
		if _, err := fmt.Fprintln(out, callers.tokens.Load()); err != nil {
			return err
		}
	}
	return nil
}

// source answers each completion with a stream of events, one event a chunk,
// without an allocation for each event.
type source struct {
	listener net.Listener
	// gap is the time between tokens in nanoseconds; with 0 there is no pause.
	gap atomic.Int64
}

func newSource() (*source, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &source{
		listener: l,
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s, nil
}

func (s *source) address() string {
	return s.listener.Addr().String()
}

func (s *source) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
	}()
	var body struct {
		RequestID string `json:"request_id"`
		MaxTokens int    `json:"max_tokens"`
	}
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil || json.NewDecoder(request.Body).Decode(&body) != nil {
		return
	}
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: " + body.RequestID +
		"\r\nTransfer-Encoding: chunked\r\n\r\n"
	if _, err := conn.Write([]byte(head)); err != nil {
		return
	}
	var event, chunk []byte
	nextAt := time.Now()
	for i := range body.MaxTokens {
		event = append(event[:0], "id: "...)
		event = strconv.AppendInt(event, int64(i), 10)
		event = append(event, "\ndata: {\"id\":\""...)
		event = append(event, body.RequestID...)
		event = append(event, `","choices":[{"index":0,"text":" token"}]}`+"\n\n"...)
		chunk = appendChunk(chunk[:0], event)
		if _, err := conn.Write(chunk); err != nil {
			return
		}
		// The schedule is absolute, so a late wakeup doesn't delay later tokens.
		if gap := s.gap.Load(); gap > 0 {
			nextAt = nextAt.Add(time.Duration(gap))
			time.Sleep(time.Until(nextAt))
		}
	}
	chunk = appendChunk(chunk[:0], []byte("data: [DONE]\n\n"))
	_, _ = conn.Write(append(chunk, "0\r\n\r\n"...))
}

func appendChunk(dst, data []byte) []byte {
	dst = strconv.AppendInt(dst, int64(len(data)), 16)
	dst = append(dst, "\r\n"...)
	dst = append(dst, data...)
	return append(dst, "\r\n"...)
}

type callers struct {
	tokens atomic.Int64
}

// open starts streams and waits until each has received a token.
func (c *callers) open(router string, streams, tokens int) error {
	var first sync.WaitGroup
	for range streams {
		conn, err := openStream(router, tokens)
		if err != nil {
			return err
		}
		first.Add(1)
		go c.read(conn, first.Done)
	}
	first.Wait()
	return nil
}

func openStream(router string, tokens int) (net.Conn, error) {
	conn, err := net.Dial("tcp", router)
	if err != nil {
		return nil, err
	}
	body := fmt.Sprintf(`{"model":"m","prompt":"p","max_tokens":%d,"stream":true}`, tokens)
	return conn, post(conn, body)
}

func post(conn net.Conn, body string) error {
	_, err := fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err
}

// endMark ends a complete stream. The router sends it in its own chunk, so it is
// not split between reads.
var endMark = []byte("[DONE]")

// read counts tokens until the end mark or the end of the connection. It counts
// closing brackets, since each token and the end mark contain exactly one.
func (c *callers) read(conn net.Conn, first func()) {
	defer func() {
		_ = conn.Close()
	}()
	buffer := make([]byte, 4096)
	for waiting := true; ; {
		n, err := conn.Read(buffer)
		if found := bytes.Count(buffer[:n], endMark[len(endMark)-1:]); found > 0 {
			c.tokens.Add(int64(found))
			if waiting {
				waiting = false
				first()
			}
		}
		if err != nil || bytes.Contains(buffer[:n], endMark) {
			return
		}
	}
}
