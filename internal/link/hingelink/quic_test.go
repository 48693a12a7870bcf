package hingelink

import (
	"bytes"
	"context"
	"errors"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rotisserie/eris"
	"go.uber.org/goleak"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
	"github.com/swifthinge/swifthinge/internal/operate/hingekeys"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// maxWait bounds how long a test waits for an expected event.
const maxWait = 30 * time.Second

func newTestLink(t testing.TB, self hingeids.HostID, incarnation hingeids.Incarnation) *QUIC {
	t.Helper()
	q, err := NewQUIC(Config{
		Self:        self,
		Incarnation: incarnation,
		Listen:      "127.0.0.1:0",
		Insecure:    true,
		AllowCut:    true,
		Recorder: hingeevents.NewRecorder(hingeids.Instance{
			Host:        self,
			Incarnation: incarnation,
		}),
	})
	if err != nil {
		t.Fatal(err)
	}
	return q
}

// addTestPeer adds a peer after the link was created, since the ports of test links aren't known before.
func (q *QUIC) addTestPeer(host hingeids.HostID, address *net.UDPAddr) {
	q.peers[host] = newPeer(host, address)
}

func run(t testing.TB, links ...*QUIC) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), maxWait)
	for _, q := range links {
		go func() {
			_ = q.Run(ctx)
		}()
	}
	t.Cleanup(func() {
		cancel()
		for _, q := range links {
			<-q.Done()
		}
	})
	return ctx
}

func newPair(t testing.TB) (a, b *QUIC) {
	t.Helper()
	a = newTestLink(t, "cancale-1", 1)
	b = newTestLink(t, "roscoff-1", 1)
	a.addTestPeer("roscoff-1", b.Addr())
	b.addTestPeer("cancale-1", a.Addr())
	return a, b
}

func echo(_ context.Context, _ hingeids.HostID, body []byte) ([]byte, error) {
	return body, nil
}

// outcome has the fields of an error that tests compare.
type outcome struct {
	Verdict    hingeverdict.Verdict
	Code       hingeverdict.Code
	RetryAfter time.Duration
}

func outcomeOf(t *testing.T, err error) outcome {
	t.Helper()
	var v *hingeverdict.Error
	if !errors.As(err, &v) {
		t.Fatalf("error without a verdict: %v", err)
	}
	return outcome{
		Verdict:    v.Verdict,
		Code:       v.Code,
		RetryAfter: v.RetryAfter,
	}
}

func wantOutcome(t *testing.T, err error, want outcome) {
	t.Helper()
	if diff := cmp.Diff(want, outcomeOf(t, err)); diff != "" {
		t.Fatalf("%v\n%s", err, diff)
	}
}

var (
	linkNotRun     = outcome{Verdict: hingeverdict.NotRun, Code: hingeverdict.CodeLinkDown}
	linkMayHaveRun = outcome{Verdict: hingeverdict.MayHaveRun, Code: hingeverdict.CodeLinkDown}
)

// forwarder forwards UDP packets between dialling hosts and one target, like a
// middlebox. Each source port is a flow; packets of a dropped flow are discarded.
type forwarder struct {
	socket *net.UDPConn
	target *net.UDPAddr
	mu     sync.Mutex
	flows  map[string]*flow
	tasks  sync.WaitGroup
}

type flow struct {
	upstream *net.UDPConn
	dropped  atomic.Bool
}

func newForwarder(t *testing.T, target *net.UDPAddr) *forwarder {
	t.Helper()
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: target.IP})
	if err != nil {
		t.Fatal(err)
	}
	f := &forwarder{
		socket: socket,
		target: target,
		flows:  make(map[string]*flow),
	}
	f.tasks.Go(f.forward)
	t.Cleanup(func() {
		_ = socket.Close()
		f.mu.Lock()
		for _, fl := range f.flows {
			_ = fl.upstream.Close()
		}
		f.mu.Unlock()
		f.tasks.Wait()
	})
	return f
}

