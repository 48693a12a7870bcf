package hingeproxy

import (
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/swifthinge/swifthinge/internal/config/hingecustomers"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
	"github.com/swifthinge/swifthinge/internal/path/hingewire"
)

// recorded keeps the events of a number.
type recorded struct {
	mu     sync.Mutex
	events []hingeevents.Fields
}

func record(d *door, n hingeevents.Number) *recorded {
	r := &recorded{}
	d.proxy.settings.Recorder = hingeevents.NewRecorderTo(d.proxy.settings.Self, func(e hingeevents.Event) {
		if e.Number == n {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.events = append(r.events, e.Fields)
		}
	}, time.Now)
	return r
}

func (r *recorded) servers() []hingeids.ServerID {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []hingeids.ServerID
	for _, f := range r.events {
		out = append(out, f.Server)
	}
	return out
}

// crash has a server end as it runs a request: its connection breaks, and its address takes none any more.
func crash(s *standin) behaviour {
	return func(int, *http.Request, net.Conn) bool {
		_ = s.listener.Close()
		return true
	}
}

// A link between zones flaps and cuts connections of servers that are well. To an operator this must not look like
// servers that end, nor the other way round.
func TestServerThatEndedIsToldFromAConnectionThatWasCut(t *testing.T) {
	a := newStandin(t, "app-1", 0, nil)
	d := newDoor(t, a)
	r := record(d, hingeevents.ServerEnded)
	a.behave = cut
	d.ask("/status/1")
	if got := r.servers(); len(got) != 0 {
		t.Errorf("a cut connection is told as the end of %v", got)
	}
	a.behave = crash(a)
	d.ask("/status/2")
	if diff := cmp.Diff([]hingeids.ServerID{"app-1"}, r.servers()); diff != "" {
		t.Error(diff)
	}
}

// A caller sends the same again under a new id, at another host, on another connection. Somebody else's request of the
// same words is another one.
func TestPrintIsOfWhatIsSentAgain(t *testing.T) {
	request := func(change func(r *hingewire.Request)) *hingewire.Request {
		r := &hingewire.Request{
			Method: http.MethodPost,
			Target: "/dossier/7",
			Host:   "quay.example",
			Header: http.Header{
				"Id": {"1"},
			},
			Body: []byte("body"),
		}
		change(r)
		return r
	}
	same := func(*hingewire.Request) {}
	first := printOf(request(same), nil)
	for name, c := range map[string]struct {
		request  *hingewire.Request
		customer *hingecustomers.Customer
		equal    bool
	}{
		"another attempt": {
			request: request(func(r *hingewire.Request) {
				r.Header = http.Header{
					"Id":    {"2"},
					"After": {"9"},
				}
				r.Host = "Quay.example:80"
			}),
			equal: true,
		},
		"another path": {
			request: request(func(r *hingewire.Request) {
				r.Target = "/dossier/8"
			}),
		},
		"another body": {
			request: request(func(r *hingewire.Request) {
				r.Body = []byte("bodies")
			}),
		},
		"a part moved over": {
			request: request(func(r *hingewire.Request) {
				r.Target = "/dossier/7b"
				r.Body = []byte("ody")
			}),
		},
		"another customer": {
			request: request(same),
			customer: &hingecustomers.Customer{
				Name: "depot",
			},
		},
	} {
		if got := printOf(c.request, c.customer); (got == first) != c.equal || got == 0 {
			t.Errorf("%s: print %v, the first has %v", name, got, first)
		}
	}
}

func BenchmarkPrint(b *testing.B) {
	for name, size := range map[string]int{
		"4KB":   4 << 10,
		"200KB": 200 << 10,
	} {
		b.Run(name, func(b *testing.B) {
			r := &hingewire.Request{
				Method: http.MethodPost,
				Target: "/dossier/7",
				Host:   "quay.example",
				Body:   make([]byte, size),
			}
			b.ReportAllocs()
			for b.Loop() {
				printOf(r, nil)
			}
		})
	}
}
