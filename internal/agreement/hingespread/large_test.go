package hingespread

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/swifthinge/swifthinge/internal/agreement/hingeconfig"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// Guards against a host that misses changes which together don't fit a message, though all documents do, and then stays behind for good.
func TestHostCatchesUpWithLargeChanges(t *testing.T) {
	withCluster(t, 6, func(c *cluster) {
		c.waitForRevision(c.change(), c.peers, time.Second)
		c.cut("cancale", true)
		for round := range 4 {
			paths := longPaths(round)
			puts := make(map[hingeconfig.Path][]byte)
			for _, p := range paths {
				puts[p] = []byte("x")
			}
			c.mustPropose(hingeconfig.Change{
				ID:   hingeconfig.ChangeID(fmt.Sprint("put-", round)),
				Puts: puts,
			})
			c.mustPropose(hingeconfig.Change{
				ID:      hingeconfig.ChangeID(fmt.Sprint("delete-", round)),
				Deletes: paths,
			})
		}
		last := c.change()
		c.cut("cancale", false)
		c.waitForRevision(last, c.peers, 10*time.Second)
	})
}

// longPaths returns paths of over a megabyte together.
func longPaths(round int) []hingeconfig.Path {
	var out []hingeconfig.Path
	for i := range 6000 {
		out = append(out, hingeconfig.Path(fmt.Sprintf("servers/%d-%04d-%s", round, i, strings.Repeat("x", 220))))
	}
	return out
}

// mustPropose proposes a change until it is accepted.
func (c *cluster) mustPropose(change hingeconfig.Change) hingeids.Revision {
	c.t.Helper()
	for range 100 {
		l := c.leader()
		if l == nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		change.Expected = l.machine.Views().Load().Revision
		change.Operator = "yann"
		b, err := l.group.Propose(context.Background(), change.Encode())
		if err != nil {
			continue
		}
		a, err := hingeconfig.DecodeAnswer(b)
		if err != nil {
			c.t.Fatal(err)
		}
		if a.Result != hingeconfig.Accepted {
			c.t.Fatalf("%+v", a)
		}
		return a.Revision
	}
	c.t.Fatal("no change was accepted")
	return 0
}
