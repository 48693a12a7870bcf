// Package hingemetrics holds the metrics of one process, and its readiness and
// liveness.
//
//  1. Every metric is in Table, from which docs/METRICS.md is generated. Metrics
//     with labels other than those of their definition can't be created.
//  2. A metric has few labels with few values each: classes, codes, reasons.
//     Callers, requests and servers aren't labels, since their number is unbounded.
//  3. Code that counts for each token keeps the counter or histogram: a lookup
//     takes a lock and allocates.
//  4. The event recorder counts events by number, so that every event of the
//     catalogue is also a metric.
package hingemetrics

import (
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/VictoriaMetrics/metrics"

	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
)

// Metrics are the metrics of one process. They are safe for concurrent use.
type Metrics struct {
	set    *metrics.Set
	events *hingeevents.Recorder
}

// New returns the metrics of a process. The recorder may be nil; then no events are counted.
func New(events *hingeevents.Recorder) *Metrics {
	return &Metrics{
		set:    metrics.NewSet(),
		events: events,
	}
}

// Counter returns the counter for the label values, and creates it at the first call. It
// panics if the definition is of another kind or has another number of labels.
func (m *Metrics) Counter(d Definition, values ...string) *metrics.Counter {
	return m.set.GetOrCreateCounter(name(d, CounterKind, values))
}

// Histogram returns the histogram for the label values, as Counter does. Its samples are in seconds.
func (m *Metrics) Histogram(d Definition, values ...string) *metrics.Histogram {
	return m.set.GetOrCreateHistogram(name(d, HistogramKind, values))
}

// Gauge registers the function that returns the value of a gauge. Write calls it, in
// the goroutine of its own caller. It panics as Counter does.
func (m *Metrics) Gauge(d Definition, read func() float64, values ...string) {
	m.set.GetOrCreateGauge(name(d, GaugeKind, values), read)
}

// Write writes all metrics in the Prometheus text format, including those of the
// Go runtime and the process.
func (m *Metrics) Write(w io.Writer) {
	m.set.WritePrometheus(w)
	m.writeEvents(w)
	metrics.WriteProcessMetrics(w)
}

// writeEvents writes the event counts of the recorder (rule 4).
func (m *Metrics) writeEvents(w io.Writer) {
	if m.events == nil {
		return
	}
	for _, c := range m.events.Counts() {
		entry, ok := hingeevents.Lookup(c.Number)
		if !ok {
			entry.Name = "unknown"
		}
		metrics.WriteCounterUint64(w, name(Events, CounterKind, []string{
			strconv.Itoa(int(c.Number)),
			entry.Name,
			entry.Severity.String(),
		}), c.Count)
	}
}

func name(d Definition, k Kind, values []string) string {
	if d.Kind != k || len(values) != len(d.Labels) {
		panic(fmt.Sprintf("hingemetrics: %s is a %v with labels %v, not a %v with %v", d.Name, d.Kind, d.Labels, k, values))
	}
	if len(values) == 0 {
		return d.Name
	}
	var b strings.Builder
	b.WriteString(d.Name)
	for i, v := range values {
		separator := ","
		if i == 0 {
			separator = "{"
		}
		fmt.Fprintf(&b, "%s%s=%q", separator, d.Labels[i], v)
	}
	b.WriteString("}")
	return b.String()
}
