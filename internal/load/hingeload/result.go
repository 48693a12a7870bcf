package hingeload

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// Result has the counts and latencies of a run.
type Result struct {
	Mix      string         `json:"mix"`
	Seed     uint64         `json:"seed"`
	Hosts    int            `json:"hosts"`
	Verified bool           `json:"judged"`
	Seconds  float64        `json:"seconds"`
	Classes  []*ClassResult `json:"classes"`
	// OfferedPerSecond and InTargetPerSecond are indexed by the second of the scheduled arrival.
	OfferedPerSecond  []int `json:"offeredPerSecond"`
	InTargetPerSecond []int `json:"inTargetPerSecond"`
	// Unsent counts requests dropped because Options.MaxOpen were open; a run
	// with any doesn't measure the router. SendLagMs is the delay of requests
	// behind the schedule.
	Unsent    int       `json:"unsent"`
	SendLagMs Quantiles `json:"sendLagMs"`
	// Cases are the first requests that were lost, uncertain, or answered
	// wrongly, with the ids to pass to swifthinge explain.
	Cases []Case `json:"cases,omitempty"`
	// Standins is nil if no stand-in addresses were given.
	Standins *StandinCounts `json:"standins,omitempty"`

	mu   sync.Mutex
	lag  *hdrhistogram.Histogram
	open int
}

// ClassResult has the counts and latencies of one class.
type ClassResult struct {
	Name string `json:"name"`
	Sent int    `json:"sent"`
	// Answered counts complete answers, InTarget those of them within both targets.
	Answered int `json:"answered"`
	InTarget int `json:"inTarget"`
	// Refused counts requests whose final verdict was that they didn't run,
	// Uncertain those that may have run. Lost got no final answer.
	Refused   int `json:"refused"`
	Uncertain int `json:"uncertain"`
	Lost      int `json:"lost"`
	// Truncated, Duplicated and Misdelivered count answers that ended as complete
	// but had the wrong text.
	Truncated    int `json:"truncated"`
	Duplicated   int `json:"doubled"`
	Misdelivered int `json:"crossed"`
	// Attempts and Refusals count over all attempts, Codes by the verdict code
	// of refusals and errors.
	Attempts     int         `json:"attempts"`
	Refusals     int         `json:"refusals"`
	Codes        map[int]int `json:"codes,omitempty"`
	FirstTokenMs Quantiles   `json:"firstTokenMs"`
	TokenGapMs   Quantiles   `json:"tokenGapMs"`

	// FirstToken and TokenGap are in microseconds.
	FirstToken *hdrhistogram.Histogram `json:"-"`
	TokenGap   *hdrhistogram.Histogram `json:"-"`
}

// Case is one request that failed.
type Case struct {
	Class    string  `json:"class"`
	Problem  string  `json:"what"`
	Request  string  `json:"request"`
	Second   float64 `json:"second"`
	Attempts int     `json:"attempts"`
	Code     int     `json:"code,omitempty"`
	Detail   string  `json:"detail,omitempty"`
}

// maxCases bounds the cases listed in a report.
const maxCases = 50

// Quantiles summarizes a histogram, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p999"`
	Max   float64 `json:"max"`
}

// StandinCounts is the sum of the stand-ins' counters over the run.
type StandinCounts struct {
	Runs int `json:"runs"`
	// CallRuns counts runs at plain services. It exceeds the number of calls
	// only if one was repeated without a key.
	CallRuns      int             `json:"callRuns"`
	PrefillTokens hingeids.Tokens `json:"prefillTokens"`
	WastedTokens  hingeids.Tokens `json:"wastedTokens"`
	CachedTokens  hingeids.Tokens `json:"cachedTokens"`
	// MaxRunsPerKey is the maximum over the stand-ins since their start. Held
	// is the number of allocations still held at the end.
	MaxRunsPerKey int `json:"mostRunsOfAKey"`
	Held          int `json:"held"`
	// SettledSeconds is the time from the last answer until Held was 0, or until
	// Options.SettleTimeout had passed.
	SettledSeconds float64 `json:"settledSeconds"`
	// Unread counts stand-ins whose counters couldn't be read or were reset by a restart.
	Unread int `json:"unread"`
}

// WastedShare returns the share of the prefill tokens from which no answer was decoded.
func (c StandinCounts) WastedShare() float64 {
	if c.PrefillTokens == 0 {
		return 0
	}
	return float64(c.WastedTokens) / float64(c.PrefillTokens)
}

