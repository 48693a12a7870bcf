package hingeledger

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rotisserie/eris"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
	"github.com/swifthinge/swifthinge/internal/link/hingefake"
	"github.com/swifthinge/swifthinge/internal/link/hingelink"
)

// TestMain makes the random schedules the same in each run, unless flags ask for others.
func TestMain(m *testing.M) {
	flag.Parse()
	if folder := os.Getenv(childFolder); folder != "" {
		fmt.Fprintln(os.Stderr, keepAsChild(folder))
		os.Exit(1)
	}
	given := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) {
		given[f.Name] = true
	})
	for name, value := range map[string]string{"rapid.checks": "300", "rapid.seed": "1"} {
		if !given[name] {
			_ = flag.Set(name, value)
		}
	}
	err := goleak.Find()
	code := m.Run()
	if code == 0 && err == nil {
		err = goleak.Find()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	os.Exit(code)
}

var begin = time.Date(2026, 12, 2, 20, 0, 0, 0, time.UTC)

const (
	testKeep  = 24 * time.Hour
	claimSpan = 10 * time.Second
)

// memoryStore is a disk: it outlives its host's process, but not its loss.
type memoryStore struct {
	frames [][]byte
	// dies makes the next Append fail as a kill in the middle of a write does;
	// keeps says whether the frame got to the disk before.
	dies  bool
	keeps bool
}

var errKilled = eris.New("killed while writing")

func (m *memoryStore) Load() ([][]byte, int, error) {
	return m.frames, 0, nil
}

func (m *memoryStore) Append(frame []byte) error {
	if m.dies {
		m.dies = false
		if m.keeps {
			m.frames = append(m.frames, frame)
		}
		return errKilled
	}
	m.frames = append(m.frames, frame)
	return nil
}

func (m *memoryStore) Replace(frame []byte) error {
	m.frames = [][]byte{frame}
	return nil
}

// quorum is the replicated group: one log, a State on each voter.
type quorum struct {
	w   *world
	log [][]byte
}

// member is one voter's end of the group.
type member struct {
	q       *quorum
	self    hingeids.HostID
	state   *State
	applied int
}

// Propose commits if the voter reaches a majority both ways.
func (m *member) Propose(_ context.Context, data []byte) ([]byte, error) {
	reached := 0
	for _, v := range m.q.w.voters() {
		if v == m.self || m.q.w.hosts[v].up && !m.q.w.cuts[pair{m.self, v}] && !m.q.w.cuts[pair{v, m.self}] {
			reached++
		}
	}
	if 2*reached <= len(m.q.w.voters()) {
		return nil, hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeNoQuorum, 0, eris.New("no quorum"))
	}
	m.q.log = append(m.q.log, data)
	return m.catchUp(), nil
}

func (m *member) catchUp() (last []byte) {
	for ; m.applied < len(m.q.log); m.applied++ {
		last = m.state.Apply(uint64(m.applied), m.q.log[m.applied])
	}
	return last
}

type pair struct {
	from hingeids.HostID
	to   hingeids.HostID
}

// host is one entry host; its disk and its replica are on voters only.
type host struct {
	id     hingeids.HostID
	zone   hingeids.Zone
	disk   *memoryStore
	member *member
	up     bool
	life   hingeids.Incarnation
	next   uint64
	ledger *Ledger
	keeper *Keeper
	stop   func()
}

// operation is what a caller wants done once.
type operation struct {
	caller hingeids.CallerID
	key    hingeids.IdempotencyKey
	runs   int
	// body and answer are those of the attempt that ran.
	body   string
	answer string
}

// attempt is one request of a caller for an operation.
type attempt struct {
	op    *operation
	body  string
	host  *host
	life  hingeids.Incarnation
	claim Claim
	sent  bool
	ran   bool
}

// world is three zones of two hosts, the first of each with a disk, and the
// callers and the backend server, which counts what it runs.
type world struct {
	t       rapid.TB
	random  *rapid.T
	now     time.Time
	network *hingefake.Network
	hosts   map[hingeids.HostID]*host
	order   []*host
	cuts    map[pair]bool
	quorum  *quorum
	held    []func()
	calm    bool
	// calls counts the calls that hosts made; the next of them lose their answers.
	calls       int
	loseAnswers int
	ops         []*operation
	attempts    []*attempt
}

var zones = []hingeids.Zone{"cancale", "roscoff", "quiberon"}

// newWorld makes a world; one without a source of draws is calm.
func newWorld(t rapid.TB, random *rapid.T) *world {
	w := &world{
		random:  random,
		calm:    random == nil,
		t:       t,
		now:     begin,
		network: hingefake.NewNetwork(),
		hosts:   make(map[hingeids.HostID]*host),
		cuts:    make(map[pair]bool),
	}
	w.quorum = &quorum{w: w}
	for _, zone := range zones {
		for i := range 2 {
			h := &host{
				id:   hingeids.HostID(fmt.Sprintf("%s-%d", zone, i+1)),
				zone: zone,
			}
			if i == 0 {
				h.disk = &memoryStore{}
				h.member = &member{q: w.quorum, self: h.id, state: NewState(DefaultLimits())}
			}
			w.hosts[h.id] = h
			w.order = append(w.order, h)
			w.start(h)
		}
	}
	return w
}

func (w *world) voters() []hingeids.HostID {
	return []hingeids.HostID{"cancale-1", "roscoff-1", "quiberon-1"}
}

func (w *world) clock() time.Time {
	return w.now
}

