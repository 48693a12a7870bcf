package hingeengine

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
)

// fakeServer gives the same bytes to every request, and counts what it was sent.
type fakeServer struct {
	listener net.Listener
	answer   string
	// keepOpen leaves the connection open after the answer.
	keepOpen    bool
	connections atomic.Int64
	requests    atomic.Int64
}

func startFake(t *testing.T, answer string, keepOpen bool) *fakeServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fakeServer{
		listener: l,
		answer:   answer,
		keepOpen: keepOpen,
	}
	var all sync.WaitGroup
	all.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			f.connections.Add(1)
			all.Go(func() {
				f.serve(conn)
			})
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		all.Wait()
	})
	return f
}

func (f *fakeServer) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
	}()
	reader := bufio.NewReader(conn)
	req, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	f.requests.Add(1)
	_, _ = io.Copy(io.Discard, req.Body)
	_, _ = io.WriteString(conn, f.answer)
	if !f.keepOpen {
		return
	}
	// Until the client closes; a second request on the connection would count.
	if _, err := http.ReadRequest(reader); err == nil {
		f.requests.Add(1)
	}
}

var ours = hingeids.RequestID{
	Instance: hingeids.Instance{
		Host:        "a-1",
		Incarnation: 7,
	},
	Sequence: 1,
}

// exchanges are the three kinds of work that are sent to a server.
var exchanges = []struct {
	name string
	do   func(ctx context.Context, t Target) error
}{
	{
		name: "prefill",
		do: func(ctx context.Context, t Target) error {
			_, err := NewClient().Prefill(ctx, t, ourWork, silence)
			return err
		},
	},
	{
		name: "decode",
		do: func(ctx context.Context, t Target) error {
			s, err := NewClient().Decode(ctx, t, ourWork, nil, 0, silence)
			if err != nil {
				return err
			}
			defer s.Close()
			_, err = s.Next()
			return err
		},
	},
	{
		name: "call",
		do: func(ctx context.Context, t Target) error {
			var req fasthttp.Request
			var resp fasthttp.Response
			req.SetRequestURI("http://service/app")
			req.Header.Set("X-Request-Id", ours.String())
			return NewClient().Call(ctx, t, &req, &resp, silence)
		},
	},
}

var ourWork = Work{
	Request: ours,
	Path:    "/v1/completions",
}

// silence is short, as servers that never answer are waited for that long.
const silence = 200 * time.Millisecond

func answerOf(status int, id, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d s\r\nX-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", status, id, len(body), body)
}

// faults are what servers do, and the verdicts of a prefill, a decode and a call.
var faults = map[string]struct {
	answer   string
	keepOpen bool
	want     [3]string
}{
	"closes before it answers": {
		want: [3]string{"mayHaveRun 3003", "mayHaveRun 3003", "mayHaveRun 3003"},
	},
	"sends half a header": {
		answer: "HTTP/1.1 200 OK\r\nContent-Le",
		want:   [3]string{"mayHaveRun 3003", "mayHaveRun 3003", "mayHaveRun 3003"},
	},
	"sends half a header and stalls": {
		answer:   "HTTP/1.1 200 OK\r\nContent-Le",
		keepOpen: true,
		want:     [3]string{"mayHaveRun 3004", "mayHaveRun 3004", "mayHaveRun 3004"},
	},
	"never answers": {
		keepOpen: true,
		want:     [3]string{"mayHaveRun 3004", "mayHaveRun 3004", "mayHaveRun 3004"},
	},
	"doesn't speak HTTP": {
		answer: "220 mail.example\r\n\r\n",
		want:   [3]string{"mayHaveRun 3003", "mayHaveRun 3003", "mayHaveRun 3003"},
	},
	"answers another request": {
		answer: answerOf(200, "a-1.7.2", `{"id":"a-1.7.2"}`),
		want:   [3]string{"mayHaveRun 3005", "mayHaveRun 3006", "mayHaveRun 3005"},
	},
	"streams another request": {
		answer: answerOf(200, "a-1.7.2", "id: 0\ndata: {\"id\":\"a-1.7.2\"}\n\n"),
		want:   [3]string{"mayHaveRun 3003", "mayHaveRun 3005", "mayHaveRun 3005"},
	},
	"200 without a body": {
		answer: answerOf(200, ours.String(), ""),
		want:   [3]string{"mayHaveRun 3003", "mayHaveRun 3006", "ran"},
	},
	"204": {
		answer: "HTTP/1.1 204 s\r\n\r\n",
		want:   [3]string{"mayHaveRun 3002", "mayHaveRun 3002", "mayHaveRun 3005"},
	},
	"500 without a body": {
		answer: answerOf(500, ours.String(), ""),
		want:   [3]string{"mayHaveRun 3002", "mayHaveRun 3002", "ran"},
	},
	"refuses with proof": {
		answer: answerOf(503, ours.String(), `{"error":{"ran":false}}`),
		want:   [3]string{"notRun 3002", "notRun 3002", "notRun 3002"},
	},
	"refuses another request with proof": {
		answer: answerOf(503, "a-1.7.2", `{"error":{"ran":false}}`),
		want:   [3]string{"mayHaveRun 3002", "mayHaveRun 3002", "mayHaveRun 3005"},
	},
	"refuses without proof": {
		answer: answerOf(503, ours.String(), `{"error":{"ran":null}}`),
		want:   [3]string{"mayHaveRun 3002", "mayHaveRun 3002", "ran"},
	},
}

