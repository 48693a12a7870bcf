package hingeledger

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
)

const (
	retryInterval = 500 * time.Millisecond
	// The bounds of the queue during a long partition.
	maxQueuedCommands = 4096
	maxQueuedBytes    = 16 << 20
	// retryExpiry is the time after the claim's Until at which a command is dropped.
	// Resends before that time were refused as uncertain.
	retryExpiry = 10 * time.Minute
)

// retryQueue contains the undelivered finish and release commands. A command dropped
// because of the queue's limits or its age leaves its key uncertain, which is safe.
// It is safe for concurrent use.
type retryQueue struct {
	mu       sync.Mutex
	commands []command
	bytes    int
}

func (q *retryQueue) add(c command) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.commands) >= maxQueuedCommands || q.bytes+len(c.Answer) > maxQueuedBytes {
		return false
	}
	q.commands = append(q.commands, c)
	q.bytes += len(c.Answer)
	return true
}

func (q *retryQueue) drain() []command {
	q.mu.Lock()
	defer q.mu.Unlock()
	all := q.commands
	q.commands = nil
	q.bytes = 0
	return all
}

// deliver sends a command now and queues it for Run if that fails.
func (l *Ledger) deliver(ctx context.Context, c command) error {
	target, err := l.targetOf(c.Claim.Key)
	if err != nil {
		return err
	}
	c.Claim.Retention = l.config.Retention()
	if !target.breaker.allow(l.clock()) {
		// During a partition, finished requests must not wait for the ledger.
		l.queueRetry(c)
		return deliveryError(c, eris.New("call skipped after a recent failure"))
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	_, err = l.send(ctx, target, c)
	l.recordSend(target, err)
	if err != nil {
		l.queueRetry(c)
		return deliveryError(c, err)
	}
	return nil
}

// deliveryError returns the text of the cause without its verdict. The verdict "not
// run" is about the command and would be wrong about the request.
func deliveryError(c command, cause error) error {
	return eris.Errorf("command for request %s is not delivered to the ledger yet: %v", c.Claim.Request, cause)
}

func (l *Ledger) queueRelease(c Claim) {
	l.queueRetry(command{
		Verb:  verbRelease,
		Claim: c,
	})
}

func (l *Ledger) queueRetry(c command) {
	if !l.retryQueue.add(c) {
		l.recordDropped(c)
	}
}

func (l *Ledger) recordDropped(c command) {
	l.config.Recorder.Record(l.clock(), hingeevents.LedgerNoteDropped, hingeevents.Fields{
		Request: c.Claim.Request,
		Caller:  c.Claim.Caller,
	})
}

// retryQueued sends every queued command once. After a failure the target's other
// commands stay queued for the next round, so that a round during a partition
// makes one attempt per target and not one per command.
func (l *Ledger) retryQueued(ctx context.Context, now time.Time) {
	unreachable := make(map[*breaker]bool)
	for _, c := range l.retryQueue.drain() {
		target, err := l.targetOf(c.Claim.Key)
		if err != nil || now.UnixNano() > c.Claim.Until+int64(retryExpiry) {
			l.recordDropped(c)
			continue
		}
		if !unreachable[target.breaker] {
			_, err = l.send(ctx, target, c)
			l.recordSend(target, err)
			unreachable[target.breaker] = err != nil
			if err == nil {
				continue
			}
		}
		l.queueRetry(c)
	}
}

// Run retries undelivered commands until the context ends.
func (l *Ledger) Run(ctx context.Context) error {
	defer close(l.done)
	t := time.NewTicker(retryInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			l.retryQueued(ctx, l.clock())
		}
	}
}

// Done returns a channel that is closed when Run has returned.
func (l *Ledger) Done() <-chan struct{} {
	return l.done
}
