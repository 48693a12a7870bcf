package hingeproxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
	"github.com/swifthinge/swifthinge/internal/decide/hingefleet"
	"github.com/swifthinge/swifthinge/internal/path/hingewire"
)

func closeConnection(int, *http.Request, net.Conn) bool {
	return true
}

// completeStream is the body of a stream of five events.
func completeStream() string {
	var b strings.Builder
	for i := 1; i <= 5; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: token %d\n\n", i, i)
	}
	return b.String()
}

// A request whose replica fails before the answer may have run. It must be retried only if its route allows repeats.
func TestRequestThatMayHaveRunIsRetriedOnlyIfAllowed(t *testing.T) {
	for _, c := range []struct {
		target string
		want   result
		runs   int
	}{
		{
			target: "/status/7",
			want: result{
				Status:   http.StatusBadGateway,
				Body:     "mayHaveRun (3003)\n",
				Complete: true,
			},
			runs: 1,
		},
		{
			target: "/lookup/7",
			want: result{
				Status:   http.StatusOK,
				Body:     "lot 7 is alive",
				Complete: true,
			},
			runs: 2,
		},
	} {
		first := newStandin(t, "app-1", 0, nil)
		second := newStandin(t, "app-2", 0, nil)
		cutFirst := func(n int, q *http.Request, conn net.Conn) bool {
			return first.ran()+second.ran() == 1 && closeConnection(n, q, conn)
		}
		first.respond, second.respond = cutFirst, cutFirst
		d := newTestProxy(t, first, second)
		if diff := cmp.Diff(c.want, d.send(c.target)); diff != "" {
			t.Errorf("%s: %s", c.target, diff)
		}
		if n := first.ran() + second.ran(); n != c.runs {
			t.Errorf("%s ran %d times, want %d", c.target, n, c.runs)
		}
	}
}