func (f *forwarder) forward() {
	buffer := make([]byte, 64<<10)
	for {
		n, from, err := f.socket.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		fl := f.flow(from)
		if fl != nil && !fl.dropped.Load() {
			_, _ = fl.upstream.Write(buffer[:n])
		}
	}
}

func (f *forwarder) flow(from *net.UDPAddr) *flow {
	f.mu.Lock()
	defer f.mu.Unlock()
	if fl := f.flows[from.String()]; fl != nil {
		return fl
	}
	upstream, err := net.DialUDP("udp", nil, f.target)
	if err != nil {
		return nil
	}
	fl := &flow{
		upstream: upstream,
	}
	f.flows[from.String()] = fl
	f.tasks.Go(func() {
		buffer := make([]byte, 64<<10)
		for {
			n, err := upstream.Read(buffer)
			if err != nil {
				return
			}
			if !fl.dropped.Load() {
				_, _ = f.socket.WriteToUDP(buffer[:n], from)
			}
		}
	})
	return fl
}

func (f *forwarder) dropFlows() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, fl := range f.flows {
		fl.dropped.Store(true)
	}
}

// Guards against calls that hang on a connection whose packets a middlebox drops,
// while new connections work.
func TestSilentConnectionIsRedialled(t *testing.T) {
	a, b := newPair(t)
	f := newForwarder(t, b.Addr())
	a.addTestPeer("roscoff-1", f.socket.LocalAddr().(*net.UDPAddr))
	var ran atomic.Int64
	b.HandleCall("test.count", func(context.Context, hingeids.HostID, []byte) ([]byte, error) {
		ran.Add(1)
		return nil, nil
	})
	ctx := run(t, a, b)
	if _, err := a.Call(ctx, "roscoff-1", "test.count", nil); err != nil {
		t.Fatal(err)
	}
	f.dropFlows()
	_, err := a.Call(ctx, "roscoff-1", "test.count", nil)
	wantOutcome(t, err, linkMayHaveRun)
	if _, err := a.Call(ctx, "roscoff-1", "test.count", nil); err != nil {
		t.Fatalf("the call after the redial failed: %v", err)
	}
	if diff := cmp.Diff(int64(2), ran.Load()); diff != "" {
		t.Fatal(diff)
	}
}

