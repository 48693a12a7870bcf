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

// cut closes the connection without an answer.
func cut(int, *http.Request, net.Conn) bool {
	return true
}

// wholeStream is the body of a stream of five events.
func wholeStream() string {
	var b strings.Builder
	for i := 1; i <= 5; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: token %d\n\n", i, i)
	}
	return b.String()
}

// A replica takes a request and dies before it answers. Nobody knows whether it ran. A
// status query sent again could ship a lot twice; a lookup harms nobody.
func TestRequestThatMayHaveRunIsRepeatedOnlyIfItMay(t *testing.T) {
	for _, c := range []struct {
		target string
		want   got
		runs   int
	}{
		{
			target: "/status/7",
			want: got{
				Status: http.StatusBadGateway,
				Body:   "mayHaveRun (3003)\n",
				Whole:  true,
			},
			runs: 1,
		},
		{
			target: "/lookup/7",
			want: got{
				Status: http.StatusOK,
				Body:   "lot 7 is alive",
				Whole:  true,
			},
			runs: 2,
		},
	} {
		first := newStandin(t, "app-1", 0, nil)
		second := newStandin(t, "app-2", 0, nil)
		cutFirst := func(n int, q *http.Request, conn net.Conn) bool {
			return first.ran()+second.ran() == 1 && cut(n, q, conn)
		}
		first.behave, second.behave = cutFirst, cutFirst
		d := newDoor(t, first, second)
		if diff := cmp.Diff(c.want, d.ask(c.target)); diff != "" {
			t.Errorf("%s: %s", c.target, diff)
		}
		if n := first.ran() + second.ran(); n != c.runs {
			t.Errorf("%s ran %d times, want %d", c.target, n, c.runs)
		}
	}
}

