package hingegroup

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/agreement/hingelog"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// Only a host with a disk handles these methods.
func (g *Group) registerHandlers() {
	g.link.HandleDatagram(g.method("log"), func(from hingeids.HostID, body []byte) {
		g.receive(from, body)
	})
	g.link.HandleCall(g.method("log"), func(_ context.Context, from hingeids.HostID, body []byte) ([]byte, error) {
		g.receive(from, body)
		return nil, nil
	})
	g.link.HandleCall(g.method("part"), func(_ context.Context, from hingeids.HostID, body []byte) ([]byte, error) {
		return nil, g.senders.receivePart(from, body)
	})
	for _, name := range []operation{operationPropose, operationRead} {
		g.link.HandleCall(g.method(name), func(ctx context.Context, _ hingeids.HostID, body []byte) ([]byte, error) {
			return encode(g.handleLocal(ctx, name, body)), nil
		})
	}
	g.link.HandleCall(g.method(operationPart), g.onProposalPart)
	g.link.HandleCall(g.method("empty"), g.onDiskState)
	g.link.HandleCall(g.method("found"), g.onBootstrap)
	g.link.HandleCall(g.method("bootstrapState"), g.onBootstrapQuery)
	g.link.HandleCall(g.method("bootstrapLate"), g.onLateBootstrap)
	g.link.HandleCall(g.method("join"), func(ctx context.Context, from hingeids.HostID, body []byte) ([]byte, error) {
		var x hingelog.Member
		if err := cbor.Unmarshal(body, &x); err == nil && x.Host == from {
			g.peers.record(g.settings.Clock(), x, 0)
		}
		return g.onJoin(ctx, from, body)
	})
	g.link.HandleCall(g.method("members"), g.onMembers)
}

// A message is dropped if it is malformed or the inbox is full (rule 2).
func (g *Group) receive(from hingeids.HostID, body []byte) {
	var m hingelog.Message
	if err := cbor.Unmarshal(body, &m); err != nil || m.From.Host != from {
		return
	}
	g.peers.record(g.settings.Clock(), m.From, statedIndex(m))
	select {
	case g.inbox <- func(now time.Time) {
		g.member.log.Step(now, m)
	}:
	default:
	}
}

func runInLoop[T any](ctx context.Context, g *Group, f func(now time.Time) T) (T, error) {
	answer := make(chan T, 1)
	var zero T
	if !g.enqueue(ctx, func(now time.Time) {
		answer <- f(now)
	}) {
		return zero, eris.New("the group has stopped")
	}
	select {
	case v := <-answer:
		return v, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	case <-g.done:
		return zero, eris.New("the group has stopped")
	}
}
