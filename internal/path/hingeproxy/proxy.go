// Package hingeproxy is the front door for opaque requests: it routes by host
// name and path and hands body, path and query on byte for byte. What it needs of the headers
// comes as typed values from a Dialect.
//
//  1. A request is answered once. Whether it may be sent again is told by the
//     verdict on each attempt, never by a guess (hingeretry).
//  2. A status that promises "not run" is given only if no attempt can have run.
//  3. An answer of a backend server goes on unchanged, with its whole body, or not at all.
//  4. A stream passes whole events on, each once and in order. When its engine
//     breaks off, another goes on after the last event that was passed on, if the route
//     allows it; otherwise the connection is closed without its end.
//  5. When the caller leaves, everything that is done for it ends: the wait, the
//     prefill, the KV cache that was exported, the run.
//  6. What can't be served is refused at once, with a time to come back.
//  7. A request needs the key of a customer, where the configuration has customers and its route isn't public. The key
//     never goes on; whose request it is is told to the server by the router alone.
//  8. That a route or a key isn't known is final for a caller, who doesn't ask again. It is said only if the configuration
//     in force here is known to be the newest; until then the caller is told to come back.
//  9. Whoever places is told of each server that ended while it had a request, and says which requests end servers: they don't run.
package hingeproxy

import (
	"context"
	"fmt"
	"net/http"
	"runtime/debug"
	"strings"
	"sync"
	"time"

	"github.com/swifthinge/swifthinge/internal/capacity/hingeplacer"
	"github.com/swifthinge/swifthinge/internal/config/hingecustomers"
	"github.com/swifthinge/swifthinge/internal/config/hingeroutes"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
	"github.com/swifthinge/swifthinge/internal/decide/hingepoison"
	"github.com/swifthinge/swifthinge/internal/decide/hingequota"
	"github.com/swifthinge/swifthinge/internal/decide/hingeretry"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
	"github.com/swifthinge/swifthinge/internal/path/hingewire"
)

// RequestID is the caller's own id of one attempt.
type RequestID string

// Asked is what a request's headers say.
type Asked struct {
	ID RequestID
	// Left is how long the caller waits; zero if it doesn't say.
	Left  time.Duration
	Model hingeids.Model
	// Prompt and Longest are the tokens of the prompt and the most of the answer; Hint
	// is the caller's estimate of the answer, zero if it has none.
	Prompt  hingeids.Tokens
	Longest hingeids.Tokens
	Hint    hingeids.Tokens
	// After is the last event that the caller has, empty at the beginning.
	After string
	// Key is the one API key that the request brings, empty if it brings none or several.
	Key hingecustomers.Key
}

// Cache names the KV cache of a finished prefill at its engine.
type Cache struct {
	Address string
	Handle  string
}

// Sending is what the router adds to a request for one backend server.
type Sending struct {
	Server hingeids.ServerID
	// Left is the time that the server may take.
	Left time.Duration
	// Prefill asks for the prompt's KV cache only.
	Prefill bool
	// From is the KV cache to go on from, if any.
	From Cache
	// After is the last event that was passed on.
	After string
	// Customer is whose request it is, empty if nobody's.
	Customer hingeids.CallerID
}

// Reply is what a backend server's headers say of its answer.
type Reply struct {
	// ID is the request that the answer is for; empty if the server doesn't say.
	ID RequestID
	// NotRun is the server's word that it didn't run the request, Gone that
	// another server has the address.
	NotRun bool
	Gone   bool
	// Vouched says that the server has put its mark on the answer.
	Vouched bool
}

// Dialect translates between headers and what they say.
type Dialect interface {
	Asked(h http.Header) Asked
	// Outgoing gives the headers for a backend server: the caller's, without its key and
	// those that are the router's to set, and what Sending says.
	Outgoing(h http.Header, s Sending) http.Header
	Reply(r *http.Response) Reply
	// Cache reads the answer of a prefill engine at an address.
	Cache(address string, body []byte) (Cache, error)
	// Free gives the method and path of the call that frees a KV cache.
	Free(c Cache) (method, path string)
	// Own gives the headers of an answer of the router's own.
	Own(id RequestID) http.Header
}

// World is what the process knows of the fleet. Its values are not changed once given.
type World interface {
	// Table is nil before any configuration is known.
	Table() *hingeroutes.Table
	// Changed closes at the next change of what is known.
	Changed() <-chan struct{}
	// Version names all that is known of the configuration and of servers.
	Version() string
	// Newest reports whether Table is known to be no older than the newest that was accepted before the call. It waits
	// for a newer one that it hears of.
	Newest(ctx context.Context) bool
	// Gone reports whether a server is known to take no more work.
	Gone(id hingeids.ServerID) bool
	Entries() int
}

// Budget is the part of the repeats that the fleet may make of one service.
type Budget struct {
	// PerRequest is the share of repeats to requests, Burst what all hosts
	// together may save up.
	PerRequest float64
	Burst      float64
}

// Settings of a proxy.
type Settings struct {
	Self   hingeids.Instance
	Zone   hingeids.Zone
	Budget Budget
	Clock  func() time.Time
	// Started is when the process began.
	Started  time.Time
	Recorder *hingeevents.Recorder
}

// Proxy answers requests.
type Proxy struct {
	settings Settings
	dialect  Dialect
	world    World
	owner    *hingeplacer.Owner
	meter    *meter

	mu      sync.Mutex
	budgets map[hingeids.Service]*hingeretry.Budget
	// drainingSince is when the process began to end, zero before.
	drainingSince time.Time
	sequence      uint64
	// excesses bounds the lines on requests beyond a quota.
	excesses bounded
	// held counts the requests that wait for the first configuration.
	held int
	// denials bounds the lines on requests that are denied.
	denials bounded
	// poisons bounds the lines on requests that end servers.
	poisons bounded
}

