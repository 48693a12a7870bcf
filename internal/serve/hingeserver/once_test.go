package hingeserver

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/membership/hingeannounce"
	"github.com/swifthinge/swifthinge/internal/standin/hingestandin"
)

func newServices(t *testing.T) *fleet {
	f := newFleet(t)
	for n, zone := range f.inventory.Zones {
		f.standin(hingestandin.Options{
			Server:    hingeids.ServerID(fmt.Sprintf("viviers-app-%d", n+1)),
			Kind:      hingeannounce.Service,
			Zone:      zone.Name,
			Heartbeat: 100 * time.Millisecond,
		})
	}
	f.configure()
	f.awaitUsableServers(f.order...)
	return f
}

// runs counts how often the calls with a key have run on all replicas.
func (f *fleet) runs(key string) int {
	n := 0
	for _, s := range f.standins {
		n += s.RunsOfKey(key)
	}
	return n
}

// Guards against a second run when callers resend a call with the same key to all hosts,
// concurrently and after failures of replicas.
func TestAKeyRunsAtMostOnceOverResendsToAllHosts(t *testing.T) {
	t.Parallel()
	f := newServices(t)
	for _, s := range f.standins {
		s.SetFault(hingestandin.CloseBeforeAnswer, 2)
	}
	for n := range 12 {
		key := fmt.Sprintf("lot-%d", n)
		var all sync.WaitGroup
		for _, id := range f.order {
			all.Go(func() {
				for range 3 {
					f.call(id, http.MethodGet, "/viviers/lots/17", key)
				}
			})
		}
		all.Wait()
		if got := f.runs(key); got > 1 {
			t.Errorf("key %s ran %d times", key, got)
		}
	}
}

// Guards against a second run, or a different answer, when a caller resends a call with the
// same key to another host.
func TestAResendGetsTheFirstAnswer(t *testing.T) {
	t.Parallel()
	f := newServices(t)
	first := f.call(f.order[0], http.MethodGet, "/viviers/lots/17", "k")
	if first.status != http.StatusOK {
		t.Fatalf("%+v", first)
	}
	for _, id := range f.order {
		if diff := cmp.Diff(first.body, f.call(id, http.MethodGet, "/viviers/lots/17", "k").body); diff != "" {
			t.Errorf("at %s: %s", id, diff)
		}
	}
	other := f.call(f.order[1], http.MethodGet, "/viviers/lots/18", "k")
	if other.status != http.StatusUnprocessableEntity || other.verdict != "notRun" {
		t.Errorf("the same key for another path: %+v", other)
	}
}

// Guards against a second run of a call whose first outcome is unknown, as its host was
// killed; the response must say so.
func TestAKilledHostsCallIsNotRunAgain(t *testing.T) {
	t.Parallel()
	f := newServices(t)
	for _, s := range f.standins {
		s.SetFault(hingestandin.Stall, 1)
	}
	lost := make(chan struct{})
	go func() {
		defer close(lost)
		// It is refused as not run until the ledger has a leader.
		for f.call(f.order[1], http.MethodGet, "/viviers/lots/17", "k").verdict == "notRun" && f.ctx.Err() == nil {
			time.Sleep(50 * time.Millisecond)
		}
	}()
	f.await("the call to run", 5*time.Second, func() error {
		if f.runs("k") != 1 {
			return fmt.Errorf("ran %d times", f.runs("k"))
		}
		return nil
	})
	f.kill(f.order[1])
	<-lost
	f.await("the key to be reported as uncertain", 10*time.Second, func() error {
		got := f.call(f.order[4], http.MethodGet, "/viviers/lots/17", "k")
		if got.status != http.StatusConflict || got.verdict != "mayHaveRun" {
			return fmt.Errorf("%+v", got)
		}
		if !strings.Contains(got.body, "1009") {
			return fmt.Errorf("not reported as uncertain yet: %s", got.body)
		}
		return nil
	})
	if got := f.runs("k"); got != 1 {
		t.Errorf("ran %d times", got)
	}
}

// Guards against a cut-off zone that runs a call with a key of another zone, where it may
// have run already.
func TestACutOffZoneServesItsOwnKeysAndRefusesOthers(t *testing.T) {
	t.Parallel()
	f := newServices(t)
	quiberon := f.order[6]
	var issued struct {
		Key string `json:"key"`
	}
	got := f.call(quiberon, http.MethodPost, "/v1/keys", "")
	if err := json.Unmarshal([]byte(got.body), &issued); err != nil || issued.Key == "" {
		t.Fatalf("%+v, %v", got, err)
	}
	f.cutZone("quiberon", true)
	time.Sleep(2 * time.Second)

	own := f.call(quiberon, http.MethodGet, "/viviers/lots/17", issued.Key)
	if own.status != http.StatusOK {
		t.Errorf("the zone's own key: %+v", own)
	}
	began := time.Now()
	free := f.call(quiberon, http.MethodGet, "/viviers/lots/17", "free")
	if free.status != http.StatusServiceUnavailable || free.verdict != "notRun" || free.retry == "" {
		t.Errorf("a free key: %+v", free)
	}
	if elapsed := time.Since(began); elapsed > time.Second {
		t.Errorf("the refusal took %v", elapsed)
	}
	elsewhere := f.call(f.order[0], http.MethodGet, "/viviers/lots/17", issued.Key)
	if elsewhere.status != http.StatusServiceUnavailable || elsewhere.verdict != "notRun" {
		t.Errorf("the zone's key in another zone: %+v", elsewhere)
	}
	plain := f.call(quiberon, http.MethodPut, "/viviers/tanks/3", "")
	if plain.status != http.StatusOK {
		t.Errorf("a call without a key: %+v", plain)
	}

	f.cutZone("quiberon", false)
	f.await("the zone to serve all keys again", 10*time.Second, func() error {
		if got := f.call(quiberon, http.MethodGet, "/viviers/lots/17", "free"); got.status != http.StatusOK {
			return fmt.Errorf("%+v", got)
		}
		return nil
	})
	if f.runs("free") != 1 || f.runs(issued.Key) != 1 {
		t.Errorf("ran %d and %d times", f.runs("free"), f.runs(issued.Key))
	}
}

// Guards against a second run of a call whose key was issued by a host that has lost its
// disk.
func TestKeyOwnerThatLostItsDiskMakesItsKeysUncertain(t *testing.T) {
	t.Parallel()
	f := newServices(t)
	cancale := f.order[0]
	var issued struct {
		Key string `json:"key"`
	}
	got := f.call(cancale, http.MethodPost, "/v1/keys", "")
	if err := json.Unmarshal([]byte(got.body), &issued); err != nil {
		t.Fatalf("%+v, %v", got, err)
	}
	if got := f.call(cancale, http.MethodGet, "/viviers/lots/17", issued.Key); got.status != http.StatusOK {
		t.Fatalf("%+v", got)
	}
	f.kill(cancale)
	f.loseDisk(cancale)
	f.start(cancale)
	f.await("the key owner to respond again", 10*time.Second, func() error {
		got := f.call(f.order[1], http.MethodGet, "/viviers/lots/17", issued.Key)
		if got.status != http.StatusConflict || got.verdict != "mayHaveRun" {
			return fmt.Errorf("%+v", got)
		}
		return nil
	})
	if got := f.runs(issued.Key); got != 1 {
		t.Errorf("ran %d times", got)
	}
}
