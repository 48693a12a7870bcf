package hingedispatch

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
)

// Claim identifies an attempt to run a request that must run at most once.
type Claim struct {
	Request hingeids.RequestID
	Caller  hingeids.CallerID
	Key     hingeids.IdempotencyKey
	// Digest distinguishes the request from others with the same key.
	Digest [16]byte
	// Until is the time after which this attempt is no longer sent.
	Until time.Time
}

// StoredAnswer is an answer that is stored for resends.
type StoredAnswer struct {
	Status      int
	ContentType string
	Body        []byte
	// Complete says that Body is the complete answer. It is false if the answer was
	// streamed or too large to store.
	Complete bool
}

// Ledger records for all hosts which requests have run.
type Ledger interface {
	// Claim returns nil if the request may be sent now, or the answer of an
	// earlier run. Its errors are final and carry a verdict.
	Claim(ctx context.Context, c Claim) (*StoredAnswer, error)
	// Finish stores the answer. Release removes the claim of a request that is
	// proved not to have run.
	Finish(ctx context.Context, c Claim, answer StoredAnswer) error
	Release(ctx context.Context, c Claim) error
}

// maxStoredBody is the maximum body size of a stored answer in bytes, enough for
// several thousand tokens. For a larger answer, a resend gets only the
// information that the request ran.
const maxStoredBody = 64 << 10

// ledgerTimeout bounds a call of the ledger after the run. The context of the
// request may be cancelled by then, but the ledger must still be updated.
const ledgerTimeout = 3 * time.Second

// claimRequest claims a request before any byte of it is sent. It returns nil if
// the request may be sent, or the complete answer of an earlier run.
func claimRequest(ctx context.Context, l Ledger, c Claim) (*StoredAnswer, error) {
	if c.Key == "" {
		return nil, hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeKeyMissing, 0,
			eris.New("a request that must run at most once needs an Idempotency-Key header"))
	}
	stored, err := l.Claim(ctx, c)
	if err != nil || stored == nil {
		return nil, err
	}
	if !stored.Complete {
		return nil, hingeverdict.New(hingeverdict.Ran, hingeverdict.CodeKeyUncertain, 0,
			eris.New("the request has run; its answer was streamed or too large to store"))
	}
	return stored, nil
}

// storeAnswer stores the answer of a claimed request. A failure is ignored: the
// caller still receives its answer, and a resend gets an error that the request
// may have run, which is true.
func storeAnswer(ctx context.Context, l Ledger, c Claim, s StoredAnswer) {
	if len(s.Body) > maxStoredBody {
		s.Complete = false
	}
	if !s.Complete {
		s.Body = nil
	}
	ledgerCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), ledgerTimeout)
	defer cancel()
	_ = l.Finish(ledgerCtx, c, s)
}

// releaseIfNotRun releases the claim of a request that is proved not to have run.
// A failure is ignored: the key stays claimed, and a resend gets an error that
// the request may have run, which is cautious but correct.
func releaseIfNotRun(ctx context.Context, l Ledger, c Claim, err error) {
	if hingeverdict.Of(err) != hingeverdict.NotRun {
		return
	}
	ledgerCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), ledgerTimeout)
	defer cancel()
	_ = l.Release(ledgerCtx, c)
}