// start begins a new life of a host.
func (w *world) start(h *host) {
	w.now = w.now.Add(time.Millisecond)
	h.life = hingeids.Incarnation(w.now.UnixNano())
	h.up = true
	h.stop = func() {}
	h.keeper = nil
	c := Config{
		Zone:    h.zone,
		Link:    &lossyLink{Link: w.network.Link(h.id), w: w},
		Voters:  w.voters(),
		Keepers: map[hingeids.Zone]hingeids.HostID{"cancale": "cancale-1", "roscoff": "roscoff-1", "quiberon": "quiberon-1"},
		Keep:    func() time.Duration { return testKeep },
		Clock:   w.clock,
	}
	if h.disk != nil {
		keeper, err := OpenKeeper(KeeperConfig{Zone: h.zone, Store: h.disk, Limits: DefaultLimits(), Clock: w.clock})
		if err != nil {
			w.t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			_ = keeper.Run(ctx)
		}()
		h.keeper = keeper
		h.stop = func() {
			cancel()
			<-keeper.Done()
		}
		c.Keeper = keeper
		c.Group = h.member
		w.rejoin(h)
	}
	h.ledger = New(c)
}

// rejoin gives a restarted voter a snapshot of another's State.
func (w *world) rejoin(h *host) {
	for _, v := range w.order {
		if v.member != nil && v != h && v.member.applied >= h.member.applied {
			fresh := NewState(DefaultLimits())
			if err := fresh.Restore(v.member.state.Snapshot()); err != nil {
				w.t.Fatal(err)
			}
			h.member.state = fresh
			h.member.applied = v.member.applied
			return
		}
	}
}

func (w *world) kill(h *host) {
	h.up = false
	h.stop()
	w.network.Remove(h.id)
}

func (w *world) end() {
	for _, h := range w.order {
		if h.up {
			w.kill(h)
		}
	}
}

// lossyLink loses calls and answers and brings some calls late, as drawn.
type lossyLink struct {
	*hingefake.Link
	w *world
}

func (l *lossyLink) Call(
	ctx context.Context, to hingeids.HostID, m hingelink.Method, body []byte,
) ([]byte, error) {
	lost := hingeverdict.New(hingeverdict.MayHaveRun, hingeverdict.CodeLinkDown, 0, eris.New("lost"))
	l.w.calls++
	if l.w.loseAnswers > 0 {
		l.w.loseAnswers--
		_, _ = l.Link.Call(ctx, to, m, body)
		return nil, lost
	}
	if l.w.calm {
		return l.Link.Call(ctx, to, m, body)
	}
	switch rapid.IntRange(0, 9).Draw(l.w.random, "fate") {
	case 0:
		return nil, lost
	case 1:
		_, _ = l.Link.Call(ctx, to, m, body)
		return nil, lost
	case 2:
		l.w.held = append(l.w.held, func() {
			_, _ = l.Link.Call(context.Background(), to, m, body)
		})
		return nil, lost
	default:
		return l.Link.Call(ctx, to, m, body)
	}
}

func (w *world) draw(label string, n int) int {
	return rapid.IntRange(0, n-1).Draw(w.random, label)
}

func (w *world) upHost() *host {
	var up []*host
	for _, h := range w.order {
		if h.up {
			up = append(up, h)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[w.draw("host", len(up))]
}

// request sends an operation, first or again, to a host: it claims.
func (w *world) request(op *operation, h *host, body string) error {
	h.next++
	a := &attempt{
		op:   op,
		body: body,
		host: h,
		life: h.life,
		claim: Claim{
			Caller: op.caller,
			Key:    op.key,
			Digest: DigestOf("POST", "/", []byte(body)),
			Request: hingeids.RequestID{
				Instance: hingeids.Instance{Host: h.id, Incarnation: h.life},
				Sequence: h.next,
			},
			Until: w.now.Add(claimSpan).UnixNano(),
		},
	}
	outcome, err := h.ledger.Claim(context.Background(), a.claim)
	if err != nil {
		return w.checkRefusal(op, body, err)
	}
	if outcome.Kind == Answered {
		if diff := cmp.Diff([]string{op.body, op.answer}, []string{body, string(outcome.Answer)}); diff != "" {
			w.t.Fatalf("a resend got the answer of another body or attempt\n%s", diff)
		}
		return nil
	}
	if op.runs > 0 {
		w.t.Fatal("a key that ran was granted again")
	}
	w.attempts = append(w.attempts, a)
	return nil
}

func (w *world) checkRefusal(op *operation, body string, err error) error {
	var v *hingeverdict.Error
	if !errors.As(err, &v) {
		w.t.Fatalf("refused without a verdict: %v", err)
	}
	if v.Verdict == hingeverdict.Ran && op.runs == 0 {
		w.t.Fatalf("said to have run, and did not: %v", err)
	}
	if v.Code == hingeverdict.CodeKeyOtherBody && body == op.body {
		w.t.Fatalf("a resend of the body that ran was refused: %v", err)
	}
	return err
}

// step carries an attempt on: it is sent, then what came of it is told.
func (w *world) step(a *attempt) {
	if !a.host.up || a.host.life != a.life {
		return
	}
	switch {
	case !a.sent && w.now.UnixNano() < a.claim.Until:
		a.sent = true
		if !w.calm && w.draw("server", 4) == 0 {
			// The server refused it under its own id: proof that it was not run.
			_ = a.host.ledger.Release(context.Background(), a.claim)
			return
		}
		a.ran = true
		a.op.runs++
		a.op.body = a.body
		a.op.answer = "answer of " + a.claim.Request.String()
		if a.op.runs > 1 {
			w.t.Fatalf("key %s of %s ran %d times", a.op.key, a.op.caller, a.op.runs)
		}
	case a.ran:
		_ = a.host.ledger.Finish(context.Background(), a.claim, []byte(a.op.answer))
	}
}