// What a replica says decides: its word that it didn't run a request allows another
// try, a promise without its word doesn't, and an answer to another request is nobody's.
func TestAnswersAreJudged(t *testing.T) {
	say := func(text string) behaviour {
		return func(_ int, q *http.Request, c net.Conn) bool {
			_, _ = io.WriteString(c, strings.ReplaceAll(text, "ID", q.Header.Get("Id")))
			return true
		}
	}
	unknown := got{
		Status: http.StatusBadGateway,
		Whole:  true,
	}
	for name, c := range map[string]struct {
		answer string
		want   got
	}{
		"refused and said so": {
			answer: "HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
			want: got{
				Status:     http.StatusServiceUnavailable,
				Whole:      true,
				RetryAfter: true,
			},
		},
		"503 without a word": {
			answer: "HTTP/1.1 503 X\r\nId: ID\r\nVouched: 1\r\nContent-Length: 0\r\n\r\n",
			want:   unknown,
		},
		"another's answer": {
			answer: "HTTP/1.1 200 OK\r\nId: other\r\nVouched: 1\r\nContent-Length: 2\r\n\r\nok",
			want:   unknown,
		},
		"no mark": {
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
		"its own failure": {
			answer: "HTTP/1.1 500 X\r\nId: ID\r\nVouched: 1\r\nContent-Length: 4\r\n\r\noops",
			want: got{
				Status: http.StatusInternalServerError,
				Body:   "oops",
				Whole:  true,
			},
		},
		"an extra answer behind it": {
			answer: "HTTP/1.1 200 OK\r\nId: ID\r\nVouched: 1\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\n",
			want: got{
				Status: http.StatusOK,
				Body:   "ok",
				Whole:  true,
			},
		},
		"without a length": {
			answer: "HTTP/1.1 200 OK\r\nId: ID\r\nVouched: 1\r\n\r\nto the end",
			want: got{
				Status: http.StatusOK,
				Body:   "to the end",
				Whole:  true,
			},
		},
	} {
		d := newDoor(t, newStandin(t, "app-1", 0, say(c.answer)))
		g := d.ask("/status/7")
		if c.want.Body == "" {
			g.Body = ""
		}
		if diff := cmp.Diff(c.want, g); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
}

// A lookup fails at every replica. The last word is a replica's own, not ours.
func TestLastFailureOfAServerGoesOn(t *testing.T) {
	fail := func(_ int, q *http.Request, c net.Conn) bool {
		reply(c, q, http.StatusInternalServerError, "tank unknown")
		return true
	}
	d := newDoor(t, newStandin(t, "app-1", 0, fail), newStandin(t, "app-2", 0, fail))
	want := got{
		Status: http.StatusInternalServerError,
		Body:   "tank unknown",
		Whole:  true,
	}
	if diff := cmp.Diff(want, d.ask("/lookup/7")); diff != "" {
		t.Fatal(diff)
	}
}

// A replica hangs with the request. The caller hears at the end of its time, and
// what it hears doesn't promise that nothing ran.
func TestHangingReplicaEndsAtTheDeadline(t *testing.T) {
	hang := func(int, *http.Request, net.Conn) bool {
		time.Sleep(4 * time.Second)
		return true
	}
	d := newDoor(t, newStandin(t, "app-1", 0, hang))
	began := time.Now()
	g := d.ask("/status/7")
	if took := time.Since(began); g.Status != http.StatusGatewayTimeout || took > 2800*time.Millisecond {
		t.Fatalf("status %d after %v", g.Status, took)
	}
}

func TestUnknownRouteIsNotFound(t *testing.T) {
	d := newDoor(t, newStandin(t, "app-1", 0, nil))
	if g := d.ask("/nowhere/7"); g.Status != http.StatusNotFound {
		t.Fatalf("status %d", g.Status)
	}
}

func TestNoReplicaIsToldAtOnce(t *testing.T) {
	d := newDoor(t)
	want := got{
		Status:     http.StatusServiceUnavailable,
		Body:       "notRun (3001)\n",
		Whole:      true,
		RetryAfter: true,
	}
	if diff := cmp.Diff(want, d.ask("/status/7")); diff != "" {
		t.Fatal(diff)
	}
}

// fleet is one prefill engine and two that decode.
func fleet(t *testing.T, first, second behaviour) (*door, *standin, *standin, *standin) {
	t.Helper()
	p := newStandin(t, "prefill", hingefleet.Prefill, nil)
	a := newStandin(t, "decode-1", hingefleet.Decode, first)
	b := newStandin(t, "decode-2", hingefleet.Decode, second)
	return newDoor(t, p, a, b), p, a, b
}

func TestStreamIsPassedOnWhole(t *testing.T) {
	d, p, _, _ := fleet(t, nil, nil)
	want := got{
		Status: http.StatusOK,
		Body:   wholeStream(),
		Whole:  true,
	}
	if diff := cmp.Diff(want, d.ask("/dossier/7")); diff != "" {
		t.Fatal(diff)
	}
	if p.ran() != 1 {
		t.Fatalf("%d prefills", p.ran())
	}
}

// The engine dies in the middle of the third event. The caller must get each event
// once, in order and whole: another engine goes on after the second.
func TestBrokenStreamGoesOnElsewhere(t *testing.T) {
	breakOff := func(_ int, q *http.Request, c net.Conn) bool {
		beginStream(c, q)
		events(c, from(q), 2, false)
		_, _ = io.WriteString(c, "b\r\nid: 3\ndata:\r\n")
		return true
	}
	d, _, a, b := fleet(t, breakOff, nil)
	b.behave = func(n int, q *http.Request, c net.Conn) bool {
		if a.ran() == 0 {
			return breakOff(n, q, c)
		}
		return false
	}
	a.behave = func(n int, q *http.Request, c net.Conn) bool {
		if b.ran() == 0 {
			return breakOff(n, q, c)
		}
		return false
	}
	want := got{
		Status: http.StatusOK,
		Body:   wholeStream(),
		Whole:  true,
	}
	if diff := cmp.Diff(want, d.ask("/dossier/7")); diff != "" {
		t.Fatal(diff)
	}
}

// A stream that must not run twice breaks off. Its caller must see that it isn't whole, and
// nobody else may begin it anew.
func TestBrokenStreamThatMayNotBeResumedIsCut(t *testing.T) {
	breakOff := func(_ int, q *http.Request, c net.Conn) bool {
		beginStream(c, q)
		events(c, 1, 2, false)
		return true
	}
	d, _, a, b := fleet(t, breakOff, breakOff)
	g := d.ask("/health/7")
	if g.Whole || !strings.HasPrefix(wholeStream(), g.Body) || a.ran()+b.ran() != 1 {
		t.Fatalf("whole %v, %d runs, body %q", g.Whole, a.ran()+b.ran(), g.Body)
	}
}

// An engine loses an event, or sends one twice. A gap must not reach the caller as an
// answer that ends well; a doubled event is passed over.
func TestEventsComeOnceAndInOrder(t *testing.T) {
	lose := func(_ int, q *http.Request, c net.Conn) bool {
		beginStream(c, q)
		events(c, 1, 2, false)
		events(c, 4, 5, true)
		return true
	}
	d, _, _, _ := fleet(t, lose, lose)
	if g := d.ask("/health/7"); g.Whole {
		t.Fatalf("a stream without its third event looks whole: %q", g.Body)
	}
	double := func(_ int, q *http.Request, c net.Conn) bool {
		beginStream(c, q)
		events(c, 1, 3, false)
		events(c, 3, 5, true)
		return true
	}
	d, _, _, _ = fleet(t, double, double)
	if g := d.ask("/health/7"); !g.Whole || g.Body != wholeStream() {
		t.Fatalf("whole %v: %q", g.Whole, g.Body)
	}
}

// An engine falls silent in the middle of a stream, with its connection open. Its
// caller would leave after some seconds; another engine goes on before that.
func TestSilentEngineIsLeft(t *testing.T) {
	silent := make(chan struct{})
	t.Cleanup(func() {
		close(silent)
	})
	d, _, a, b := fleet(t, nil, nil)
	firstToRun(a, b, func(_ int, q *http.Request, c net.Conn) bool {
		beginStream(c, q)
		events(c, 1, 2, false)
		<-silent
		return true
	})
	d.left = 8 * time.Second
	want := got{
		Status: http.StatusOK,
		Body:   wholeStream(),
		Whole:  true,
	}
	if diff := cmp.Diff(want, d.ask("/dossier/7")); diff != "" {
		t.Fatal(diff)
	}
}

// A decode engine is gone while its KV cache is being made. The cache is kept for
// half a second: another engine takes it, and the prompt isn't worked twice.
func TestCacheIsTakenByAnotherEngine(t *testing.T) {
	d, p, a, b := fleet(t, nil, nil)
	for range 4 {
		// Whichever is chosen first, one of the two can't be reached.
		_ = a.listener.Close()
		g := d.ask("/dossier/7")
		if !g.Whole || g.Body != wholeStream() {
			t.Fatalf("status %d, whole %v: %q", g.Status, g.Whole, g.Body)
		}
	}
	if p.ran() != 4 || b.ran() != 4 {
		t.Fatalf("%d prefills and %d runs for 4 streams", p.ran(), b.ran())
	}
}

// The caller leaves while its prompt is worked. No engine may begin to decode for nobody.
func TestNothingBeginsForACallerThatLeft(t *testing.T) {
	d, p, a, b := fleet(t, nil, nil)
	p.behave = func(_ int, q *http.Request, c net.Conn) bool {
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
		t.Fatalf("%d engines decode for a caller that left", n)
	}
}

// An engine refuses for want of room, and says that nothing ran. The stream goes to the
// other one; if both refuse, the caller is told that nothing ran, and when to come back.
func TestRefusingEngineIsAvoided(t *testing.T) {
	full := func(_ int, _ *http.Request, c net.Conn) bool {
		refuse(c, http.StatusServiceUnavailable)
		return true
	}
	d, _, _, _ := fleet(t, full, nil)
	for range 3 {
		if g := d.ask("/dossier/7"); g.Status != http.StatusOK || !g.Whole {
			t.Fatalf("status %d", g.Status)
		}
	}
	d, p, _, _ := fleet(t, full, full)
	g := d.ask("/dossier/7")
	if g.Status != http.StatusServiceUnavailable || !g.RetryAfter {
		t.Fatalf("status %d, Retry-After %v", g.Status, g.RetryAfter)
	}
	// What was exported for it is given back, and doesn't wait for its time.
	for range 100 {
		if len(p.freedCaches()) > 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the KV cache was not given back")
}

// The process is told to end. A stream that begins now would be cut at the end of the grace,
// so its caller is sent to another host at once.
func TestNoStreamBeginsLateInADrain(t *testing.T) {
	d, _, _, _ := fleet(t, nil, nil)
	d.proxy.Drain(time.Now().Add(-2 * lastStreams))
	want := got{
		Status:     http.StatusServiceUnavailable,
		Body:       "notRun (2005)\n",
		Whole:      true,
		RetryAfter: true,
	}
	if diff := cmp.Diff(want, d.ask("/dossier/7")); diff != "" {
		t.Fatal(diff)
	}
}

// A hint is often far off, and never beyond what the caller lets the answer have.
func TestExpectedLengthStaysWithinBounds(t *testing.T) {
	e := routes().Services["model"].Engine
	got := []hingeids.Tokens{
		expected(Asked{
			Hint:    50,
			Longest: 100,
		}, e),
		expected(Asked{
			Hint:    500,
			Longest: 100,
		}, e),
		expected(Asked{
			Longest: 100,
		}, e),
		expected(Asked{}, e),
	}
	if diff := cmp.Diff([]hingeids.Tokens{50, 100, 50, 10}, got); diff != "" {
		t.Fatal(diff)
	}
}

// The engine dies after it has streamed for longer than callers wait for a first event. Their
// patience began anew with each event that they got, so another engine is still in time.
func TestStreamThatBreaksLateGoesOnToo(t *testing.T) {
	d, _, a, b := fleet(t, nil, nil)
	firstToRun(a, b, func(_ int, q *http.Request, c net.Conn) bool {
		beginStream(c, q)
		for i := 1; i <= 3; i++ {
			events(c, i, i, false)
			time.Sleep(800 * time.Millisecond)
		}
		return true
	})
	d.left = 8 * time.Second
	want := got{
		Status: http.StatusOK,
		Body:   wholeStream(),
		Whole:  true,
	}
	if diff := cmp.Diff(want, d.ask("/dossier/7")); diff != "" {
		t.Fatal(diff)
	}
}

// The same where engines are full: the placer must not count the time for which the caller
// already had events, or it refuses at once what could still wait for room.
func TestMovedStreamWaitsFromItsLastEvent(t *testing.T) {
	d, _, _, _ := fleet(t, nil, nil)
	now := time.Now()
	route := routes().Match("quay.example", "/dossier/7")
	r := &run{
		job: &job{
			Request: &hingewire.Request{
				Arrived: now.Add(-5 * time.Second),
			},
			route:    route,
			service:  "model",
			deadline: now.Add(5 * time.Second),
		},
		engine:     routes().Services["model"].Engine,
		waitsSince: now.Add(-5 * time.Second),
	}
	if w := d.proxy.want(r); w.Waited < 5*time.Second {
		t.Fatalf("before its first event it waits %v", w.Waited)
	}
	r.relay.begun = true
	d.proxy.moveOn(r, hingeverdict.New(hingeverdict.MayHaveRun, hingeverdict.CodeAnswerTruncated, 0, nil))
	if w := d.proxy.want(r); !w.Moved || w.Waited > time.Second || w.Patience != route.Patience {
		t.Fatalf("moved %v, waits %v of %v", w.Moved, w.Waited, w.Patience)
	}
}

// An availability zone is cut off with the engine that prefills and many streams find out at once. A
// request that has reached nobody adds nothing to any engine's load, so no budget may keep it
// from the engines that can be reached.
func TestUnreachedEngineCostsNoBudget(t *testing.T) {
	gone := newStandin(t, "a-prefill", hingefleet.Prefill, nil)
	_ = gone.listener.Close()
	d := newDoor(t, gone, newStandin(t, "prefill", hingefleet.Prefill, nil), newStandin(t, "decode", hingefleet.Decode, nil))
	d.spend("model")
	if g := d.ask("/dossier/7"); g.Status != http.StatusOK || !g.Whole {
		t.Fatalf("status %d: %q", g.Status, g.Body)
	}
}

// An engine has no room for a KV cache that was made for it. The cache is still kept: another
// engine takes it, and the prompt isn't worked twice for it.
func TestRefusedCacheIsTakenByAnotherEngine(t *testing.T) {
	d, p, a, b := fleet(t, nil, nil)
	firstToRun(a, b, func(_ int, _ *http.Request, c net.Conn) bool {
		refuse(c, http.StatusServiceUnavailable)
		return true
	})
	if g := d.ask("/dossier/7"); g.Status != http.StatusOK || g.Body != wholeStream() {
		t.Fatalf("status %d: %q", g.Status, g.Body)
	}
	if p.ran() != 1 {
		t.Fatalf("the prompt was worked %d times", p.ran())
	}
}

// A decode engine dies with half of an answer. Going on elsewhere sends the prompt and the run once
// more, two arrivals. Counted as one, a fleet would spend twice the budget that it was given.
func TestMovedStreamCostsTwoArrivals(t *testing.T) {
	d, _, a, b := fleet(t, nil, nil)
	firstToRun(a, b, func(_ int, q *http.Request, c net.Conn) bool {
		beginStream(c, q)
		events(c, 1, 2, false)
		return true
	})
	before := d.budgetLeft("model")
	if g := d.ask("/dossier/7"); g.Body != wholeStream() {
		t.Fatalf("status %d: %q", g.Status, g.Body)
	}
	if spent := before - d.budgetLeft("model"); spent != 2 {
		t.Fatalf("%d arrivals were taken from the budget, want 2", spent)
	}
}

// Control hosts are cut off from each other. The one that places hasn't heard that a replica leaves; this host has, from another. What
// it still sent there could be cut off with the replica's end.
func TestServerThatThisHostKnowsToLeaveGetsNothing(t *testing.T) {
	leaving := newStandin(t, "app-1", 0, nil)
	other := newStandin(t, "app-2", 0, nil)
	d := newDoor(t, leaving, other)
	d.world.gone = map[hingeids.ServerID]bool{
		"app-1": true,
	}
	for range 10 {
		if g := d.ask("/status/7"); g.Status != http.StatusOK {
			t.Errorf("%+v", g)
		}
	}
	if n := leaving.ran(); n != 0 {
		t.Errorf("the leaving replica ran %d requests", n)
	}
}
