package hingeserver

import (
	"errors"
	"strconv"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
	"github.com/swifthinge/swifthinge/internal/ledger/hingeledger"
	"github.com/swifthinge/swifthinge/internal/membership/hingemembers"
	"github.com/swifthinge/swifthinge/internal/observe/hingemetrics"
	"github.com/swifthinge/swifthinge/internal/path/hingedispatch"
)

type meter struct {
	metrics *hingemetrics.Metrics
}

var _ hingedispatch.Meter = meter{}

// RecordResult counts a finished completion request.
func (m meter) RecordResult(r hingedispatch.Result) {
	class := r.CompletionRequest.Class.Name
	m.countOutcome(class, r.Err)
	m.metrics.Counter(hingemetrics.TokensRelayed).Add(r.Tokens)
	if r.MetTargets() {
		m.metrics.Counter(hingemetrics.WithinTargets, class).Inc()
	}
	if r.FirstToken > 0 {
		m.metrics.Histogram(hingemetrics.FirstToken, class).Update(r.FirstToken.Seconds())
	}
	if r.MeanTokenGap > 0 {
		m.metrics.Histogram(hingemetrics.TokenGap, class).Update(r.MeanTokenGap.Seconds())
	}
}

// RecordCall counts a finished call of a plain service.
func (m meter) RecordCall(c *hingedispatch.Call, elapsed time.Duration, err error) {
	m.countOutcome(c.Class.Name, err)
	if err != nil {
		return
	}
	m.metrics.Histogram(hingemetrics.FirstToken, c.Class.Name).Update(elapsed.Seconds())
	if c.Class.FirstToken <= 0 || elapsed <= c.Class.FirstToken {
		m.metrics.Counter(hingemetrics.WithinTargets, c.Class.Name).Inc()
	}
}

// countOutcome counts the final response to a request, and its verdict if it failed.
func (m meter) countOutcome(class string, err error) {
	m.metrics.Counter(hingemetrics.Requests, class, outcomeOf(err)).Inc()
	var v *hingeverdict.Error
	if errors.As(err, &v) {
		code := strconv.Itoa(int(v.Code))
		m.metrics.Counter(hingemetrics.Refusals, code, v.Verdict.String()).Inc()
	}
}

func (m meter) countClaim(key hingeids.IdempotencyKey, replayed bool, err error) {
	kind := "free"
	if hingeledger.IsIssued(key) {
		kind = "issued"
	}
	outcome := "claimed"
	switch {
	case err != nil:
		outcome = "refused"
	case replayed:
		outcome = "replayed"
	}
	m.metrics.Counter(hingemetrics.KeysClaimed, kind, outcome).Inc()
}

func outcomeOf(err error) string {
	var v *hingeverdict.Error
	switch {
	case err == nil:
		return "answered"
	case errors.As(err, &v) && v.Code == hingeverdict.CodeCancelled:
		return "cancelled"
	case hingeverdict.Of(err) == hingeverdict.NotRun:
		return "refused"
	default:
		return "failed"
	}
}

// AddPrefilledTokens counts prompt tokens that an engine has processed.
func (m meter) AddPrefilledTokens(n hingeids.Tokens) {
	m.metrics.Counter(hingemetrics.PrefillTokens).Add(int(n))
}

// AddWastedTokens counts processed prompt tokens whose KV cache was dropped before decode.
func (m meter) AddWastedTokens(n hingeids.Tokens) {
	m.metrics.Counter(hingemetrics.WastedPrefillTokens, "dropped").Add(int(n))
}

// CountRetry counts an attempt after the first, by its reason.
func (m meter) CountRetry(reason string) {
	m.metrics.Counter(hingemetrics.Retries, reason).Inc()
}

// registerGauges registers the gauges, which are evaluated at each request of /metrics.
func (s *Server) registerGauges() {
	for _, g := range []struct {
		definition hingemetrics.Definition
		read       func() int64
	}{
		{
			definition: hingemetrics.InProgress,
			read:       s.callers.Active,
		},
		{
			definition: hingemetrics.Queued,
			read:       s.gates.waiting,
		},
		{
			definition: hingemetrics.CancelsPending,
			read:       s.collector.pendingCancels,
		},
		{
			definition: hingemetrics.SlotsHeld,
			read:       s.slots.heldCount,
		},
		{
			definition: hingemetrics.Revision,
			read: func() int64 {
				if c := s.configuration.Load(); c != nil {
					return int64(c.Revision)
				}
				return 0
			},
		},
		{
			definition: hingemetrics.RevisionKnown,
			read: func() int64 {
				return int64(s.shared.replicator.Applied().Load().View.Revision)
			},
		},
		{
			definition: hingemetrics.HostsAlive,
			read:       s.hostsAlive,
		},
		{
			definition: hingemetrics.ServersUsable,
			read: func() int64 {
				if s.configuration.Load() == nil {
					return 0
				}
				return int64(len(s.listedServers(s.servers.Load().Servers)))
			},
		},
		{
			definition: hingemetrics.Ready,
			read: func() int64 {
				if s.Ready() {
					return 1
				}
				return 0
			},
		},
	} {
		s.metrics.Gauge(g.definition, func() float64 {
			return float64(g.read())
		})
	}
}

func (s *Server) hostsAlive() int64 {
	n := int64(0)
	for _, h := range s.shared.members.Hosts().Load().Hosts {
		if h.State == hingemembers.Alive {
			n++
		}
	}
	return n
}
