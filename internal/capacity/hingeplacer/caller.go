package hingeplacer

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/decide/hingequeue"
	"github.com/swifthinge/swifthinge/internal/decide/hingequota"
)

// PlaceCall asks the placers in turn for a replica, and the own host if none answers (rule 3). The context ends
// when the caller leaves.
func (o *Owner) PlaceCall(ctx context.Context, c Call) CallPlacement {
	if after, refused := o.refuses(c.Print); refused {
		return CallPlacement{
			Refused:    true,
			RetryAfter: after,
			Cause:      Poison,
		}
	}
	began := o.clock()
	c.Charge.NearLimit = o.doubts(c.Charge)
	var placed CallPlacement
	if o.inTurn(ctx, o.calls, func(h hingeids.HostID) (bool, error) {
		var err error
		placed, err = o.askCall(ctx, h, c.after(o.clock().Sub(began)))
		return placed.NotHere, err
	}) {
		if placed.Server != "" {
			o.counted(c.Charge)
		}
		return placed
	}
	if ctx.Err() != nil {
		return CallPlacement{
			Refused: true,
		}
	}
	if v := o.admitAlone(c.Charge); !v.Admitted {
		return CallPlacement{
			Refused:    true,
			RetryAfter: v.RetryAfter,
			Cause:      causeOf(v),
		}
	}
	charge := c.Charge
	c.Charge = hingequota.Charge{}
	placed = o.alone.PlaceCall(ctx, c.after(o.clock().Sub(began)))
	placed.Alone = true
	if placed.Server == "" {
		o.discount(charge)
	}
	return placed
}

// errSilent says that a placer didn't answer a question that was asked twice.
var errSilent = eris.New("no answer to a question that was asked twice")

func (o *Owner) askCall(ctx context.Context, h hingeids.HostID, c Call) (CallPlacement, error) {
	answers := o.expect(c.ID)
	defer o.expectNoMore(c.ID)
	var a CallPlacement
	err := o.calls.ask(ctx, h, func(ctx context.Context) error {
		var err error
		a, err = o.awaitPlacement(ctx, h, message(c), answers)
		return err
	})
	if err != nil {
		o.calls.link.Send(h, methodEnd, message(withdrawn(c)))
	}
	return a, err
}

// awaitPlacement asks until there is a placement. Datagrams get lost, and placers: each answer that the question
// still waits gives the next as much time.
func (o *Owner) awaitPlacement(
	ctx context.Context, h hingeids.HostID, question []byte, answers <-chan CallPlacement,
) (CallPlacement, error) {
	o.calls.link.Send(h, methodCall, question)
	timer := time.NewTimer(o.calls.doubts.after)
	defer timer.Stop()
	doubted := false
	for {
		select {
		case a := <-answers:
			if !a.Waits {
				return a, nil
			}
			doubted = false
			timer.Reset(o.calls.doubts.after)
		case <-timer.C:
			if doubted {
				return CallPlacement{}, errSilent
			}
			doubted = true
			o.calls.link.Send(h, methodCall, question)
			timer.Reset(o.calls.doubts.probe)
		case <-ctx.Done():
			return CallPlacement{}, eris.Wrap(ctx.Err(), "replica for a request")
		}
	}
}

// mostAnswers is how many answers to one question may be unread: those to the first and the second asking, and a placement behind them.
const mostAnswers = 4

// expect gives where the answers to a question will come.
func (o *Owner) expect(id hingequeue.CallID) <-chan CallPlacement {
	answers := make(chan CallPlacement, mostAnswers)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.expected[id] = answers
	return answers
}

func (o *Owner) expectNoMore(id hingequeue.CallID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.expected, id)
}

// placed takes an answer. One that nobody waits for any more is passed over.
func (o *Owner) placed(from hingeids.HostID, body []byte) {
	var m callPlaced
	if !readMessage(o.recorder, from, body, &m) {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	select {
	case o.expected[m.ID] <- m.Placement:
	default:
	}
}

// EndCall tells whoever chose a request's replica how it ended there.
func (o *Owner) EndCall(s hingeids.Service, a CallPlacement, e hingequeue.Completion) {
	end := callEnd{
		Service: s,
		End:     e,
	}
	if a.Alone {
		o.alone.EndCall(end)
		return
	}
	if h := first(o.fleets.Placers()); h != "" {
		// One that is lost is made good by the placer itself (hingequeue rule 4).
		o.calls.link.Send(h, methodEnd, message(end))
	}
}