// Violations counts violated guarantees: lost requests, truncated, duplicated and
// misdelivered answers, and one if any request with a key ran more than once.
func (r *Result) Violations() int {
	n := 0
	for _, c := range r.Classes {
		n += c.Lost + c.Truncated + c.Duplicated + c.Misdelivered
	}
	if r.Standins != nil && r.Standins.MaxRunsPerKey > 1 {
		n++
	}
	return n
}

// Total sums the counts of all classes, without codes and histograms.
func (r *Result) Total() ClassResult {
	t := ClassResult{
		Name: "all",
	}
	for _, c := range r.Classes {
		t.Sent += c.Sent
		t.Answered += c.Answered
		t.InTarget += c.InTarget
		t.Refused += c.Refused
		t.Uncertain += c.Uncertain
		t.Lost += c.Lost
		t.Truncated += c.Truncated
		t.Duplicated += c.Duplicated
		t.Misdelivered += c.Misdelivered
		t.Attempts += c.Attempts
		t.Refusals += c.Refusals
	}
	return t
}

// newHistogram returns a histogram of 1 µs to 1 h with three significant digits.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, time.Hour.Microseconds(), 3)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), time.Hour.Microseconds()))
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	ms := func(percent float64) float64 {
		return float64(h.ValueAtQuantile(percent)) / 1000
	}
	return Quantiles{
		Count: h.TotalCount(),
		P50:   ms(50),
		P90:   ms(90),
		P99:   ms(99),
		P999:  ms(99.9),
		Max:   float64(h.Max()) / 1000,
	}
}

func newResult(m Mix) *Result {
	r := &Result{
		Mix: m.Name,
		lag: newHistogram(),
	}
	for _, c := range m.Classes {
		r.Classes = append(r.Classes, &ClassResult{
			Name:       c.Name,
			Codes:      make(map[int]int),
			FirstToken: newHistogram(),
			TokenGap:   newHistogram(),
		})
	}
	return r
}

func (r *Result) class(name string) *ClassResult {
	for _, c := range r.Classes {
		if c.Name == name {
			return c
		}
	}
	return nil
}

// add counts a finished request; first is the time from its scheduled arrival
// to its first token.
func (r *Result) add(a Arrival, result requestResult, first time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open--
	c := r.class(a.Class.Name)
	c.Attempts += result.attempts
	c.Refusals += result.refusals
	for _, code := range result.codes {
		c.Codes[code]++
	}
	r.addCase(a, result)
	switch result.outcome {
	case refused:
		c.Refused++
	case uncertain:
		c.Uncertain++
	case incomplete, unreachable:
		c.Lost++
	case answered:
		switch result.finding {
		case Truncated:
			c.Truncated++
		case Duplicated:
			c.Duplicated++
		case Misdelivered:
			c.Misdelivered++
		case Correct:
			r.addComplete(a, c, result.reply, first)
		}
	}
}

func (r *Result) addComplete(a Arrival, c *ClassResult, got reply, first time.Duration) {
	c.Answered++
	record(c.FirstToken, first)
	sum := time.Duration(0)
	for _, gap := range got.tokenGaps {
		record(c.TokenGap, gap)
		sum += gap
	}
	// The target applies to the mean gap, since readers buffer a stream.
	inTarget := first <= a.Class.FirstToken
	if n := time.Duration(len(got.tokenGaps)); n > 0 && a.Class.TokenGap > 0 {
		inTarget = inTarget && sum/n <= a.Class.TokenGap
	}
	if inTarget {
		c.InTarget++
		r.InTargetPerSecond[int(a.ScheduledAt/time.Second)]++
	}
}

// recordSent counts a scheduled request as open. It returns false if limit
// requests are open already; the request is then counted as unsent.
func (r *Result) recordSent(a Arrival, lag time.Duration, limit int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.OfferedPerSecond[int(a.ScheduledAt/time.Second)]++
	if r.open >= limit {
		r.Unsent++
		return false
	}
	r.open++
	r.class(a.Class.Name).Sent++
	record(r.lag, lag)
	return true
}

func (r *Result) finish(elapsed time.Duration) {
	r.Seconds = elapsed.Seconds()
	r.SendLagMs = quantiles(r.lag)
	for _, c := range r.Classes {
		c.FirstTokenMs = quantiles(c.FirstToken)
		c.TokenGapMs = quantiles(c.TokenGap)
	}
}
