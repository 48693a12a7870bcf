package hingeslots

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

const (
	benchWarmUp   = 6 * time.Second
	benchDuration = 10 * time.Second
)

// BenchmarkSlopes measures the messages per idle engine and per request, by
// number of hosts and engines. Its time covers all hosts, which run one after
// the other.
func BenchmarkSlopes(b *testing.B) {
	for _, size := range []struct{ hosts, engines int }{
		{hosts: 2, engines: 3},
		{hosts: 7, engines: 3},
		{hosts: 7, engines: 6},
		{hosts: 7, engines: 12},
		{hosts: 20, engines: 3},
		{hosts: 93, engines: 1},
	} {
		b.Run(fmt.Sprintf("hosts=%d/engines=%d", size.hosts, size.engines), func(b *testing.B) {
			for range b.N {
				measureSize(b, size.hosts, size.engines)
			}
		})
	}
}

func measureSize(b *testing.B, hosts, engines int) {
	start := time.Now()
	idle := runZone(hosts, engines, 0, b)
	elapsed := time.Since(start)
	s := runZone(hosts, engines, 5, b)
	seconds := benchDuration.Seconds()
	b.ReportMetric(float64(idle.messages)/seconds/float64(engines), "idle-messages/s/engine")
	b.ReportMetric(float64(idle.messages)/seconds/float64(hosts), "idle-messages/s/host")
	total := (benchWarmUp + benchDuration).Seconds()
	b.ReportMetric(float64(elapsed.Microseconds())/total/float64(hosts), "idle-µs/s/host")
	b.ReportMetric(float64(s.messages-idle.messages)/float64(len(s.answered)), "messages/request")
	b.ReportMetric(float64(idle.bytes)/float64(idle.messages), "idle-B/message")
	b.ReportMetric(float64(len(s.answered))/seconds, "granted/s")
}

// runZone simulates a zone with the given rate of requests per second and
// engine. The counts start at the end of the warm-up.
func runZone(hosts, engines, rate int, b *testing.B) *simulation {
	s := newSimulation(1, hosts, engines, 20, false)
	s.run(benchWarmUp)
	s.messages, s.countBytes = 0, true
	clear(s.answered)
	if rate == 0 {
		s.run(benchWarmUp + benchDuration)
		return s
	}
	total := rate * engines * int(benchDuration/time.Second)
	for i := range total {
		s.startRequest(s.hosts[s.names[i%hosts]], 0, hingeids.ServerID(fmt.Sprintf("engine-%d", i/hosts%engines)))
		s.run(benchWarmUp + benchDuration*time.Duration(i+1)/time.Duration(total))
	}
	if len(s.violations) > 0 {
		b.Fatal(s.violations[0])
	}
	return s
}

func wireSize(m Message) int {
	body, err := cbor.Marshal(m)
	if err != nil {
		panic(err) // Only types that CBOR can't encode fail, and Message has none.
	}
	return len(body)
}
