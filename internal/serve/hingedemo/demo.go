package hingedemo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/swifthinge/swifthinge/internal/membership/hingeannounce"
)

// Options configures a run.
type Options struct {
	Requests int
	Seed     uint64
	// Out receives the table and, as its last line, the result as JSON; Progress receives messages
	// about the run.
	Out      io.Writer
	Progress io.Writer
}

// Result counts the outcomes of the requests.
type Result struct {
	Sent              int `json:"sent"`
	Answered          int `json:"answered"`
	Refused           int `json:"refused"`
	Lost              int `json:"lost"`
	Duplicated        int `json:"answeredTwice"`
	Truncated         int `json:"truncated"`
	RanMoreThanOnce   int `json:"ranMoreThanOnce"`
	LeakedAllocations int `json:"heldAfterEnd"`
	KilledEngines     int `json:"killedEngines"`
	KilledEntryHosts  int `json:"killedEntryHosts"`
}

// Failed reports whether any request was lost, duplicated, truncated or run twice, or an engine kept
// an allocation.
func (r Result) Failed() bool {
	return r.Lost+r.Duplicated+r.Truncated+r.RanMoreThanOnce+r.LeakedAllocations > 0
}

// concurrentCallers is the number of concurrent requests: most of the engines' slots.
const concurrentCallers = 48

// releaseTimeout is how long engines may keep allocations after the last answer.
const releaseTimeout = 5 * time.Second

// Run runs the demo. It returns an error if the system can't be started or the result can't be
// written.
func Run(ctx context.Context, o Options) (Result, error) {
	printf(o.Progress, "starting %d entry hosts in %d zones\n", len(zoneNames)*hostsPerZone, len(zoneNames))
	f, err := startFleet(ctx, time.Now())
	if err != nil {
		return Result{}, err
	}
	defer f.close()
	printf(o.Progress, "ready; sending %d requests\n", o.Requests)
	r := &run{
		fleet:   f,
		options: o,
	}
	r.sendAll(ctx)
	result := r.result()
	result.LeakedAllocations = f.awaitReleased()
	return result, r.print(result)
}

type run struct {
	fleet   *fleet
	options Options
	sent    atomic.Int64

	mu       sync.Mutex
	outcomes [kindCount][duplicated + 1]int
}

func (r *run) sendAll(ctx context.Context) {
	queue := make(chan task)
	c := &caller{
		fleet: r.fleet,
		client: http.Client{
			Timeout: time.Minute,
		},
	}
	var workers sync.WaitGroup
	for range concurrentCallers {
		workers.Go(func() {
			for t := range queue {
				r.record(t, c.send(ctx, t))
				if t.kind == once && t.resend {
					// The caller lost its answer and repeats the request on another host.
					t.firstHost++
					c.send(ctx, t)
				}
			}
		})
	}
	for i, t := range tasks(r.options.Requests, r.options.Seed) {
		r.injectFailure(i)
		queue <- t
	}
	close(queue)
	workers.Wait()
}

// injectFailure kills an engine or an entry host before the task i, according to rule 3.
func (r *run) injectFailure(i int) {
	switch i {
	case r.options.Requests / 3:
		for _, e := range r.fleet.engines {
			if e.kind == hingeannounce.Decode {
				printf(r.options.Progress, "killing a decode engine in %s\n", e.zone)
				e.kill()
				break
			}
		}
	case r.options.Requests * 2 / 3:
		host := r.fleet.hosts[len(r.fleet.hosts)-1]
		printf(r.options.Progress, "killing entry host %s\n", host.Host())
		host.Abort()
	}
}

func (r *run) record(t task, o outcome) {
	r.sent.Add(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes[t.kind][o]++
}

func (r *run) result() Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := Result{
		Sent:             int(r.sent.Load()),
		KilledEngines:    1,
		KilledEntryHosts: 1,
	}
	for _, of := range r.outcomes {
		out.Answered += of[answered]
		out.Refused += of[refused]
		out.Lost += of[lost]
		out.Truncated += of[truncated]
		out.Duplicated += of[duplicated]
	}
	for _, t := range tasks(r.options.Requests, r.options.Seed) {
		if t.kind != once {
			continue
		}
		runs := 0
		for _, e := range r.fleet.engines {
			runs += e.RunsOfKey(t.key())
		}
		if runs > 1 {
			out.RanMoreThanOnce++
		}
	}
	return out
}

// awaitReleased waits until the engines hold no allocations, at most for releaseTimeout, and returns
// the number that remain.
func (f *fleet) awaitReleased() int {
	remaining := f.allocations()
	for deadline := time.Now().Add(releaseTimeout); remaining > 0 && time.Now().Before(deadline); remaining = f.allocations() {
		time.Sleep(20 * time.Millisecond)
	}
	return remaining
}

func (r *run) print(result Result) error {
	table := tabwriter.NewWriter(r.options.Out, 0, 4, 2, ' ', 0)
	printf(table, "\tanswered\trefused\tlost\ttruncated\tdoubled\n")
	for k, of := range r.outcomes {
		printf(table, "%s\t%d\t%d\t%d\t%d\t%d\n", kindNames[k],
			of[answered], of[refused], of[lost], of[truncated], of[duplicated])
	}
	if err := table.Flush(); err != nil {
		return err
	}
	return json.NewEncoder(r.options.Out).Encode(result)
}

func printf(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format, args...)
}
