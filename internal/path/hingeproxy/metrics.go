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

// maxNamedCustomers is the number of customers with a metric series of their own, the first that the host serves. It
// bounds the series over all hosts; the event log names every customer.
const maxNamedCustomers = 50

// otherCustomers is the label of the customers beyond maxNamedCustomers.
const otherCustomers hingeids.CallerID = "others"

// outcome is the outcome of a customer's request, as a metric label.
type outcome string

const (
	outcomeAnswered   outcome = "answered"
	outcomeRefused    outcome = "refused"
	outcomeOverQuota  outcome = "overQuota"
	outcomeFailed     outcome = "failed"
	outcomeCallerGone outcome = "callerGone"
)

func outcomeOfError(e *hingeverdict.Error) outcome {
	switch {
	case e.Verdict != hingeverdict.NotRun:
		return outcomeFailed
	case e.Code == hingeverdict.CodeOverQuota:
		return outcomeOverQuota
	}
	return outcomeRefused
}

type meter struct {
	mu    sync.Mutex
	named map[hingeids.CallerID]bool

	set               *metrics.Set
	plainSeconds      *metrics.Histogram
	streamSeconds     *metrics.Histogram
	firstEventSeconds *metrics.Histogram
	// poisonRefusals counts the requests refused because they crash servers; crashes counts the servers that crashed
	// while they had a request.
	poisonRefusals *metrics.Counter
	crashes        *metrics.Counter
	// noticeChanges counts the statements of servers that changed what this host knows of them; unreadNotices counts
	// the answers with a statement that couldn't be read.
	noticeChanges *metrics.Counter
	unreadNotices *metrics.Counter
	// dialsConnected, dialsRefused and dialsFailed count the connections to servers by result; those that were
	// cancelled are not counted.
	dialsConnected *metrics.Counter
	dialsRefused   *metrics.Counter
	dialsFailed    *metrics.Counter
}

func newMeter() *meter {
	s := metrics.NewSet()
	return &meter{
		named:             make(map[hingeids.CallerID]bool),
		set:               s,
		plainSeconds:      s.NewHistogram("swifthinge_plain_answer_seconds"),
		streamSeconds:     s.NewHistogram("swifthinge_stream_seconds"),
		firstEventSeconds: s.NewHistogram("swifthinge_first_event_seconds"),
		poisonRefusals:    s.NewCounter("swifthinge_poison_refused_total"),
		crashes:           s.NewCounter("swifthinge_servers_ended_total"),
		noticeChanges:     s.NewCounter("swifthinge_server_notices_total"),
		unreadNotices:     s.NewCounter("swifthinge_server_notices_unread_total"),
		dialsConnected:    s.NewCounter(`swifthinge_server_dials_total{result="connected"}`),
		dialsRefused:      s.NewCounter(`swifthinge_server_dials_total{result="refused"}`),
		dialsFailed:       s.NewCounter(`swifthinge_server_dials_total{result="failed"}`),
	}
}

// countRequest ignores requests without a customer.
func (m *meter) countRequest(c hingeids.CallerID, o outcome) {
	if c == "" {
		return
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("swifthinge_customer_requests_total{customer=%q,outcome=%q}", m.label(c), o)).Inc()
}

func (m *meter) label(c hingeids.CallerID) hingeids.CallerID {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.named[c] && len(m.named) >= maxNamedCustomers {
		return otherCustomers
	}
	m.named[c] = true
	return c
}

func (m *meter) countOwnAnswer(status int) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`swifthinge_own_answers_total{status="%d"}`, status)).Inc()
}

func (m *meter) countAnswer(status int, elapsed time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`swifthinge_answers_total{status="%d"}`, status)).Inc()
	m.plainSeconds.Update(elapsed.Seconds())
}

func (m *meter) countStream(elapsed, firstEvent time.Duration) {
	m.set.GetOrCreateCounter("swifthinge_streams_total").Inc()
	m.streamSeconds.Update(elapsed.Seconds())
	m.firstEventSeconds.Update(firstEvent.Seconds())
}

// WriteMetrics writes the proxy's metrics in the Prometheus text format.
func (p *Proxy) WriteMetrics(w io.Writer) {
	p.meter.set.WritePrometheus(w)
}