// An answer may be forwarded only if it belongs to the request and carries the seal; an unconfirmed "not run" status
// must not reach the caller.
func TestReplyChecks(t *testing.T) {
	respondWith := func(text string) responder {
		return func(_ int, q *http.Request, c net.Conn) bool {
			_, _ = io.WriteString(c, strings.ReplaceAll(text, "ID", q.Header.Get("Id")))
			return true
		}
	}
	unknown := result{
		Status:   http.StatusBadGateway,
		Complete: true,
	}
	for name, c := range map[string]struct {
		answer string
		want   result
	}{
		"refused with confirmation": {
			answer: "HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
			want: result{
				Status:     http.StatusServiceUnavailable,
				Complete:   true,
				RetryAfter: true,
			},
		},
		"503 without confirmation": {
			answer: "HTTP/1.1 503 X\r\nId: ID\r\nVouched: 1\r\nContent-Length: 0\r\n\r\n",
			want:   unknown,
		},
		"answer to another request": {
			answer: "HTTP/1.1 200 OK\r\nId: other\r\nVouched: 1\r\nContent-Length: 2\r\n\r\nok",
			want:   unknown,
		},
		"no seal": {
			answer: "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 2\r\n\r\nok",
			want:   unknown,
		},
		"cut short": {
			answer: "HTTP/1.1 200 OK\r\nId: ID\r\nVouched: 1\r\nContent-Length: 9\r\n\r\nok",
			want:   unknown,
		},
		"no HTTP": {
			answer: "\x16\x03\x01 garbage\r\n\r\n",
			want:   unknown,
		},
		"error of the server": {
			answer: "HTTP/1.1 500 X\r\nId: ID\r\nVouched: 1\r\nContent-Length: 4\r\n\r\noops",
			want: result{
				Status:   http.StatusInternalServerError,
				Body:     "oops",
				Complete: true,
			},
		},
		"followed by another answer": {
			answer: "HTTP/1.1 200 OK\r\nId: ID\r\nVouched: 1\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\n",
			want: result{
				Status:   http.StatusOK,
				Body:     "ok",
				Complete: true,
			},
		},
		"without a length": {
			answer: "HTTP/1.1 200 OK\r\nId: ID\r\nVouched: 1\r\n\r\nto the end",
			want: result{
				Status:   http.StatusOK,
				Body:     "to the end",
				Complete: true,
			},
		},
	} {
		d := newTestProxy(t, newStandin(t, "app-1", 0, respondWith(c.answer)))
		g := d.send("/status/7")
		if c.want.Body == "" {
			g.Body = ""
		}
		if diff := cmp.Diff(c.want, g); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
}

// If a repeatable request fails at every replica, the caller gets the last error response of a replica.
func TestLastServerFailureIsForwarded(t *testing.T) {
	fail := func(_ int, q *http.Request, c net.Conn) bool {
		reply(c, q, http.StatusInternalServerError, "tank unknown")
		return true
	}
	d := newTestProxy(t, newStandin(t, "app-1", 0, fail), newStandin(t, "app-2", 0, fail))
	want := result{
		Status:   http.StatusInternalServerError,
		Body:     "tank unknown",
		Complete: true,
	}
	if diff := cmp.Diff(want, d.send("/lookup/7")); diff != "" {
		t.Fatal(diff)
	}
}

// A replica that never answers must not delay the caller beyond its deadline, and the status must not mean "not run".
func TestHangingReplicaTimesOutAtDeadline(t *testing.T) {
	hang := func(int, *http.Request, net.Conn) bool {
		time.Sleep(4 * time.Second)
		return true
	}
	d := newTestProxy(t, newStandin(t, "app-1", 0, hang))
	began := time.Now()
	g := d.send("/status/7")
	if elapsed := time.Since(began); g.Status != http.StatusGatewayTimeout || elapsed > 2800*time.Millisecond {
		t.Fatalf("status %d after %v", g.Status, elapsed)
	}
}

func TestUnknownRouteIsNotFound(t *testing.T) {
	d := newTestProxy(t, newStandin(t, "app-1", 0, nil))
	if g := d.send("/nowhere/7"); g.Status != http.StatusNotFound {
		t.Fatalf("status %d", g.Status)
	}
}

func TestMissingReplicaIsRefusedAtOnce(t *testing.T) {
	d := newTestProxy(t)
	want := result{
		Status:     http.StatusServiceUnavailable,
		Body:       "notRun (3001)\n",
		Complete:   true,
		RetryAfter: true,
	}
	if diff := cmp.Diff(want, d.send("/status/7")); diff != "" {
		t.Fatal(diff)
	}
}

// newStreamProxy returns a proxy with one prefill engine and two decode engines.
func newStreamProxy(t *testing.T, first, second responder) (*testProxy, *standin, *standin, *standin) {
	t.Helper()
	p := newStandin(t, "prefill", hingefleet.Prefill, nil)
	a := newStandin(t, "decode-1", hingefleet.Decode, first)
	b := newStandin(t, "decode-2", hingefleet.Decode, second)
	return newTestProxy(t, p, a, b), p, a, b
}

func TestStreamIsForwardedCompletely(t *testing.T) {
	d, p, _, _ := newStreamProxy(t, nil, nil)
	want := result{
		Status:   http.StatusOK,
		Body:     completeStream(),
		Complete: true,
	}
	if diff := cmp.Diff(want, d.send("/dossier/7")); diff != "" {
		t.Fatal(diff)
	}
	if p.ran() != 1 {
		t.Fatalf("%d prefills", p.ran())
	}
}

// An engine fails in the middle of the third event. Another engine must resume after the second, so that the caller
// gets each event once and whole.
func TestBrokenStreamResumesOnAnotherEngine(t *testing.T) {
	breakOff := func(_ int, q *http.Request, c net.Conn) bool {
		beginStream(c, q)
		events(c, firstRequested(q), 2, false)
		_, _ = io.WriteString(c, "b\r\nid: 3\ndata:\r\n")
		return true
	}
	d, _, a, b := newStreamProxy(t, breakOff, nil)
	b.respond = func(n int, q *http.Request, c net.Conn) bool {
		if a.ran() == 0 {
			return breakOff(n, q, c)
		}
		return false
	}
	a.respond = func(n int, q *http.Request, c net.Conn) bool {
		if b.ran() == 0 {
			return breakOff(n, q, c)
		}
		return false
	}
	want := result{
		Status:   http.StatusOK,
		Body:     completeStream(),
		Complete: true,
	}
	if diff := cmp.Diff(want, d.send("/dossier/7")); diff != "" {
		t.Fatal(diff)
	}
}

// A stream that must not be repeated is cut when its engine fails. The caller must see that it is incomplete, and no
// other engine may start it again.
func TestBrokenStreamThatMayNotBeResumedIsCut(t *testing.T) {
	breakOff := func(_ int, q *http.Request, c net.Conn) bool {
		beginStream(c, q)
		events(c, 1, 2, false)
		return true
	}
	d, _, a, b := newStreamProxy(t, breakOff, breakOff)
	g := d.send("/health/7")
	if g.Complete || !strings.HasPrefix(completeStream(), g.Body) || a.ran()+b.ran() != 1 {
		t.Fatalf("complete %v, %d runs, body %q", g.Complete, a.ran()+b.ran(), g.Body)
	}
}

// A stream with a missing event must not end as if it were complete; a repeated event is skipped.
func TestEventsAreForwardedOnceAndInOrder(t *testing.T) {
	skipEvent := func(_ int, q *http.Request, c net.Conn) bool {
		beginStream(c, q)
		events(c, 1, 2, false)
		events(c, 4, 5, true)
		return true
	}
	d, _, _, _ := newStreamProxy(t, skipEvent, skipEvent)
	if g := d.send("/health/7"); g.Complete {
		t.Fatalf("a stream without its third event ends as if it were complete: %q", g.Body)
	}
	repeatEvent := func(_ int, q *http.Request, c net.Conn) bool {
		beginStream(c, q)
		events(c, 1, 3, false)
		events(c, 3, 5, true)
		return true
	}
	d, _, _, _ = newStreamProxy(t, repeatEvent, repeatEvent)
	if g := d.send("/health/7"); !g.Complete || g.Body != completeStream() {
		t.Fatalf("complete %v: %q", g.Complete, g.Body)
	}
}

// An engine that stalls with its connection open must be replaced before the caller disconnects.
func TestStreamMovesFromStalledEngine(t *testing.T) {
	release := make(chan struct{})
	t.Cleanup(func() {
		close(release)
	})
	d, _, a, b := newStreamProxy(t, nil, nil)
	firstRequestGets(a, b, func(_ int, q *http.Request, c net.Conn) bool {
		beginStream(c, q)
		events(c, 1, 2, false)
		<-release
		return true
	})
	d.maxWait = 8 * time.Second
	want := result{
		Status:   http.StatusOK,
		Body:     completeStream(),
		Complete: true,
	}
	if diff := cmp.Diff(want, d.send("/dossier/7")); diff != "" {
		t.Fatal(diff)
	}
}

// If a decode engine can't be reached, another one must take over the KV cache without a second prefill.
func TestCacheIsTransferredWhenEngineIsUnreachable(t *testing.T) {
	d, p, a, b := newStreamProxy(t, nil, nil)
	for range 4 {
		// One of the two engines can't be reached, whichever is placed first.
		_ = a.listener.Close()
		g := d.send("/dossier/7")
		if !g.Complete || g.Body != completeStream() {
			t.Fatalf("status %d, complete %v: %q", g.Status, g.Complete, g.Body)
		}
	}
	if p.ran() != 4 || b.ran() != 4 {
		t.Fatalf("%d prefills and %d runs for 4 streams", p.ran(), b.ran())
	}
}

// If the caller disconnects during the prefill, no engine may start to decode.
func TestNoDecodeAfterCallerDisconnects(t *testing.T) {
	d, p, a, b := newStreamProxy(t, nil, nil)
	p.respond = func(_ int, q *http.Request, c net.Conn) bool {
		time.Sleep(100 * time.Millisecond)
		reply(c, q, http.StatusOK, `{"handle":"left"}`)
		return true
	}
	c, err := net.Dial("tcp4", d.address)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(c, "POST /dossier/7 HTTP/1.1\r\nHost: quay.example\r\nId: gone\r\nPrompt: 1000\r\nContent-Length: 0\r\n\r\n")
	time.Sleep(50 * time.Millisecond)
	_ = c.Close()
	time.Sleep(300 * time.Millisecond)
	if n := a.ran() + b.ran(); n != 0 {
		t.Fatalf("%d engines decode for a caller that has disconnected", n)
	}
}

// If an engine refuses a stream for lack of capacity, another one must serve it. If all refuse, the caller gets a
// "not run" status with a Retry-After.
func TestRefusingEngineIsAvoided(t *testing.T) {
	full := func(_ int, _ *http.Request, c net.Conn) bool {
		refuse(c, http.StatusServiceUnavailable)
		return true
	}
	d, _, _, _ := newStreamProxy(t, full, nil)
	for range 3 {
		if g := d.send("/dossier/7"); g.Status != http.StatusOK || !g.Complete {
			t.Fatalf("status %d", g.Status)
		}
	}
	d, p, _, _ := newStreamProxy(t, full, full)
	g := d.send("/dossier/7")
	if g.Status != http.StatusServiceUnavailable || !g.RetryAfter {
		t.Fatalf("status %d, Retry-After %v", g.Status, g.RetryAfter)
	}
	// The exported KV cache must be freed before its retention time ends.
	for range 100 {
		if len(p.freedCaches()) > 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the KV cache was not freed")
}

// A stream that starts late in a drain would be cut at the end of the grace period. It must be refused at once.
func TestNoStreamStartsLateInDrain(t *testing.T) {
	d, _, _, _ := newStreamProxy(t, nil, nil)
	d.proxy.Drain(time.Now().Add(-2 * drainStreamTime))
	want := result{
		Status:     http.StatusServiceUnavailable,
		Body:       "notRun (2005)\n",
		Complete:   true,
		RetryAfter: true,
	}
	if diff := cmp.Diff(want, d.send("/dossier/7")); diff != "" {
		t.Fatal(diff)
	}
}

// A hint must not raise the expected length above the maximum that the caller allows.
func TestExpectedLengthStaysWithinBounds(t *testing.T) {
	e := routes().Services["model"].Engine
	got := []hingeids.Tokens{
		expectedTokens(RequestInfo{
			ExpectedTokens: 50,
			MaxTokens:      100,
		}, e),
		expectedTokens(RequestInfo{
			ExpectedTokens: 500,
			MaxTokens:      100,
		}, e),
		expectedTokens(RequestInfo{
			MaxTokens: 100,
		}, e),
		expectedTokens(RequestInfo{}, e),
	}
	if diff := cmp.Diff([]hingeids.Tokens{50, 100, 50, 10}, got); diff != "" {
		t.Fatal(diff)
	}
}

// The wait of a caller starts anew with each event, so a stream must be resumed even if its engine fails later than
// the route's maximum wait.
func TestStreamThatBreaksLateIsResumed(t *testing.T) {
	d, _, a, b := newStreamProxy(t, nil, nil)
	firstRequestGets(a, b, func(_ int, q *http.Request, c net.Conn) bool {
		beginStream(c, q)
		for i := 1; i <= 3; i++ {
			events(c, i, i, false)
			time.Sleep(800 * time.Millisecond)
		}
		return true
	})
	d.maxWait = 8 * time.Second
	want := result{
		Status:   http.StatusOK,
		Body:     completeStream(),
		Complete: true,
	}
	if diff := cmp.Diff(want, d.send("/dossier/7")); diff != "" {
		t.Fatal(diff)
	}
}

// For a resumed stream, the time before the failure must not count as waiting, or the placer refuses a request that
// could still wait for capacity.
func TestMovedStreamWaitsFromItsLastEvent(t *testing.T) {
	d, _, _, _ := newStreamProxy(t, nil, nil)
	now := time.Now()
	route := routes().Match("quay.example", "/dossier/7")
	r := &streamJob{
		job: &job{
			Request: &hingewire.Request{
				Arrived: now.Add(-5 * time.Second),
			},
			route:    route,
			service:  "model",
			deadline: now.Add(5 * time.Second),
		},
		engine:    routes().Services["model"].Engine,
		waitStart: now.Add(-5 * time.Second),
	}
	if request := d.proxy.streamRequest(r); request.Waited < 5*time.Second {
		t.Fatalf("the wait before the first event is %v", request.Waited)
	}
	r.relay.headSent = true
	d.proxy.allowResume(r, hingeverdict.New(hingeverdict.MayHaveRun, hingeverdict.CodeAnswerCut, 0, nil))
	if request := d.proxy.streamRequest(r); !request.Moved || request.Waited > time.Second || request.MaxWait != route.MaxWait {
		t.Fatalf("moved %v, waited %v of %v", request.Moved, request.Waited, request.MaxWait)
	}
}

// An engine that can't be reached costs no retry budget, so that an exhausted budget doesn't keep a request from
// engines that can be reached.
func TestUnreachableEngineCostsNoBudget(t *testing.T) {
	unreachable := newStandin(t, "a-prefill", hingefleet.Prefill, nil)
	_ = unreachable.listener.Close()
	d := newTestProxy(t, unreachable, newStandin(t, "prefill", hingefleet.Prefill, nil), newStandin(t, "decode", hingefleet.Decode, nil))
	d.spendBudget("model")
	if g := d.send("/dossier/7"); g.Status != http.StatusOK || !g.Complete {
		t.Fatalf("status %d: %q", g.Status, g.Body)
	}
}

// If a decode engine refuses the KV cache for lack of capacity, another one must take it over without a second
// prefill.
func TestCacheIsTransferredWhenEngineRefuses(t *testing.T) {
	d, p, a, b := newStreamProxy(t, nil, nil)
	firstRequestGets(a, b, func(_ int, _ *http.Request, c net.Conn) bool {
		refuse(c, http.StatusServiceUnavailable)
		return true
	})
	if g := d.send("/dossier/7"); g.Status != http.StatusOK || g.Body != completeStream() {
		t.Fatalf("status %d: %q", g.Status, g.Body)
	}
	if p.ran() != 1 {
		t.Fatalf("the prompt was prefilled %d times", p.ran())
	}
}

// Resuming a stream sends a prefill message and a decode message. If it were charged as one, the fleet would spend
// twice its retry budget.
func TestMovedStreamCostsTwoMessages(t *testing.T) {
	d, _, a, b := newStreamProxy(t, nil, nil)
	firstRequestGets(a, b, func(_ int, q *http.Request, c net.Conn) bool {
		beginStream(c, q)
		events(c, 1, 2, false)
		return true
	})
	before := d.remainingBudget("model")
	if g := d.send("/dossier/7"); g.Body != completeStream() {
		t.Fatalf("status %d: %q", g.Status, g.Body)
	}
	if spent := before - d.remainingBudget("model"); spent != 2 {
		t.Fatalf("%d messages were charged to the budget, want 2", spent)
	}
}

// A partitioned placer may place requests on a replica that is shutting down. A host that knows of the shutdown must
// not send them there.
func TestRemovedServerGetsNoRequests(t *testing.T) {
	leaving := newStandin(t, "app-1", 0, nil)
	other := newStandin(t, "app-2", 0, nil)
	d := newTestProxy(t, leaving, other)
	d.cluster.removed = map[hingeids.ServerID]bool{
		"app-1": true,
	}
	for range 10 {
		if g := d.send("/status/7"); g.Status != http.StatusOK {
			t.Errorf("%+v", g)
		}
	}
	if n := leaving.ran(); n != 0 {
		t.Errorf("the replica that shuts down ran %d requests", n)
	}
}