func verdictOf(err error) string {
	if err == nil {
		return "ran"
	}
	v, ok := err.(*hingeverdict.Error)
	if !ok {
		return fmt.Sprintf("no verdict: %v", err)
	}
	return fmt.Sprintf("%v %d", v.Verdict, v.Code)
}

// Servers fail in every way between the dial and the answer. A verdict that says
// too little lets a lot ship twice, and a request that is sent again here, behind
// the back of whoever decides on repeats, does the same.
func TestFaultsGetTheirVerdictAndOneRequest(t *testing.T) {
	for name, f := range faults {
		for i, x := range exchanges {
			t.Run(name+"/"+x.name, func(t *testing.T) {
				t.Parallel()
				server := startFake(t, f.answer, f.keepOpen)
				err := x.do(context.Background(), Target{
					Server:  "s",
					Address: server.listener.Addr().String(),
				})
				got := fmt.Sprintf("%s, %d connections, %d requests", verdictOf(err), server.connections.Load(), server.requests.Load())
				if diff := cmp.Diff(f.want[i]+", 1 connections, 1 requests", got); diff != "" {
					t.Error(diff)
				}
			})
		}
	}
}

// Nobody listens: there is no connection, so nothing ran, and that may be said. A
// caller that leaves while its server works has no such proof.
func TestNoConnectionIsProofAndALeavingCallerIsNone(t *testing.T) {
	gone := startFake(t, "", false)
	_ = gone.listener.Close()
	slow := startFake(t, "", true)
	for _, x := range exchanges {
		err := x.do(context.Background(), Target{
			Address: gone.listener.Addr().String(),
		})
		if got := verdictOf(err); got != "notRun 3001" {
			t.Errorf("%s without a server: %s", x.name, got)
		}
		ctx, cancel := context.WithCancel(context.Background())
		before := slow.requests.Load()
		go func() {
			for slow.requests.Load() == before {
				time.Sleep(time.Millisecond)
			}
			cancel()
		}()
		err = x.do(ctx, Target{
			Address: slow.listener.Addr().String(),
		})
		if got := verdictOf(err); got != "mayHaveRun 4004" {
			t.Errorf("%s of a caller that left: %s", x.name, got)
		}
	}
}

// Whatever an engine answers, it is read or refused, and only its own words under
// our id prove that nothing ran.
func FuzzAnswers(f *testing.F) {
	f.Add([]byte(`{"id":"a-1.7.1","kv_transfer_params":{"remote_host":"h","remote_block_id":"b"},"usage":{"prompt_tokens":3}}`))
	f.Add([]byte(`{"incarnation":7,"held":[{"request_id":"a-1.7.1","kind":"export","age_ms":5}]}`))
	f.Add([]byte(`{"error":{"type":"kvCacheGone","ran":false}}`))
	f.Add([]byte(`{"error":null}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		if _, err := readPrefill(Target{}, ours, body); err == nil && !strings.Contains(string(body), "7.1") && !strings.Contains(string(body), `\u`) {
			t.Error("taken as ours")
		}
		items, _, err := readHeld(Target{}, body)
		if err != nil && len(items) > 0 {
			t.Error("items of a broken answer")
		}
		if v := hingeverdict.Of(refusal(Target{}, false, 503, body)); v != hingeverdict.MayHaveRun {
			t.Errorf("another's refusal is %v", v)
		}
		if v := hingeverdict.Of(refusal(Target{}, true, 503, body)); v == hingeverdict.NotRun && !strings.Contains(string(body), "false") {
			t.Error("proof without the word")
		}
	})
}
