package hingedispatch

import (
	"context"
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/swifthinge/swifthinge/internal/config/hingeinventory"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
	"github.com/swifthinge/swifthinge/internal/ledger/hingeledger"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
	"github.com/swifthinge/swifthinge/internal/path/hingeengine"
)

// Call is a caller's request to a plain service.
type Call struct {
	Request  hingeids.RequestID
	Caller   hingeids.CallerID
	Class    hingeinventory.Class
	Service  hingeids.Service
	Key      hingeids.IdempotencyKey
	Arrived  time.Time
	Deadline time.Time
	// ReplicaRequest is the request to the replica; its response is written to
	// Response.
	ReplicaRequest *fasthttp.Request
	Response       *fasthttp.Response
	// Fingerprint is the fingerprint that the call shares with its resends.
	Fingerprint hingeids.Fingerprint
}

// ReplicaPool chooses replicas of plain services. It must be safe for concurrent
// use.
type ReplicaPool interface {
	// Choose chooses a replica and avoids those that have failed the call. After
	// each successful call of Choose, RecordOutcome must be called.
	Choose(service hingeids.Service, avoid map[hingeids.ServerID]bool) (hingeengine.Target, error)
	// RecordOutcome reports that a call at the replica has finished, with its error.
	RecordOutcome(t hingeengine.Target, err error)
}

// ReplicaClient sends a call to a replica; hingeengine.Client implements it. It fails if
// the replica sends nothing for the idle timeout.
type ReplicaClient interface {
	Call(
		ctx context.Context, t hingeengine.Target, req *fasthttp.Request, resp *fasthttp.Response,
		idleTimeout time.Duration,
	) error
}

// ServiceDispatcher sends calls of plain services to replicas. It is safe for
// concurrent use.
//
//  1. A call that must not be retried needs an idempotency key and is claimed in
//     the ledger before any byte is sent. It is sent a second time only after
//     proof that it did not run.
//  2. Its answer is stored before it is returned, so that a resend after a lost
//     answer gets the same answer.
//  3. Any other call is retried if it did not run, or if its method is GET or
//     HEAD.
//  4. A call that crashes the replicas which run it is not sent (hingepoison).
type ServiceDispatcher struct {
	Client         ReplicaClient
	ReplicaPool    ReplicaPool
	Ledger         Ledger
	PoisonDetector PoisonDetector
	Meter          CallMeter
	Recorder       *hingeevents.Recorder
	Limits         Limits
	Now            func() time.Time
}

// CallMeter updates the metrics of calls of plain services. It must be safe for
// concurrent use.
type CallMeter interface {
	RecordCall(c *Call, elapsed time.Duration, err error)
}

// Do runs a call and writes the response to c.Response. An error is final and
// carries the verdict.
func (d *ServiceDispatcher) Do(ctx context.Context, c *Call) error {
	err := d.do(ctx, c)
	number := hingeevents.ServiceCalled
	detail := ""
	if err != nil {
		number = hingeevents.ServiceFailed
		detail = err.Error()
	}
	now := d.Now()
	elapsed := now.Sub(c.Arrived)
	d.Meter.RecordCall(c, elapsed, err)
	d.Recorder.Record(now, number, hingeevents.Fields{
		Request: c.Request,
		Caller:  c.Caller,
		Elapsed: elapsed,
		Detail:  detail,
	})
	return err
}

func (d *ServiceDispatcher) do(ctx context.Context, c *Call) error {
	if !c.Class.NeverRepeat {
		return d.send(ctx, c)
	}
	claim := Claim{
		Request: c.Request,
		Caller:  c.Caller,
		Key:     c.Key,
		Digest:  hingeledger.DigestOf(string(c.ReplicaRequest.Header.Method()), string(c.ReplicaRequest.RequestURI()), c.ReplicaRequest.Body()),
		Until:   c.Deadline,
	}
	stored, err := claimRequest(ctx, d.Ledger, claim)
	if err != nil {
		return err
	}
	if stored != nil {
		c.Response.SetStatusCode(stored.Status)
		c.Response.Header.SetContentType(stored.ContentType)
		c.Response.SetBody(stored.Body)
		return nil
	}
	if err := d.send(ctx, c); err != nil {
		releaseIfNotRun(ctx, d.Ledger, claim, err)
		return err
	}
	// Rule 2.
	storeAnswer(ctx, d.Ledger, claim, StoredAnswer{
		Status:      c.Response.StatusCode(),
		ContentType: string(c.Response.Header.ContentType()),
		Body:        append([]byte(nil), c.Response.Body()...),
		Complete:    true,
	})
	return nil
}

// send tries up to Limits.MaxCallAttempts replicas (rule 3). It returns the first error
// whose verdict is not NotRun, if there is one.
func (d *ServiceDispatcher) send(ctx context.Context, c *Call) error {
	avoid := make(map[hingeids.ServerID]bool)
	var worst error
	for range d.Limits.MaxCallAttempts {
		suspect, refused := d.PoisonDetector.Evaluate(ctx, c.Fingerprint, c.Service)
		if refused != nil {
			if worst == nil {
				return refused
			}
			break
		}
		err := d.sendOnce(ctx, c, avoid)
		if err == nil {
			if suspect {
				d.PoisonDetector.HandleCompletion(c.Fingerprint)
			}
			return nil
		}
		if worst == nil || hingeverdict.Of(worst) == hingeverdict.NotRun {
			worst = err
		}
		if !d.mayRetry(ctx, c, err) {
			break
		}
	}
	return worst
}

// sendOnce sends a call to one replica and reports the outcome.
func (d *ServiceDispatcher) sendOnce(ctx context.Context, c *Call, avoid map[hingeids.ServerID]bool) error {
	target, err := d.ReplicaPool.Choose(c.Service, avoid)
	if err != nil {
		return err
	}
	began := d.Now()
	err = d.Client.Call(ctx, target, c.ReplicaRequest, c.Response, c.Deadline.Sub(began))
	d.ReplicaPool.RecordOutcome(target, err)
	avoid[target.Server] = true
	if err != nil {
		d.PoisonDetector.HandleFailedExchange(ctx, FailedExchange{
			Fingerprint: c.Fingerprint,
			Request:     c.Request,
			Service:     c.Service,
			Caller:      c.Caller,
			Target:      target,
			Held:        d.Now().Sub(began),
			Err:         err,
		})
	}
	return err
}

func (d *ServiceDispatcher) mayRetry(ctx context.Context, c *Call, err error) bool {
	if ctx.Err() != nil || !d.Now().Before(c.Deadline) {
		return false
	}
	if hingeverdict.Of(err) == hingeverdict.NotRun {
		return true
	}
	var v *hingeverdict.Error
	if c.Class.NeverRepeat || !errors.As(err, &v) {
		return false
	}
	return c.ReplicaRequest.Header.IsGet() || c.ReplicaRequest.Header.IsHead()
}