// Guards against a call that fails because its connection was closed a moment ago, while the next one is dialled.
func TestCallAfterConnectionIsClosedWaitsForTheNext(t *testing.T) {
	a, b := newPair(t)
	b.HandleCall("test.count", func(context.Context, hingeids.HostID, []byte) ([]byte, error) {
		return nil, nil
	})
	ctx := run(t, a, b)
	for range 5 {
		if _, err := a.Call(ctx, "roscoff-1", "test.count", nil); err != nil {
			t.Fatal(err)
		}
		// A connection that lasts less is redialled after a pause only.
		time.Sleep(redialInterval + 50*time.Millisecond)
		conn, _, _ := a.findPeer("roscoff-1").state()
		_ = conn.CloseWithError(0, "")
		if _, err := a.Call(ctx, "roscoff-1", "test.count", nil); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against calls to or from a process whose certificate has the ID of
// another host, and against an event for each of its rejected connections.
func TestPeerWithUnexpectedNameIsRefused(t *testing.T) {
	a := newTestLink(t, "cancale-1", 1)
	foreign := newTestLink(t, "elsewhere-1", 1)
	// Its clock doesn't advance, so each of its connections counts as rejected immediately.
	foreign.clock = func() time.Time {
		return time.Unix(0, 0)
	}
	a.addTestPeer("roscoff-1", foreign.Addr())
	foreign.addTestPeer("cancale-1", a.Addr())
	var ran atomic.Int64
	count := func(context.Context, hingeids.HostID, []byte) ([]byte, error) {
		ran.Add(1)
		return nil, nil
	}
	a.HandleCall("test.count", count)
	foreign.HandleCall("test.count", count)
	ctx := run(t, a, foreign)
	_, err := a.Call(ctx, "roscoff-1", "test.count", nil)
	wantOutcome(t, err, linkNotRun)
	if !strings.Contains(err.Error(), `certificate is for host "elsewhere-1", want "roscoff-1"`) {
		t.Fatalf("the error does not contain the unexpected host ID: %v", err)
	}
	if _, err := foreign.Call(ctx, "cancale-1", "test.count", nil); err == nil {
		t.Fatal("a call from a host that is not a peer succeeded")
	}
	// Its repeated dials are all rejected and must record only one event in total.
	time.Sleep(5 * redialInterval)
	if events := len(foreign.config.Recorder.Events()); events > 1 {
		t.Fatalf("%d events for repeated rejections by one host, want at most 1", events)
	}
	if diff := cmp.Diff(int64(0), ran.Load()); diff != "" {
		t.Fatal(diff)
	}
}

func newKeyedLink(t *testing.T, folder string, self hingeids.HostID) *QUIC {
	t.Helper()
	tlsConfig, err := hingekeys.LoadTLS(hingekeys.HostPaths(folder, self))
	if err != nil {
		t.Fatal(err)
	}
	q, err := NewQUIC(Config{
		Self:   self,
		Listen: "127.0.0.1:0",
		TLS:    tlsConfig,
	})
	if err != nil {
		t.Fatal(err)
	}
	return q
}

func makeKeys(t *testing.T, hosts ...hingeids.HostID) string {
	t.Helper()
	folder := t.TempDir()
	err := hingekeys.CreateAuthority(folder, time.Now())
	for _, host := range hosts {
		err = errors.Join(err, hingekeys.CreateHostCertificate(folder, host, time.Now()))
	}
	if err != nil {
		t.Fatal(err)
	}
	return folder
}

// Guards against accepting a certificate with the right host ID that was signed by
// another authority.
func TestCertificateOfAnotherAuthorityIsRefused(t *testing.T) {
	folder := makeKeys(t, "cancale-1", "roscoff-1")
	a := newKeyedLink(t, folder, "cancale-1")
	b := newKeyedLink(t, folder, "roscoff-1")
	forged := newKeyedLink(t, makeKeys(t, "quiberon-1"), "quiberon-1")
	a.addTestPeer("roscoff-1", b.Addr())
	a.addTestPeer("quiberon-1", forged.Addr())
	b.addTestPeer("cancale-1", a.Addr())
	b.HandleCall("test.echo", echo)
	forged.HandleCall("test.echo", echo)
	ctx := run(t, a, b, forged)
	if _, err := a.Call(ctx, "roscoff-1", "test.echo", nil); err != nil {
		t.Fatal(err)
	}
	_, err := a.Call(ctx, "quiberon-1", "test.echo", nil)
	wantOutcome(t, err, linkNotRun)
	if !strings.Contains(err.Error(), "signed by another authority") {
		t.Fatalf("the error does not contain the reason: %v", err)
	}
}

// Guards against accepting calls of a suspended process that resumes after a new
// process of the same host has started.
func TestEarlierIncarnationIsRefused(t *testing.T) {
	a, b := newPair(t)
	newer := newTestLink(t, "cancale-1", 2)
	newer.addTestPeer("roscoff-1", b.Addr())
	b.HandleCall("test.echo", echo)
	ctx := run(t, a, b, newer)
	for _, q := range []*QUIC{a, newer} {
		if _, err := q.Call(ctx, "roscoff-1", "test.echo", nil); err != nil {
			t.Fatal(err)
		}
	}
	_, err := a.Call(ctx, "roscoff-1", "test.echo", nil)
	wantOutcome(t, err, linkNotRun)
}

// Guards against the verdict NotRun for a call that arrived while only one
// direction of the network is partitioned.
func TestCutOneWay(t *testing.T) {
	for _, c := range []struct {
		name     string
		at       string
		way      Direction
		want     outcome
		wantRuns int64
	}{
		{name: "the call is held back", at: "caller", way: Outgoing, want: linkNotRun, wantRuns: 0},
		{name: "the call is lost", at: "called", way: Incoming, want: linkMayHaveRun, wantRuns: 0},
		{name: "the answer is held back", at: "called", way: Outgoing, want: linkMayHaveRun, wantRuns: 1},
		{name: "the answer is lost", at: "caller", way: Incoming, want: linkMayHaveRun, wantRuns: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			a, b := newPair(t)
			var ran atomic.Int64
			b.HandleCall("test.count", func(context.Context, hingeids.HostID, []byte) ([]byte, error) {
				ran.Add(1)
				return nil, nil
			})
			a.HandleCall("test.echo", echo)
			ctx := run(t, a, b)
			cutter, other := a, b
			if c.at == "called" {
				cutter, other = b, a
			}
			if err := cutter.Cut(other.Self(), c.way, true); err != nil {
				t.Fatal(err)
			}
			_, err := a.Call(ctx, "roscoff-1", "test.count", nil)
			wantOutcome(t, err, c.want)
			if diff := cmp.Diff(c.wantRuns, ran.Load()); diff != "" {
				t.Fatal(diff)
			}
			if err := cutter.Cut(other.Self(), c.way, false); err != nil {
				t.Fatal(err)
			}
			if _, err := a.Call(ctx, "roscoff-1", "test.count", nil); err != nil {
				t.Fatalf("after the cut: %v", err)
			}
		})
	}
}

func TestHandlerVerdictReachesCaller(t *testing.T) {
	a, b := newPair(t)
	b.HandleCall("test.full", func(context.Context, hingeids.HostID, []byte) ([]byte, error) {
		return nil, eris.Wrap(hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeQueueFull, 3*time.Second, eris.New("full")), "wrapped")
	})
	b.HandleCall("test.fails", func(context.Context, hingeids.HostID, []byte) ([]byte, error) {
		return nil, eris.New("no verdict here")
	})
	ctx := run(t, a, b)
	_, err := a.Call(ctx, "roscoff-1", "test.full", nil)
	wantOutcome(t, err, outcome{Verdict: hingeverdict.NotRun, Code: hingeverdict.CodeQueueFull, RetryAfter: 3 * time.Second})
	_, err = a.Call(ctx, "roscoff-1", "test.fails", nil)
	wantOutcome(t, err, outcome{Verdict: hingeverdict.MayHaveRun})
	_, err = a.Call(ctx, "roscoff-1", "test.unknown", nil)
	wantOutcome(t, err, linkNotRun)
	_, err = a.Call(ctx, "nobody", "test.full", nil)
	wantOutcome(t, err, linkNotRun)
}

