package hingeserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/swifthinge/swifthinge/internal/standin/hingestandin"
)

// Guards against a disconnect detection that loses pipelined requests or mistakes them for a
// disconnect.
func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	s := newScript(t)
	for _, engine := range []string{"p prefill", "d decode gap=2ms"} {
		if err := s.engine(strings.Fields(engine)); err != nil {
			t.Fatal(err)
		}
	}
	conn, err := net.Dial("tcp", s.host.Addresses().Callers)
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		_ = conn.Close()
	}()
	send := func(n int) {
		body := fmt.Sprintf(`{"model":"m","prompt":"p%d","max_tokens":30,"stream":true}`, n)
		if _, err := fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body); err != nil {
			t.Fatal(err)
		}
	}
	send(0)
	reader := bufio.NewReader(conn)
	for n := range 3 {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(n, err)
		}
		if n == 0 {
			send(1)
			send(2)
		}
		r := &callerRequest{
			started: make(chan struct{}),
		}
		r.readStream(resp.Body)
		if want := hingestandin.Answer(fmt.Sprintf("p%d", n), 30); r.text != want || !r.complete {
			t.Errorf("answer %d: got %q (%v), want %q", n, r.text, r.err, want)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
	}
}
