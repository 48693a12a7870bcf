package hingefollow

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/link/hingelink"
)

// methodEntryHosts requests some of the entry hosts that follow a control host.
const methodEntryHosts hingelink.Method = "follow.entryHosts"

const (
	// maxEntryHosts is the number of entry hosts in a response, half of them of the requester's zone if there are as many.
	maxEntryHosts = 8
	// recentPoll is how long after its last poll an entry host is named. It exceeds the time of a long poll.
	recentPoll = longPollTime + responseGrace + time.Second
)

type entryHostsRequest struct {
	Zone hingeids.Zone `cbor:"1,keyasint,omitempty"`
}

type entryHostsResponse struct {
	Hosts []hingeids.HostID `cbor:"1,keyasint,omitempty"`
}

// follower is what a control host knows of an entry host that follows it.
type follower struct {
	lastPoll time.Time
	zone     hingeids.Zone
}

func (s *Source) handleEntryHosts(_ context.Context, from hingeids.HostID, body []byte) ([]byte, error) {
	var q entryHostsRequest
	if err := cbor.Unmarshal(body, &q); err != nil {
		return nil, eris.Wrap(err, "decode a request for entry hosts")
	}
	b, err := cbor.Marshal(entryHostsResponse{
		Hosts: s.sampleEntryHosts(s.clock(), from, q.Zone),
	})
	return b, eris.Wrap(err, "encode a response with entry hosts")
}

// sampleEntryHosts returns a random sample of the other entry hosts, those of a zone first. Map iteration begins anywhere, but
// not with equal probability; the shuffle spreads the requests of many hosts over all.
func (s *Source) sampleEntryHosts(now time.Time, except hingeids.HostID, zone hingeids.Zone) []hingeids.HostID {
	var same, others []hingeids.HostID
	s.mu.Lock()
	for h, f := range s.entryHosts {
		switch {
		case h == except || now.Sub(f.lastPoll) > recentPoll:
		case f.zone == zone:
			same = append(same, h)
		default:
			others = append(others, h)
		}
	}
	s.mu.Unlock()
	for _, list := range [][]hingeids.HostID{same, others} {
		rand.Shuffle(len(list), func(i, j int) {
			list[i], list[j] = list[j], list[i]
		})
	}
	fromSame := min(len(same), max(maxEntryHosts/2, maxEntryHosts-len(others)))
	fromOthers := min(len(others), maxEntryHosts-fromSame)
	return slices.Concat(same[:fromSame], others[:fromOthers])
}

// SampleEntryHosts requests some of the other entry hosts from the control hosts that the follower polls, the first of
// which usually answers. It returns nil if none does.
func (f *Follower) SampleEntryHosts(ctx context.Context) []hingeids.HostID {
	body, err := cbor.Marshal(entryHostsRequest{
		Zone: f.settings.Zone,
	})
	if err != nil {
		return nil
	}
	hosts := f.polledHosts()
	answers := make(chan []hingeids.HostID, len(hosts))
	callCtx, stop := context.WithCancel(ctx)
	defer stop()
	for _, h := range hosts {
		go func() {
			answers <- f.requestEntryHosts(callCtx, h, body)
		}()
	}
	for range hosts {
		if list := <-answers; len(list) > 0 {
			return list
		}
	}
	return nil
}

// requestEntryHosts returns nil for a host that doesn't answer; another one does.
func (f *Follower) requestEntryHosts(ctx context.Context, h hingeids.HostID, body []byte) []hingeids.HostID {
	b, err := f.link.Call(ctx, h, methodEntryHosts, body)
	if err != nil {
		return nil
	}
	var a entryHostsResponse
	if cbor.Unmarshal(b, &a) != nil {
		return nil
	}
	return a.Hosts
}

// polledHosts returns the control hosts that the follower polls.
func (f *Follower) polledHosts() []hingeids.HostID {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []hingeids.HostID
	for id, h := range f.hosts {
		if h.polling {
			out = append(out, id)
		}
	}
	return out
}