// Guards against handlers that keep running after their caller has cancelled the
// call, which would accumulate up to the bound on concurrent calls.
func TestCancelledCallCancelsItsHandler(t *testing.T) {
	a, b := newPair(t)
	started := make(chan struct{})
	finished := make(chan struct{})
	b.HandleCall("test.wait", func(ctx context.Context, _ hingeids.HostID, _ []byte) ([]byte, error) {
		close(started)
		<-ctx.Done()
		close(finished)
		return nil, ctx.Err()
	})
	ctx, cancel := context.WithCancel(run(t, a, b))
	go func() {
		<-started
		cancel()
	}()
	_, err := a.Call(ctx, "roscoff-1", "test.wait", nil)
	wantOutcome(t, err, linkMayHaveRun)
	if !errors.Is(err, context.Canceled) {
		t.Fatalf("the error does not wrap context.Canceled: %v", err)
	}
	<-finished
}

// Guards against unbounded memory for a peer's calls while handlers are blocked.
func TestConcurrentCallsAreBounded(t *testing.T) {
	a, b := newPair(t)
	started := make(chan struct{}, 2*maxConcurrentCalls)
	release := make(chan struct{})
	b.HandleCall("test.stuck", func(context.Context, hingeids.HostID, []byte) ([]byte, error) {
		started <- struct{}{}
		<-release
		return nil, nil
	})
	ctx := run(t, a, b)
	var group sync.WaitGroup
	for range maxConcurrentCalls {
		group.Go(func() {
			if _, err := a.Call(ctx, "roscoff-1", "test.stuck", nil); err != nil {
				t.Error(err)
			}
		})
	}
	for range maxConcurrentCalls {
		<-started
	}
	short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	_, err := a.Call(short, "roscoff-1", "test.stuck", nil)
	wantOutcome(t, err, linkNotRun)
	close(release)
	group.Wait()
	if diff := cmp.Diff(0, len(started)); diff != "" {
		t.Fatal(diff)
	}
	if _, err := a.Call(ctx, "roscoff-1", "test.stuck", nil); err != nil {
		t.Fatalf("after the burst: %v", err)
	}
}

