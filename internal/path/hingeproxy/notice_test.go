package hingeproxy

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/swifthinge/swifthinge/internal/decide/hingefleet"
	"github.com/swifthinge/swifthinge/internal/decide/hingenotice"
)

// replyWith answers a request to a plain service with one more header.
func replyWith(c net.Conn, q *http.Request, header string) {
	const body = "lot 7 is alive"
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nVouched: 1\r\n%s\r\nContent-Length: %d\r\n\r\n%s",
		q.Header.Get("Id"), header, len(body), body)
}

// sendFor sends requests from each host, one after the other with the given pause, and returns what each caller got.
func sendFor(hosts []*testProxy, target string, pause, length time.Duration) []result {
	var mu sync.Mutex
	var out []result
	var group sync.WaitGroup
	for _, d := range hosts {
		group.Go(func() {
			for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(pause) {
				r := d.send(target)
				mu.Lock()
				out = append(out, r)
				mu.Unlock()
			}
		})
	}
	group.Wait()
	return out
}

// mostSince returns how many requests a server with a rate limit may have got since a time: those that the limit allows,
// and five.
func mostSince(start time.Time, limit float64) int {
	return int(limit*time.Since(start).Seconds()) + 5
}

// Guards against a replica that gets more requests than the rate limit that it names in its answers. Its only relief
// is that the router sends less.
func TestReplicaGetsNoMoreThanItsRateLimit(t *testing.T) {
	const limit, length = 5, 2 * time.Second
	limited := newStandin(t, "limited", 0, func(_ int, q *http.Request, c net.Conn) bool {
		replyWith(c, q, fmt.Sprint("Rate-Limit: ", limit))
		return true
	})
	free := newStandin(t, "free", 0, nil)
	start := time.Now()
	answers := sendFor(newTestProxies(t, 3, limited, free), "/lookup/7", 10*time.Millisecond, length)
	most := mostSince(start, limit)
	if n := limited.ran(); n > most {
		t.Errorf("%d requests at a limit of %d a second, want at most %d", n, limit, most)
	}
	for _, a := range answers {
		if a.Status != http.StatusOK {
			t.Fatalf("status %d beside a replica without limit", a.Status)
		}
	}
}

// Guards against engines that get more streams than the rate limit that they name, at the prefill as well as at the
// decode.
func TestEnginesGetNoMoreThanTheirRateLimit(t *testing.T) {
	const limit, length = 4, 2 * time.Second
	prefill := newStandin(t, "prefill", hingefleet.Prefill, func(n int, _ *http.Request, c net.Conn) bool {
		body := fmt.Sprintf(`{"handle":"h%d"}`, n)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRate-Limit: %d\r\nContent-Length: %d\r\n\r\n%s", limit, len(body), body)
		return true
	})
	decode := newStandin(t, "decode", hingefleet.Decode, func(_ int, q *http.Request, c net.Conn) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nVouched: 1\r\nRate-Limit: %d\r\nTransfer-Encoding: chunked\r\n\r\n",
			q.Header.Get("Id"), limit)
		events(c, firstRequested(q), 5, true)
		return true
	})
	start := time.Now()
	sendFor(newTestProxies(t, 3, prefill, decode), "/dossier/7", 10*time.Millisecond, length)
	most := mostSince(start, limit)
	for _, s := range []*standin{prefill, decode} {
		if n := s.ran(); n > most {
			t.Errorf("%s: %d requests at a limit of %d a second, want at most %d", s.id, n, limit, most)
		}
	}
}

// Guards against requests to a replica that has told this host in an answer that it leaves, whatever the directory
// says: it would cut them off.
func TestReplicaThatLeavesGetsNoMoreRequests(t *testing.T) {
	var leaving atomic.Bool
	leaves := newStandin(t, "leaves", 0, func(_ int, q *http.Request, c net.Conn) bool {
		if !leaving.Load() {
			return false
		}
		replyWith(c, q, "Leaving: 1")
		return true
	})
	stays := newStandin(t, "stays", 0, nil)
	hosts := newTestProxies(t, 3, leaves, stays)
	sendFor(hosts, "/lookup/7", 10*time.Millisecond, 300*time.Millisecond)
	if leaves.ran() == 0 {
		t.Fatal("the replica got no request before it left")
	}
	leaving.Store(true)
	// Most requests go to the other replica, so this one has to get one before it can state anything.
	before := leaves.ran()
	for deadline := time.Now().Add(20 * time.Second); leaves.ran() == before; {
		if time.Now().After(deadline) {
			t.Fatal("the replica got no request in which to state that it leaves")
		}
		sendFor(hosts, "/lookup/7", 10*time.Millisecond, 300*time.Millisecond)
	}
	before = leaves.ran()
	for _, a := range sendFor(hosts, "/lookup/7", 10*time.Millisecond, time.Second) {
		if a.Status != http.StatusOK {
			t.Fatalf("status %d beside a replica that stays", a.Status)
		}
	}
	if n := leaves.ran() - before; n != 0 {
		t.Errorf("%d requests after it has stated that it leaves", n)
	}
}

