package hingenotice

import (
	"fmt"
	"math"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

var start = time.Unix(1000, 0)

// Guards against header values that stop the router, or that hold a server back without its wish.
func TestValuesThatCantBeReadCountAsAbsent(t *testing.T) {
	b, err := os.ReadFile("testdata/values.txt")
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(b)) {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		kind, rest, _ := strings.Cut(line, ": ")
		values, want, _ := strings.Cut(rest, " -> ")
		list := strings.Split(values, " | ")
		for i, v := range list {
			list[i] = strings.Trim(v, `"`)
		}
		if got := parsed(kind, list); got != want {
			t.Errorf("%s: got %s, want %s", line, got, want)
		}
	}
}

func parsed(kind string, list []string) string {
	var got any
	var err error
	switch kind {
	case "limit":
		got, err = ParseRateLimit(list)
	case "backoff":
		got, err = ParseBackoff(list)
	case "leaving":
		got, err = ParseLeaving(list)
	default:
		return "unknown kind"
	}
	if err != nil {
		return "unread"
	}
	return fmt.Sprint(got)
}

// Guards against a limit that is raised or removed by an answer that was on its way when the limit was named, and
// against one that stays once the server has changed its mind.
func TestLimitIsEasedByLaterRequestsOnly(t *testing.T) {
	at := func(ms int) time.Time {
		return start.Add(time.Duration(ms) * time.Millisecond)
	}
	var got []hingeids.RequestsPerSecond
	var l Limiter
	for _, answer := range []struct {
		sent, received int
		limit          hingeids.RequestsPerSecond
	}{
		{sent: 0, received: 500, limit: 5},
		{sent: 400, received: 510, limit: 0},
		{sent: 400, received: 520, limit: 9},
		{sent: 300, received: 530, limit: 2},
		{sent: 600, received: 620, limit: 3},
		{sent: 700, received: 720, limit: 0},
		{sent: 650, received: 730, limit: 4},
		{sent: 800, received: 830, limit: 0},
	} {
		l.Update(at(answer.received), at(answer.sent), answer.limit)
		got = append(got, l.rate)
	}
	want := []hingeids.RequestsPerSecond{5, 5, 5, 2, 3, 0, 4, 0}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatal(diff)
	}
}

const window = 4 * time.Second

// mostIn returns the largest number of times within a window.
func mostIn(times []time.Time) int {
	slices.SortFunc(times, time.Time.Compare)
	most, from := 0, 0
	for i, t := range times {
		for t.Sub(times[from]) >= window {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// Guards against hosts that place locally, don't hear each other, and exceed a server's limit together: at the moment
// in which the placer fails, and as long as it is missing.
func TestLocalPartsStayWithinTheLimit(t *testing.T) {
	for _, hosts := range []int{6, 74, 300, 985, 5000} {
		for _, limit := range []hingeids.RequestsPerSecond{0.1, 1, 6, 20, 100} {
			for draw := range 6 {
				var times []time.Time
				for h := range hosts {
					l := Limiter{}
					l.SetPart(hingeids.ServerID(fmt.Sprint("server-", draw)), Part{
						Hosts: hosts,
						Host:  hingeids.HostID(fmt.Sprint("entry-", h)),
					})
					l.Update(start, start, limit)
					// The placer fails after a time without local requests.
					for now := start.Add(20 * time.Second); now.Before(start.Add(40 * time.Second)); now = now.Add(200 * time.Millisecond) {
						if !now.Before(l.HeldUntil(now)) {
							l.RecordSend(now)
							times = append(times, now)
						}
					}
				}
				// The rule of the users: one and a half times the limit, and five requests.
				if n, most := mostIn(times), 1.5*float64(limit)*window.Seconds()+5; float64(n) > most {
					t.Errorf("%d hosts, limit %v, draw %d: %d requests in %v, at most %.0f allowed", hosts, limit, draw, n, window, most)
				}
			}
		}
	}
}

// Guards against a limit that starves its server: it is used in full while there is demand.
func TestLimitIsUsedInFull(t *testing.T) {
	const length = 40 * time.Second
	for _, limit := range []hingeids.RequestsPerSecond{0.5, 1, 6.7, 50} {
		var l Limiter
		l.Update(start, start, limit)
		var times []time.Time
		for now := start; now.Before(start.Add(length)); now = now.Add(20 * time.Millisecond) {
			for !now.Before(l.HeldUntil(now)) {
				l.RecordSend(now)
				times = append(times, now)
			}
		}
		share := float64(len(times)) / (float64(limit) * length.Seconds())
		if math.Abs(share-0.98) > 0.04 {
			t.Errorf("limit %v: %.2f of it used", limit, share)
		}
		if n, most := mostIn(times), float64(limit)*(window+burstTime).Seconds()+1; float64(n) > most {
			t.Errorf("limit %v: %d requests in %v, want at most %.1f", limit, n, window, most)
		}
	}
}

// Guards against a successor at the same address that inherits its predecessor's limit or frees it.
func TestStatementsBelongToOneIncarnation(t *testing.T) {
	var r Restrictions
	r.Update(start, start, "app-1", Notice{
		RateLimit: 2,
		Leaving:   true,
	})
	later := start.Add(time.Minute)
	r.Update(later, later, "app-1.2", Notice{})
	if _, restricted := r.Get("app-1.2").Rate(later); restricted {
		t.Error("the successor is restricted")
	}
	if !r.Get("app-1").Leaving(later) {
		t.Error("the successor's answer has eased the restriction")
	}
}

// Guards against a server that gets no requests for ever after it has stated once that it leaves, and against one that
// is thought to stay because of an answer that was on its way.
func TestServerThatStaysIsUsedAgain(t *testing.T) {
	leaving := Notice{
		Leaving: true,
	}
	var r Restrictions
	r.Update(start, start, "app-1", leaving)
	r.Update(start.Add(10*time.Millisecond), start.Add(-time.Millisecond), "app-1", Notice{})
	if !r.Get("app-1").Leaving(start.Add(keepTime - time.Second)) {
		t.Error("eased by an earlier request")
	}
	if now := start.Add(keepTime); r.Get("app-1").Leaving(now) || now.Before(r.Get("app-1").HeldUntil(now)) {
		t.Errorf("still held back after %v", keepTime)
	}
	r.Update(start.Add(time.Second), start.Add(500*time.Millisecond), "app-1", Notice{})
	if r.Get("app-1").Leaving(start.Add(time.Second)) {
		t.Error("not eased by a later request")
	}
}

// Guards against a service that counts as refusing all requests of a host because of servers that are gone.
func TestPausesOfServersThatAreGoneDoNotCount(t *testing.T) {
	var k Known
	for _, id := range []hingeids.ServerID{"app-1", "app-2", "other-1"} {
		k.Update(start, start, Subject{
			Service: hingeids.Service(strings.Split(string(id), "-")[0]),
			Server:  id,
		}, Notice{
			Backoff: time.Minute,
		})
	}
	usable := func(id hingeids.ServerID) bool {
		return id != "app-1"
	}
	list, count, first := k.Backoffs(start, "app", usable, 8)
	if diff := cmp.Diff([]hingeids.ServerID{"app-2"}, list); diff != "" || count != 1 || !first.Equal(start.Add(time.Minute)) {
		t.Errorf("%s, %d in all, the first until %v", diff, count, first)
	}
}
