package hingefront_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/swifthinge/swifthinge/internal/agreement/hingeversion"
	"github.com/swifthinge/swifthinge/internal/capacity/hingeorders"
	"github.com/swifthinge/swifthinge/internal/config/hingeroutes"
	"github.com/swifthinge/swifthinge/internal/core/hingeclock"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/decide/hingeretry"
	"github.com/swifthinge/swifthinge/internal/membership/hingeannounce"
	"github.com/swifthinge/swifthinge/internal/path/hingeproxy"
	"github.com/swifthinge/swifthinge/internal/path/hingewire"
	"github.com/swifthinge/swifthinge/internal/serve/hingecontrol"
	"github.com/swifthinge/swifthinge/internal/serve/hingefront"
)

// plainDialect passes headers on as they are.
type plainDialect struct{}

func (plainDialect) RequestInfo(h http.Header) hingeproxy.RequestInfo {
	return hingeproxy.RequestInfo{
		ID:      hingeproxy.RequestID(h.Get("Id")),
		MaxWait: time.Second,
	}
}

func (plainDialect) OutgoingHeaders(h http.Header, _ hingeproxy.ForwardInfo) http.Header {
	return h
}

func (plainDialect) Reply(r *http.Response) hingeproxy.Reply {
	return hingeproxy.Reply{
		ID:     hingeproxy.RequestID(r.Header.Get("Id")),
		Sealed: true,
	}
}

func (plainDialect) Cache(string, []byte) (hingeproxy.Cache, error) {
	return hingeproxy.Cache{}, nil
}

func (plainDialect) FreeCall(hingeproxy.Cache) (method, path string) {
	return "", ""
}

func (plainDialect) OwnHeaders(id hingeproxy.RequestID) http.Header {
	return http.Header{
		"Id": {string(id)},
	}
}

// pathState is what happens to connections from one host to backend servers.
type pathState int32

const (
	pathOpen pathState = iota
	pathHangs
	pathRefuses
)

// cuttableDialer is the path from one host to all backend servers.
type cuttableDialer struct {
	state atomic.Int32
	// opened counts the connections that were opened.
	opened atomic.Int64
}

func (d *cuttableDialer) DialServer(ctx context.Context, address string) (net.Conn, error) {
	switch pathState(d.state.Load()) {
	case pathHangs:
		timer := time.NewTimer(200 * time.Millisecond)
		defer timer.Stop()
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		return nil, &net.OpError{
			Op:  "dial",
			Err: syscall.ETIMEDOUT,
		}
	case pathRefuses:
		return nil, &net.OpError{
			Op:  "dial",
			Err: syscall.ECONNREFUSED,
		}
	}
	d.opened.Add(1)
	return hingewire.Direct{}.DialServer(ctx, address)
}

// testFleet is one control host, entry hosts and two replicas of a service in one process.
type testFleet struct {
	t       *testing.T
	control *hingecontrol.Control
	fronts  []*hingefront.Front
	dialers []*cuttableDialer
	callers []string
	runs    atomic.Int64
	sent    atomic.Int64
}

// hostCount numbers the hosts of all tests of this process.
var hostCount atomic.Int64

// hostIP returns a loopback address that no other host of a test uses, so that nobody else is given a port of it that is free.
func hostIP() string {
	n := int(hostCount.Add(1))
	return fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%64, os.Getpid()/64%256, 1+n%250)
}

func freePort(t *testing.T, network, ip string) string {
	t.Helper()
	if network == "udp" {
		c, err := net.ListenPacket("udp4", ip+":0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() {
			_ = c.Close()
		}()
		return c.LocalAddr().String()
	}
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		_ = l.Close()
	}()
	return l.Addr().String()
}

