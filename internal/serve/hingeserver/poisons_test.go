package hingeserver

import (
	"context"
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
	"github.com/swifthinge/swifthinge/internal/decide/hingepoison"
	"github.com/swifthinge/swifthinge/internal/link/hingefake"
)

// endedEngines counts the stand-ins that a request has ended.
func (s *script) endedEngines() int {
	n := 0
	for _, e := range s.engines {
		select {
		case <-e.Ended():
			n++
		default:
		}
	}
	return n
}

// A prompt ends each engine that begins to answer it, and a call each replica. Their callers send them again and again, as new
// requests; without a count over requests every engine and replica would end.
func TestRequestThatEndsServersIsStopped(t *testing.T) {
	s := newScript(t)
	for i := range 6 {
		if err := s.engine([]string{fmt.Sprint("engine-", i), "both", "poison=poison"}); err != nil {
			t.Fatal(err)
		}
		if err := s.engine([]string{fmt.Sprint("replica-", i), "service", "poison=poison"}); err != nil {
			t.Fatal(err)
		}
	}
	var last *reading
	for i := range 8 {
		name := fmt.Sprint("poison-", i)
		if err := s.ask([]string{name, "prompt=poison"}); err != nil {
			t.Fatal(err)
		}
		last = s.answers[name]
		<-last.done
	}
	if n := s.endedEngines(); n != 3 {
		t.Errorf("%d engines ended", n)
	}
	if last.status != 503 || last.verdict != "notRun" {
		t.Errorf("its caller gets status %d, %s", last.status, last.verdict)
	}
	for i := range 8 {
		want := "status=502"
		if i >= 3 {
			want = "status=503"
		}
		if err := s.call([]string{"POST", "/app/poison", want}); err != nil {
			t.Errorf("call %d: %v", i, err)
		}
	}
	if n := s.endedEngines(); n != 6 {
		t.Errorf("%d servers ended in all", n)
	}
	// Servers that ended are noticed by their silence.
	if err := eventually(func() error {
		if err := s.ask([]string{"other"}); err != nil {
			return err
		}
		if err := s.answered([]string{"other", "whole"}); err != nil {
			return err
		}
		return s.call([]string{"POST", "/app/other", "status=200"})
	}); err != nil {
		t.Error(err)
	}
}

// hosts are the parts of some entry hosts that find requests that end servers.
func hosts(t *testing.T, n int) []*poisons {
	t.Helper()
	network := hingefake.NewNetwork()
	var names []hingeids.HostID
	for i := range n {
		names = append(names, hingeids.HostID("entry-"+strconv.Itoa(i)))
	}
	var out []*poisons
	for _, name := range names {
		out = append(out, startPoisons(t, network, name, names))
	}
	return out
}

func startPoisons(t *testing.T, network *hingefake.Network, self hingeids.HostID, all []hingeids.HostID) *poisons {
	t.Helper()
	var peers []hingeids.HostID
	for _, h := range all {
		if h != self {
			peers = append(peers, h)
		}
	}
	p := newPoisons(network.Link(self), peers, nil, func(hingeids.Service) int {
		return 9
	}, func(hingeids.ServerID) bool {
		return false
	})
	ctx, stop := context.WithCancel(context.Background())
	go func() {
		_ = p.run(ctx)
	}()
	t.Cleanup(func() {
		stop()
		<-p.done
	})
	return p
}

// Each attempt comes at another host. Every host sees one engine end, and none would know on its own.
func TestHostsTellEachOtherOfServersThatEnded(t *testing.T) {
	all := hosts(t, 4)
	for i := range 3 {
		now := time.Now()
		all[i].mu.Lock()
		e := hingepoison.Crash{
			Fingerprint: 7,
			Server:      hingeids.ServerID(fmt.Sprint("engine-", i)),
			Service:     "m",
			Held:        100 * time.Millisecond,
		}
		all[i].tell(now, e)
		all[i].news.Ends = append(all[i].news.Ends, e)
		all[i].changed()
		all[i].mu.Unlock()
	}
	time.Sleep(5 * poisonGather)
	for i, p := range all {
		if _, refused := p.Evaluate(t.Context(), 7, "m"); refused == nil || refused.Code != hingeverdict.CodePoison || refused.RetryAfter <= 0 {
			t.Errorf("host %d: %v", i, refused)
		}
	}
	time.Sleep(5 * poisonGather)
	all[3].HandleCompletion(7)
	time.Sleep(5 * poisonGather)
	for i, p := range all {
		if _, refused := p.Evaluate(t.Context(), 7, "m"); refused != nil {
			t.Errorf("host %d after a whole answer: %v", i, refused)
		}
	}
}

// A host starts again after a request was found. It asks what others refuse, or three more engines would end at its hands.
func TestHostThatStartsAsksWhatOthersRefuse(t *testing.T) {
	network := hingefake.NewNetwork()
	names := []hingeids.HostID{"entry-0", "entry-1"}
	first := startPoisons(t, network, names[0], names)
	first.mu.Lock()
	first.put(hingepoison.Record{
		Fingerprint: 7,
		Since:       time.Now().UnixMilli(),
	})
	first.mu.Unlock()
	second := startPoisons(t, network, names[1], names)
	time.Sleep(5 * poisonGather)
	if _, refused := second.Evaluate(t.Context(), 7, "m"); refused == nil {
		t.Error("it lets the request through")
	}
}

// A rack ends with thousands of requests. What doesn't fit a datagram would be lost without a word.
func TestNewsFitDatagrams(t *testing.T) {
	var n poisonNews
	for i := range 100 {
		id := hingeids.ServerID(fmt.Sprintf("engine-with-a-long-name-of-a-zone-%d", i)).WithIncarnation(1_700_000_000_000_000_000)
		n.Ends = append(n.Ends, hingepoison.Crash{
			Fingerprint: hingeids.Fingerprint(1<<63 + uint64(i)),
			Server:      id,
			Service:     "a-model-with-a-long-name",
			Caller:      "a-customer-with-a-long-name",
			Ago:         time.Hour,
			Held:        time.Hour,
		})
		n.Records = append(n.Records, hingepoison.Record{
			Fingerprint: hingeids.Fingerprint(1<<63 + uint64(i)),
			Service:     "a-model-with-a-long-name",
			Caller:      "a-customer-with-a-long-name",
			Servers:     []hingeids.ServerID{id, id, id, id},
			Crashes:     4,
			First:       time.Now().UnixMilli(),
			Since:       time.Now().UnixMilli(),
		})
	}
	for _, b := range n.messages() {
		if len(b) > 1100 {
			t.Errorf("a message of %d bytes", len(b))
		}
	}
}
