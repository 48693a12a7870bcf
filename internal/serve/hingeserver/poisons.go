package hingeserver

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/core/hingeclock"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
	"github.com/swifthinge/swifthinge/internal/decide/hingepoison"
	"github.com/swifthinge/swifthinge/internal/link/hingelink"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
	"github.com/swifthinge/swifthinge/internal/path/hingedispatch"
	"github.com/swifthinge/swifthinge/internal/path/hingewire"
)

const (
	// methodPoison tells other hosts of ends, whole answers and requests that are refused; methodPoisons asks for all that are refused.
	methodPoison  hingelink.Method = "poison.tell"
	methodPoisons hingelink.Method = "poison.ask"
	// poisonGather is how long facts are gathered into one message: a server that ends had dozens of requests.
	poisonGather = 10 * time.Millisecond
	// factsPerMessage keeps a message below the largest datagram: a fact takes some 100 bytes, a record 300.
	factsPerMessage = 7
	recordsPerTell  = 2
	// askPause is the time between questions of a host that has just started, of which it asks mostAsked.
	askPause  = 500 * time.Millisecond
	mostAsked = 20
)

// poisons knows the requests that end servers. Each host judges for itself; all tell each other what they see, so that they judge
// alike. The list lives in memory: it is lost with the last host that has it.
type poisons struct {
	link     hingelink.Link
	peers    []hingeids.HostID
	recorder *hingeevents.Recorder
	// servers counts the servers of a model or a service; gone reports whether a life of one was about to end.
	servers func(s hingeids.Service) int
	gone    func(id hingeids.ServerID) bool
	dirty   chan struct{}
	done    chan struct{}

	mu   sync.Mutex
	book *hingepoison.Detector
	list *hingepoison.List
	news poisonNews
}

// poisonNews is what one host tells others.
type poisonNews struct {
	Ends    []hingepoison.Crash      `cbor:"1,keyasint,omitempty"`
	Passes  []hingepoison.Completion `cbor:"2,keyasint,omitempty"`
	Records []hingepoison.Record     `cbor:"3,keyasint,omitempty"`
}

func newPoisons(
	link hingelink.Link, peers []hingeids.HostID, r *hingeevents.Recorder,
	servers func(s hingeids.Service) int, gone func(id hingeids.ServerID) bool,
) *poisons {
	p := &poisons{
		link:     link,
		peers:    peers,
		recorder: r,
		servers:  servers,
		gone:     gone,
		dirty:    make(chan struct{}, 1),
		done:     make(chan struct{}),
		book:     hingepoison.NewDetector(),
		list:     &hingepoison.List{},
	}
	link.HandleDatagram(methodPoison, p.heard)
	link.HandleCall(methodPoisons, func(context.Context, hingeids.HostID, []byte) ([]byte, error) {
		p.mu.Lock()
		defer p.mu.Unlock()
		b, err := cbor.Marshal(poisonNews{
			Records: p.list.Records,
		})
		return b, eris.Wrap(err, "list of requests that end servers")
	})
	return p
}

// newPoisons makes the host's part in finding requests that end servers.
func (s *Server) newPoisons() *poisons {
	var peers []hingeids.HostID
	for _, p := range s.settings.Peers {
		if p.Host != s.settings.Host {
			peers = append(peers, p.Host)
		}
	}
	return newPoisons(s.shared.link, peers, s.recorder, func(service hingeids.Service) int {
		n := 0
		for _, x := range s.servers.Load().Servers {
			if x.Service == service || x.Model == hingeids.Model(service) {
				n++
			}
		}
		return n
	}, func(id hingeids.ServerID) bool {
		_, there := s.servers.Load().Find(id)
		return !there
	})
}

// Evaluate gives why a request mustn't run, nil if it may.
func (p *poisons) Evaluate(
	ctx context.Context, print hingeids.Fingerprint, s hingeids.Service,
) (suspect bool, refused *hingeverdict.Error) {
	j := p.judge(time.Now(), print, s)
	if j.Settling {
		hingeclock.Sleep(ctx, hingepoison.SettleTime)
		j = p.judge(time.Now(), print, s)
	}
	if !j.Refused {
		return j.Suspect, nil
	}
	return false, hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodePoison, j.RetryAfter,
		eris.Errorf("print %v", print))
}

func (p *poisons) judge(now time.Time, print hingeids.Fingerprint, s hingeids.Service) hingepoison.Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.list.At(now, print)
	j := p.book.Evaluate(now, print, l, func() int {
		return p.servers(s)
	})
	if j.Probe {
		p.record(hingeevents.PoisonTried, l.Record)
	}
	if j.Detected {
		r := p.book.NewRecord(now, now, print)
		p.record(hingeevents.PoisonFound, r)
		p.put(r)
	}
	return j
}

// put puts a record on the list and tells the others. The caller holds the lock.
func (p *poisons) put(r hingepoison.Record) {
	p.list = p.list.With(r)
	p.news.Records = append(p.news.Records, r)
	p.changed()
}

