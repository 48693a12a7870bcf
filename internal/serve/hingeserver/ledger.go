package hingeserver

import (
	"context"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/ledger/hingeledger"
	"github.com/swifthinge/swifthinge/internal/path/hingedispatch"
)

// ledgerAdapter implements hingedispatch.Ledger with the shared ledger, and counts claims.
type ledgerAdapter struct {
	ledger *hingeledger.Ledger
	meter  meter
}

var _ hingedispatch.Ledger = ledgerAdapter{}

// storedAnswer is the encoding of an answer in the ledger.
type storedAnswer struct {
	Status      int    `cbor:"1,keyasint"`
	ContentType string `cbor:"2,keyasint"`
	Body        []byte `cbor:"3,keyasint"`
	Complete    bool   `cbor:"4,keyasint"`
}

func claimOf(c hingedispatch.Claim) hingeledger.Claim {
	return hingeledger.Claim{
		Caller:  c.Caller,
		Key:     c.Key,
		Digest:  hingeledger.Digest(c.Digest),
		Request: c.Request,
		Until:   c.Until.UnixNano(),
	}
}

// Claim claims an idempotency key. It returns nil if the request has to be sent, or the
// stored answer of an earlier run.
func (a ledgerAdapter) Claim(ctx context.Context, c hingedispatch.Claim) (*hingedispatch.StoredAnswer, error) {
	outcome, err := a.ledger.Claim(ctx, claimOf(c))
	a.meter.countClaim(c.Key, outcome.Kind == hingeledger.Answered, err)
	if err != nil || outcome.Kind == hingeledger.Granted {
		return nil, err
	}
	var s storedAnswer
	if err := cbor.Unmarshal(outcome.Answer, &s); err != nil {
		return nil, eris.Wrap(err, "decode the stored answer")
	}
	return &hingedispatch.StoredAnswer{
		Status:      s.Status,
		ContentType: s.ContentType,
		Body:        s.Body,
		Complete:    s.Complete,
	}, nil
}

// Finish stores the answer for resends.
func (a ledgerAdapter) Finish(ctx context.Context, c hingedispatch.Claim, s hingedispatch.StoredAnswer) error {
	b, err := cbor.Marshal(storedAnswer{
		Status:      s.Status,
		ContentType: s.ContentType,
		Body:        s.Body,
		Complete:    s.Complete,
	})
	if err != nil {
		return eris.Wrap(err, "encode the answer to store")
	}
	return a.ledger.Finish(ctx, claimOf(c), b)
}

// Release releases the claim of a request that has not run.
func (a ledgerAdapter) Release(ctx context.Context, c hingedispatch.Claim) error {
	return a.ledger.Release(ctx, claimOf(c))
}

// Issue returns a new idempotency key of this host's zone.
func (a ledgerAdapter) Issue(ctx context.Context, caller hingeids.CallerID) (hingeids.IdempotencyKey, error) {
	return a.ledger.Issue(ctx, caller)
}
