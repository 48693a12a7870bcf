package hingeproxy

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
)

// mostNamed is how many customers a host counts by name: the first that it serves. Thousands of names at hundreds of hosts would
// be more series than anybody keeps; the lines tell of each.
const mostNamed = 50

// otherCustomers stands for the customers beyond mostNamed.
const otherCustomers hingeids.CallerID = "others"

// outcome is what a customer's request got, as metrics name it.
type outcome string

const (
	outcomeAnswered  outcome = "answered"
	outcomeRefused   outcome = "refused"
	outcomeOverQuota outcome = "overQuota"
	outcomeFailed    outcome = "failed"
	outcomeGone      outcome = "callerGone"
)

// outcomeOfError is what a request got that was given up.
func outcomeOfError(e *hingeverdict.Error) outcome {
	switch {
	case e.Verdict != hingeverdict.NotRun:
		return outcomeFailed
	case e.Code == hingeverdict.CodeOverQuota:
		return outcomeOverQuota
	}
	return outcomeRefused
}

// meter counts what callers got.
type meter struct {
	mu    sync.Mutex
	named map[hingeids.CallerID]bool

	set     *metrics.Set
	plain   *metrics.Histogram
	streams *metrics.Histogram
	first   *metrics.Histogram
	// poisons counts the requests refused because they end servers, ends the servers that ended under a request.
	poisons *metrics.Counter
	ends    *metrics.Counter
}

func newMeter() *meter {
	s := metrics.NewSet()
	return &meter{
		named:   make(map[hingeids.CallerID]bool),
		set:     s,
		plain:   s.NewHistogram("swifthinge_plain_answer_seconds"),
		streams: s.NewHistogram("swifthinge_stream_seconds"),
		first:   s.NewHistogram("swifthinge_first_event_seconds"),
		poisons: s.NewCounter("swifthinge_poison_refused_total"),
		ends:    s.NewCounter("swifthinge_servers_ended_total"),
	}
}

// customer counts a request of a customer, if it is one's.
func (m *meter) customer(c hingeids.CallerID, o outcome) {
	if c == "" {
		return
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("swifthinge_customer_requests_total{customer=%q,outcome=%q}", m.label(c), o)).Inc()
}

// label is the name that a customer is counted by.
func (m *meter) label(c hingeids.CallerID) hingeids.CallerID {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.named[c] && len(m.named) >= mostNamed {
		return otherCustomers
	}
	m.named[c] = true
	return c
}

func (m *meter) ownAnswer(status int) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`swifthinge_own_answers_total{status="%d"}`, status)).Inc()
}

func (m *meter) answered(status int, took time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`swifthinge_answers_total{status="%d"}`, status)).Inc()
	m.plain.Update(took.Seconds())
}

func (m *meter) streamed(took, first time.Duration) {
	m.set.GetOrCreateCounter("swifthinge_streams_total").Inc()
	m.streams.Update(took.Seconds())
	m.first.Update(first.Seconds())
}

// WriteMetrics writes the proxy's metrics as text.
func (p *Proxy) WriteMetrics(w io.Writer) {
	p.meter.set.WritePrometheus(w)
}
