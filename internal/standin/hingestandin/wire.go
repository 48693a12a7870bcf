package hingestandin

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/membership/hingeannounce"
)

// completionRequest is the body of a completion, without the fields that the
// stand-in ignores.
type completionRequest struct {
	RequestID string `json:"request_id"`
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	Messages  []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
	MaxTokens int  `json:"max_tokens"`
	Stream    bool `json:"stream"`
	Priority  int  `json:"priority"`
	// ResumeFrom is the index of the first token to send; earlier ones have been
	// generated already, by this engine or another.
	ResumeFrom int             `json:"resume_from"`
	Transfer   *transferParams `json:"kv_transfer_params"`
}

// text returns the prompt, followed by the chat messages in order.
func (r completionRequest) text() string {
	text := r.Prompt
	for _, m := range r.Messages {
		text += m.Role + ": " + m.Content + "\n"
	}
	return text
}

// transferParams select remote prefill or decode, and the source of the KV cache.
type transferParams struct {
	DoRemoteDecode  bool   `json:"do_remote_decode,omitempty"`
	DoRemotePrefill bool   `json:"do_remote_prefill,omitempty"`
	RemoteHost      string `json:"remote_host,omitempty"`
	RemoteBlockID   string `json:"remote_block_id,omitempty"`
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/v1/completions", "/v1/chat/completions":
		s.handleCompletion(ctx)
	case "/v1/resume":
		s.handleResume(ctx)
	case "/abort_request":
		s.handleAbort(ctx)
	case "/v1/held":
		s.handleHeld(ctx)
	case "/v1/kv":
		s.handleExport(ctx)
	case "/v1/orders":
		s.handleOrder(ctx)
	case "/v1/state":
		s.handleState(ctx)
	case "/standin/faults":
		s.handleFaults(ctx)
	case "/standin/counts":
		reply(ctx, fasthttp.StatusOK, s.Counts())
	case "/standin/leave":
		s.Leave()
	default:
		if s.kind() != hingeannounce.Service {
			replyError(ctx, fasthttp.StatusNotFound, "unknownRoute", false)
			return
		}
		s.handleService(ctx)
	}
}

// reply writes a JSON body and echoes the X-Request-Id header.
func reply(ctx *fasthttp.RequestCtx, status int, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	if id := ctx.Request.Header.Peek("X-Request-Id"); len(id) > 0 {
		ctx.Response.Header.SetBytesV("X-Request-Id", id)
	}
	ctx.SetBody(b)
}

// replyError writes an error body; ran reports whether the request ran.
func replyError(ctx *fasthttp.RequestCtx, status int, kind string, ran bool) {
	type body struct {
		Type string `json:"type"`
		Ran  bool   `json:"ran"`
	}
	reply(ctx, status, struct {
		Error body `json:"error"`
	}{
		Error: body{
			Type: kind,
			Ran:  ran,
		},
	})
}

func (s *Server) handleFaults(ctx *fasthttp.RequestCtx) {
	var body struct {
		Fault Fault `json:"fault"`
		Count int   `json:"count"`
	}
	if err := json.Unmarshal(ctx.PostBody(), &body); err != nil {
		replyError(ctx, fasthttp.StatusBadRequest, "malformed", false)
		return
	}
	s.SetFault(body.Fault, max(body.Count, 1))
	reply(ctx, fasthttp.StatusOK, body)
}

func (s *Server) handleAbort(ctx *fasthttp.RequestCtx) {
	var body struct {
		RequestID string `json:"rid"`
	}
	if err := json.Unmarshal(ctx.PostBody(), &body); err != nil {
		replyError(ctx, fasthttp.StatusBadRequest, "malformed", false)
		return
	}
	reply(ctx, fasthttp.StatusOK, struct {
		Aborted     bool                 `json:"aborted"`
		Incarnation hingeids.Incarnation `json:"incarnation"`
	}{
		Aborted:     s.cancel(body.RequestID),
		Incarnation: s.incarnation,
	})
}

// Allocation is a generation or an export that an engine holds for a request, as
// listed by /v1/held.
type Allocation struct {
	RequestID string `json:"request_id"`
	Kind      string `json:"kind"`
	AgeMillis int64  `json:"age_ms"`
}

func (s *Server) handleHeld(ctx *fasthttp.RequestCtx) {
	now := time.Now()
	s.mu.Lock()
	allocations := make([]Allocation, 0, len(s.running)+len(s.exports))
	for id, g := range s.running {
		allocations = append(allocations, Allocation{
			RequestID: id,
			Kind:      "generation",
			AgeMillis: now.Sub(g.started).Milliseconds(),
		})
	}
	for _, e := range s.exports {
		allocations = append(allocations, Allocation{
			RequestID: e.requestID,
			Kind:      "export",
			AgeMillis: now.Sub(e.createdAt).Milliseconds(),
		})
	}
	s.mu.Unlock()
	reply(ctx, fasthttp.StatusOK, struct {
		Incarnation hingeids.Incarnation `json:"incarnation"`
		Held        []Allocation         `json:"held"`
	}{
		Incarnation: s.incarnation,
		Held:        allocations,
	})
}
