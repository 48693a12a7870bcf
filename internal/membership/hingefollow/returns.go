package hingefollow

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/link/hingelink"
	"github.com/swifthinge/swifthinge/internal/membership/hingeannounce"
)

// methodReturn sends a restarted control host the records that it lacks (rule 14).
const methodReturn hingelink.Method = "follow.return"

const (
	// minReturnDelay is the time from a restart to the return of records. A control host gets them from the others first,
	// and servers that run report within it.
	minReturnDelay = 2 * time.Second
	// returnSpread spreads the returns of all followers of a host: what the first one returns, the others needn't.
	returnSpread = 3 * time.Second
)

type returnRequest struct {
	Records []hingeannounce.Record `cbor:"1,keyasint"`
}

// noteNamed notes which records a restarted control host has. The caller holds the lock.
func (f *Follower) noteNamed(now time.Time, h *host, resp followResponse) {
	if f.settings.Lacked == nil {
		return
	}
	if h.incarnation != 0 && h.incarnation != resp.Incarnation {
		h.named = make(map[hingeannounce.Digest]bool)
		h.returnAt = now.Add(minReturnDelay + time.Duration(xxhash.Sum64String(string(f.settings.Self))%uint64(returnSpread)))
	}
	if h.named == nil {
		return
	}
	for _, r := range resp.Records {
		h.named[r.Digest()] = true
	}
	for _, g := range resp.Digests {
		h.named[g] = true
	}
}

// startReturns returns to restarted control hosts the records that they lack.
func (f *Follower) startReturns(ctx context.Context, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, h := range f.hosts {
		if h.named == nil || !h.synced || now.Before(h.returnAt) {
			continue
		}
		named := h.named
		h.named = nil
		f.pollers.Go(func() {
			f.returnRecords(ctx, id, f.settings.Lacked(named))
		})
	}
}

// returnRecords ends at the first failure: the other followers of the host return the same records.
func (f *Follower) returnRecords(ctx context.Context, id hingeids.HostID, records []hingeannounce.Record) {
	for part := range slices.Chunk(records, maxRecords) {
		body, err := cbor.Marshal(returnRequest{
			Records: part,
		})
		if err == nil {
			callCtx, stop := context.WithTimeout(ctx, fetchTimeout)
			_, err = f.link.Call(callCtx, id, methodReturn, body)
			stop()
		}
		if err != nil {
			if f.settings.OnReturnError != nil {
				f.settings.OnReturnError(id, eris.Wrapf(err, "return %d records to control host %s", len(records), id))
			}
			return
		}
	}
}

// handleReturn merges records that this host lost when it was restarted.
func (s *Source) handleReturn(_ context.Context, _ hingeids.HostID, body []byte) ([]byte, error) {
	var q returnRequest
	if err := lenient.Unmarshal(body, &q); err != nil {
		return nil, eris.Wrap(err, "decode returned records")
	}
	s.Merge(s.clock(), s.adopt(q.Records[:min(len(q.Records), maxRecords)]))
	return nil, nil
}

// adopt makes this host the owner of records whose owner is no control host any more, or nobody would notice that their
// servers are silent. The next sequence number makes such a record win; a server that runs sends a newer one. A host that
// knows no members yet can't tell and changes nothing.
func (s *Source) adopt(records []hingeannounce.Record) []hingeannounce.Record {
	members := s.origin.GroupStatus().Members
	for i, r := range records {
		if len(members) > 0 && !slices.Contains(members, r.Owner) {
			records[i].Owner = s.host
			records[i].Announcement.Sequence++
		}
	}
	return records
}
