// Package hingeproxy is the entry point for opaque requests: it routes by host name and path, and forwards body, path
// and query byte for byte. A Dialect translates the headers to and from typed values.
//
//  1. A request is answered once. Whether it may be sent again depends on the verdict of each attempt (hingeretry).
//  2. A status that means "not run" is returned only if no attempt can have run.
//  3. An answer of a backend server is forwarded unchanged and with its whole body, or not at all.
//  4. A stream forwards whole events, each once and in order. When its engine fails, another engine resumes after the
//     last forwarded event, if the route allows it; otherwise the connection is closed with the answer incomplete.
//  5. When the caller disconnects, all work for it is cancelled: queueing, the prefill, the exported KV cache and the
//     decode.
//  6. A request that can't be served is refused at once, with a Retry-After.
//  7. If the configuration has customers, a request needs the key of a customer unless its route is public. The key is
//     never forwarded; the router alone tells the server which customer has sent the request.
//  8. An unknown route or key is a final error, which callers don't retry. It is returned only if the configuration
//     on this host is known to be the newest; until then the request is refused with a Retry-After.
//  9. Each crash of a server that had a request is reported to the placer, which decides which requests crash servers.
//     These are refused.
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
	"github.com/swifthinge/swifthinge/internal/decide/hingenotice"
	"github.com/swifthinge/swifthinge/internal/decide/hingepoison"
	"github.com/swifthinge/swifthinge/internal/decide/hingequota"
	"github.com/swifthinge/swifthinge/internal/decide/hingeretry"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
	"github.com/swifthinge/swifthinge/internal/path/hingewire"
)

// RequestID is the id that the caller gives to one attempt.
type RequestID string

// RequestInfo holds the values of a request's headers.
type RequestInfo struct {
	ID RequestID
	// MaxWait is the caller's timeout, zero if unknown.
	MaxWait time.Duration
	Model   hingeids.Model
	// PromptTokens is the length of the prompt, MaxTokens the maximum length of the answer, and ExpectedTokens the
	// caller's estimate of that length, zero if unknown.
	PromptTokens   hingeids.Tokens
	MaxTokens      hingeids.Tokens
	ExpectedTokens hingeids.Tokens
	// LastEventID is the id of the last event that the caller has received, empty for a new stream.
	LastEventID string
	// PromptParts identify the parts of the prompt that other requests may share, in the order in which they stand in it.
	PromptParts []string
	// Key is the API key of the request, empty if the request has none or several.
	Key hingecustomers.Key
}

// Cache identifies the KV cache of a finished prefill, by the address of its engine and the engine's handle.
type Cache struct {
	Address string
	Handle  string
}

// ForwardInfo holds what the router adds to a request for one backend server.
type ForwardInfo struct {
	Server hingeids.ServerID
	// Remaining is the time that remains for the answer.
	Remaining time.Duration
	// PrefillOnly requests the prompt's KV cache without an answer.
	PrefillOnly bool
	// SourceCache is the KV cache to decode from, zero if there is none.
	SourceCache Cache
	// LastEventID is the id of the last event that was forwarded to the caller.
	LastEventID string
	// Customer is the customer who has sent the request, empty if unknown.
	Customer hingeids.CallerID
}

// Reply holds the values of the headers of a backend server's answer.
type Reply struct {
	// ID is the request that the answer belongs to, empty if the server doesn't return it.
	ID RequestID
	// NotRun is set if the server confirms that it did not run the request, ServerReplaced if another server has the
	// address now.
	NotRun         bool
	ServerReplaced bool
	// Sealed is set if the answer carries the server's seal.
	Sealed bool
	// Notice is what the server states about itself. NoticeError is set if a value of it can't be read.
	Notice      hingenotice.Notice
	NoticeError error
}