func testTable([]byte) (*hingeroutes.Table, error) {
	t := &hingeroutes.Table{
		Version: 1,
		Routes: []hingeroutes.Route{
			{
				Name:          "status",
				Host:          "quay.example",
				Prefix:        "/status/",
				Kind:          hingeroutes.AtMostOnce,
				Timeout:       time.Second,
				LatencyTarget: 300 * time.Millisecond,
				Attempts:      1,
				Shares: []hingeroutes.Share{
					{
						Service: "app",
						Weight:  1,
					},
				},
			},
		},
		Services: map[hingeids.Service]hingeroutes.Service{
			"app": {},
		},
	}
	t.Index()
	return t, nil
}

func newFleet(t *testing.T, entryHosts int) *testFleet {
	t.Helper()
	f := &testFleet{
		t: t,
	}
	addresses := map[hingeids.HostID]string{
		"control-1": freePort(t, "udp", hostIP()),
	}
	for i := range entryHosts {
		addresses[entryID(i)] = freePort(t, "udp", hostIP())
	}
	addressOf := func(h hingeids.HostID) (string, error) {
		return addresses[h], nil
	}
	ctx, stop := context.WithCancel(context.Background())
	var err error
	f.control, err = hingecontrol.New(ctx, hingecontrol.Options{
		Instance: hingeids.Instance{
			Host:        "control-1",
			Incarnation: 1,
		},
		Zone:        "cancale",
		LinkAddress: addresses["control-1"],
		AddressOf:   addressOf,
		Seeds:       []hingeids.HostID{"control-1"},
		FirstStart:  true,
		Voters:      1,
		DataFolder:  t.TempDir(),
		Parse:       testTable,
		NewEngines: func(func(hingeids.ServerID) (string, bool)) hingeorders.Engines {
			return nil
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = f.control.Run(ctx)
	}()
	for i := range entryHosts {
		f.addEntryHost(ctx, i, addresses[entryID(i)], addressOf)
	}
	t.Cleanup(func() {
		stop()
		<-f.control.Done()
		for _, x := range f.fronts {
			<-x.Done()
		}
	})
	f.await("a leader", func() bool {
		return f.control.ProposeDocument(ctx, hingeversion.Document{
			Version: 1,
			Body:    []byte("{}"),
		}) == nil
	})
	for i := range 2 {
		f.addReplica(ctx, i)
	}
	f.await("ready hosts that know both replicas", func() bool {
		for _, x := range f.fronts {
			if !x.Ready() || x.ServerCount("app") != 2 || x.EntryHosts() < entryHosts {
				return false
			}
		}
		return true
	})
	return f
}

func entryID(i int) hingeids.HostID {
	return hingeids.HostID(fmt.Sprint("entry-", i+1))
}

func (f *testFleet) addEntryHost(ctx context.Context, i int, link string, addressOf func(hingeids.HostID) (string, error)) {
	d := &cuttableDialer{}
	listen := freePort(f.t, "tcp", hostIP())
	x, err := hingefront.New(hingefront.Options{
		Instance: hingeids.Instance{
			Host:        entryID(i),
			Incarnation: 1,
		},
		Zone:        "cancale",
		Listen:      listen,
		LinkAddress: link,
		AddressOf:   addressOf,
		Seeds:       []hingeids.HostID{"control-1"},
		Dialect:     plainDialect{},
		Parse:       testTable,
		RetryBudget: hingeretry.FleetLimits{
			PerRequest: 0.2,
			Burst:      20,
			Window:     10 * time.Second,
		},
		Grace:  time.Second,
		Dialer: d,
	})
	if err != nil {
		f.t.Fatal(err)
	}
	f.fronts = append(f.fronts, x)
	f.dialers = append(f.dialers, d)
	f.callers = append(f.callers, listen)
	go func() {
		_ = x.Run(ctx)
	}()
}

// addReplica starts a replica that answers each request, and announces it four times a second.
func (f *testFleet) addReplica(ctx context.Context, i int) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() {
		_ = l.Close()
	})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go f.serveReplica(c)
		}
	}()
	go func() {
		for sequence := uint64(1); ctx.Err() == nil; sequence++ {
			_ = f.control.Announce(context.Background(), hingeclock.BootTime(), hingeannounce.Announcement{
				Server:      hingeids.ServerID(fmt.Sprint("app-", i+1)),
				Incarnation: 1,
				Sequence:    sequence,
				Kind:        hingeannounce.Service,
				Address:     l.Addr().String(),
				Zone:        "cancale",
				Service:     "app",
				Slots:       8,
			})
			time.Sleep(250 * time.Millisecond)
		}
	}()
}

