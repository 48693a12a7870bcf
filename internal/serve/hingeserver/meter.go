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

// meter counts for /metrics what the request path tells it.
type meter struct {
	metrics *hingemetrics.Metrics
}

var _ hingedispatch.Meter = meter{}

// RecordResult counts a completion.
func (m meter) RecordResult(f hingedispatch.Result) {
	class := f.CompletionRequest.Class.Name
	m.ended(class, f.Err)
	m.metrics.Counter(hingemetrics.TokensRelayed).Add(f.Tokens)
	if f.MetTargets() {
		m.metrics.Counter(hingemetrics.WithinTargets, class).Inc()
	}
	if f.FirstToken > 0 {
		m.metrics.Histogram(hingemetrics.FirstToken, class).Update(f.FirstToken.Seconds())
	}
	if f.MeanTokenGap > 0 {
		m.metrics.Histogram(hingemetrics.TokenGap, class).Update(f.MeanTokenGap.Seconds())
	}
}

// RecordCall counts a call of a plain service.
func (m meter) RecordCall(c *hingedispatch.Call, took time.Duration, err error) {
	m.ended(c.Class.Name, err)
	if err != nil {
		return
	}
	m.metrics.Histogram(hingemetrics.FirstToken, c.Class.Name).Update(took.Seconds())
	if c.Class.FirstToken <= 0 || took <= c.Class.FirstToken {
		m.metrics.Counter(hingemetrics.WithinTargets, c.Class.Name).Inc()
	}
}

// ended counts a final answer.
func (m meter) ended(class string, err error) {
	m.metrics.Counter(hingemetrics.Requests, class, outcomeOf(err)).Inc()
	var v *hingeverdict.Error
	if errors.As(err, &v) {
		code := strconv.Itoa(int(v.Code))
		m.metrics.Counter(hingemetrics.Refusals, code, v.Verdict.String()).Inc()
	}
}

// claimed counts the claim of an idempotency key.
func (m meter) claimed(key hingeids.IdempotencyKey, replayed bool, err error) {
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

// AddPrefilledTokens counts prompt tokens that were worked.
func (m meter) AddPrefilledTokens(n hingeids.Tokens) {
	m.metrics.Counter(hingemetrics.PrefillTokens).Add(int(n))
}

// AddWastedTokens counts prompt tokens whose KV cache was dropped before decode.
func (m meter) AddWastedTokens(n hingeids.Tokens) {
	m.metrics.Counter(hingemetrics.WastedPrefillTokens, "dropped").Add(int(n))
}

// CountRetry counts an attempt after the first.
func (m meter) CountRetry(reason string) {
	m.metrics.Counter(hingemetrics.Retries, reason).Inc()
}

// openGauges shows what is read when /metrics is asked for.
func (s *Server) openGauges() {
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
			read:       s.holds.pending,
		},
		{
			definition: hingemetrics.SlotsHeld,
			read:       s.slots.holding,
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
				return int64(s.shared.spread.Applied().Load().View.Revision)
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
				return int64(len(s.listed(s.servers.Load().Servers)))
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
