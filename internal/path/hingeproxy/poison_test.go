package hingeproxy

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/decide/hingefleet"
)

// crashing is a server that ends when it runs a request whose path has poison in it, and is back at once under another
// name. Ended counts the ends.
func crashing(t *testing.T, id hingeids.ServerID, kind hingefleet.Role, w func() *world, ended *atomic.Int32) *standin {
	t.Helper()
	s := newStandin(t, id, kind, nil)
	s.behave = func(_ int, q *http.Request, c net.Conn) bool {
		if !strings.Contains(q.URL.Path, "poison") || q.Header.Get("Prefill") != "" {
			return false
		}
		if kind == hingefleet.Decode {
			beginStream(c, q)
			events(c, from(q), 1, false)
		}
		_ = s.listener.Close()
		n := ended.Add(1)
		w().replace(s, crashing(t, hingeids.ServerID(fmt.Sprint(id, ".", n)), kind, w, ended))
		return true
	}
	return s
}

// One request ends each server that runs it, and its caller sends it again and again under new ids, at whatever entry host. Every
// server ends, one after the other, with all that others have there: each host sees a new request each time.
func TestRequestThatEndsServersIsStoppedOverAllHosts(t *testing.T) {
	for _, target := range []string{"/dossier/poison", "/health/poison", "/lookup/poison", "/status/poison"} {
		t.Run(target, func(t *testing.T) {
			var doors []*door
			var ended atomic.Int32
			w := func() *world {
				return doors[0].world
			}
			doors = newDoors(t, 3,
				newStandin(t, "prefill-1", hingefleet.Prefill, nil),
				crashing(t, "decode-1", hingefleet.Decode, w, &ended),
				crashing(t, "decode-2", hingefleet.Decode, w, &ended),
				crashing(t, "decode-3", hingefleet.Decode, w, &ended),
				crashing(t, "app-1", 0, w, &ended),
				crashing(t, "app-2", 0, w, &ended),
			)
			var last got
			for i := range 12 {
				last = doors[i%len(doors)].ask(target)
				time.Sleep(50 * time.Millisecond)
			}
			if n := ended.Load(); n > 3 {
				t.Errorf("%d servers ended, 3 are enough to know", n)
			}
			if last.Status != http.StatusServiceUnavailable || !last.RetryAfter {
				t.Errorf("its caller gets %+v, want 503 with a time to come back", last)
			}
			for _, other := range []string{"/dossier/7", "/lookup/7"} {
				if g := doors[1].ask(other); g.Status != http.StatusOK || !g.Whole {
					t.Errorf("another request gets %+v", g)
				}
			}
		})
	}
}