func (f *testFleet) serveReplica(c net.Conn) {
	defer func() {
		_ = c.Close()
	}()
	q, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, q.Body)
	f.runs.Add(1)
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 14\r\n\r\nlot 7 is alive", q.Header.Get("Id"))
}

func (f *testFleet) await(what string, reached func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !reached(); {
		if time.Now().After(deadline) {
			f.t.Fatalf("no %s within 10 s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// send sends one request to an entry host and reports whether it was served in time.
func (f *testFleet) send(entry int) bool {
	q, err := http.NewRequestWithContext(f.t.Context(), http.MethodPost,
		"http://"+f.callers[entry]+"/status/7", strings.NewReader("lot 7"))
	if err != nil {
		f.t.Fatal(err)
	}
	q.Host = "quay.example"
	q.Header.Set("Id", fmt.Sprint("request-", f.sent.Add(1)))
	start := time.Now()
	a, err := (&http.Client{
		Transport: &http.Transport{
			DisableKeepAlives: true,
		},
		Timeout: time.Second,
	}).Do(q)
	if err != nil {
		return false
	}
	defer func() {
		_ = a.Body.Close()
	}()
	_, err = io.ReadAll(a.Body)
	return err == nil && a.StatusCode == http.StatusOK && time.Since(start) < 300*time.Millisecond
}

// share sends n requests to each of the given entry hosts in turn and returns the share that was served.
func (f *testFleet) share(n int, entries ...int) float64 {
	served := 0
	for range n {
		for _, e := range entries {
			if f.send(e) {
				served++
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	return float64(served) / float64(n*len(entries))
}

// Guards against callers who are failed because their entry host can't reach any backend server, although the other hosts
// can, and against other hosts that are kept from servers by what such a host observes.
func TestCallersOfHostWithoutPathAreServed(t *testing.T) {
	for _, test := range []struct {
		name  string
		state pathState
		cut   []int
		open  []int
	}{
		{
			name:  "connections hang",
			state: pathHangs,
			cut:   []int{0},
			open:  []int{1, 2},
		},
		{
			name:  "connections are refused",
			state: pathRefuses,
			cut:   []int{0},
			open:  []int{1, 2},
		},
		{
			name:  "most hosts are cut off",
			state: pathHangs,
			cut:   []int{0, 1},
			open:  []int{2},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(t, 3)
			if got := f.share(10, 0, 1, 2); got < 0.9 {
				t.Fatalf("%.2f of the requests are served before the cut", got)
			}
			for _, i := range test.cut {
				f.dialers[i].state.Store(int32(test.state))
			}
			// The hosts have half a second to find out.
			f.share(10, append(test.cut, test.open...)...)
			time.Sleep(300 * time.Millisecond)
			if got := f.share(30, test.cut...); got < 0.95 {
				t.Errorf("%.2f of the requests are served at hosts that are cut off, want 0.95", got)
			}
			if got := f.share(30, test.open...); got < 0.95 {
				t.Errorf("%.2f of the requests are served at the other hosts, want 0.95", got)
			}
			for _, i := range test.cut {
				f.dialers[i].state.Store(int32(pathOpen))
			}
			time.Sleep(300 * time.Millisecond)
			f.share(20, test.cut...)
			opened := f.dialers[test.cut[0]].opened.Load()
			if got := f.share(20, test.cut...); got < 0.95 {
				t.Errorf("%.2f of the requests are served after the cut, want 0.95", got)
			}
			if got := f.dialers[test.cut[0]].opened.Load() - opened; got < 20 {
				t.Errorf("after the cut the host opened %d connections itself, want 20", got)
			}
		})
	}
}
