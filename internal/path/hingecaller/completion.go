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

// completion is the part of a completion's body that the router reads.
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

// bytesPerToken estimates a prompt's tokens from its length, for queues and
// placement; the engine's own count corrects it.
const bytesPerToken = 4

// guessedTokens is the answer's length where the caller gives no limit.
const guessedTokens = 256

// handleCompletion tells whether the request goes on as a stream after it, which
// then calls finish at its end.
func (s *Server) handleCompletion(
	ctx *fasthttp.RequestCtx, id hingeids.RequestID, path string, finish func(),
) (streams bool) {
	w, stream, err := s.readCompletion(ctx, id, path)
	if err != nil {
		refuse(ctx, id, err)
		return false
	}
	request, end := s.watch(ctx, id, w.Deadline)
	defer func() {
		if !streams {
			end()
		}
	}()
	answer, err := s.config.Completions.Complete(request, w)
	if err != nil {
		refuse(ctx, id, err)
		return false
	}
	if stored := answer.Stored(); stored != nil {
		giveStored(ctx, id, stored)
		return false
	}
	if stream {
		s.giveStream(ctx, id, answer, func() {
			end()
			finish()
		})
		return true
	}
	defer answer.Close()
	giveWhole(ctx, id, w, answer)
	return false
}

// giveStored gives the answer of an earlier run, by rule 6.
func giveStored(ctx *fasthttp.RequestCtx, id hingeids.RequestID, s *hingedispatch.Stored) {
	head(ctx, id, hingeverdict.Ran)
	ctx.SetStatusCode(s.Status)
	ctx.SetContentType(s.ContentType)
	ctx.SetBody(s.Body)
}

func (s *Server) readCompletion(
	ctx *fasthttp.RequestCtx, id hingeids.RequestID, path string,
) (w *hingedispatch.Work, stream bool, err error) {
	if !ctx.IsPost() {
		return nil, false, hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeMethodNotAllowed, 0,
			eris.New("completions take POST"))
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
	who, err := s.askerOf(ctx)
	if err != nil {
		return nil, false, err
	}
	class.Priority = who.rank(class.Priority)
	if class.Priority, err = priorityOf(ctx, class); err != nil {
		return nil, false, err
	}
	prompt := c.text()
	return &hingedispatch.Work{
		Request:      id,
		Caller:       who.name,
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
		Print:        hingepoison.FingerprintOf(ctx.PostBody(), string(who.name), fasthttp.MethodPost, path),
	}, c.Stream, nil
}

func parseCompletion(body []byte) (completion, map[string]json.RawMessage, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return completion{}, nil, eris.Wrap(err, "body is not a JSON object")
	}
	var c completion
	if err := json.Unmarshal(body, &c); err != nil {
		return completion{}, nil, eris.Wrap(err, "body is not a completion")
	}
	if c.Prompt == "" && len(c.Messages) == 0 {
		return completion{}, nil, eris.New("neither prompt nor messages")
	}
	if c.MaxTokens < 0 {
		return completion{}, nil, eris.New("max_tokens: want a positive number")
	}
	if c.MaxTokens == 0 {
		c.MaxTokens = guessedTokens
	}
	return c, fields, nil
}

// text is the prompt as one string, messages in their order.
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

// giveStream hands the answer on as it comes.
func (s *Server) giveStream(ctx *fasthttp.RequestCtx, id hingeids.RequestID, a *hingedispatch.Answer, finish func()) {
	head(ctx, id, hingeverdict.Ran)
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set("Cache-Control", "no-store")
	ctx.SetBodyStream(&eventStream{
		answer: a,
		id:     id,
		name:   id.String(),
		finish: finish,
		server: s,
	}, -1)
}

