package hingegate

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/decide/hingeadmit"
	"github.com/swifthinge/swifthinge/internal/decide/hingeplace"
	"github.com/swifthinge/swifthinge/internal/membership/hingeannounce"
)

// newLoadedGate returns a gate with the given number of engines, a third of
// them for prefill, each decode engine three quarters full, and a function that
// advances its clock by one request interval.
func newLoadedGate(engines int) (g *Gate, advance func()) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	g = New(func() time.Time { return now }, hingeadmit.Defaults(), hingeplace.Defaults())
	for i := range engines {
		a := hingeannounce.Announcement{
			Server:      hingeids.ServerID(fmt.Sprint(i)),
			Incarnation: 1,
			Kind:        hingeannounce.Decode,
			Slots:       20,
		}
		if i%3 == 0 {
			a.Kind = hingeannounce.Prefill
		}
		g.HandleAnnouncement(a, 0)
	}
	advance = func() { now = now.Add(time.Second / 4 / time.Duration(engines)) }
	for i := range engines * 2 / 3 * 15 {
		startRequest(g, newRequestWithPrefix(i))
		advance()
	}
	return g, advance
}

func newRequestWithPrefix(n int) Request {
	r := newRequest(n)
	r.Caller = hingeids.CallerID(fmt.Sprint(n % 7300))
	r.Placement.Prefix = make([]hingeplace.Block, 8)
	for i := range r.Placement.Prefix {
		r.Placement.Prefix[i] = hingeplace.Block{
			Hash:   uint64(n%50*100 + i),
			Tokens: hingeids.Tokens(16 * (i + 1)),
		}
	}
	return r
}

// startRequest takes a request through the gate until its decode engine is
// bound.
func startRequest(g *Gate, r Request) {
	r.Arrived = g.now()
	r.Deadline = r.Arrived.Add(5 * time.Second)
	d, err := g.Admit(context.Background(), r)
	if err != nil {
		panic(err)
	}
	if d.Action == hingeplace.Start {
		if _, err := g.BindDecode(context.Background(), r.Placement.ID, 64); err != nil {
			panic(err)
		}
	}
}

// BenchmarkRequest measures all decisions for one request: admission,
// placement, binding and completion. docs/design/08-capacity-decisions.md uses
// its slope over the number of engines.
func BenchmarkRequest(b *testing.B) {
	for _, engines := range []int{9, 30, 90, 270, 540, 1070} {
		b.Run(fmt.Sprint("engines", engines), func(b *testing.B) {
			g, advance := newLoadedGate(engines)
			held := engines * 2 / 3 * 15
			requests := make([]Request, 4096)
			for i := range requests {
				requests[i] = newRequestWithPrefix(i + held)
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				r := requests[i%len(requests)]
				r.Placement.ID.Sequence = uint64(held + i)
				startRequest(g, r)
				g.Finish(hingeids.RequestID{
					Sequence: uint64(i),
				}, 30)
				advance()
				i++
			}
		})
	}
}

// BenchmarkMemory reports the memory of a gate per engine, and of a queue per
// waiting request.
func BenchmarkMemory(b *testing.B) {
	for _, engines := range []int{9, 90, 1070} {
		b.Run(fmt.Sprint("engines", engines), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				g, _ := newLoadedGate(engines)
				b.ReportMetric(float64(heapBytes()-before)/float64(engines), "B/engine")
				runtime.KeepAlive(g)
			}
		})
	}
	for _, callers := range []int{100, 1000, 7300} {
		b.Run(fmt.Sprint("callers", callers), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				q := hingeadmit.New(hingeadmit.Config{
					Limit:    1 << 20,
					MinShare: 0.1,
				})
				for i := range callers {
					_ = q.Offer(time.Now(), waitingRequest(i, callers), hingeadmit.Forecast{
						Slots: 1 << 20,
					})
				}
				b.ReportMetric(float64(heapBytes()-before)/float64(q.Len()), "B/waiting")
				runtime.KeepAlive(q)
			}
		})
	}
}

func waitingRequest(n, callers int) hingeadmit.Request {
	return hingeadmit.Request{
		ID: hingeids.RequestID{
			Sequence: uint64(n),
		},
		Caller:   hingeids.CallerID(fmt.Sprint(n % callers)),
		Deadline: time.Now().Add(time.Hour),
		Work:     time.Second,
	}
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkBacklog measures one Offer and one Next on a queue in which each of
// the given number of callers has one waiting request.
func BenchmarkBacklog(b *testing.B) {
	for _, callers := range []int{100, 730, 2400, 7300} {
		b.Run(fmt.Sprint("callers", callers), func(b *testing.B) {
			q := hingeadmit.New(hingeadmit.Config{
				Limit:    1 << 20,
				MinShare: 0.1,
			})
			now := time.Now()
			f := hingeadmit.Forecast{
				Slots: 1 << 20,
			}
			for i := range callers {
				_ = q.Offer(now, waitingRequest(i, callers), f)
			}
			requests := make([]hingeadmit.Request, callers)
			for i := range requests {
				requests[i] = waitingRequest(i, callers)
			}
			b.ReportAllocs()
			i := callers
			for b.Loop() {
				r := requests[i%callers]
				r.ID.Sequence = uint64(i)
				_ = q.Offer(now, r, f)
				q.Next(now, func(hingeadmit.Request) bool { return true })
				now = now.Add(time.Millisecond)
				i++
			}
		})
	}
}

// Allocations of a decision must not grow with the number of engines, since
// garbage collection delays requests. Unlike times, they don't depend on the
// machine.
func TestDecisionsAllocateLittle(t *testing.T) {
	for _, engines := range []int{9, 270} {
		g, advance := newLoadedGate(engines)
		held := engines * 2 / 3 * 15
		n := 0
		got := testing.AllocsPerRun(500, func() {
			r := newRequestWithPrefix(held + n)
			startRequest(g, r)
			g.Finish(hingeids.RequestID{
				Sequence: uint64(n),
			}, 30)
			advance()
			n++
		})
		t.Logf("%d engines: %v allocations a request", engines, got)
		if got > 24 {
			t.Errorf("%d engines: %v allocations a request, want at most 24", engines, got)
		}
	}
}

func BenchmarkReport(b *testing.B) {
	for _, engines := range []int{9, 90, 1070} {
		b.Run(fmt.Sprint("engines", engines), func(b *testing.B) {
			g, advance := newLoadedGate(engines)
			servers := make([]hingeids.ServerID, engines)
			for i := range servers {
				servers[i] = hingeids.ServerID(fmt.Sprint(i))
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				a := hingeannounce.Announcement{
					Server:      servers[i%engines],
					Incarnation: 1,
					Kind:        hingeannounce.Decode,
					Slots:       20,
					Load: hingeannounce.Load{
						Running: 15,
					},
				}
				if i%engines%3 == 0 {
					a.Kind = hingeannounce.Prefill
					a.Load.Running = 0
				}
				g.HandleAnnouncement(a, 300*time.Millisecond)
				advance()
				i++
			}
		})
	}
}
