// Package hingeadmin implements the operators' HTTP API of an entry host.
//
//  1. The complete configuration that results from a change is validated before
//     the change is proposed, and any problem rejects it. The log itself accepts
//     any bytes, so a change that passes must be readable by every process.
//  2. A change is validated against its expected revision. If this host no longer
//     retains that revision, the change can't be accepted as a new one: it is
//     either a resend or a conflict, and the log determines which. If the
//     revision is newer than the one that this host applies, the host can't
//     validate the change and returns a temporary error.
//  3. The verdict of an error states whether the change may have been accepted.
//     Resending the change with the same change ID is always safe.
//  4. Reads never wait for a quorum. A host in a partitioned zone returns the
//     configuration that it applies and the hosts that it can reach.
//
// The API has no authentication: every client that can connect may change the
// configuration. Bind the address to a network that only operators can reach.
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
	// ErrRevisionNotRetained means that the revision is older than the retained ones.
	ErrRevisionNotRetained = eris.New("revision is no longer retained on this host")
	// ErrRevisionNotApplied means that this host has not applied the revision yet.
	ErrRevisionNotApplied = eris.New("revision is not yet applied on this host")
)

// ConflictError means that another change was accepted against the expected
// revision, or that the change ID was used for other content.
type ConflictError struct {
	Code   hingeverdict.Code
	Winner AcceptedChange
}

func (e *ConflictError) Error() string {
	if e.Code == hingeverdict.CodeChangeOtherContent {
		return fmt.Sprintf("change id %s was accepted with other content as revision %d", e.Winner.ChangeID, e.Winner.Revision)
	}
	return fmt.Sprintf("revision %d by %s was accepted first", e.Winner.Revision, e.Winner.Operator)
}

// Configuration gives access to the replicated configuration.
type Configuration interface {
	// Propose appends a change to the configuration log. Errors are
	// *ConflictError or carry a verdict.
	Propose(ctx context.Context, c Change, now time.Time) (AcceptedChange, error)
	// At returns the items at a revision. Revision zero means the one that this
	// host applies. Errors are ErrRevisionNotRetained and
	// ErrRevisionNotApplied.
	At(revision hingeids.Revision) (Snapshot, error)
	// History returns the retained accepted changes, newest first.
	History() []AcceptedChange
}

// StatusReader returns this host's view of the cluster.
type StatusReader interface {
	Status(now time.Time) Status
}

// Drainer starts a graceful shutdown. Drain returns the number of requests in
// progress and may be called repeatedly.
type Drainer interface {
	Drain(now time.Time) (inProgress int)
}

// VoterChanger changes the voters of the configuration log and the quorum ledger.
type VoterChanger interface {
	// ChangeVoters admits a host, which becomes a voter once it has caught up, or
	// removes a host permanently. It is idempotent.
	ChangeVoters(ctx context.Context, v VoterChange) error
}

// Config holds the dependencies of a Handler.
type Config struct {
	Configuration Configuration
	Status        StatusReader
	Drainer       Drainer
	Voters        VoterChanger
	Events        *hingeevents.Recorder
	// Metrics writes the metrics in the Prometheus text format. It may be nil.
	Metrics func(w io.Writer)
	Clock   func() time.Time
}

// Handler serves the operators' API. It is safe for concurrent use if its
// dependencies are.
type Handler struct {
	Config
}

// NewHandler returns a handler that uses the given dependencies.
func NewHandler(c Config) *Handler {
	return &Handler{
		Config: c,
	}
}

// proposeTimeout bounds the wait for a quorum. It is longer than an election.
const proposeTimeout = 10 * time.Second

// MaxChangeBytes is the maximum body size of a change in bytes. Accepted changes are
// replicated to every process, and their snapshot must fit into one link call.
const MaxChangeBytes = 1 << 20

// Handle serves one HTTP request.
func (h *Handler) Handle(c *fasthttp.RequestCtx) {
	route := string(c.Method()) + " " + string(c.Path())
	switch route {
	case "POST /v1/changes":
		h.change(c)
	case "GET /v1/configuration":
		h.configuration(c)
	case "GET /v1/history":
		respond(c, History{
			Changes: h.Configuration.History(),
		})
	case "GET /v1/status":
		respond(c, h.Status.Status(h.Clock()))
	case "GET /v1/explain":
		h.explain(c)
	case "GET /v1/events":
		h.events(c)
	case "POST /v1/drain":
		respond(c, DrainStatus{
			Draining:   true,
			InProgress: h.Drainer.Drain(h.Clock()),
		})
	case "POST /v1/voters":
		h.voters(c)
	case "GET /metrics":
		h.metrics(c)
	default:
		respondFailure(c, fasthttp.StatusNotFound, Failure{
			Code:    hingeverdict.CodeMethodNotAllowed,
			Verdict: hingeverdict.NotRun.String(),
			Error:   "no such route: " + route,
		})
	}
}

func (h *Handler) voters(c *fasthttp.RequestCtx) {
	var v VoterChange
	if err := json.Unmarshal(c.PostBody(), &v); err != nil || (v.Admit == "") == (v.Remove == "") {
		respondError(c, hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeMalformed, 0,
			eris.New("exactly one of admit and remove must name a host")))
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	if err := h.Voters.ChangeVoters(ctx, v); err != nil {
		respondError(c, err)
		return
	}
	respond(c, v)
}

func (h *Handler) metrics(c *fasthttp.RequestCtx) {
	c.SetContentType("text/plain; version=0.0.4")
	if h.Metrics != nil {
		h.Metrics(c)
	}
}

func respond(c *fasthttp.RequestCtx, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		respondError(c, err)
		return
	}
	c.SetContentType("application/json")
	c.SetBody(b)
}

func respondError(c *fasthttp.RequestCtx, err error) {
	f := Failure{
		Verdict: hingeverdict.Of(err).String(),
		Error:   err.Error(),
	}
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		f.Code = conflict.Code
		f.Winner = &conflict.Winner
		f.Verdict = hingeverdict.NotRun.String()
		respondFailure(c, fasthttp.StatusConflict, f)
		return
	}
	status := fasthttp.StatusInternalServerError
	var e *hingeverdict.Error
	if errors.As(err, &e) {
		f.Code = e.Code
		status = httpStatus(e.Code)
		if e.RetryAfter > 0 {
			c.Response.Header.Set("Retry-After", fmt.Sprint(int((e.RetryAfter+time.Second-1)/time.Second)))
		}
	}
	respondFailure(c, status, f)
}

func respondFailure(c *fasthttp.RequestCtx, status int, f Failure) {
	respond(c, f)
	c.SetStatusCode(status)
}

func httpStatus(code hingeverdict.Code) int {
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
