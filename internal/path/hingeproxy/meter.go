package hingeproxy

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// meter counts what callers got.
type meter struct {
	set     *metrics.Set
	plain   *metrics.Histogram
	streams *metrics.Histogram
	first   *metrics.Histogram
}

func newMeter() *meter {
	s := metrics.NewSet()
	return &meter{
		set:     s,
		plain:   s.NewHistogram("swifthinge_plain_answer_seconds"),
		streams: s.NewHistogram("swifthinge_stream_seconds"),
		first:   s.NewHistogram("swifthinge_first_event_seconds"),
	}
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
