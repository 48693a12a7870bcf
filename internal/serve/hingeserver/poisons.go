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
	// methodPoisonReport sends crashes, completions and list records to other hosts;
	// methodPoisonList requests a host's block list.
	methodPoisonReport hingelink.Method = "poison.tell"
	methodPoisonList   hingelink.Method = "poison.ask"
	// poisonReportDelay is how long observations are collected for one message: the crash
	// of a server affects dozens of requests.
	poisonReportDelay = 10 * time.Millisecond
	// observationsPerMessage and recordsPerMessage keep a message below the largest datagram: a
	// crash or completion has some 100 bytes, a record 300.
	observationsPerMessage = 7
	recordsPerMessage      = 2
	// listQueryInterval is the time between a starting host's queries for the block list,
	// maxListQueries their number.
	listQueryInterval = 500 * time.Millisecond
	maxListQueries    = 20
)

// poisonDetector decides for its own host; the hosts exchange observations, so that their
// decisions agree. The block list is kept in memory only: it is lost with the last host that
// has it. It is safe for concurrent use.
type poisonDetector struct {
	link     hingelink.Link
	peers    []hingeids.HostID
	recorder *hingeevents.Recorder
	// countServers counts the servers of a model or a service. isRemoved reports whether a
	// server is no longer announced, so that the end of its process is no crash.
	countServers func(s hingeids.Service) int
	isRemoved    func(id hingeids.ServerID) bool
	// dialer tells a crash from a lost path.
	dialer hingewire.Dialer
	dirty  chan struct{}
	done   chan struct{}

	mu        sync.Mutex
	detector  *hingepoison.Detector
	blockList *hingepoison.List
	report    poisonReport
}

type poisonReport struct {
	Crashes     []hingepoison.Crash      `cbor:"1,keyasint,omitempty"`
	Completions []hingepoison.Completion `cbor:"2,keyasint,omitempty"`
	Records     []hingepoison.Record     `cbor:"3,keyasint,omitempty"`
}

func newPoisonDetector(
	link hingelink.Link, peers []hingeids.HostID, r *hingeevents.Recorder,
	countServers func(s hingeids.Service) int, isRemoved func(id hingeids.ServerID) bool, dialer hingewire.Dialer,
) *poisonDetector {
	d := &poisonDetector{
		link:         link,
		peers:        peers,
		recorder:     r,
		countServers: countServers,
		isRemoved:    isRemoved,
		dialer:       dialer,
		dirty:        make(chan struct{}, 1),
		done:         make(chan struct{}),
		detector:     hingepoison.NewDetector(),
		blockList:    &hingepoison.List{},
	}
	link.HandleDatagram(methodPoisonReport, d.receive)
	link.HandleCall(methodPoisonList, func(context.Context, hingeids.HostID, []byte) ([]byte, error) {
		d.mu.Lock()
		defer d.mu.Unlock()
		b, err := cbor.Marshal(poisonReport{
			Records: d.blockList.Records,
		})
		return b, eris.Wrap(err, "encode the block list of poison requests")
	})
	return d
}

func (s *Server) newPoisonDetector() *poisonDetector {
	var peers []hingeids.HostID
	for _, p := range s.settings.Peers {
		if p.Host != s.settings.Host {
			peers = append(peers, p.Host)
		}
	}
	return newPoisonDetector(s.shared.link, peers, s.recorder, func(service hingeids.Service) int {
		n := 0
		for _, x := range s.servers.Load().Servers {
			if x.Service == service || x.Model == hingeids.Model(service) {
				n++
			}
		}
		return n
	}, func(id hingeids.ServerID) bool {
		_, found := s.servers.Load().Find(id)
		return !found
	}, s.tunnels)
}

// Evaluate returns the reason why a request must not run, or nil if it may run. suspect means
// that HandleCompletion has to be called when it completes.
func (d *poisonDetector) Evaluate(
	ctx context.Context, fingerprint hingeids.Fingerprint, s hingeids.Service,
) (suspect bool, refused *hingeverdict.Error) {
	decision := d.evaluate(time.Now(), fingerprint, s)
	if decision.Settling {
		hingeclock.Sleep(ctx, hingepoison.SettleTime)
		decision = d.evaluate(time.Now(), fingerprint, s)
	}
	if !decision.Refused {
		return decision.Suspect, nil
	}
	return false, hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodePoison, decision.RetryAfter,
		eris.Errorf("poison request with fingerprint %v is blocked", fingerprint))
}

func (d *poisonDetector) evaluate(now time.Time, fingerprint hingeids.Fingerprint, s hingeids.Service) hingepoison.Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	listed := d.blockList.At(now, fingerprint)
	decision := d.detector.Evaluate(now, fingerprint, listed, func() int {
		return d.countServers(s)
	})
	if decision.Probe {
		d.recordEvent(hingeevents.PoisonTried, listed.Record)
	}
	if decision.Detected {
		r := d.detector.NewRecord(now, now, fingerprint)
		d.recordEvent(hingeevents.PoisonFound, r)
		d.addRecord(r)
	}
	return decision
}

// addRecord reports the record to the other hosts. The caller holds the lock.
func (d *poisonDetector) addRecord(r hingepoison.Record) {
	d.blockList = d.blockList.With(r)
	d.report.Records = append(d.report.Records, r)
	d.notify()
}

