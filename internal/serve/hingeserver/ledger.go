package hingeserver

import (
	"context"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/ledger/hingeledger"
	"github.com/swifthinge/swifthinge/internal/path/hingedispatch"
)

// ledgerAdapter gives the request path the ledger as it asks for it.
type ledgerAdapter struct {
	ledger *hingeledger.Ledger
	meter  meter
}

var _ hingedispatch.Ledger = ledgerAdapter{}

// storedAnswer is how an answer stands in the ledger.
type storedAnswer struct {
	Status      int    `cbor:"1,keyasint"`
	ContentType string `cbor:"2,keyasint"`
	Body        []byte `cbor:"3,keyasint"`
	Whole       bool   `cbor:"4,keyasint"`
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

// Claim gives nil when the request is to be sent, or the answer that is kept.
func (a ledgerAdapter) Claim(ctx context.Context, c hingedispatch.Claim) (*hingedispatch.StoredAnswer, error) {
	outcome, err := a.ledger.Claim(ctx, claimOf(c))
	a.meter.claimed(c.Key, outcome.Kind == hingeledger.Answered, err)
	if err != nil || outcome.Kind == hingeledger.Granted {
		return nil, err
	}
	var s storedAnswer
	if err := cbor.Unmarshal(outcome.Answer, &s); err != nil {
		return nil, eris.Wrap(err, "kept answer")
	}
	return &hingedispatch.StoredAnswer{
		Status:      s.Status,
		ContentType: s.ContentType,
		Body:        s.Body,
		Complete:    s.Whole,
	}, nil
}

// Finish keeps the answer.
func (a ledgerAdapter) Finish(ctx context.Context, c hingedispatch.Claim, s hingedispatch.StoredAnswer) error {
	b, err := cbor.Marshal(storedAnswer{
		Status:      s.Status,
		ContentType: s.ContentType,
		Body:        s.Body,
		Whole:       s.Complete,
	})
	if err != nil {
		return eris.Wrap(err, "answer to keep")
	}
	return a.ledger.Finish(ctx, claimOf(c), b)
}

// Release gives the key back.
func (a ledgerAdapter) Release(ctx context.Context, c hingedispatch.Claim) error {
	return a.ledger.Release(ctx, claimOf(c))
}

// Issue gives a new key of this host's zone.
func (a ledgerAdapter) Issue(ctx context.Context, caller hingeids.CallerID) (hingeids.IdempotencyKey, error) {
	return a.ledger.Issue(ctx, caller)
}