// Guards against a request to a server that has told this host that it leaves, though a placer that hasn't been told
// chooses it, and against its zone counting as unreachable because nothing was sent.
func TestRequestIsWithheldFromServerThatLeaves(t *testing.T) {
	a := newStandin(t, "prefill", hingefleet.Prefill, nil)
	b := newStandin(t, "decode-1", hingefleet.Decode, nil)
	c := newStandin(t, "decode-2", hingefleet.Decode, nil)
	x, y := newStandin(t, "app-1", 0, nil), newStandin(t, "app-2", 0, nil)
	d := newTestProxies(t, 1, a, b, c, x, y)[0]
	for _, s := range []*standin{b, x} {
		// Only the gate knows it: the notice isn't reported.
		d.proxy.owner.RecordNotice(hingenotice.Subject{
			Service: "unknown",
			Server:  s.id,
		}, hingenotice.Notice{
			Leaving: true,
		}, time.Now())
	}
	for range 10 {
		if r := d.send("/dossier/7"); r.Status != http.StatusOK || !r.Complete {
			t.Fatalf("stream: %+v", r)
		}
		if r := d.send("/status/7"); r.Status != http.StatusOK {
			t.Fatalf("plain request: %+v", r)
		}
	}
	if b.ran() != 0 || x.ran() != 0 {
		t.Errorf("%d and %d requests to servers that leave", b.ran(), x.ran())
	}
}

// refuseFor refuses a request and asks for no further one for a number of seconds.
func refuseFor(c net.Conn, seconds float64) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 503 X\r\nNot-Run: 1\r\nRetry-After: %g\r\nContent-Length: 0\r\n\r\n", seconds)
}

// Guards against requests of a host to a server that has refused one of its requests and asked it for a pause, while
// other hosts, which it serves, go on using it.
func TestServerThatRefusesIsLeftAlone(t *testing.T) {
	const pause = 1500 * time.Millisecond
	var mu sync.Mutex
	refusedAt := make(map[string]time.Time)
	arrivals := make(map[string]int)
	// inPause counts the arrivals in the present pause of each host.
	inPause := make(map[string]int)
	served := 0
	var overloaded atomic.Bool
	refuses := newStandin(t, "refuses", 0, func(_ int, q *http.Request, c net.Conn) bool {
		mu.Lock()
		defer mu.Unlock()
		host := q.Header.Get("Via-Host")
		if !overloaded.Load() {
			return false
		}
		if host == "entry-3" {
			served++
			return false
		}
		if at, refused := refusedAt[host]; refused && time.Since(at) < pause {
			arrivals[host]++
			inPause[host]++
			if inPause[host] > 2 {
				t.Errorf("%s sent %d requests in one pause", host, inPause[host])
			}
		} else {
			refusedAt[host] = time.Now()
			inPause[host] = 0
		}
		refuseFor(c, pause.Seconds())
		return true
	})
	accepts := newStandin(t, "accepts", 0, nil)
	hosts := newTestProxies(t, 3, refuses, accepts)
	sendFor(hosts, "/lookup/7", 10*time.Millisecond, 300*time.Millisecond)
	overloaded.Store(true)
	answers := sendFor(hosts, "/lookup/7", 10*time.Millisecond, 4*time.Second)
	for host, n := range arrivals {
		// Two are allowed in each pause, for requests that were on their way.
		if n > 4 {
			t.Errorf("%s sent %d requests in its pauses", host, n)
		}
	}
	// After a slow answer, a replica gets only a probe every three seconds, from any host (rule 5 of hingebalance).
	for deadline := time.Now().Add(20 * time.Second); len(refusedAt) == 0 || served == 0; {
		if time.Now().After(deadline) {
			t.Fatalf("%d hosts were refused, %d requests of another host served", len(refusedAt), served)
		}
		missing := hosts[:2]
		if served == 0 {
			missing = hosts[2:]
		}
		answers = append(answers, sendFor(missing, "/lookup/7", 10*time.Millisecond, time.Second)...)
	}
	for _, a := range answers {
		if a.Status != http.StatusOK {
			t.Fatalf("status %d beside a replica that accepts", a.Status)
		}
	}
}

// Guards against callers that wait in vain, or come back too early, while all replicas want no requests.
func TestCallerIsToldTheEndOfAllPauses(t *testing.T) {
	refuse := func(_ int, _ *http.Request, c net.Conn) bool {
		refuseFor(c, 2)
		return true
	}
	a, b := newStandin(t, "app-1", 0, refuse), newStandin(t, "app-2", 0, refuse)
	d := newTestProxies(t, 1, a, b)[0]
	d.send("/status/7")
	d.send("/status/7")
	before := a.ran() + b.ran()
	start := time.Now()
	r := d.send("/status/7")
	if r.Status != http.StatusServiceUnavailable || time.Since(start) > 100*time.Millisecond {
		t.Errorf("status %d after %v", r.Status, time.Since(start))
	}
	if d.retryAfter < 1500*time.Millisecond || d.retryAfter > 3*time.Second {
		t.Errorf("Retry-After %v, while all replicas want no requests for two seconds", d.retryAfter)
	}
	if n := a.ran() + b.ran() - before; n != 0 {
		t.Errorf("%d requests to replicas that want none", n)
	}
}

// Guards against an answer that is lost because a header of it that names a limit can't be read.
func TestUnreadableNoticeIsForwarded(t *testing.T) {
	replica := newStandin(t, "replica", 0, func(_ int, q *http.Request, c net.Conn) bool {
		replyWith(c, q, "Rate-Limit: soon\r\nRate-Limit: 3")
		return true
	})
	d := newTestProxy(t, replica)
	for range 3 {
		if a := d.send("/lookup/7"); a.Status != http.StatusOK || a.Body != "lot 7 is alive" {
			t.Fatalf("got %+v", a)
		}
	}
	if n := d.proxy.meter.unreadNotices.Get(); n != 3 {
		t.Errorf("%d answers counted, want 3", n)
	}
}