// Dialect translates between headers and typed values.
type Dialect interface {
	RequestInfo(h http.Header) RequestInfo
	// OutgoingHeaders returns the headers for a backend server: the caller's headers without its API key and the headers
	// that only the router may set, and the values of f.
	OutgoingHeaders(h http.Header, f ForwardInfo) http.Header
	Reply(r *http.Response) Reply
	// Cache parses the answer of the prefill engine at an address.
	Cache(address string, body []byte) (Cache, error)
	// FreeCall returns the method and path of the call that frees a KV cache.
	FreeCall(c Cache) (method, path string)
	// OwnHeaders returns the headers of an answer that the router itself generates.
	OwnHeaders(id RequestID) http.Header
}

// ClusterView is the cluster view of this process. The values that it returns must not be modified.
type ClusterView interface {
	// Table returns the routing table, nil before the first configuration is known.
	Table() *hingeroutes.Table
	// Changed returns a channel that is closed at the next change of the view.
	Changed() <-chan struct{}
	// Version identifies the configuration and the set of servers in the view.
	Version() string
	// ConfirmNewest reports whether Table is at least as new as the newest configuration accepted before the call. If
	// there is a newer one, it waits until this host has received it.
	ConfirmNewest(ctx context.Context) bool
	// Removed reports whether a server is known to accept no more requests.
	Removed(id hingeids.ServerID) bool
	// EntryHosts returns the number of entry hosts.
	EntryHosts() int
}

// Settings holds the settings of a Proxy.
type Settings struct {
	Self        hingeids.Instance
	Zone        hingeids.Zone
	RetryBudget hingeretry.FleetLimits
	Clock       func() time.Time
	// StartedAt is the start time of the process.
	StartedAt time.Time
	Recorder  *hingeevents.Recorder
	// Dialer opens the connections to backend servers.
	Dialer hingewire.Dialer
}

// Proxy serves the requests of callers. It is safe for concurrent use.
type Proxy struct {
	settings Settings
	dialect  Dialect
	view     ClusterView
	owner    *hingeplacer.Owner
	meter    *meter
	bodies   *hingewire.BodyMemory

	mu      sync.Mutex
	budgets map[hingeids.Service]*hingeretry.Budget
	// drainingSince is the start of the drain, zero before.
	drainingSince time.Time
	sequence      uint64
	quotaRefusals logLimiter
	// waiting counts the requests that wait for the first configuration.
	waiting        int
	denials        logLimiter
	poisonRefusals logLimiter
	notices        logLimiter
	unreadNotices  logLimiter
}

var _ hingewire.Handler = (*Proxy)(nil)

// New creates a proxy that places its requests through o.
func New(s Settings, d Dialect, v ClusterView, o *hingeplacer.Owner) *Proxy {
	m := newMeter()
	s.Dialer = countingDialer{
		Dialer: s.Dialer,
		meter:  m,
	}
	return &Proxy{
		settings: s,
		dialect:  d,
		view:     v,
		owner:    o,
		meter:    m,
		bodies:   hingewire.NewBodyMemory(maxBodyMemory),
		budgets:  make(map[hingeids.Service]*hingeretry.Budget),
	}
}

// maxBodyMemory is the room for long answers that are being read, two of the longest. A small host has 112 MB in all.
const maxBodyMemory = 2 * hingewire.MaxAnswerBytes

// Drain marks the start of the shutdown. Streams are refused once drainStreamTime has passed.
func (p *Proxy) Drain(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drainingSince = now
}

// job is a request in flight, with the state of its attempts.
type job struct {
	*hingewire.Request
	info  RequestInfo
	route *hingeroutes.Route
	// customer is nil if the request has no customer.
	customer *hingecustomers.Customer
	// fingerprint is the digest that the request shares with its resends.
	fingerprint hingeids.Fingerprint
	// parts are the digests of the prompt's shared parts.
	parts []hingeids.Fingerprint
	// crashes lists the servers that crashed while they had this request; suspect is set if any server has crashed
	// under this request or its resends.
	crashes []hingepoison.Crash
	suspect bool
	// charge is the request's charge to its customer's quota, charged whether it was charged.
	charge   hingequota.Charge
	charged  bool
	service  hingeids.Service
	deadline time.Time
	writer   *hingewire.Writer
	// verdict is the verdict of the last attempt that may have run, NotRun if there is none; runs counts these
	// attempts.
	verdict hingeverdict.Verdict
	runs    int
	// attempts counts the messages to servers that run the request, messages also those to prefill engines;
	// paidMessages counts the messages that were charged to the retry budget.
	attempts     int
	messages     int
	paidMessages int
	// freeRetries counts the retries that cost no budget.
	freeRetries int
	// notice is what a server has stated in the last answer, until it is reported to the placer.
	notice hingenotice.Notice
	// reserved is set if the next retry was already charged to the budget.
	reserved bool
}

