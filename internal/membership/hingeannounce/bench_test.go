package hingeannounce

import (
	"fmt"
	"testing"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// BenchmarkTable measures a View, made up to ten times a second, and an announcement,
// received twice a second for each server.
func BenchmarkTable(b *testing.B) {
	for _, servers := range []int{100, 1000, 6400} {
		names := make([]hingeids.ServerID, servers)
		table := NewTable()
		for i := range names {
			names[i] = hingeids.ServerID(fmt.Sprintf("engine-%d", i))
			a := engine(1, 1)
			a.Server = names[i]
			a.Model = hingeids.Model(fmt.Sprintf("model-%d", i%7))
			table.Apply(start, a, 0)
		}
		b.Run(fmt.Sprintf("view/servers=%d", servers), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				table.View(start)
			}
		})
		b.Run(fmt.Sprintf("take/servers=%d", servers), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				a := engine(1, uint64(i+2))
				a.Server = names[i%servers]
				table.Apply(start.Add(time.Duration(i/servers)*500*time.Millisecond), a, 0)
			}
		})
	}
}
