package hingelink

import (
	"context"
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// BenchmarkMesh measures an idle connection in a full mesh of hosts. Memory and CPU
// time include both ends. QUIC counts bytes and packets without UDP and IP headers.
func BenchmarkMesh(b *testing.B) {
	for _, hosts := range []int{4, 8, 16, 32} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			for range b.N {
				measureMesh(b, hosts)
			}
		})
	}
}

func measureMesh(b *testing.B, hosts int) {
	// QUIC's path MTU discovery sends packets of several sizes in the first seconds
	// of a connection.
	const settleTime, measureTime = 5 * time.Second, 3 * time.Second
	before := memoryInUse()
	links := make([]*QUIC, hosts)
	for i := range links {
		links[i] = newTestLink(b, meshHost(i), 1)
		links[i].config.Recorder = nil // It would log each connection that is closed at the end.
	}
	for i, q := range links {
		for j, o := range links {
			if i != j {
				q.addTestPeer(meshHost(j), o.Addr())
			}
		}
	}
	ctx := run(b, links...)
	connect(ctx, b, links)
	time.Sleep(settleTime)
	memory := memoryInUse() - before
	bytes, packets := traffic(b, links)
	cpuTime := cpuTimeUsed(b)
	time.Sleep(measureTime)
	cpuTime = cpuTimeUsed(b) - cpuTime
	bytesAfter, packetsAfter := traffic(b, links)

	connections := float64(hosts * (hosts - 1))
	connectionSeconds := connections * measureTime.Seconds()
	b.ReportMetric(float64(memory)/connections, "B/connection")
	b.ReportMetric(float64(bytesAfter-bytes)/connectionSeconds, "wireB/s/connection")
	b.ReportMetric(float64(packetsAfter-packets)/connectionSeconds, "packets/s/connection")
	b.ReportMetric(float64(cpuTime.Microseconds())/connectionSeconds, "cpu-µs/s/connection")
}

func meshHost(i int) hingeids.HostID {
	return hingeids.HostID(fmt.Sprintf("host-%d", i))
}

func connect(ctx context.Context, b *testing.B, links []*QUIC) {
	for _, q := range links {
		for _, p := range q.peers {
			for ctx.Err() == nil {
				if conn, _, _ := p.state(); conn != nil {
					break
				}
				time.Sleep(10 * time.Millisecond)
			}
		}
	}
	if ctx.Err() != nil {
		b.Fatal("not all connections were opened")
	}
}

func traffic(b *testing.B, links []*QUIC) (bytes, packets uint64) {
	for _, q := range links {
		for host, p := range q.peers {
			conn, _, unavailable := p.state()
			if conn == nil {
				b.Fatalf("host %s lost its connection to %s: %v", q.config.Self, host, unavailable)
			}
			s := conn.ConnectionStats()
			bytes += s.BytesSent + s.BytesReceived
			packets += s.PacketsSent + s.PacketsReceived
		}
	}
	return bytes, packets
}

// memoryInUse returns the memory that the process got from the system, without idle heap spans.
func memoryInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.Sys - m.HeapIdle)
}

func cpuTimeUsed(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
