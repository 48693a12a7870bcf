package hingegroup

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
)

// operationPart sends a part of a proposal that is too large for one call (rule 12).
const operationPart operation = "proposePart"

const (
	// maxWhole is the size up to which a proposal or a state is one message.
	maxWhole = 3 << 20
	// maxStagedBytes limits the memory for incomplete proposals of all hosts, and maxStagedAge how long one is kept.
	maxStagedBytes = 32 << 20
	maxStagedAge   = 10 * time.Second
	// maxStateStarts is how often a state is read from its first part, as it changed meanwhile.
	maxStateStarts = 5
)

// proposalPart is a part of a proposal. ID distinguishes the proposals of one host.
type proposalPart struct {
	ID     uint64 `cbor:"1,keyasint"`
	Offset int    `cbor:"2,keyasint"`
	Total  int    `cbor:"3,keyasint"`
	Bytes  []byte `cbor:"4,keyasint"`
}

// proposeInParts sends a proposal to another host. Only the last part has it proposed, so that a failure before it
// leaves nothing behind.
func (g *Group) proposeInParts(ctx context.Context, h hingeids.HostID, body []byte) ([]byte, error) {
	select {
	case g.sendingParts <- struct{}{}:
	case <-ctx.Done():
		return nil, hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeCancelled, g.retryAfter(), ctx.Err())
	}
	defer func() {
		<-g.sendingParts
	}()
	id := g.lastPartsID.Add(1)
	for offset := 0; ; offset += partSize {
		end := min(offset+partSize, len(body))
		b, err := g.link.Call(ctx, h, g.method(operationPart), encode(proposalPart{
			ID:     id,
			Offset: offset,
			Total:  len(body),
			Bytes:  body[offset:end],
		}))
		last := end == len(body)
		switch {
		case err != nil && !last:
			return nil, hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeLinkDown, g.retryAfter(),
				eris.Wrapf(err, "send the proposal's bytes from %d on", offset))
		case err != nil || last || len(b) > 0:
			return b, err
		}
	}
}

// staged holds the incomplete proposals of other hosts, one of each.
type staged struct {
	mu        sync.Mutex
	proposals map[hingeids.HostID]*stagedProposal
}

type stagedProposal struct {
	id        uint64
	body      []byte
	total     int
	startedAt time.Time
}

// add adds a part and returns the proposal once it is complete.
func (s *staged) add(now time.Time, from hingeids.HostID, p proposalPart) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.Offset == 0 {
		delete(s.proposals, from)
		if p.Total < 0 || p.Total > s.free(now) {
			return nil, eris.Errorf("no room for a proposal of %d bytes", p.Total)
		}
		s.proposals[from] = &stagedProposal{
			id:        p.ID,
			total:     p.Total,
			startedAt: now,
		}
	}
	x := s.proposals[from]
	if x == nil || x.id != p.ID || p.Offset != len(x.body) || len(x.body)+len(p.Bytes) > x.total {
		return nil, eris.Errorf("part at offset %d of %d bytes doesn't continue a proposal of host %s", p.Offset, p.Total, from)
	}
	x.body = append(x.body, p.Bytes...)
	if len(x.body) < x.total {
		return nil, nil
	}
	delete(s.proposals, from)
	return x.body, nil
}

// free returns how many more bytes may be staged, and forgets proposals whose hosts have given them up. The caller holds
// the lock.
func (s *staged) free(now time.Time) int {
	room := maxStagedBytes
	for h, x := range s.proposals {
		if now.Sub(x.startedAt) > maxStagedAge {
			delete(s.proposals, h)
			continue
		}
		room -= x.total
	}
	return room
}

// onProposalPart answers the last part with the outcome of the proposal, others with nothing. A host that doesn't lead
// refuses the first part.
func (g *Group) onProposalPart(ctx context.Context, from hingeids.HostID, body []byte) ([]byte, error) {
	var p proposalPart
	if err := cbor.Unmarshal(body, &p); err != nil {
		return nil, eris.Wrap(err, "decode a part of a proposal")
	}
	if s := g.Status(); p.Offset == 0 && !s.IsLeader {
		return encode(outcome{
			Refused: true,
			Leader:  s.Leader.Host,
		}), nil
	}
	proposal, err := g.staged.add(g.settings.Clock(), from, p)
	if err != nil {
		return nil, hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeTooLarge, g.retryAfter(), err)
	}
	if proposal == nil {
		return nil, nil
	}
	return encode(g.handleLocal(ctx, operationPropose, proposal)), nil
}

// stateRequest requests the leader's state from an offset on. Digest identifies the state of which the part before was.
type stateRequest struct {
	Offset int    `cbor:"1,keyasint"`
	Digest uint64 `cbor:"2,keyasint"`
}

// onState answers with the part of the state that is requested. A host of an earlier version requests all of it.
func (g *Group) onState(ctx context.Context, _ hingeids.HostID, body []byte) ([]byte, error) {
	o := g.stateAsLeader(ctx)
	if len(body) == 0 || o.Refused || o.Uncertain {
		return encode(o), nil
	}
	var q stateRequest
	if err := cbor.Unmarshal(body, &q); err != nil {
		return nil, eris.Wrap(err, "decode a request for a state")
	}
	o.Total = len(o.Result)
	o.Digest = xxhash.Sum64(o.Result)
	if q.Digest != o.Digest || q.Offset < 0 || q.Offset > o.Total {
		q.Offset = 0
	}
	o.Offset = q.Offset
	o.Result = o.Result[q.Offset:min(q.Offset+partSize, o.Total)]
	return encode(o), nil
}

// callState reads the state of another host in parts. One that changes meanwhile is read again.
func (g *Group) callState(ctx context.Context, h hingeids.HostID) (outcome, error) {
	var state []byte
	var digest uint64
	starts := 0
	for {
		o, err := g.call(ctx, h, operationState, encode(stateRequest{
			Offset: len(state),
			Digest: digest,
		}))
		if err != nil || o.Refused || o.Uncertain || o.Total == 0 {
			return o, err
		}
		if o.Offset == 0 {
			state = nil
			starts++
		}
		if o.Offset != len(state) || len(o.Result) == 0 || starts > maxStateStarts {
			return outcome{}, hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeAnswerNotOurs, g.retryAfter(),
				eris.Errorf("host %s sent its state from %d on instead of %d, for the %dth time", h, o.Offset, len(state), starts))
		}
		digest = o.Digest
		state = append(state, o.Result...)
		if len(state) >= o.Total {
			o.Result = state
			return o, nil
		}
	}
}