func TestSizes(t *testing.T) {
	a, b := newPair(t)
	b.HandleCall("test.echo", echo)
	b.HandleCall("test.huge", func(context.Context, hingeids.HostID, []byte) ([]byte, error) {
		return make([]byte, MaxCall+1), nil
	})
	bodies := make(chan []byte, 1)
	b.HandleDatagram("test.datagramOfLongName", func(_ hingeids.HostID, body []byte) {
		select {
		case bodies <- body:
		default:
		}
	})
	ctx := run(t, a, b)
	largest := bytes.Repeat([]byte{7}, MaxCall)
	answer, err := a.Call(ctx, "roscoff-1", "test.echo", largest)
	if err != nil || !bytes.Equal(largest, answer) {
		t.Fatalf("the largest call came back as %d bytes, error %v", len(answer), err)
	}
	_, err = a.Call(ctx, "roscoff-1", "test.echo", append(largest, 7))
	wantOutcome(t, err, outcome{Verdict: hingeverdict.NotRun, Code: hingeverdict.CodeTooLarge})
	_, err = a.Call(ctx, "roscoff-1", "test.huge", nil)
	wantOutcome(t, err, outcome{Verdict: hingeverdict.MayHaveRun})

	a.Send("roscoff-1", "test.datagramOfLongName", largest[:MaxDatagram+1])
	for received := false; !received; {
		a.Send("roscoff-1", "test.datagramOfLongName", largest[:MaxDatagram])
		select {
		case body := <-bodies:
			received = true
			if diff := cmp.Diff(MaxDatagram, len(body)); diff != "" {
				t.Fatal(diff)
			}
		case <-time.After(50 * time.Millisecond):
			if ctx.Err() != nil {
				t.Fatal("no datagram arrived")
			}
		}
	}
}

// Guards against panics and unbounded allocation while parsing messages of
// unauthenticated processes.
func FuzzMessages(f *testing.F) {
	var b bytes.Buffer
	if _, err := writeMessage(&b, &callHeader{Method: "ledger.claim", Incarnation: 9}, []byte("body")); err != nil {
		f.Fatal(err)
	}
	f.Add(b.Bytes())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0, 0, 0, 1})
	f.Add([]byte{5, 0xa1, 1, 0x61, 'm'})
	f.Fuzz(func(t *testing.T, raw []byte) {
		var call, datagram callHeader
		body, err := readMessage(bytes.NewReader(raw), &call, func(size int) error {
			if size > MaxCall {
				t.Fatalf("%d bytes reserved", size)
			}
			if size > len(raw) {
				return eris.New("longer than what was sent")
			}
			return nil
		})
		if err == nil && len(body) > len(raw) {
			t.Fatalf("%d bytes of body from %d", len(body), len(raw))
		}
		_, _ = decodeDatagram(raw, &datagram)
	})
}

func BenchmarkCall(b *testing.B) {
	one, two := newPair(b)
	two.HandleCall("test.echo", echo)
	ctx := run(b, one, two)
	body := make([]byte, 200)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := one.Call(ctx, "roscoff-1", "test.echo", body); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkSend(b *testing.B) {
	one, two := newPair(b)
	two.HandleCall("test.echo", echo)
	ctx := run(b, one, two)
	if _, err := one.Call(ctx, "roscoff-1", "test.echo", nil); err != nil {
		b.Fatal(err)
	}
	body := make([]byte, 200)
	b.ReportAllocs()
	for b.Loop() {
		one.Send("roscoff-1", "test.beat", body)
	}
}
