package hingewire

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
)

// A caller writes a request that two parsers read in two ways, and so has a second one
// run in the name of somebody else, or past the router's own checks.
func TestAmbiguousHeadsAreRefused(t *testing.T) {
	data, err := os.ReadFile("testdata/heads.txt")
	if err != nil {
		t.Fatal(err)
	}
	written := strings.NewReplacer(`\r`, "\r", `\n`, "\n", `\t`, "\t")
	for line := range strings.Lines(string(data)) {
		head, want, ok := strings.Cut(strings.TrimSuffix(line, "\n"), " -> ")
		if !ok || head[0] == '#' {
			continue
		}
		got := "taken"
		if err := checkHead([]byte(written.Replace(head))); err != nil {
			got = "refused"
		}
		if got != want {
			t.Errorf("%s: %s, want %s", head, got, want)
		}
	}
}

func FuzzCheckHead(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\n"))
	f.Fuzz(func(t *testing.T, head []byte) {
		if !bytes.HasSuffix(head, headEnd) || bytes.Count(head, headEnd) != 1 {
			return
		}
		if checkHead(head) != nil {
			return
		}
		// What passes has one framing only.
		if n := bytes.Count(bytes.ToLower(head), []byte("\r\ncontent-length:")); n > 1 {
			t.Fatalf("%d lengths passed: %q", n, head)
		}
		if bytes.Contains(bytes.ReplaceAll(head, lineEnd, nil), []byte("\n")) {
			t.Fatalf("a bare line end passed: %q", head)
		}
	})
}

// handlerFunc is a handler made of a function.
type handlerFunc func(ctx context.Context, r *Request, w *Writer)

func (f handlerFunc) Serve(ctx context.Context, r *Request, w *Writer) {
	f(ctx, r, w)
}

// start serves a handler on a loopback port until the test ends.
func start(t *testing.T, h handlerFunc) (*Server, string) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(h, func() Limits {
		return Limits{
			HeaderBytes: 4096,
			BodyBytes:   1 << 20,
			HeaderTime:  time.Second,
			IdleTime:    5 * time.Second,
		}
	}, time.Now)
	ctx, stop := context.WithCancel(context.Background())
	go func() {
		_ = s.Run(ctx, l)
	}()
	t.Cleanup(func() {
		stop()
		<-s.Done()
	})
	return s, l.Addr().String()
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = c.Close()
	})
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	return c
}

func write(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

func echo(_ context.Context, r *Request, w *Writer) {
	w.Whole(http.StatusOK, http.Header{}, []byte(r.Method+" "+r.Target+" "+string(r.Body)))
}

// readAnswer reads one answer with its body.
func readAnswer(t *testing.T, r *bufio.Reader) (int, string, error) {
	t.Helper()
	a, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, "", err
	}
	b, err := io.ReadAll(a.Body)
	return a.StatusCode, string(b), err
}

// Paths, queries and bodies go on byte for byte, with a length or in chunks, and
// several requests follow each other on one connection.
func TestRequestsAreReadAsTheyCome(t *testing.T) {
	_, at := start(t, echo)
	c := dial(t, at)
	r := bufio.NewReader(c)
	write(t, c, "POST /a/../b//c?x=%2F&y HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc")
	write(t, c, "POST /d HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n")
	write(t, c, "GET /e HTTP/1.1\r\nHost: h\r\n\r\n")
	var got []string
	for range 3 {
		_, body, err := readAnswer(t, r)
		if err != nil {
			t.Fatal(err)
		}
		got = append(got, body)
	}
	want := []string{"POST /a/../b//c?x=%2F&y abc", "POST /d abc", "GET /e "}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatal(diff)
	}
}

// A refused request leaves bytes behind it that may be another request in disguise.
// None of them may be taken for one.
func TestNothingIsReadAfterARefusal(t *testing.T) {
	var served atomic.Int32
	_, at := start(t, func(ctx context.Context, r *Request, w *Writer) {
		served.Add(1)
		echo(ctx, r, w)
	})
	c := dial(t, at)
	write(t, c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"+
		"0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n")
	r := bufio.NewReader(c)
	status, _, err := readAnswer(t, r)
	if err != nil || status != http.StatusBadRequest {
		t.Fatalf("status %d, %v", status, err)
	}
	if _, _, err := readAnswer(t, r); err == nil || served.Load() != 0 {
		t.Fatalf("%d requests were served after the refusal", served.Load())
	}
}

func TestLimitsAreTold(t *testing.T) {
	_, at := start(t, echo)
	got := make(map[string]int)
	for name, text := range map[string]string{
		"head": "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 5000) + "\r\n\r\n",
		"body": "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1048577\r\n\r\n" + strings.Repeat("x", 1048577),
		"late": "GET / HTTP/1.1\r\nHost: h\r\n",
	} {
		c := dial(t, at)
		go func() {
			_, _ = io.WriteString(c, text)
		}()
		status, _, err := readAnswer(t, bufio.NewReader(c))
		if err != nil {
			t.Fatal(name, err)
		}
		got[name] = status
	}
	want := map[string]int{
		"head": http.StatusRequestHeaderFieldsTooLarge,
		"body": http.StatusRequestEntityTooLarge,
		"late": http.StatusRequestTimeout,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatal(diff)
	}
}

