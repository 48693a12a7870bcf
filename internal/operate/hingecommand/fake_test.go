package hingecommand

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"github.com/swifthinge/swifthinge/internal/config/hingeinventory"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
	"github.com/swifthinge/swifthinge/internal/operate/hingeadmin"
)

// cluster fakes the replicated configuration that several entry hosts share, as
// an ordered list of accepted changes.
type cluster struct {
	mu        sync.Mutex
	snapshots []hingeadmin.Snapshot
	accepted  []hingeadmin.AcceptedChange
	changes   []hingeadmin.Change
	hosts     []*entryHost
	// dropResponses is the number of responses to changes still to be dropped.
	// noQuorum is the number of changes still to be rejected.
	dropResponses int
	noQuorum      int
}

type entryHost struct {
	*cluster
	name       hingeids.HostID
	address    string
	server     *fasthttp.Server
	events     *hingeevents.Recorder
	inProgress int
	lagging    bool
	// drained receives a value for each call of Drain.
	drained chan struct{}
}

var fakeNow = time.Date(2026, 12, 2, 20, 0, 0, 0, time.UTC)

func startCluster(t testing.TB, names ...hingeids.HostID) *cluster {
	t.Helper()
	c := &cluster{}
	for _, name := range names {
		h := &entryHost{
			cluster: c,
			name:    name,
			drained: make(chan struct{}, 16),
			events: hingeevents.NewRecorder(hingeids.Instance{
				Host:        name,
				Incarnation: 1,
			}),
		}
		c.hosts = append(c.hosts, h)
		h.start(t)
	}
	return c
}

func (h *entryHost) start(t testing.TB) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h.address = listener.Addr().String()
	handler := hingeadmin.NewHandler(hingeadmin.Config{
		Configuration: h,
		Status:        h,
		Drainer:       h,
		Events:        h.events,
		Clock: func() time.Time {
			return fakeNow
		},
	})
	h.server = &fasthttp.Server{
		Handler: func(c *fasthttp.RequestCtx) {
			handler.Handle(c)
			if string(c.Path()) == "/v1/changes" && h.consume(&h.dropResponses) {
				_ = c.Conn().Close()
			}
		},
		CloseOnShutdown: true,
	}
	go func() {
		_ = h.server.Serve(listener)
	}()
}

func (c *cluster) stop() {
	for _, h := range c.hosts {
		_ = h.server.Shutdown()
	}
}

func (c *cluster) consume(n *int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if *n == 0 {
		return false
	}
	*n--
	return true
}

// Propose accepts or rejects a change by the rules of the configuration log.
func (c *cluster) Propose(_ context.Context, x hingeadmin.Change, now time.Time) (hingeadmin.AcceptedChange, error) {
	if c.consume(&c.noQuorum) {
		return hingeadmin.AcceptedChange{}, hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeNoQuorum, time.Second, nil)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, old := range c.changes {
		if old.ChangeID != x.ChangeID {
			continue
		}
		if !cmp.Equal(old, x) {
			return hingeadmin.AcceptedChange{}, &hingeadmin.ConflictError{
				Code:   hingeverdict.CodeChangeOtherContent,
				Winner: c.accepted[i],
			}
		}
		repeated := c.accepted[i]
		repeated.Repeated = true
		return repeated, nil
	}
	if int(x.ExpectedRevision) != len(c.accepted) {
		return hingeadmin.AcceptedChange{}, &hingeadmin.ConflictError{
			Code:   hingeverdict.CodeRevisionConflict,
			Winner: c.accepted[x.ExpectedRevision],
		}
	}
	return c.accept(x, now), nil
}

func (c *cluster) accept(x hingeadmin.Change, now time.Time) hingeadmin.AcceptedChange {
	base := hingeinventory.Items{}
	if n := len(c.snapshots); n > 0 {
		base = hingeadmin.ToItems(c.snapshots[n-1].Items)
	}
	a := hingeadmin.AcceptedChange{
		Revision: hingeids.Revision(len(c.accepted) + 1),
		ChangeID: x.ChangeID,
		Operator: x.Operator,
		At:       now,
		Paths:    append(slices.Sorted(maps.Keys(x.Puts)), x.Deletes...),
	}
	c.changes = append(c.changes, x)
	c.accepted = append(c.accepted, a)
	c.snapshots = append(c.snapshots, hingeadmin.Snapshot{
		Revision: a.Revision,
		Items:    hingeadmin.FromItems(hingeinventory.Patch(base, hingeadmin.ToItems(x.Puts), x.Deletes)),
	})
	return a
}

// At returns the items at the newest revision.
func (c *cluster) At(r hingeids.Revision) (hingeadmin.Snapshot, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r == 0 {
		r = hingeids.Revision(len(c.snapshots))
	}
	if int(r) > len(c.snapshots) {
		return hingeadmin.Snapshot{}, hingeadmin.ErrRevisionNotApplied
	}
	if r == 0 {
		return hingeadmin.Snapshot{}, nil
	}
	// An entry host retains only the newest revision.
	if int(r) < len(c.snapshots) {
		return hingeadmin.Snapshot{}, hingeadmin.ErrRevisionNotRetained
	}
	return c.snapshots[r-1], nil
}

// History returns the accepted changes, newest first.
func (c *cluster) History() []hingeadmin.AcceptedChange {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := slices.Clone(c.accepted)
	slices.Reverse(out)
	return out
}

// Status returns the status of the host. Each call finishes one request in
// progress.
func (h *entryHost) Status(now time.Time) hingeadmin.Status {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := hingeadmin.Status{
		Host:       h.name,
		Zone:       "cancale",
		Ready:      true,
		Voting:     true,
		Leader:     h.hosts[0].name,
		Committed:  hingeids.Revision(len(h.accepted)),
		InProgress: h.inProgress,
		Servers: []hingeadmin.ServerStatus{
			{
				Server:  "redacteur-1",
				Kind:    "decode",
				Zone:    "cancale",
				Model:   "redacteur",
				Running: 3,
				Slots:   20,
				Listed:  true,
			},
			{
				Server:   "redacteur-2",
				Kind:     "decode",
				Zone:     "cancale",
				Model:    "redacteur",
				Slots:    20,
				Listed:   true,
				Granting: true,
			},
		},
	}
	if h.inProgress > 0 {
		h.inProgress--
	}
	for _, x := range h.hosts {
		status := hingeadmin.HostStatus{
			Host:      x.name,
			Zone:      "cancale",
			Operators: x.address,
			Alive:     !x.lagging,
			Revision:  s.Committed,
		}
		if x.lagging {
			status.Revision--
			status.SilentSince = now
			status.LagsSince = now
		}
		s.Hosts = append(s.Hosts, status)
	}
	return s
}

func (h *entryHost) Drain(time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.drained <- struct{}{}
	return h.inProgress
}
