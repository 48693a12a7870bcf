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

// TestMain sets a fixed seed and number of checks for rapid, unless flags override them.
// It also checks for leaked goroutines.
func TestMain(m *testing.M) {
	flag.Parse()
	if folder := os.Getenv(childFolder); folder != "" {
		fmt.Fprintln(os.Stderr, runKeyOwnerChild(folder))
		os.Exit(1)
	}
	isSet := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) {
		isSet[f.Name] = true
	})
	for name, value := range map[string]string{"rapid.checks": "300", "rapid.seed": "1"} {
		if !isSet[name] {
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

var startTime = time.Date(2026, 12, 2, 20, 0, 0, 0, time.UTC)

const (
	testRetention = 24 * time.Hour
	claimDuration = 10 * time.Second
)

// memoryStore simulates a disk.
type memoryStore struct {
	frames [][]byte
	// failAppend makes the next Append fail like a kill during a write. persists is
	// whether the frame reaches the disk all the same.
	failAppend bool
	persists   bool
}

var errKilled = eris.New("killed while writing")

func (m *memoryStore) Load() ([][]byte, int, error) {
	return m.frames, 0, nil
}

func (m *memoryStore) Append(frame []byte) error {
	if m.failAppend {
		m.failAppend = false
		if m.persists {
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

// quorum simulates the replicated group: one log and a State on each voter.
type quorum struct {
	sc  *simCluster
	log [][]byte
}

// member is a voter of the group. It implements Proposer.
type member struct {
	q       *quorum
	self    hingeids.HostID
	state   *State
	applied int
}

// Propose commits the command if the voter has links in both directions to a majority.
func (m *member) Propose(_ context.Context, data []byte) ([]byte, error) {
	reached := 0
	for _, v := range m.q.sc.voters() {
		if v == m.self || m.q.sc.hosts[v].up && !m.q.sc.cuts[pair{m.self, v}] && !m.q.sc.cuts[pair{v, m.self}] {
			reached++
		}
	}
	if 2*reached <= len(m.q.sc.voters()) {
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

// host is an entry host. Only voters have a disk and a member.
type host struct {
	id           hingeids.HostID
	zone         hingeids.Zone
	disk         *memoryStore
	member       *member
	up           bool
	incarnation  hingeids.Incarnation
	nextSequence uint64
	ledger       *Ledger
	keyOwner     *KeyOwner
	stop         func()
}

// operation is a request that must run at most once, with all its resends.
type operation struct {
	caller hingeids.CallerID
	key    hingeids.IdempotencyKey
	runs   int
	// body and answer belong to the attempt that ran.
	body   string
	answer string
}

type attempt struct {
	op          *operation
	body        string
	host        *host
	incarnation hingeids.Incarnation
	claim       Claim
	sent        bool
	ran         bool
}

// simCluster simulates three zones of two hosts, the first of each with a disk, with the
// callers and a backend server that counts runs.
type simCluster struct {
	t        rapid.TB
	random   *rapid.T
	now      time.Time
	network  *hingefake.Network
	hosts    map[hingeids.HostID]*host
	order    []*host
	cuts     map[pair]bool
	quorum   *quorum
	delayed  []func()
	reliable bool
	// calls counts the calls of all hosts. The next dropReplies calls lose their replies.
	calls       int
	dropReplies int
	ops         []*operation
	attempts    []*attempt
}

var zones = []hingeids.Zone{"cancale", "roscoff", "quiberon"}

// newCluster starts a simulated cluster. If random is nil, its links are reliable.
func newCluster(t rapid.TB, random *rapid.T) *simCluster {
	sc := &simCluster{
		random:   random,
		reliable: random == nil,
		t:        t,
		now:      startTime,
		network:  hingefake.NewNetwork(),
		hosts:    make(map[hingeids.HostID]*host),
		cuts:     make(map[pair]bool),
	}
	sc.quorum = &quorum{sc: sc}
	for _, zone := range zones {
		for i := range 2 {
			h := &host{
				id:   hingeids.HostID(fmt.Sprintf("%s-%d", zone, i+1)),
				zone: zone,
			}
			if i == 0 {
				h.disk = &memoryStore{}
				h.member = &member{q: sc.quorum, self: h.id, state: NewState(DefaultLimits())}
			}
			sc.hosts[h.id] = h
			sc.order = append(sc.order, h)
			sc.start(h)
		}
	}
	return sc
}

func (sc *simCluster) voters() []hingeids.HostID {
	return []hingeids.HostID{"cancale-1", "roscoff-1", "quiberon-1"}
}

func (sc *simCluster) clock() time.Time {
	return sc.now
}

func (sc *simCluster) start(h *host) {
	sc.now = sc.now.Add(time.Millisecond)
	h.incarnation = hingeids.Incarnation(sc.now.UnixNano())
	h.up = true
	h.stop = func() {}
	h.keyOwner = nil
	c := Config{
		Zone:      h.zone,
		Link:      &lossyLink{Link: sc.network.Link(h.id), sc: sc},
		Voters:    sc.voters(),
		KeyOwners: map[hingeids.Zone]hingeids.HostID{"cancale": "cancale-1", "roscoff": "roscoff-1", "quiberon": "quiberon-1"},
		Retention: func() time.Duration { return testRetention },
		Clock:     sc.clock,
	}
	if h.disk != nil {
		keyOwner, err := OpenKeyOwner(KeyOwnerConfig{Zone: h.zone, Store: h.disk, Limits: DefaultLimits(), Clock: sc.clock})
		if err != nil {
			sc.t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			_ = keyOwner.Run(ctx)
		}()
		h.keyOwner = keyOwner
		h.stop = func() {
			cancel()
			<-keyOwner.Done()
		}
		c.KeyOwner = keyOwner
		c.Group = h.member
		sc.restoreFromPeer(h)
	}
	h.ledger = New(c)
}

// restoreFromPeer restores a restarted voter from a snapshot of another voter's State.
func (sc *simCluster) restoreFromPeer(h *host) {
	for _, v := range sc.order {
		if v.member != nil && v != h && v.member.applied >= h.member.applied {
			fresh := NewState(DefaultLimits())
			if err := fresh.Restore(v.member.state.Snapshot()); err != nil {
				sc.t.Fatal(err)
			}
			h.member.state = fresh
			h.member.applied = v.member.applied
			return
		}
	}
}

func (sc *simCluster) kill(h *host) {
	h.up = false
	h.stop()
	sc.network.Remove(h.id)
}

func (sc *simCluster) stopAll() {
	for _, h := range sc.order {
		if h.up {
			sc.kill(h)
		}
	}
}

// lossyLink randomly loses calls or replies and delays calls.
type lossyLink struct {
	*hingefake.Link
	sc *simCluster
}

func (l *lossyLink) Call(
	ctx context.Context, to hingeids.HostID, m hingelink.Method, body []byte,
) ([]byte, error) {
	lost := hingeverdict.New(hingeverdict.MayHaveRun, hingeverdict.CodeLinkDown, 0, eris.New("lost"))
	l.sc.calls++
	if l.sc.dropReplies > 0 {
		l.sc.dropReplies--
		_, _ = l.Link.Call(ctx, to, m, body)
		return nil, lost
	}
	if l.sc.reliable {
		return l.Link.Call(ctx, to, m, body)
	}
	switch rapid.IntRange(0, 9).Draw(l.sc.random, "fate") {
	case 0:
		return nil, lost
	case 1:
		_, _ = l.Link.Call(ctx, to, m, body)
		return nil, lost
	case 2:
		l.sc.delayed = append(l.sc.delayed, func() {
			_, _ = l.Link.Call(context.Background(), to, m, body)
		})
		return nil, lost
	default:
		return l.Link.Call(ctx, to, m, body)
	}
}

func (sc *simCluster) pick(label string, n int) int {
	return rapid.IntRange(0, n-1).Draw(sc.random, label)
}

func (sc *simCluster) pickUpHost() *host {
	var up []*host
	for _, h := range sc.order {
		if h.up {
			up = append(up, h)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[sc.pick("host", len(up))]
}

// The host claims the operation's key. A granted claim is added to attempts.
func (sc *simCluster) request(op *operation, h *host, body string) error {
	h.nextSequence++
	a := &attempt{
		op:          op,
		body:        body,
		host:        h,
		incarnation: h.incarnation,
		claim: Claim{
			Caller: op.caller,
			Key:    op.key,
			Digest: DigestOf("POST", "/", []byte(body)),
			Request: hingeids.RequestID{
				Instance: hingeids.Instance{Host: h.id, Incarnation: h.incarnation},
				Sequence: h.nextSequence,
			},
			Until: sc.now.Add(claimDuration).UnixNano(),
		},
	}
	outcome, err := h.ledger.Claim(context.Background(), a.claim)
	if err != nil {
		return sc.checkRefusal(op, body, err)
	}
	if outcome.Kind == Answered {
		if diff := cmp.Diff([]string{op.body, op.answer}, []string{body, string(outcome.Answer)}); diff != "" {
			sc.t.Fatalf("a resend got the answer of another body or attempt\n%s", diff)
		}
		return nil
	}
	if op.runs > 0 {
		sc.t.Fatal("a key that ran was granted again")
	}
	sc.attempts = append(sc.attempts, a)
	return nil
}

func (sc *simCluster) checkRefusal(op *operation, body string, err error) error {
	var v *hingeverdict.Error
	if !errors.As(err, &v) {
		sc.t.Fatalf("refused without a verdict: %v", err)
	}
	if v.Verdict == hingeverdict.Ran && op.runs == 0 {
		sc.t.Fatalf("verdict Ran for a request that did not run: %v", err)
	}
	if v.Code == hingeverdict.CodeKeyOtherBody && body == op.body {
		sc.t.Fatalf("a resend of the body that ran was refused: %v", err)
	}
	return err
}

// advance sends the request of an attempt, or reports its answer if it has run.
func (sc *simCluster) advance(a *attempt) {
	if !a.host.up || a.host.incarnation != a.incarnation {
		return
	}
	switch {
	case !a.sent && sc.now.UnixNano() < a.claim.Until:
		a.sent = true
		if !sc.reliable && sc.pick("server", 4) == 0 {
			// The server refused the request, which proves that it was not run.
			_ = a.host.ledger.Release(context.Background(), a.claim)
			return
		}
		a.ran = true
		a.op.runs++
		a.op.body = a.body
		a.op.answer = "answer of " + a.claim.Request.String()
		if a.op.runs > 1 {
			sc.t.Fatalf("key %s of %s ran %d times", a.op.key, a.op.caller, a.op.runs)
		}
	case a.ran:
		_ = a.host.ledger.Finish(context.Background(), a.claim, []byte(a.op.answer))
	}
}
