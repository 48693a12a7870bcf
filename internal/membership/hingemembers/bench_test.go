package hingemembers

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

const (
	benchWarmup   = 12 * time.Second
	benchDuration = 2 * time.Second
)

// BenchmarkSlopes measures a member's traffic, CPU time and heap and the age of its
// load reports, by the number of members and of servers. The CPU time is that of the
// whole simulation divided by the members.
func BenchmarkSlopes(b *testing.B) {
	for _, size := range []struct{ hosts, servers int }{
		{hosts: 7, servers: 12},
		{hosts: 35, servers: 12},
		{hosts: 70, servers: 12},
		{hosts: 140, servers: 12},
		{hosts: 280, servers: 12},
		{hosts: 7, servers: 48},
		{hosts: 7, servers: 192},
		{hosts: 35, servers: 48},
		{hosts: 35, servers: 192},
	} {
		b.Run(fmt.Sprintf("members=%d/servers=%d", size.hosts, size.servers), func(b *testing.B) {
			for range b.N {
				measureSize(b, size.hosts, size.servers)
			}
		})
	}
}

func measureSize(b *testing.B, hosts, servers int) {
	before := heapInUse()
	s := newSimulation(1, 1, hosts, false)
	announce(s, servers, benchWarmup)
	clear(s.bytes)
	clear(s.messages)
	started := time.Now()
	announce(s, servers, benchWarmup+benchDuration)
	elapsed := time.Since(started)

	bytes, messages, most := 0, 0, 0
	for h := range s.bytes {
		bytes += s.bytes[h]
		messages += s.messages[h]
		most = max(most, s.bytes[h])
	}
	members, seconds := float64(hosts), benchDuration.Seconds()
	b.ReportMetric(float64(bytes)/members/seconds, "B/s/member")
	b.ReportMetric(float64(most)/seconds, "B/s/busiest")
	b.ReportMetric(float64(messages)/members/seconds, "messages/s/member")
	b.ReportMetric(float64(elapsed.Microseconds())/members/seconds, "µs/s/member")
	b.ReportMetric(float64(heapInUse()-before)/members, "heapB/member")
	known, age := reports(s)
	b.ReportMetric(known/members, "servers/member")
	b.ReportMetric(age, "ms-age")
	runtime.KeepAlive(s)
}

// Each server announces itself twice a second.
func announce(s *simulation, servers int, until time.Duration) {
	pause := time.Second / time.Duration(2*servers)
	for i := int(s.now / pause); s.now < until; i++ {
		a := announcement(uint64(i + 1))
		a.Server = hingeids.ServerID(fmt.Sprintf("engine-%d", i%servers))
		h := s.hosts[i%servers%len(s.hosts)]
		h.state.Announce(s.clock(h), a)
		s.run(s.now+pause, nil)
	}
}

// The age is the mean in ms over all members' views.
func reports(s *simulation) (known, age float64) {
	for _, h := range s.hosts {
		now := s.clock(h)
		for _, e := range h.state.servers.View(now).Servers {
			known++
			age += float64(e.ReportAge(now).Milliseconds())
		}
	}
	return known, age / max(known, 1)
}

func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkLeases measures the share of the time in which members hold a valid lease
// without failures, in three zones with one voter each, by the number of hosts in a
// zone.
func BenchmarkLeases(b *testing.B) {
	for _, inZone := range []int{2, 3, 6, 12, 31} {
		b.Run(fmt.Sprintf("hostsInZone=%d", inZone), func(b *testing.B) {
			for range b.N {
				s := newSimulation(1, 3, inZone, false)
				s.run(benchWarmup, nil)
				samples, leased := 0, 0
				s.run(benchWarmup+benchDuration, func() {
					for _, h := range s.hosts {
						samples++
						if s.clock(h).Before(h.state.LeaseUntil(s.clock(h))) {
							leased++
						}
					}
				})
				b.ReportMetric(100*float64(leased)/float64(samples), "%standing")
			}
		})
	}
}
