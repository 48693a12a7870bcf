// Package hingeadmin answers the operators' commands over HTTP, at the
// operators' address of an entry host.
//
//  1. A change is checked as a whole before it is proposed: the items as they
//     will be are put together, and any problem refuses it. The log itself
//     takes any bytes, so what passes here is what every process must read.
//  2. The check looks at the revision that the change expects. If that is older
//     than what this host still keeps, the change can't be accepted any more: it
//     is a resend or a conflict, and the log knows which. If it is newer than
//     what this host applies, the host can't check it and refuses for now.
//  3. A refusal says by its verdict whether the change may have been accepted.
//     Resending it with its change id is safe in every case.
//  4. Reading never waits for a quorum: a host in a zone that is cut off tells
//     what it applies and whom it hears.
//
// There is no sign-on: whoever reaches the address may change the
// configuration. It has to be bound to a network that only operators reach.
package hingeadmin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
)

// Errors of Configuration.At.
var (
	// ErrRevisionGone says that the revision is older than what is kept.
	ErrRevisionGone = eris.New("the revision is no longer kept here")
	// ErrRevisionAhead says that this host has not applied the revision yet.
	ErrRevisionAhead = eris.New("the revision is not applied here yet")
)

// ConflictError says that another change was accepted against the expected
// revision, or that the change id was used for other content.
type ConflictError struct {
	Code   hingeverdict.Code
	Winner Accepted
}

func (e *ConflictError) Error() string {
	if e.Code == hingeverdict.CodeChangeOtherContent {
		return fmt.Sprintf("change id %s was accepted with other content as revision %d", e.Winner.ChangeID, e.Winner.Revision)
	}
	return fmt.Sprintf("revision %d by %s was accepted first", e.Winner.Revision, e.Winner.Operator)
}

// Configuration is the agreed configuration.
type Configuration interface {
	// Propose asks for a change. Errors are *ConflictError or carry a verdict.
	Propose(ctx context.Context, c Change, now time.Time) (Accepted, error)
	// At gives the items at a revision, or at the one in force here for zero.
	// Errors are ErrRevisionGone and ErrRevisionAhead.
	At(revision hingeids.Revision) (Snapshot, error)
	// History gives accepted changes, newest first, as far as they are kept.
	History() []Accepted
}

// StatusReader tells what this host knows.
type StatusReader interface {
	Status(now time.Time) Status
}

// Drainer starts a graceful shutdown. Drain may be called again.
type Drainer interface {
	Drain(now time.Time) (inProgress int)
}

// VoterChanger changes who votes on the configuration log and the quorum ledger.
type VoterChanger interface {
	// ChangeVoters lets a host in, to be promoted once it holds everything, or takes
	// one out for good. Doing the same again is no harm.
	ChangeVoters(ctx context.Context, v Voters) error
}

// Config is what the handler answers from.
type Config struct {
	Configuration Configuration
	Status        StatusReader
	Drainer       Drainer
	Voters        VoterChanger
	Events        *hingeevents.Recorder
	// Metrics writes the metrics; nil when there are none.
	Metrics func(w io.Writer)
	Clock   func() time.Time
}

// Handler answers operators' commands.
type Handler struct {
	Config
}

// NewHandler makes a handler.
func NewHandler(c Config) *Handler {
	return &Handler{
		Config: c,
	}
}

// proposeTimeout bounds the wait for a quorum: longer than an election, and
// shorter than an operator's patience.
const proposeTimeout = 10 * time.Second

// MaxChange is the largest body of a change in bytes. An accepted change goes
// to every process, and a snapshot of it must fit the links' calls.
const MaxChange = 1 << 20

// Handle answers a request.
func (h *Handler) Handle(c *fasthttp.RequestCtx) {
	route := string(c.Method()) + " " + string(c.Path())
	switch route {
	case "POST /v1/changes":
		h.change(c)
	case "GET /v1/configuration":
		h.configuration(c)
	case "GET /v1/history":
		answer(c, History{
			Changes: h.Configuration.History(),
		})
	case "GET /v1/status":
		answer(c, h.Status.Status(h.Clock()))
	case "GET /v1/explain":
		h.explain(c)
	case "GET /v1/events":
		h.events(c)
	case "POST /v1/drain":
		answer(c, Drain{
			Draining:   true,
			InProgress: h.Drainer.Drain(h.Clock()),
		})
	case "POST /v1/voters":
		h.voters(c)
	case "GET /metrics":
		h.metrics(c)
	default:
		refuse(c, fasthttp.StatusNotFound, Failure{
			Code:    hingeverdict.CodeMethodNotAllowed,
			Verdict: hingeverdict.NotRun.String(),
			Error:   "no such route: " + route,
		})
	}
}

func (h *Handler) voters(c *fasthttp.RequestCtx) {
	var v Voters
	if err := json.Unmarshal(c.PostBody(), &v); err != nil || (v.Admit == "") == (v.Remove == "") {
		refuseErr(c, hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeMalformed, 0,
			eris.New("want either admit or remove, each the name of a host")))
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	if err := h.Voters.ChangeVoters(ctx, v); err != nil {
		refuseErr(c, err)
		return
	}
	answer(c, v)
}

func (h *Handler) metrics(c *fasthttp.RequestCtx) {
	c.SetContentType("text/plain; version=0.0.4")
	if h.Metrics != nil {
		h.Metrics(c)
	}
}

func answer(c *fasthttp.RequestCtx, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		refuseErr(c, err)
		return
	}
	c.SetContentType("application/json")
	c.SetBody(b)
}

// refuseErr answers with an error's own code and verdict.
func refuseErr(c *fasthttp.RequestCtx, err error) {
	f := Failure{
		Verdict: hingeverdict.Of(err).String(),
		Error:   err.Error(),
	}
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		f.Code = conflict.Code
		f.Winner = &conflict.Winner
		f.Verdict = hingeverdict.NotRun.String()
		refuse(c, fasthttp.StatusConflict, f)
		return
	}
	status := fasthttp.StatusInternalServerError
	var e *hingeverdict.Error
	if errors.As(err, &e) {
		f.Code = e.Code
		status = statusOf(e.Code)
		if e.RetryAfter > 0 {
			c.Response.Header.Set("Retry-After", fmt.Sprint(int((e.RetryAfter+time.Second-1)/time.Second)))
		}
	}
	refuse(c, status, f)
}

func refuse(c *fasthttp.RequestCtx, status int, f Failure) {
	answer(c, f)
	c.SetStatusCode(status)
}

// statusOf gives the HTTP status of a code that operators can meet.
func statusOf(code hingeverdict.Code) int {
	switch code {
	case hingeverdict.CodeMalformed:
		return fasthttp.StatusBadRequest
	case hingeverdict.CodeTooLarge:
		return fasthttp.StatusRequestEntityTooLarge
	case hingeverdict.CodeRevisionConflict, hingeverdict.CodeChangeOtherContent:
		return fasthttp.StatusConflict
	case hingeverdict.CodeNoQuorum, hingeverdict.CodeNotReady, hingeverdict.CodeLinkDown,
		hingeverdict.CodeShuttingDown, hingeverdict.CodeDeadline:
		return fasthttp.StatusServiceUnavailable
	default:
		return fasthttp.StatusInternalServerError
	}
}