// A caller gives up while its request waits for an engine. If nobody noticed, the
// engine would work for nobody.
func TestCallerThatLeavesIsNoticed(t *testing.T) {
	// Also after longer than a head may take to come.
	for _, after := range []time.Duration{20 * time.Millisecond, 1300 * time.Millisecond} {
		callerLeaves(t, after)
	}
}

func callerLeaves(t *testing.T, after time.Duration) {
	t.Helper()
	cause := make(chan error, 1)
	_, at := start(t, func(ctx context.Context, _ *Request, _ *Writer) {
		select {
		case <-ctx.Done():
			cause <- context.Cause(ctx)
		case <-time.After(5 * time.Second):
			cause <- errors.New("not noticed")
		}
	})
	c := dial(t, at)
	write(t, c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx")
	time.Sleep(after)
	_ = c.Close()
	if err := <-cause; !errors.Is(err, ErrCallerLeft) {
		t.Fatalf("left after %v: %v", after, err)
	}
}

// An engine breaks off in the middle of a stream. The caller must see that what it
// has isn't whole, and not an answer that ends well.
func TestCutAnswerDoesNotLookWhole(t *testing.T) {
	for _, whole := range []bool{true, false} {
		_, at := start(t, func(_ context.Context, _ *Request, w *Writer) {
			if err := w.Begin(http.StatusOK, http.Header{}); err != nil {
				t.Error(err)
			}
			if err := w.Part([]byte("data: a\n\n")); err != nil {
				t.Error(err)
			}
			if whole {
				_ = w.End()
			}
		})
		c := dial(t, at)
		write(t, c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		_, body, err := readAnswer(t, bufio.NewReader(c))
		if body != "data: a\n\n" || (err == nil) != whole {
			t.Fatalf("ended %v: body %q, error %v", whole, body, err)
		}
	}
}

// A process is told to end. Requests that come on open connections are answered
// and told that the connection closes; connections without a request are
// closed only once the balancer has noticed.
func TestDrainCutsNoRequest(t *testing.T) {
	release := make(chan struct{})
	s, at := start(t, func(ctx context.Context, r *Request, w *Writer) {
		if r.Target == "/slow" {
			<-release
		}
		echo(ctx, r, w)
	})
	idle, busy := dial(t, at), dial(t, at)
	idleReader := bufio.NewReader(idle)
	write(t, idle, "GET /first HTTP/1.1\r\nHost: h\r\n\r\n")
	if _, _, err := readAnswer(t, idleReader); err != nil {
		t.Fatal(err)
	}
	write(t, busy, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
	time.Sleep(20 * time.Millisecond)
	s.Drain()
	s.CloseIdle()
	close(release)
	if _, body, err := readAnswer(t, bufio.NewReader(busy)); err != nil || body != "GET /slow " {
		t.Fatalf("the request in progress got %q, %v", body, err)
	}
	if _, err := idleReader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Fatalf("the idle connection: %v", err)
	}
	for range 100 {
		if s.Open() == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%d connections are left", s.Open())
}

// Whether a failed exchange may have run is told by where it failed. A guess that
// a request hadn't arrived would have a guestbook entry written twice.
func TestExchangeTellsWhetherItMayHaveRun(t *testing.T) {
	closed, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	nobody := closed.Addr().String()
	_ = closed.Close()
	_, silent := start(t, func(ctx context.Context, _ *Request, _ *Writer) {
		<-ctx.Done()
	})
	_, cutting := start(t, func(context.Context, *Request, *Writer) {})
	got := make(map[string]string)
	for name, at := range map[string]string{
		"nobody listens":    nobody,
		"no answer comes":   silent,
		"closed unanswered": cutting,
	} {
		ctx, stop := context.WithTimeout(t.Context(), 100*time.Millisecond)
		_, err := Begin(ctx, at, Sent{
			Method: http.MethodPost,
			Target: "/",
			Host:   "h",
			Header: http.Header{},
			Body:   []byte("x"),
		})
		stop()
		got[name] = hingeverdict.Of(err).String()
	}
	want := map[string]string{
		"nobody listens":    "notRun",
		"no answer comes":   "mayHaveRun",
		"closed unanswered": "mayHaveRun",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatal(diff)
	}
}

// A server answers a long request before it has read all of it, and reads on
// later. What it is sent must still be the body and nothing else.
func TestAnswerBeforeTheBodyIsRead(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	body := strings.Repeat("dossier ", 200000)
	read := make(chan int, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		r := bufio.NewReader(c)
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		time.Sleep(50 * time.Millisecond)
		b, _ := io.ReadAll(q.Body)
		read <- len(b)
	}()
	x, err := Begin(t.Context(), l.Addr().String(), Sent{
		Method: http.MethodPost,
		Target: "/",
		Host:   "h",
		Header: http.Header{},
		Body:   []byte(body),
	})
	if err != nil {
		t.Fatal(err)
	}
	answer, err := x.Body()
	if err != nil || string(answer) != "ok" {
		t.Fatalf("%q, %v", answer, err)
	}
	if n := <-read; n != len(body) {
		t.Fatalf("the server read %d of %d bytes", n, len(body))
	}
	x.Close()
}