// HandleFailedExchange handles a server's failure to answer a request. It records a crash if the
// server doesn't accept connections any more.
func (d *poisonDetector) HandleFailedExchange(ctx context.Context, b hingedispatch.FailedExchange) {
	code := codeOf(b.Err)
	if code != hingeverdict.CodeServerFailed && code != hingeverdict.CodeAnswerCut || d.isRemoved(b.Target.Server) ||
		!hingewire.RefusesConnections(ctx, d.dialer, b.Target.Address, hingewire.CrashProbeTimeout) {
		return
	}
	crash := hingepoison.Crash{
		Fingerprint: b.Fingerprint,
		Server:      b.Target.Server.WithIncarnation(b.Target.Incarnation),
		Service:     b.Service,
		Caller:      b.Caller,
		Held:        b.Held,
	}
	now := time.Now()
	d.recorder.Record(now, hingeevents.ServerEnded, hingeevents.Fields{
		Request:     b.Request,
		Fingerprint: b.Fingerprint,
		Caller:      b.Caller,
		Server:      b.Target.Server,
		Elapsed:     b.Held,
	})
	d.mu.Lock()
	defer d.mu.Unlock()
	d.addCrash(now, crash)
	d.report.Crashes = append(d.report.Crashes, crash)
	d.notify()
}

func codeOf(err error) hingeverdict.Code {
	var v *hingeverdict.Error
	if eris.As(err, &v) {
		return v.Code
	}
	return 0
}

// addCrash records a crash. A crash during a probe extends the block of the request. The
// caller holds the lock.
func (d *poisonDetector) addCrash(now time.Time, crash hingepoison.Crash) {
	if !d.detector.HandleCrash(now, crash) {
		return
	}
	if r, failed := d.detector.FailedProbe(now, now, crash.Fingerprint, crash, d.blockList.At(now, crash.Fingerprint)); failed {
		d.addRecord(r)
	}
}

// HandleCompletion handles the complete answer to a suspected request.
func (d *poisonDetector) HandleCompletion(fingerprint hingeids.Fingerprint) {
	now := time.Now()
	completion := hingepoison.Completion{
		Fingerprint: fingerprint,
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.detector.HandleCompletion(now, completion)
	d.report.Completions = append(d.report.Completions, completion)
	if listed := d.blockList.At(now, fingerprint); listed.Blocked {
		d.recordEvent(hingeevents.PoisonAcquitted, listed.Record)
		d.addRecord(hingepoison.Lift(now, fingerprint))
	}
	d.notify()
}

func (d *poisonDetector) notify() {
	select {
	case d.dirty <- struct{}{}:
	default:
	}
}

func (d *poisonDetector) recordEvent(n hingeevents.Number, r hingepoison.Record) {
	d.recorder.Record(time.Now(), n, hingeevents.Fields{
		Fingerprint: r.Fingerprint,
		Caller:      r.Caller,
		Count:       int64(r.Crashes),
		Detail:      r.String(),
	})
}

func (d *poisonDetector) receive(from hingeids.HostID, body []byte) {
	var report poisonReport
	if err := cbor.Unmarshal(body, &report); err != nil {
		d.recorder.Record(time.Now(), hingeevents.MessageUnread, hingeevents.Fields{
			Host:   from,
			Detail: err.Error(),
		})
		return
	}
	d.merge(time.Now(), report)
}

func (d *poisonDetector) merge(now time.Time, report poisonReport) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, crash := range report.Crashes {
		d.addCrash(now, crash)
	}
	for _, completion := range report.Completions {
		d.detector.HandleCompletion(now, completion)
	}
	for _, r := range report.Records {
		if known, listed := d.blockList.Find(r.Fingerprint); !listed || known.Since < r.Since {
			d.blockList = d.blockList.With(r)
		}
	}
}

// run fetches the block list, then sends this host's observations to the other hosts.
func (d *poisonDetector) run(ctx context.Context) error {
	defer close(d.done)
	fetched := make(chan struct{})
	go func() {
		defer close(fetched)
		d.fetchBlockList(ctx)
	}()
	defer func() {
		<-fetched
	}()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.dirty:
		}
		hingeclock.Sleep(ctx, poisonReportDelay)
		d.mu.Lock()
		report := d.report
		d.report = poisonReport{}
		d.detector.RemoveExpired(time.Now())
		d.mu.Unlock()
		for _, b := range report.messages() {
			for _, h := range d.peers {
				// A host that misses a message detects the request later, or receives the record of a host
				// that detected it.
				d.link.Send(h, methodPoisonReport, b)
			}
		}
	}
}

// fetchBlockList queries the other hosts one after the other, until one responds.
func (d *poisonDetector) fetchBlockList(ctx context.Context) {
	if len(d.peers) == 0 {
		return
	}
	for i := range maxListQueries {
		callCtx, cancel := context.WithTimeout(ctx, listQueryInterval)
		b, err := d.link.Call(callCtx, d.peers[i%len(d.peers)], methodPoisonList, nil)
		cancel()
		var report poisonReport
		if err == nil && cbor.Unmarshal(b, &report) == nil {
			d.merge(time.Now(), report)
			return
		}
		hingeclock.Sleep(ctx, listQueryInterval)
	}
}

func (r poisonReport) messages() [][]byte {
	var out [][]byte
	add := func(part poisonReport) {
		b, err := cbor.Marshal(part)
		if err != nil {
			// All types in a report can be encoded.
			panic(err)
		}
		out = append(out, b)
	}
	for len(r.Crashes)+len(r.Completions)+len(r.Records) > 0 {
		var part poisonReport
		part.Crashes, r.Crashes = split(r.Crashes, observationsPerMessage)
		if len(part.Crashes) == 0 {
			part.Records, r.Records = split(r.Records, recordsPerMessage)
			part.Completions, r.Completions = split(r.Completions, observationsPerMessage)
		}
		add(part)
	}
	return out
}

func split[T any](list []T, n int) (head, rest []T) {
	n = min(n, len(list))
	return list[:n], list[n:]
}
