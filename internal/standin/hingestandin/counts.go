package hingestandin

import "github.com/swifthinge/swifthinge/internal/core/hingeids"

// Counts are the counters of a stand-in, served at /standin/counts.
type Counts struct {
	// Requests counts completions and service calls received, Runs those executed.
	Requests int `json:"requests"`
	Runs     int `json:"runs"`
	// MaxRunsPerKey is the maximum number of runs under one Idempotency-Key.
	MaxRunsPerKey int `json:"mostRunsOfAKey"`
	// Held is the current number of generations, imports and KV cache exports.
	Held int `json:"held"`
	// SlotOverruns counts requests to a decode engine that had no free slot or was
	// running the same request id.
	SlotOverruns int `json:"overfull"`
	// MaxHeld is the maximum number of generations held at once.
	MaxHeld int `json:"mostHeld"`
	// PrefillTokens counts tokens prefilled, and WastedTokens those of them whose
	// KV cache was freed without being imported.
	PrefillTokens hingeids.Tokens `json:"prefillTokens"`
	WastedTokens  hingeids.Tokens `json:"wastedTokens"`
	CachedTokens  hingeids.Tokens `json:"cachedTokens"`
	DecodedTokens hingeids.Tokens `json:"decodedTokens"`
	Cancelled     int             `json:"cancelled"`
	Orders        int             `json:"orders"`
	// StaleOrders counts orders executed although their fencing number was old.
	StaleOrders int `json:"oldOrders"`
	// RefusedOrders counts orders refused because their fencing number was old.
	RefusedOrders int `json:"refusedOrders"`
}

// Counts returns a snapshot of the counters.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counts
	c.Held = len(s.running) + len(s.exports)
	for _, n := range s.runs {
		c.MaxRunsPerKey = max(c.MaxRunsPerKey, n)
	}
	return c
}

// RunsOfKey returns the number of runs of service calls with the idempotency key.
func (s *Server) RunsOfKey(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key]
}

func (s *Server) updateCounts(f func(c *Counts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.counts)
}