var _ hingewire.Handler = (*Proxy)(nil)

// New makes a proxy.
func New(s Settings, d Dialect, w World, o *hingeplacer.Owner) *Proxy {
	return &Proxy{
		settings: s,
		dialect:  d,
		world:    w,
		owner:    o,
		meter:    newMeter(),
		budgets:  make(map[hingeids.Service]*hingeretry.Budget),
	}
}

// Drain notes that the process ends: streams that can't end in time aren't begun.
func (p *Proxy) Drain(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drainingSince = now
}

// job is one request on its way.
type job struct {
	*hingewire.Request
	asked Asked
	route *hingeroutes.Route
	// customer is whose request it is; nil if nobody's.
	customer *hingecustomers.Customer
	// print is what it has in common with all that are sent again.
	print hingeids.Fingerprint
	// ends are the servers that ended under this attempt; suspect says that some have, under this or others.
	ends    []hingepoison.Crash
	suspect bool
	// charge is what it counts for its customer's quota, counted says that it does.
	charge   hingequota.Charge
	counted  bool
	service  hingeids.Service
	deadline time.Time
	writer   *hingewire.Writer
	// ran is the most that any attempt may have done, runs how many may have run.
	ran  hingeverdict.Verdict
	runs int
	// attempts counts the times that the request was handed to a server; arrivals also those
	// that only had its prompt read, and paid is how many of these the budget has given.
	attempts int
	arrivals int
	paid     int
	// free counts the repeats that cost the budget nothing.
	free int
	// reserved says that the budget has given the next repeat already.
	reserved bool
}

// standardWait is for callers that don't say how long they wait, on a route without a timeout.
const standardWait = 30 * time.Second

// Serve answers a request.
func (p *Proxy) Serve(ctx context.Context, r *hingewire.Request, w *hingewire.Writer) {
	defer p.survive(r)
	asked := p.dialect.Asked(r.Header)
	table := p.awaitTable(ctx, r, asked)
	if table == nil {
		p.refuse(w, asked.ID, hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeNotReady, notReadyRetry, nil))
		return
	}
	a := p.admit(ctx, r, asked, table)
	if a.denied != nil {
		p.deny(w, asked.ID, a.denied)
		return
	}
	route := a.route
	j := &job{
		Request:  r,
		asked:    asked,
		route:    route,
		customer: a.customer,
		print:    printOf(r, a.customer),
		charge:   p.chargeOf(a, asked),
		service:  route.Service(string(asked.ID)),
		writer:   w,
		ran:      hingeverdict.NotRun,
	}
	j.deadline = r.Arrived.Add(waitOf(asked, route))
	inner, stop := context.WithDeadline(ctx, time.Now().Add(j.deadline.Sub(p.settings.Clock())))
	defer stop()
	p.request(j.service)
	if s := a.table.Services[j.service]; s.Engine != nil && route.Kind == hingeroutes.Stream && asked.Prompt > 0 {
		p.stream(inner, j, s.Engine)
		return
	}
	p.plain(inner, j)
}

// survive gives up the one request on which the program failed. Without it a
// fault of ours that one request brings out would end all others of the process with it.
func (p *Proxy) survive(r *hingewire.Request) {
	failure := recover()
	if failure == nil {
		return
	}
	p.settings.Recorder.Record(p.settings.Clock(), hingeevents.HandlerPanicked, hingeevents.Fields{
		Asked:  string(p.dialect.Asked(r.Header).ID),
		Detail: fmt.Sprintf("%v\n%s", failure, debug.Stack()),
	})
}

// waitOf is how long a request may be kept waiting.
func waitOf(a Asked, r *hingeroutes.Route) time.Duration {
	wait := r.Timeout
	if wait == 0 {
		wait = standardWait
	}
	if a.Left > 0 {
		wait = min(wait, a.Left)
	}
	return wait
}

// nextID gives an id that no other attempt of the fleet has.
func (p *Proxy) nextID() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sequence++
	return fmt.Sprintf("%s/%d/%d", p.settings.Self.Host, p.settings.Self.Incarnation, p.sequence)
}

// addressOf gives where a server that was chosen is, empty if it takes no more work. A placer that is parted from other control hosts
// may not have heard what this host has; the other way round, it may know of servers that this host hasn't heard of.
func (p *Proxy) addressOf(id hingeids.ServerID, address string) string {
	if p.world.Gone(id) {
		return ""
	}
	return address
}

// left is how much time a job has.
func (p *Proxy) left(j *job) time.Duration {
	return j.deadline.Sub(p.settings.Clock())
}

func hostName(host string) string {
	if at := strings.LastIndexByte(host, ':'); at >= 0 {
		host = host[:at]
	}
	return strings.ToLower(host)
}

func pathOf(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}

// sent makes the message for one backend server.
func (j *job) sent(d Dialect, s Sending) hingewire.Sent {
	if j.customer != nil {
		s.Customer = j.customer.Name
	}
	return hingewire.Sent{
		Method: j.Method,
		Target: j.Target,
		Host:   j.Host,
		Header: d.Outgoing(j.Header, s),
		Body:   j.Body,
	}
}

// note keeps what an attempt may have done.
func (j *job) note(v hingeverdict.Verdict) {
	if v != hingeverdict.NotRun {
		j.ran = v
		j.runs++
	}
}