// defaultTimeout applies if neither the caller nor the route sets a timeout.
const defaultTimeout = 30 * time.Second

// Serve answers a request. It implements hingewire.Handler.
func (p *Proxy) Serve(ctx context.Context, r *hingewire.Request, w *hingewire.Writer) {
	defer p.recoverPanic(r)
	info := p.dialect.RequestInfo(r.Header)
	table := p.awaitTable(ctx, r, info)
	if table == nil {
		p.writeError(w, info.ID, hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeNotReady, notReadyRetry, nil))
		return
	}
	a := p.admit(ctx, r, info, table)
	if a.denial != nil {
		p.deny(w, info.ID, a.denial)
		return
	}
	route := a.route
	j := &job{
		Request:     r,
		info:        info,
		route:       route,
		customer:    a.customer,
		fingerprint: fingerprintOf(r, a.customer),
		charge:      p.chargeOf(a, info),
		service:     route.Service(string(info.ID)),
		writer:      w,
		verdict:     hingeverdict.NotRun,
	}
	j.parts = hingepoison.PartsOf(j.service, info.PromptParts)
	j.deadline = r.Arrived.Add(timeoutOf(info, route))
	requestCtx, stop := context.WithDeadline(ctx, time.Now().Add(j.deadline.Sub(p.settings.Clock())))
	defer stop()
	p.recordRequest(j.service)
	if s := a.table.Services[j.service]; s.Engine != nil && route.Kind == hingeroutes.Stream && info.PromptTokens > 0 {
		p.serveStream(requestCtx, j, s.Engine)
		return
	}
	p.servePlain(requestCtx, j)
}

// recoverPanic records a panic in a request's handler, so that it ends this request only and not the whole process.
func (p *Proxy) recoverPanic(r *hingewire.Request) {
	failure := recover()
	if failure == nil {
		return
	}
	p.settings.Recorder.Record(p.settings.Clock(), hingeevents.HandlerPanicked, hingeevents.Fields{
		CallerRequestID: string(p.dialect.RequestInfo(r.Header).ID),
		Detail:          fmt.Sprintf("%v\n%s", failure, debug.Stack()),
	})
}

// timeoutOf returns the timeout of a request: the route's, or the caller's if that is shorter.
func timeoutOf(info RequestInfo, r *hingeroutes.Route) time.Duration {
	timeout := r.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	if info.MaxWait > 0 {
		timeout = min(timeout, info.MaxWait)
	}
	return timeout
}

// nextID returns an id that is unique in the fleet.
func (p *Proxy) nextID() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sequence++
	return fmt.Sprintf("%s/%d/%d", p.settings.Self.Host, p.settings.Self.Incarnation, p.sequence)
}

// addressOf returns the address of a placed server, empty if this host knows that the server accepts no more
// requests, by its view or from the server itself. A partitioned placer may not know that yet. Servers that only the
// placer knows are used.
func (p *Proxy) addressOf(id hingeids.ServerID, address string) string {
	if p.view.Removed(id) || p.owner.Withholds(id) {
		return ""
	}
	return address
}

func (p *Proxy) remaining(j *job) time.Duration {
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

func (j *job) message(d Dialect, f ForwardInfo) hingewire.OutgoingRequest {
	if j.customer != nil {
		f.Customer = j.customer.Name
	}
	return hingewire.OutgoingRequest{
		Method: j.Method,
		Target: j.Target,
		Host:   j.Host,
		Header: d.OutgoingHeaders(j.Header, f),
		Body:   j.Body,
	}
}

func (j *job) recordVerdict(v hingeverdict.Verdict) {
	if v != hingeverdict.NotRun {
		j.verdict = v
		j.runs++
	}
}
