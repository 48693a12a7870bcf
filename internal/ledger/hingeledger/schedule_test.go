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

// Callers resend to any host of any zone while hosts are killed, disks lost, ways
// cut, answers lost and messages brought late. A caller would notice a second
// run as a lot shipped twice.
func TestNoKeyRunsTwiceInAnySchedule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, t)
		defer w.end()
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			w.act()
		}
		w.checkReplicasAgree()
		w.checkRecovery()
	})
}

func (w *world) act() {
	switch w.draw("act", 14) {
	case 0, 1:
		w.newOperation()
	case 2, 3, 4:
		w.resend()
	case 5, 6, 7, 8:
		if len(w.attempts) > 0 {
			w.step(w.attempts[w.draw("attempt", len(w.attempts))])
		}
	case 9:
		w.killOrStart()
	case 10:
		w.cutOrHeal()
	case 11:
		w.now = w.now.Add(time.Duration(rapid.IntRange(1, 8000).Draw(w.random, "wait")) * time.Millisecond)
	case 12:
		if h := w.upHost(); h != nil {
			h.ledger.bringNotes(context.Background(), w.now)
		}
	case 13:
		w.bringHeldOrEndLife()
	}
}

func (w *world) newOperation() {
	h := w.upHost()
	if h == nil {
		return
	}
	op := &operation{
		caller: hingeids.CallerID(fmt.Sprintf("depot-%d", w.draw("caller", 2))),
		key:    hingeids.IdempotencyKey(fmt.Sprintf("lot-%d", len(w.ops))),
	}
	if rapid.Bool().Draw(w.random, "issued") {
		key, err := h.ledger.Issue(context.Background(), op.caller)
		if err != nil {
			return
		}
		op.key = key
	}
	w.ops = append(w.ops, op)
	_ = w.request(op, h, "body")
}

func (w *world) resend() {
	h := w.upHost()
	if h == nil || len(w.ops) == 0 {
		return
	}
	body := "body"
	if w.draw("other body", 8) == 0 {
		body = "other body"
	}
	_ = w.request(w.ops[w.draw("operation", len(w.ops))], h, body)
}

func (w *world) killOrStart() {
	h := w.order[w.draw("host", len(w.order))]
	if h.up {
		if h.disk != nil && w.draw("while writing", 2) == 0 {
			h.disk.dies = true
			h.disk.keeps = rapid.Bool().Draw(w.random, "written")
			return
		}
		w.kill(h)
		return
	}
	if h.disk != nil && w.draw("lose disk", 3) == 0 {
		h.disk.frames = nil
	}
	w.start(h)
}

func (w *world) cutOrHeal() {
	p := pair{
		from: w.order[w.draw("from", len(w.order))].id,
		to:   w.order[w.draw("to", len(w.order))].id,
	}
	if w.cuts[p] {
		delete(w.cuts, p)
		w.network.Heal(p.from, p.to)
		return
	}
	w.cuts[p] = true
	w.network.Cut(p.from, p.to)
}

// bringHeldOrEndLife brings a late message, or tells a host that a life is over,
// which may be false.
func (w *world) bringHeldOrEndLife() {
	if len(w.held) > 0 && rapid.Bool().Draw(w.random, "held") {
		i := w.draw("which", len(w.held))
		deliver := w.held[i]
		w.held = append(w.held[:i], w.held[i+1:]...)
		deliver()
		return
	}
	h := w.upHost()
	if h == nil {
		return
	}
	over := w.order[w.draw("over", len(w.order))]
	_ = h.ledger.EndLife(context.Background(), hingeids.Instance{Host: over.id, Incarnation: over.life})
}

func (w *world) checkReplicasAgree() {
	var first []byte
	for _, h := range w.order {
		if h.member == nil {
			continue
		}
		h.member.catchUp()
		s := h.member.state.Snapshot()
		if first != nil && !bytes.Equal(first, s) {
			w.t.Fatalf("the State of %s differs", h.id)
		}
		first = s
	}
}

// checkRecovery heals everything: new keys of both kinds must be granted again.
func (w *world) checkRecovery() {
	w.calm = true
	for p := range w.cuts {
		w.network.Heal(p.from, p.to)
		delete(w.cuts, p)
	}
	for _, h := range w.order {
		if h.disk != nil {
			h.disk.dies = false
		}
		if h.up {
			w.kill(h)
		}
		w.start(h)
	}
	for _, h := range w.order {
		key, err := h.ledger.Issue(context.Background(), "depot-9")
		if err != nil {
			w.t.Fatalf("after all faults: %v", err)
		}
		for _, k := range []hingeids.IdempotencyKey{key, hingeids.IdempotencyKey("last of " + h.id)} {
			op := &operation{caller: "depot-9", key: k}
			if err := w.request(op, h, "body"); err != nil {
				w.t.Fatalf("after all faults: %v", err)
			}
			w.step(w.attempts[len(w.attempts)-1])
		}
	}
	for _, op := range w.ops {
		_ = w.request(op, w.order[0], "body")
	}
}