// eventStream gives an answer's tokens as server-sent events. The HTTP library
// reads it on the connection's own goroutine, so a slow caller holds back its
// own stream only. Handing on a token allocates nothing.
type eventStream struct {
	answer *hingedispatch.Answer
	id     hingeids.RequestID
	name   string
	finish func()
	server *Server
	buffer []byte
	rest   []byte
	ended  bool
}

// Read gives at most one event.
func (s *eventStream) Read(p []byte) (int, error) {
	if len(s.rest) == 0 {
		if s.ended {
			return 0, io.EOF
		}
		s.fill()
	}
	n := copy(p, s.rest)
	s.rest = s.rest[n:]
	return n, nil
}

func (s *eventStream) fill() {
	defer func() {
		if cause := recover(); cause != nil {
			s.buffer = s.errorEvent(s.server.panicked(s.id, cause))
			s.rest, s.ended = s.buffer, true
		}
	}()
	e, err := s.answer.Next()
	switch {
	case err == nil:
		s.buffer = append(s.buffer[:0], "data: "...)
		s.buffer = appendRenamed(s.buffer, e.Data, s.name)
		s.buffer = append(s.buffer, "\n\n"...)
	case errors.Is(err, io.EOF):
		s.keep()
		s.buffer = append(s.buffer[:0], "data: [DONE]\n\n"...)
		s.ended = true
	default:
		s.buffer = s.errorEvent(err)
		s.ended = true
	}
	s.rest = s.buffer
}

// idField is how engines begin an event.
var idField = []byte(`{"id":"`)

// appendRenamed puts the request's id, as the caller knows it, in place of that
// of the attempt.
func appendRenamed(dst, event []byte, name string) []byte {
	rest, ok := bytes.CutPrefix(event, idField)
	if !ok {
		return append(dst, event...)
	}
	end := bytes.IndexByte(rest, '"')
	if end < 0 {
		return append(dst, event...)
	}
	dst = append(dst, idField...)
	dst = append(dst, name...)
	return append(dst, rest[end:]...)
}

// errorEvent carries out rule 4.
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

// Close ends the request. The HTTP library calls it when the answer is written
// or the caller can't be written to.
func (s *eventStream) Close() error {
	s.answer.Close()
	s.keep()
	s.finish()
	return nil
}

// keep notes that a streamed answer ran. It is not kept itself: it was given
// while it came, and nothing of it is held back here.
func (s *eventStream) keep() {
	s.answer.Keep(hingedispatch.Stored{
		Status: fasthttp.StatusOK,
	})
}

// giveWhole collects the answer and gives it in one piece, or an error in its
// place: never a part.
func giveWhole(ctx *fasthttp.RequestCtx, id hingeids.RequestID, w *hingedispatch.Work, a *hingedispatch.Answer) {
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
		part, reason, err := tokenText(e.Data)
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
	head(ctx, id, hingeverdict.Ran)
	writeJSON(ctx, fasthttp.StatusOK, wholeAnswer(id, w, text.String(), finishReason, tokens))
	a.Keep(hingedispatch.Stored{
		Status:      fasthttp.StatusOK,
		ContentType: string(ctx.Response.Header.ContentType()),
		Body:        append([]byte(nil), ctx.Response.Body()...),
		Whole:       true,
	})
}

// tokenText reads the text of one event of either completion route.
func tokenText(data []byte) (text, finishReason string, err error) {
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
		return "", "", eris.Wrap(err, "engine's event")
	}
	if len(body.Choices) == 0 {
		return "", "", nil
	}
	c := body.Choices[0]
	return c.Text + c.Delta.Content, c.FinishReason, nil
}

// wholeAnswer is the body of a completion that is not streamed, by the
// published form of either route.
func wholeAnswer(id hingeids.RequestID, w *hingedispatch.Work, text, reason string, tokens int) any {
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
	if w.Path == "/v1/chat/completions" {
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
		Created: w.Arrived.Unix(),
		Model:   w.Model,
		Choices: []choice{c},
		Usage: usage{
			CompletionTokens: tokens,
		},
	}
}
