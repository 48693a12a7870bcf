package hingecaller

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
	"github.com/swifthinge/swifthinge/internal/decide/hingepoison"
	"github.com/swifthinge/swifthinge/internal/ledger/hingeledger"
	"github.com/swifthinge/swifthinge/internal/path/hingedispatch"
)

// completion holds the fields of a completion's body that the router reads.
type completion struct {
	Model     hingeids.Model  `json:"model"`
	Prompt    string          `json:"prompt"`
	Messages  []message       `json:"messages"`
	MaxTokens hingeids.Tokens `json:"max_tokens"`
	Stream    bool            `json:"stream"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// bytesPerToken is the assumed length of a token, from which the number of prompt
// tokens is estimated for queues and placement.
const bytesPerToken = 4

// defaultMaxTokens is the limit of an answer if the caller sets none.
const defaultMaxTokens = 256

// handleCompletion reports whether the request continues as a stream after the
// handler has returned. The stream then calls finish when it is closed.
func (s *Server) handleCompletion(
	ctx *fasthttp.RequestCtx, id hingeids.RequestID, path string, finish func(),
) (streams bool) {
	r, stream, err := s.readCompletion(ctx, id, path)
	if err != nil {
		refuse(ctx, id, err)
		return false
	}
	requestCtx, release := s.watch(ctx, id, r.Deadline)
	defer func() {
		if !streams {
			release()
		}
	}()
	answer, err := s.config.Completions.Complete(requestCtx, r)
	if err != nil {
		refuse(ctx, id, err)
		return false
	}
	if stored := answer.StoredAnswer(); stored != nil {
		writeStored(ctx, id, stored)
		return false
	}
	if stream {
		s.writeStream(ctx, id, answer, func() {
			release()
			finish()
		})
		return true
	}
	defer answer.Close()
	writeWhole(ctx, id, r, answer)
	return false
}

// writeStored writes the answer of an earlier run (rule 6).
func writeStored(ctx *fasthttp.RequestCtx, id hingeids.RequestID, s *hingedispatch.StoredAnswer) {
	setAnswerHeaders(ctx, id, hingeverdict.Ran)
	ctx.SetStatusCode(s.Status)
	ctx.SetContentType(s.ContentType)
	ctx.SetBody(s.Body)
}

func (s *Server) readCompletion(
	ctx *fasthttp.RequestCtx, id hingeids.RequestID, path string,
) (r *hingedispatch.CompletionRequest, stream bool, err error) {
	if !ctx.IsPost() {
		return nil, false, hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeMethodNotAllowed, 0,
			eris.New("completion requests must use POST"))
	}
	c, fields, err := parseCompletion(ctx.PostBody())
	if err != nil {
		return nil, false, hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeMalformed, 0, err)
	}
	if !s.config.Catalogue.HasModel(c.Model) {
		return nil, false, hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeUnknownModel, 0,
			eris.Errorf("model %.100q is not in the inventory", string(c.Model)))
	}
	now := s.config.Now()
	class := s.config.Catalogue.Classify(c.Model, "", path, fasthttp.MethodPost)
	deadline, err := deadlineOf(ctx, class, now)
	if err != nil {
		return nil, false, err
	}
	requester, err := s.identify(ctx)
	if err != nil {
		return nil, false, err
	}
	class.Priority = requester.effectivePriority(class.Priority)
	if class.Priority, err = priorityOf(ctx, class); err != nil {
		return nil, false, err
	}
	prompt := c.text()
	return &hingedispatch.CompletionRequest{
		Request:      id,
		Caller:       requester.name,
		Class:        class,
		Model:        c.Model,
		Path:         path,
		Fields:       fields,
		Prompt:       prompt,
		PromptTokens: hingeids.Tokens((len(prompt) + bytesPerToken - 1) / bytesPerToken),
		MaxTokens:    c.MaxTokens,
		Arrived:      now,
		Deadline:     deadline,
		Key:          hingeids.IdempotencyKey(ctx.Request.Header.Peek("Idempotency-Key")),
		Digest:       hingeledger.DigestOf(fasthttp.MethodPost, path, ctx.PostBody()),
		Fingerprint:  hingepoison.FingerprintOf(ctx.PostBody(), string(requester.name), fasthttp.MethodPost, path),
	}, c.Stream, nil
}

func parseCompletion(body []byte) (completion, map[string]json.RawMessage, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return completion{}, nil, eris.Wrap(err, "request body is not a JSON object")
	}
	var c completion
	if err := json.Unmarshal(body, &c); err != nil {
		return completion{}, nil, eris.Wrap(err, "request body is not a valid completion request")
	}
	if c.Prompt == "" && len(c.Messages) == 0 {
		return completion{}, nil, eris.New("request body has neither a prompt nor messages")
	}
	if c.MaxTokens < 0 {
		return completion{}, nil, eris.New("max_tokens: want a positive number, or 0 for the default")
	}
	if c.MaxTokens == 0 {
		c.MaxTokens = defaultMaxTokens
	}
	return c, fields, nil
}

// text returns the prompt, or the messages in their order, as one string.
func (c completion) text() string {
	if len(c.Messages) == 0 {
		return c.Prompt
	}
	var b strings.Builder
	for _, m := range c.Messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(m.Content)
		b.WriteString("\n")
	}
	return b.String()
}

func (s *Server) writeStream(ctx *fasthttp.RequestCtx, id hingeids.RequestID, a *hingedispatch.Answer, finish func()) {
	setAnswerHeaders(ctx, id, hingeverdict.Ran)
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set("Cache-Control", "no-store")
	ctx.SetBodyStream(&eventStream{
		answer: a,
		id:     id,
		idText: id.String(),
		finish: finish,
		server: s,
	}, -1)
}

// eventStream returns an answer's tokens as server-sent events. The HTTP library
// reads it on the connection's goroutine, so a slow caller delays only its own
// stream. Reading a token doesn't allocate.
type eventStream struct {
	answer  *hingedispatch.Answer
	id      hingeids.RequestID
	idText  string
	finish  func()
	server  *Server
	buffer  []byte
	pending []byte
	done    bool
}

// Read returns at most one event, in several parts if p is too small for it.
func (s *eventStream) Read(p []byte) (int, error) {
	if len(s.pending) == 0 {
		if s.done {
			return 0, io.EOF
		}
		s.fill()
	}
	n := copy(p, s.pending)
	s.pending = s.pending[n:]
	return n, nil
}

func (s *eventStream) fill() {
	defer func() {
		if cause := recover(); cause != nil {
			s.buffer = s.errorEvent(s.server.recordPanic(s.id, cause))
			s.pending, s.done = s.buffer, true
		}
	}()
	e, err := s.answer.Next()
	switch {
	case err == nil:
		s.buffer = append(s.buffer[:0], "data: "...)
		s.buffer = appendWithID(s.buffer, e.Data, s.idText)
		s.buffer = append(s.buffer, "\n\n"...)
	case errors.Is(err, io.EOF):
		s.markRun()
		s.buffer = append(s.buffer[:0], "data: [DONE]\n\n"...)
		s.done = true
	default:
		s.buffer = s.errorEvent(err)
		s.done = true
	}
	s.pending = s.buffer
}

// idPrefix is the beginning of the events that engines send.
var idPrefix = []byte(`{"id":"`)

// appendWithID appends an event with the id of the exchange replaced by the id of
// the request, which the caller knows.
func appendWithID(dst, event []byte, id string) []byte {
	rest, ok := bytes.CutPrefix(event, idPrefix)
	if !ok {
		return append(dst, event...)
	}
	end := bytes.IndexByte(rest, '"')
	if end < 0 {
		return append(dst, event...)
	}
	dst = append(dst, idPrefix...)
	dst = append(dst, id...)
	return append(dst, rest[end:]...)
}

// errorEvent returns the error event of rule 4.
func (s *eventStream) errorEvent(err error) []byte {
	body, _ := refusalOf(s.id, err)
	b, err := json.Marshal(struct {
		Error refusal `json:"error"`
	}{
		Error: body,
	})
	if err != nil {
		b = []byte("{}")
	}
	out := append(s.buffer[:0], "event: error\ndata: "...)
	out = append(out, b...)
	return append(out, "\n\n"...)
}

// Close finishes the request. The HTTP library calls it after the last write or
// a failed one.
func (s *eventStream) Close() error {
	s.answer.Close()
	s.markRun()
	s.finish()
	return nil
}

// markRun records in the ledger that a streamed request ran. The answer itself is
// not stored, since its tokens are not buffered.
func (s *eventStream) markRun() {
	s.answer.Store(hingedispatch.StoredAnswer{
		Status: fasthttp.StatusOK,
	})
}

// writeWhole collects the answer and writes it in one response. If the answer is
// incomplete, it writes only the error.
func writeWhole(ctx *fasthttp.RequestCtx, id hingeids.RequestID, r *hingedispatch.CompletionRequest, a *hingedispatch.Answer) {
	var text strings.Builder
	tokens := 0
	finishReason := "stop"
	for {
		e, err := a.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			refuse(ctx, id, err)
			return
		}
		part, reason, err := eventText(e.Data)
		if err != nil {
			refuse(ctx, id, hingeverdict.New(hingeverdict.MayHaveRun, hingeverdict.CodeServerFailed, 0, err))
			return
		}
		if reason != "" {
			finishReason = reason
		}
		text.WriteString(part)
		tokens++
	}
	setAnswerHeaders(ctx, id, hingeverdict.Ran)
	writeJSON(ctx, fasthttp.StatusOK, wholeAnswer(id, r, text.String(), finishReason, tokens))
	a.Store(hingedispatch.StoredAnswer{
		Status:      fasthttp.StatusOK,
		ContentType: string(ctx.Response.Header.ContentType()),
		Body:        append([]byte(nil), ctx.Response.Body()...),
		Complete:    true,
	})
}

// eventText returns the text and the finish reason in an event of either
// completion API.
func eventText(data []byte) (text, finishReason string, err error) {
	var body struct {
		Choices []struct {
			Text  string `json:"text"`
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
			FinishReason string `json:"finish_reason"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(data, &body); err != nil {
		return "", "", eris.Wrap(err, "engine sent an event that is not a valid completion")
	}
	if len(body.Choices) == 0 {
		return "", "", nil
	}
	c := body.Choices[0]
	return c.Text + c.Delta.Content, c.FinishReason, nil
}

// wholeAnswer returns the response body of a completion that is not streamed, in
// the format of the API that the request used.
func wholeAnswer(id hingeids.RequestID, r *hingedispatch.CompletionRequest, text, reason string, tokens int) any {
	type choice struct {
		Index        int      `json:"index"`
		Text         *string  `json:"text,omitempty"`
		Message      *message `json:"message,omitempty"`
		FinishReason string   `json:"finish_reason"`
	}
	type usage struct {
		CompletionTokens int `json:"completion_tokens"`
	}
	c := choice{
		FinishReason: reason,
	}
	object := "text_completion"
	if r.Path == "/v1/chat/completions" {
		object = "chat.completion"
		c.Message = &message{
			Role:    "assistant",
			Content: text,
		}
	} else {
		c.Text = &text
	}
	return struct {
		ID      string         `json:"id"`
		Object  string         `json:"object"`
		Created int64          `json:"created"`
		Model   hingeids.Model `json:"model"`
		Choices []choice       `json:"choices"`
		Usage   usage          `json:"usage"`
	}{
		ID:      id.String(),
		Object:  object,
		Created: r.Arrived.Unix(),
		Model:   r.Model,
		Choices: []choice{c},
		Usage: usage{
			CompletionTokens: tokens,
		},
	}
}
