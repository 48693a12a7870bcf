package hingeledger

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// No key may run twice while callers resend to any host, hosts and disks are lost, links
// are cut, and replies are lost or messages delayed.
func TestNoKeyRunsTwiceInAnySchedule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sc := newCluster(t, t)
		defer sc.stopAll()
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			sc.randomAction()
		}
		sc.checkReplicasAgree()
		sc.checkRecovery()
	})
}

func (sc *simCluster) randomAction() {
	switch sc.pick("action", 14) {
	case 0, 1:
		sc.newOperation()
	case 2, 3, 4:
		sc.resend()
	case 5, 6, 7, 8:
		if len(sc.attempts) > 0 {
			sc.advance(sc.attempts[sc.pick("attempt", len(sc.attempts))])
		}
	case 9:
		sc.killOrStart()
	case 10:
		sc.cutOrHeal()
	case 11:
		sc.now = sc.now.Add(time.Duration(rapid.IntRange(1, 8000).Draw(sc.random, "wait")) * time.Millisecond)
	case 12:
		if h := sc.pickUpHost(); h != nil {
			h.ledger.retryQueued(context.Background(), sc.now)
		}
	case 13:
		sc.deliverDelayedOrEndInstance()
	}
}

func (sc *simCluster) newOperation() {
	h := sc.pickUpHost()
	if h == nil {
		return
	}
	op := &operation{
		caller: hingeids.CallerID(fmt.Sprintf("depot-%d", sc.pick("caller", 2))),
		key:    hingeids.IdempotencyKey(fmt.Sprintf("lot-%d", len(sc.ops))),
	}
	if rapid.Bool().Draw(sc.random, "issued") {
		key, err := h.ledger.Issue(context.Background(), op.caller)
		if err != nil {
			return
		}
		op.key = key
	}
	sc.ops = append(sc.ops, op)
	_ = sc.request(op, h, "body")
}

func (sc *simCluster) resend() {
	h := sc.pickUpHost()
	if h == nil || len(sc.ops) == 0 {
		return
	}
	body := "body"
	if sc.pick("other body", 8) == 0 {
		body = "other body"
	}
	_ = sc.request(sc.ops[sc.pick("operation", len(sc.ops))], h, body)
}

func (sc *simCluster) killOrStart() {
	h := sc.order[sc.pick("host", len(sc.order))]
	if h.up {
		if h.disk != nil && sc.pick("while writing", 2) == 0 {
			h.disk.failAppend = true
			h.disk.persists = rapid.Bool().Draw(sc.random, "written")
			return
		}
		sc.kill(h)
		return
	}
	if h.disk != nil && sc.pick("lose disk", 3) == 0 {
		h.disk.frames = nil
	}
	sc.start(h)
}

func (sc *simCluster) cutOrHeal() {
	p := pair{
		from: sc.order[sc.pick("from", len(sc.order))].id,
		to:   sc.order[sc.pick("to", len(sc.order))].id,
	}
	if sc.cuts[p] {
		delete(sc.cuts, p)
		sc.network.Restore(p.from, p.to)
		return
	}
	sc.cuts[p] = true
	sc.network.Cut(p.from, p.to)
}

// The report of an ended instance may be false.
func (sc *simCluster) deliverDelayedOrEndInstance() {
	if len(sc.delayed) > 0 && rapid.Bool().Draw(sc.random, "deliver delayed") {
		i := sc.pick("which", len(sc.delayed))
		deliver := sc.delayed[i]
		sc.delayed = append(sc.delayed[:i], sc.delayed[i+1:]...)
		deliver()
		return
	}
	h := sc.pickUpHost()
	if h == nil {
		return
	}
	ended := sc.order[sc.pick("ended", len(sc.order))]
	_ = h.ledger.EndInstance(context.Background(), hingeids.Instance{Host: ended.id, Incarnation: ended.incarnation})
}

func (sc *simCluster) checkReplicasAgree() {
	var first []byte
	for _, h := range sc.order {
		if h.member == nil {
			continue
		}
		h.member.catchUp()
		s := h.member.state.Snapshot()
		if first != nil && !bytes.Equal(first, s) {
			sc.t.Fatalf("the State of %s differs from that of another replica", h.id)
		}
		first = s
	}
}

// New keys of both kinds must be granted after all faults are repaired.
func (sc *simCluster) checkRecovery() {
	sc.reliable = true
	for p := range sc.cuts {
		sc.network.Restore(p.from, p.to)
		delete(sc.cuts, p)
	}
	for _, h := range sc.order {
		if h.disk != nil {
			h.disk.failAppend = false
		}
		if h.up {
			sc.kill(h)
		}
		sc.start(h)
	}
	for _, h := range sc.order {
		key, err := h.ledger.Issue(context.Background(), "depot-9")
		if err != nil {
			sc.t.Fatalf("after all faults were repaired: %v", err)
		}
		for _, k := range []hingeids.IdempotencyKey{key, hingeids.IdempotencyKey("last of " + h.id)} {
			op := &operation{caller: "depot-9", key: k}
			if err := sc.request(op, h, "body"); err != nil {
				sc.t.Fatalf("after all faults were repaired: %v", err)
			}
			sc.advance(sc.attempts[len(sc.attempts)-1])
		}
	}
	for _, op := range sc.ops {
		_ = sc.request(op, sc.order[0], "body")
	}
}