// HandleFailedExchange tells of a server that failed a request, after which it may have ended.
func (p *poisons) HandleFailedExchange(ctx context.Context, b hingedispatch.FailedExchange) {
	verdict := verdictOf(b.Err)
	if verdict != hingeverdict.CodeServerFailed && verdict != hingeverdict.CodeAnswerCut || p.gone(b.Target.Server) ||
		!hingewire.RefusesConnections(ctx, b.Target.Address) {
		return
	}
	e := hingepoison.Crash{
		Fingerprint: b.Fingerprint,
		Server:      b.Target.Server.WithIncarnation(b.Target.Incarnation),
		Service:     b.Service,
		Caller:      b.Caller,
		Held:        b.Held,
	}
	now := time.Now()
	p.recorder.Record(now, hingeevents.ServerEnded, hingeevents.Fields{
		Request:     b.Request,
		Fingerprint: b.Fingerprint,
		Caller:      b.Caller,
		Server:      b.Target.Server,
		Elapsed:     b.Held,
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tell(now, e)
	p.news.Ends = append(p.news.Ends, e)
	p.changed()
}

func verdictOf(err error) hingeverdict.Code {
	var v *hingeverdict.Error
	if eris.As(err, &v) {
		return v.Code
	}
	return 0
}

// tell takes an end. One under a trial is another reason to refuse the request. The caller holds the lock.
func (p *poisons) tell(now time.Time, e hingepoison.Crash) {
	if !p.book.HandleCrash(now, e) {
		return
	}
	if r, inVain := p.book.FailedProbe(now, now, e, p.list.At(now, e.Fingerprint)); inVain {
		p.put(r)
	}
}

// HandleCompletion tells of a suspected request that was answered whole.
func (p *poisons) HandleCompletion(print hingeids.Fingerprint) {
	now := time.Now()
	x := hingepoison.Completion{
		Fingerprint: print,
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.book.HandleCompletion(now, x)
	p.news.Passes = append(p.news.Passes, x)
	if l := p.list.At(now, print); l.Blocked {
		p.record(hingeevents.PoisonAcquitted, l.Record)
		p.put(hingepoison.Lift(now, print))
	}
	p.changed()
}

func (p *poisons) changed() {
	select {
	case p.dirty <- struct{}{}:
	default:
	}
}

func (p *poisons) record(n hingeevents.Number, r hingepoison.Record) {
	p.recorder.Record(time.Now(), n, hingeevents.Fields{
		Fingerprint: r.Fingerprint,
		Caller:      r.Caller,
		Count:       int64(r.Crashes),
		Detail:      r.String(),
	})
}

// heard takes what another host tells.
func (p *poisons) heard(from hingeids.HostID, body []byte) {
	var news poisonNews
	if err := cbor.Unmarshal(body, &news); err != nil {
		p.recorder.Record(time.Now(), hingeevents.MessageUnread, hingeevents.Fields{
			Host:   from,
			Detail: err.Error(),
		})
		return
	}
	p.take(time.Now(), news)
}

func (p *poisons) take(now time.Time, news poisonNews) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range news.Ends {
		p.tell(now, e)
	}
	for _, x := range news.Passes {
		p.book.HandleCompletion(now, x)
	}
	for _, r := range news.Records {
		if held, listed := p.list.Find(r.Fingerprint); !listed || held.Since < r.Since {
			p.list = p.list.With(r)
		}
	}
}

// run tells the others what this host sees, and asks them at first what they refuse.
func (p *poisons) run(ctx context.Context) error {
	defer close(p.done)
	asked := make(chan struct{})
	go func() {
		defer close(asked)
		p.ask(ctx)
	}()
	defer func() {
		<-asked
	}()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.dirty:
		}
		hingeclock.Sleep(ctx, poisonGather)
		p.mu.Lock()
		news := p.news
		p.news = poisonNews{}
		p.book.RemoveExpired(time.Now())
		p.mu.Unlock()
		for _, b := range news.messages() {
			for _, h := range p.peers {
				// A message that is lost leaves a host with one fact less. It judges later, and hears of what others found.
				p.link.Send(h, methodPoison, b)
			}
		}
	}
}

// ask asks the other hosts what they refuse, until one answers.
func (p *poisons) ask(ctx context.Context) {
	if len(p.peers) == 0 {
		return
	}
	for i := range mostAsked {
		one, stop := context.WithTimeout(ctx, askPause)
		b, err := p.link.Call(one, p.peers[i%len(p.peers)], methodPoisons, nil)
		stop()
		var news poisonNews
		if err == nil && cbor.Unmarshal(b, &news) == nil {
			p.take(time.Now(), news)
			return
		}
		hingeclock.Sleep(ctx, askPause)
	}
}

// messages gives the news in parts that fit a datagram.
func (n poisonNews) messages() [][]byte {
	var out [][]byte
	add := func(part poisonNews) {
		b, err := cbor.Marshal(part)
		if err != nil {
			// Only our own types stand in it, and all can be encoded.
			panic(err)
		}
		out = append(out, b)
	}
	for len(n.Ends)+len(n.Passes)+len(n.Records) > 0 {
		var part poisonNews
		part.Ends, n.Ends = split(n.Ends, factsPerMessage)
		if len(part.Ends) == 0 {
			part.Records, n.Records = split(n.Records, recordsPerTell)
			part.Passes, n.Passes = split(n.Passes, factsPerMessage)
		}
		add(part)
	}
	return out
}

func split[T any](list []T, n int) (head, rest []T) {
	n = min(n, len(list))
	return list[:n], list[n:]
}
