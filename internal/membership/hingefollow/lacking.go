package hingefollow

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/link/hingelink"
	"github.com/swifthinge/swifthinge/internal/membership/hingeannounce"
)

const methodFetch hingelink.Method = "follow.fetch"

const (
	// minFetchDelay is the shortest time from a digest to a fetch of its record, which usually
	// arrives by itself.
	minFetchDelay = 100 * time.Millisecond
	// fetchTimeout bounds a fetch; the records are then fetched from another sender.
	fetchTimeout = time.Second
	// maxLacking bounds the records that are waited for. Further digests are dropped, which
	// matters only if their records never arrive otherwise.
	maxLacking = 1 << 16
)

type fetchRequest struct {
	Digests []hingeannounce.Digest `cbor:"1,keyasint"`
}

type fetchResponse struct {
	Records []hingeannounce.Record `cbor:"1,keyasint,omitempty"`
}

// lacking holds the digests of records that a follower didn't have when it received them.
type lacking struct {
	records map[hingeannounce.Digest]*lackingRecord
	// fetching is set while a fetch runs.
	fetching bool
}

type lackingRecord struct {
	since time.Time
	// senders are the hosts that sent the digest and may still have the record.
	senders []hingeids.HostID
}

func newLacking() lacking {
	return lacking{
		records: make(map[hingeannounce.Digest]*lackingRecord),
	}
}

// noteDigests notes the records that a host has and this one lacks. The caller holds the lock.
func (f *Follower) noteDigests(now time.Time, from hingeids.HostID, digests []hingeannounce.Digest) {
	for _, g := range digests {
		if f.settings.Holds(g) {
			continue
		}
		r := f.lacking.records[g]
		if r == nil {
			if len(f.lacking.records) >= maxLacking {
				return
			}
			r = &lackingRecord{
				since: now,
			}
			f.lacking.records[g] = r
		}
		if !slices.Contains(r.senders, from) {
			r.senders = append(r.senders, from)
		}
	}
}

// startFetch fetches overdue records from one of the hosts that have them (rule 10).
func (f *Follower) startFetch(ctx context.Context, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lacking.fetching {
		return
	}
	from, digests := f.overdue(now)
	if len(digests) == 0 {
		return
	}
	f.lacking.fetching = true
	f.pollers.Go(func() {
		for len(digests) > 0 && f.fetch(ctx, from, digests) {
			f.mu.Lock()
			from, digests = f.overdue(f.settings.Clock())
			f.mu.Unlock()
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		f.lacking.fetching = false
	})
}

// overdue returns a host and the overdue records to fetch from it. It forgets the records that have
// arrived. While the first host still sends records, nothing is overdue. The caller holds the lock.
func (f *Follower) overdue(now time.Time) (hingeids.HostID, []hingeannounce.Digest) {
	var from hingeids.HostID
	var digests []hingeannounce.Digest
	sending := f.isSending(now)
	delay := f.fetchDelay()
	for _, g := range slices.Sorted(maps.Keys(f.lacking.records)) {
		r := f.lacking.records[g]
		if f.settings.Holds(g) || !f.hasSender(r) {
			delete(f.lacking.records, g)
			continue
		}
		if sending || now.Sub(r.since) < delay || len(digests) == maxRecords {
			continue
		}
		if from == "" {
			from = r.senders[0]
		}
		if r.senders[0] == from {
			digests = append(digests, g)
		}
	}
	return from, digests
}

// hasSender reports whether a host may still have a record. If the last one was removed from the
// control hosts, the changes of all others are read again, as digests. The caller holds the lock.
func (f *Follower) hasSender(r *lackingRecord) bool {
	senders := len(r.senders)
	r.senders = slices.DeleteFunc(r.senders, func(id hingeids.HostID) bool {
		return f.hosts[id] == nil
	})
	if len(r.senders) == 0 && senders > 0 {
		for _, h := range f.hosts {
			h.resync = true
		}
	}
	return len(r.senders) > 0
}

// fetchDelay returns how long after its digest a record is fetched from the digest's sender: a control
// host batches it for its share of all followers (rule 7). The caller holds the lock.
func (f *Follower) fetchDelay() time.Duration {
	if !f.settings.EntryHost {
		return minFetchDelay
	}
	followers := f.state.Load().EntryHosts * maxFollowed / max(len(f.hosts), 1)
	return minFetchDelay + additionFactor*min(time.Duration(followers)*batchDelayPerFollower, maxBatchDelay)
}

// isSending reports whether a host that is polled for records has more of them.
func (f *Follower) isSending(now time.Time) bool {
	for _, h := range f.hosts {
		if h.polling && h.sending && f.wantsRecords(h) && now.Sub(h.lastSeen) < fetchTimeout {
			return true
		}
	}
	return false
}

// fetch fetches records from a host and reports whether the host answered. Records that none of their
// senders has any more have been replaced by newer ones, whose digests follow. After a failure another
// sender comes first.
func (f *Follower) fetch(ctx context.Context, from hingeids.HostID, digests []hingeannounce.Digest) bool {
	callCtx, stop := context.WithTimeout(ctx, fetchTimeout)
	defer stop()
	records, err := f.callFetch(callCtx, from, digests)
	if len(records) > 0 {
		f.settings.OnRecords(f.settings.Clock(), records)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, g := range digests {
		r := f.lacking.records[g]
		if r == nil {
			continue
		}
		r.senders = slices.DeleteFunc(r.senders, func(id hingeids.HostID) bool {
			return id == from
		})
		if err != nil {
			r.senders = append(r.senders, from)
		}
	}
	return err == nil
}

func (f *Follower) callFetch(
	ctx context.Context, from hingeids.HostID, digests []hingeannounce.Digest,
) ([]hingeannounce.Record, error) {
	body, err := cbor.Marshal(fetchRequest{
		Digests: digests,
	})
	if err != nil {
		return nil, eris.Wrap(err, "encode a request for records")
	}
	b, err := f.link.Call(ctx, from, methodFetch, body)
	if err != nil {
		return nil, err
	}
	var resp fetchResponse
	err = decodeBody(b, &resp)
	return resp.Records, eris.Wrap(err, "decode fetched records")
}

// handleFetch answers a follower that lacks records.
func (s *Source) handleFetch(_ context.Context, _ hingeids.HostID, body []byte) ([]byte, error) {
	var q fetchRequest
	if err := cbor.Unmarshal(body, &q); err != nil {
		return nil, eris.Wrap(err, "decode a request for records")
	}
	s.mu.Lock()
	records := s.directory.Find(q.Digests[:min(len(q.Digests), maxRecords)])
	s.mu.Unlock()
	b, err := encodeBody(fetchResponse{
		Records: records,
	})
	return b, eris.Wrap(err, "encode records for a follower")
}

// digestOfMembers identifies a list of control hosts.
func digestOfMembers(list []memberInfo) uint64 {
	h := xxhash.New()
	for _, m := range list {
		_, _ = h.WriteString(string(m.Host) + "/" + string(m.Zone) + "\n")
	}
	return h.Sum64()
}
