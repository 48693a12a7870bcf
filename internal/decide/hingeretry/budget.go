package hingeretry

import "time"

// Budget is the retry budget of rule 4, a token bucket to which each new request adds a fraction of
// a retry. It is not safe for concurrent use.
type Budget struct {
	limits    Limits
	tokens    float64
	updatedAt time.Time
}

// Limits are the parameters of a Budget.
type Limits struct {
	// PerRequest is the number of retries that each request adds, usually a fraction.
	PerRequest float64
	// Burst is the maximum number of retries saved up.
	Burst float64
	// PerSecond is the number of retries added per second, independent of requests.
	PerSecond float64
}

// Limits of a single host. The share of retries bounds the load to 1.1 times the requests received.
// The saved retries cover the requests of half of a failed engine; the rate per second allows hosts
// with few requests to retry at all.
const (
	retriesPerRequest = 0.1
	maxSavedRetries   = 10.0
	retriesPerSecond  = 0.1
)

// NewBudget returns a budget with the limits of a single host.
func NewBudget(now time.Time) *Budget {
	return NewBudgetWithLimits(now, Limits{
		PerRequest: retriesPerRequest,
		Burst:      maxSavedRetries,
		PerSecond:  retriesPerSecond,
	})
}

// initialShare is the share of its burst that a budget starts with. With a full one, restarting
// half of the hosts of a fleet could renew a burst that was already spent.
const initialShare = 0.5

// NewBudgetWithLimits returns a budget that holds half of its burst.
func NewBudgetWithLimits(now time.Time, l Limits) *Budget {
	return &Budget{
		limits:    l,
		tokens:    initialShare * l.Burst,
		updatedAt: now,
	}
}

// NewEmptyBudget returns a budget that has nothing saved up.
func NewEmptyBudget(now time.Time, l Limits) *Budget {
	return &Budget{
		limits:    l,
		updatedAt: now,
	}
}

// SetLimits changes the limits, for a host whose share of a fleet's budget depends on the number of
// hosts.
func (b *Budget) SetLimits(l Limits) {
	b.limits = l
	b.tokens = min(b.tokens, l.Burst)
}

// RecordRequest records a new request from a caller. It must not be called for retries.
func (b *Budget) RecordRequest() {
	b.tokens = min(b.limits.Burst, b.tokens+b.limits.PerRequest)
}

// Spend spends the given number of messages to servers, and reports whether the budget had as many
// left.
func (b *Budget) Spend(now time.Time, messages int) bool {
	if elapsed := now.Sub(b.updatedAt); elapsed > 0 {
		b.tokens = min(b.limits.Burst, b.tokens+b.limits.PerSecond*elapsed.Seconds())
		b.updatedAt = now
	}
	if b.tokens < float64(messages) {
		return false
	}
	b.tokens -= float64(messages)
	return true
}
