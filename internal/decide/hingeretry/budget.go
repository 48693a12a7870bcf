package hingeretry

import "time"

// Budget is rule 4: each request that comes adds a share of a repeat. It is not
// safe for use by several goroutines at once.
type Budget struct {
	limits Limits
	tokens float64
	last   time.Time
}

// Limits of a budget.
type Limits struct {
	// PerRequest is the share of a repeat that each request adds.
	PerRequest float64
	// Burst is the most repeats that are saved up.
	Burst float64
	// PerSecond trickles in without requests.
	PerSecond float64
}

// The budget. A tenth keeps the load under 1.1 times what came. The burst covers
// the requests of half an engine that fails; the trickle lets a host with few
// requests repeat at all.
const (
	perRequest = 0.1
	burst      = 10.0
	perSecond  = 0.1
)

// NewBudget makes a budget with the limits of a host on its own.
func NewBudget(now time.Time) *Budget {
	return NewBudgetOf(now, Limits{
		PerRequest: perRequest,
		Burst:      burst,
		PerSecond:  perSecond,
	})
}

// startShare is the part of its burst that a budget begins with: when half of the fleet's processes are
// killed they all begin anew, some having spent theirs, and the fleet's budget would be
// spent one and a half times.
const startShare = 0.5

// NewBudgetOf makes a budget that holds half of its burst.
func NewBudgetOf(now time.Time, l Limits) *Budget {
	return &Budget{
		limits: l,
		tokens: startShare * l.Burst,
		last:   now,
	}
}

// SetLimits takes other limits: a host's part of a budget that the fleet shares
// depends on how many hosts there are.
func (b *Budget) SetLimits(l Limits) {
	b.limits = l
	b.tokens = min(b.tokens, l.Burst)
}

// Request notes that a request came, from its caller and not as a repeat.
func (b *Budget) Request() {
	b.tokens = min(b.limits.Burst, b.tokens+b.limits.PerRequest)
}

// Take takes the arrivals at servers that a repeat adds, if there are as many.
func (b *Budget) Take(now time.Time, arrivals int) bool {
	if passed := now.Sub(b.last); passed > 0 {
		b.tokens = min(b.limits.Burst, b.tokens+b.limits.PerSecond*passed.Seconds())
		b.last = now
	}
	if b.tokens < float64(arrivals) {
		return false
	}
	b.tokens -= float64(arrivals)
	return true
}
