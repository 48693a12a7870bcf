package hingeledger

import (
	"context"
	"fmt"
	"net"
	"os"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/link/hingelink"
)

// blockingStore blocks its first Append until unblock is closed, so that a test
// decides which commands the second one writes.
type blockingStore struct {
	memoryStore
	entered chan struct{}
	unblock chan struct{}
	appends int
}

func (b *blockingStore) Append(frame []byte) error {
	b.appends++
	if b.appends == 1 {
		close(b.entered)
		<-b.unblock
	}
	return b.memoryStore.Append(frame)
}

// Claims that arrive during a sync must share the next one. Otherwise the disk's sync
// rate would bound the rate of claims.
func TestQueuedClaimsShareOneSync(t *testing.T) {
	disk := &blockingStore{
		entered: make(chan struct{}),
		unblock: make(chan struct{}),
	}
	k := openKeyOwner(t, disk, startTime)
	key, err := k.issue()
	if err != nil {
		t.Fatal(err)
	}
	first := &submission{command: claimCommand(key, 1), outcome: make(chan Outcome, 1)}
	k.queue <- first
	stop := runKeyOwner(t, k)
	<-disk.entered
	for i := range maxBatch {
		k.queue <- &submission{command: claimCommand(key, uint64(i+2)), outcome: make(chan Outcome, 1)}
	}
	close(disk.unblock)
	<-first.outcome
	submitClaim(t, k, key, 9999)
	_ = stop()
	// One sync each for the first claim, the burst and the last claim.
	if disk.appends > 3 {
		t.Fatalf("%d syncs for %d claims", disk.appends, maxBatch+2)
	}
}

// BenchmarkKeyOwner claims new keys on a real disk with concurrent callers.
func BenchmarkKeyOwner(b *testing.B) {
	for _, callers := range []int{1, 16, 256} {
		b.Run(strconv.Itoa(callers), func(b *testing.B) {
			folder := b.TempDir()
			k := openKeyOwner(b, openStore(b, folder), startTime)
			stop := runKeyOwner(b, k)
			prefix, err := k.issue()
			if err != nil {
				b.Fatal(err)
			}
			before := k.syncs.Load()
			b.ReportAllocs()
			b.ResetTimer()
			var next atomic.Int64
			var group sync.WaitGroup
			for range callers {
				group.Go(func() {
					for i := next.Add(1); i <= int64(b.N); i = next.Add(1) {
						c := claimCommand(prefix+hingeids.IdempotencyKey(strconv.FormatInt(i, 10)), uint64(i))
						c.Claim.Caller = hingeids.CallerID(strconv.FormatInt(i%64, 10))
						if _, err := k.submit(context.Background(), c); err != nil {
							b.Error(err)
						}
					}
				})
			}
			group.Wait()
			b.StopTimer()
			b.ReportMetric(float64(k.syncs.Load()-before)/float64(b.N), "syncs/claim")
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
			_ = stop()
			if info, err := os.Stat(journalPath(folder)); err == nil {
				b.ReportMetric(float64(info.Size())/float64(b.N), "diskBytes/key")
			}
		})
	}
}

func applyClaims(s *State, from, to int) {
	for i := from; i < to; i++ {
		c := claimCommand(hingeids.IdempotencyKey(fmt.Sprintf("status-of-lot-%012d", i)), uint64(i))
		c.Time = startTime.UnixNano()
		c.Claim.Caller = hingeids.CallerID(fmt.Sprintf("franchisee-%04d", i%1000))
		s.Apply(0, encode(c))
	}
}

func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkMemoryOfKeys measures the memory of a key without an answer.
func BenchmarkMemoryOfKeys(b *testing.B) {
	for b.Loop() {
		const keys = 100_000
		before := heapInUse()
		s := NewState(DefaultLimits())
		applyClaims(s, 0, keys)
		b.ReportMetric(float64(heapInUse()-before)/keys, "heapBytes/key")
		b.ReportMetric(float64(s.bytes)/keys, "countedBytes/key")
		b.ReportMetric(float64(len(s.Snapshot()))/keys, "snapshotBytes/key")
		runtime.KeepAlive(s)
	}
}

