package hingeplacer

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/decide/hingeretry"
	"github.com/swifthinge/swifthinge/internal/link/hingelink"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
)

// Where there are too many hosts for each to have retries of its own, the elected leader has the retry budget of all
// (rule 8).

const methodRetry hingelink.Method = "placer.retry"

// retryTimeout bounds the request for a retry. Its caller has already waited for a failed attempt.
const retryTimeout = 150 * time.Millisecond

// retryRequest requests retries of a service, in messages to servers.
type retryRequest struct {
	Service  hingeids.Service `cbor:"1,keyasint"`
	Messages int              `cbor:"2,keyasint"`
}

type retryReply struct {
	Granted bool `cbor:"1,keyasint"`
}

// LimitRetries sets the limits of the retries of each service. It must be called before Run.
func (p *Placer) LimitRetries(l hingeretry.FleetLimits) {
	p.retryLimits = l
}

func (p *Placer) handleRetry(ctx context.Context, _ hingeids.HostID, body []byte) ([]byte, error) {
	var r retryRequest
	if err := cbor.Unmarshal(body, &r); err != nil {
		return nil, eris.Wrap(err, "decoding a request for a retry")
	}
	granted := make(chan bool, 1)
	if !p.post(ctx, func(now time.Time) {
		granted <- p.grantRetry(now, r)
	}) {
		return nil, eris.New("placer has stopped")
	}
	select {
	case g := <-granted:
		b, err := cbor.Marshal(retryReply{
			Granted: g,
		})
		return b, eris.Wrap(err, "encoding the answer to a request for a retry")
	case <-p.done:
		return nil, eris.New("placer has stopped")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// grantRetry charges a retry to the budget of its service. Only the elected leader grants any: there may be several
// placers without a leader.
func (p *Placer) grantRetry(now time.Time, r retryRequest) bool {
	return r.Messages > 0 && p.servers.IsElectedLeader() && p.leads() && p.retryBudget(now, r.Service).Spend(now, r.Messages)
}

// retryBudget returns the retry budget of a service, which is empty at first: the leader before may have granted all
// that it had.
func (p *Placer) retryBudget(now time.Time, s hingeids.Service) *hingeretry.Budget {
	limits := p.retryLimits.SharedLimits(p.servers.EntryHosts())
	b := p.retryBudgets[s]
	if b == nil {
		b = hingeretry.NewEmptyBudget(now, limits)
		p.retryBudgets[s] = b
	}
	b.SetLimits(limits)
	return b
}

// RequestRetry requests a retry of a service from the leader and reports whether it was granted. Without an answer it
// is not.
func (o *Owner) RequestRetry(s hingeids.Service, messages int) bool {
	body, err := cbor.Marshal(retryRequest{
		Service:  s,
		Messages: messages,
	})
	if err != nil {
		// The type can be encoded.
		panic(err)
	}
	ctx, stop := context.WithTimeout(context.Background(), retryTimeout)
	defer stop()
	var reply retryReply
	o.tryPlacers(ctx, o.client, func(h hingeids.HostID) (bool, error) {
		b, err := o.client.call(ctx, h, methodRetry, body)
		if err != nil {
			return false, err
		}
		return false, eris.Wrap(cbor.Unmarshal(b, &reply), "decoding the answer to a request for a retry")
	})
	if !reply.Granted {
		o.recorder.Record(time.Now(), hingeevents.RetryBudgetUsedUp, hingeevents.Fields{
			Count:  int64(messages),
			Detail: string(s),
		})
	}
	return reply.Granted
}
