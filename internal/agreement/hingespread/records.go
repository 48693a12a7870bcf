package hingespread

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// handleRecord implements rule 6.
func (x *Replicator) handleRecord(from hingeids.HostID, body []byte) error {
	r, err := decode[revisionRecord](body)
	if err != nil {
		return err
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.records[from] = max(x.records[from], r.Revision)
	return nil
}

func (x *Replicator) handleRecall(from hingeids.HostID) recallResponse {
	x.mu.Lock()
	r, found := x.records[from]
	x.mu.Unlock()
	return recallResponse{
		HasRecord: found,
		Recorded:  r,
		Documents: x.applied.Load().View.FullDifference(),
	}
}

// sendRecord waits until a majority of the record peers confirms. It keeps a host
// that crashes right after a change from restarting with the previous revision.
func (x *Replicator) sendRecord(ctx context.Context, r hingeids.Revision) {
	if len(x.recordPeers) == 0 {
		return
	}
	callCtx, stop := context.WithTimeout(ctx, recordTimeout)
	body := encode(revisionRecord{
		Revision: r,
	})
	answers := make(chan bool, len(x.recordPeers))
	var calls sync.WaitGroup
	for _, peer := range x.recordPeers {
		calls.Go(func() {
			_, err := x.link.Call(callCtx, peer, methodRecord, body)
			answers <- err == nil
		})
	}
	go func() {
		// A majority doesn't cancel the remaining calls.
		calls.Wait()
		stop()
	}()
	confirmed := 0
	for range x.recordPeers {
		if <-answers {
			confirmed++
		}
		if confirmed >= majority(len(x.recordPeers)) {
			return
		}
	}
}

// resendRecords covers record peers that were unreachable or have restarted.
func (x *Replicator) resendRecords(ctx context.Context) {
	ticker := time.NewTicker(recordInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		s := x.applied.Load()
		if !s.Ready {
			// The revision would pass for a record of this host's earlier incarnation.
			continue
		}
		body := encode(revisionRecord{
			Revision: s.View.Revision,
		})
		for _, peer := range x.recordPeers {
			x.link.Send(peer, methodRecord, body)
		}
	}
}

// The other peers, queried in turn, have no record but may offer a newer
// configuration.
func (x *Replicator) recallTargets() []hingeids.HostID {
	out := slices.Clone(x.recordPeers)
	for i := range min(recallExtraPeers, len(x.others)) {
		out = append(out, x.others[(x.failedRounds*recallExtraPeers+i)%len(x.others)])
	}
	return out
}

func (x *Replicator) recall(ctx context.Context) map[hingeids.HostID]recallResponse {
	callCtx, stop := context.WithTimeout(ctx, recallTimeout)
	defer stop()
	out := make(map[hingeids.HostID]recallResponse)
	var mu sync.Mutex
	var calls sync.WaitGroup
	for _, p := range x.recallTargets() {
		calls.Go(func() {
			b, err := x.link.Call(callCtx, p, methodRecall, nil)
			if err != nil {
				return
			}
			resp, err := decode[recallResponse](b)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			out[p] = resp
		})
	}
	calls.Wait()
	return out
}