// BenchmarkState measures Apply for claims of new keys.
func BenchmarkState(b *testing.B) {
	l := DefaultLimits()
	l.Entries, l.CallerEntries, l.Bytes, l.CallerBytes = 1<<30, 1<<30, 1<<40, 1<<40
	s := NewState(l)
	commands := make([][]byte, b.N)
	for i := range commands {
		c := claimCommand(hingeids.IdempotencyKey(strconv.Itoa(i)), uint64(i))
		c.Time = startTime.UnixNano()
		commands[i] = encode(c)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range commands {
		s.Apply(uint64(i), commands[i])
	}
}

// The group takes snapshots in the goroutine that sends its heartbeats. Encoding every
// entry there would delay heartbeats beyond the election timeout.
func TestSnapshotEncodesNoEntry(t *testing.T) {
	s := NewState(DefaultLimits())
	applyClaims(s, 0, 20_000)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	size := uint64(len(s.Snapshot()))
	runtime.ReadMemStats(&after)
	if allocated := after.TotalAlloc - before.TotalAlloc; allocated > 2*size {
		t.Fatalf("%d bytes allocated for a snapshot of %d bytes", allocated, size)
	}
}

// BenchmarkSnapshot takes a snapshot of 150,000 keys without answers.
func BenchmarkSnapshot(b *testing.B) {
	s := NewState(DefaultLimits())
	applyClaims(s, 0, 150_000)
	b.ReportAllocs()
	for b.Loop() {
		s.Snapshot()
	}
}

// The counted bytes must cover the memory of the keys, or the limit in bytes doesn't
// protect a small host from running out of memory.
func TestCountedBytesCoverHeapUse(t *testing.T) {
	const keys = 20_000
	before := heapInUse()
	s := NewState(DefaultLimits())
	applyClaims(s, 0, keys)
	allocated := heapInUse() - before
	if int64(allocated) > int64(s.bytes)*5/4 {
		t.Fatalf("%d keys use %d bytes of memory, but are counted as %d bytes", keys, allocated, s.bytes)
	}
	runtime.KeepAlive(s)
}

// The hosts are connected over QUIC on loopback.
func quicHosts(b *testing.B) *realHosts {
	r := &realHosts{
		links: make(map[hingeids.HostID]hingelink.Link),
	}
	peers := make(map[hingeids.HostID]string)
	for _, id := range allHosts {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			b.Fatal(err)
		}
		peers[id] = c.LocalAddr().String()
		_ = c.Close()
	}
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	for _, id := range allHosts {
		q, err := hingelink.NewQUIC(hingelink.Config{Self: id, Listen: peers[id], Peers: peers, Insecure: true})
		if err != nil {
			b.Fatal(err)
		}
		r.links[id] = q
	}
	r.startAll(b)
	for _, q := range r.links {
		go func() { _ = q.(*hingelink.QUIC).Run(ctx) }()
	}
	return r
}

// BenchmarkClaim measures the latency of a claim by a host without a disk, over QUIC,
// with the real group and real files.
func BenchmarkClaim(b *testing.B) {
	r := quicHosts(b)
	defer r.stopAll()
	requester := r.all[len(r.all)-1]
	sequence := uint64(0)
	claim := func(prefix hingeids.IdempotencyKey) error {
		sequence++
		_, err := realClaim(requester, prefix+hingeids.IdempotencyKey(strconv.FormatUint(sequence, 10)), sequence)
		return err
	}
	for claim("first") != nil {
		time.Sleep(100 * time.Millisecond)
	}
	issued, err := requester.ledger.Issue(context.Background(), "depot")
	if err != nil {
		b.Fatal(err)
	}
	for name, prefix := range map[string]hingeids.IdempotencyKey{"free": "lot-", "issued": issued} {
		b.Run(name, func(b *testing.B) {
			latencies := hdrhistogram.New(1, int64(time.Minute), 3)
			b.ReportAllocs()
			for b.Loop() {
				start := time.Now()
				if err := claim(prefix); err != nil {
					b.Fatal(err)
				}
				_ = latencies.RecordValue(int64(time.Since(start)))
			}
			b.ReportMetric(float64(latencies.ValueAtQuantile(50))/1e3, "p50-us")
			b.ReportMetric(float64(latencies.ValueAtQuantile(99))/1e3, "p99-us")
		})
	}
}
