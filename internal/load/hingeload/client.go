package hingeload

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/standin/hingestandin"
)

// client sends requests to entry hosts in round-robin order.
type client struct {
	hosts      []string
	sequence   atomic.Uint64
	httpClient http.Client
}

// dialTimeout bounds the delay that a frozen host causes before the next one is tried.
const dialTimeout = time.Second

func newClient(hosts []string) *client {
	dialer := net.Dialer{
		Timeout: dialTimeout,
	}
	return &client{
		hosts: hosts,
		httpClient: http.Client{
			// Rule 3.
			Transport: &http.Transport{
				DisableKeepAlives:  true,
				DisableCompression: true,
				DialContext:        dialer.DialContext,
			},
		},
	}
}

func (c *client) nextHost() int {
	return int(c.sequence.Add(1) % uint64(len(c.hosts)))
}

type httpRequest struct {
	method, path, body string
	caller             hingeids.CallerID
	key                string
	deadline           time.Duration
	stream, chat       bool
}

func (a Arrival) httpRequest(m Mix, run string) httpRequest {
	q := httpRequest{
		method:   http.MethodPost,
		caller:   a.Caller,
		deadline: a.Class.Deadline,
	}
	name := run + "-" + strconv.Itoa(a.Serial)
	if a.Class.Key == OwnKey {
		q.key = name
	}
	switch a.Class.Kind {
	case Call:
		q.method = a.Class.Method
		q.path = a.Class.Path + name
		if q.method != http.MethodGet {
			q.body = "call " + name
		}
	case Chat:
		q.path = "/v1/chat/completions"
		q.stream, q.chat = true, true
		q.body = chatBody(m.Model, a.PromptText(run), a.Output)
	case Completion:
		q.path = "/v1/completions"
		q.stream = true
		q.body = completionBody(m.Model, a.PromptText(run), a.Output)
	}
	return q
}

func completionBody(m hingeids.Model, prompt string, tokens int) string {
	b, _ := json.Marshal(struct {
		Model     hingeids.Model `json:"model"`
		Prompt    string         `json:"prompt"`
		MaxTokens int            `json:"max_tokens"`
		Stream    bool           `json:"stream"`
	}{
		Model:     m,
		Prompt:    prompt,
		MaxTokens: tokens,
		Stream:    true,
	})
	return string(b)
}

func chatBody(m hingeids.Model, prompt string, tokens int) string {
	type message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	b, _ := json.Marshal(struct {
		Model     hingeids.Model `json:"model"`
		Messages  []message      `json:"messages"`
		MaxTokens int            `json:"max_tokens"`
		Stream    bool           `json:"stream"`
	}{
		Model: m,
		Messages: []message{
			{
				Role:    "user",
				Content: prompt,
			},
		},
		MaxTokens: tokens,
		Stream:    true,
	})
	return string(b)
}

func (a Arrival) expectedAnswer(q httpRequest, run string) string {
	switch a.Class.Kind {
	case Chat:
		return hingestandin.Answer("user: "+a.PromptText(run)+"\n", a.Output)
	case Completion:
		return hingestandin.Answer(a.PromptText(run), a.Output)
	default:
		return q.path + " " + q.body
	}
}

func (c *client) issueKey(ctx context.Context, host string, caller hingeids.CallerID) (string, reply) {
	var body struct {
		Key string `json:"key"`
	}
	r := c.exchange(ctx, host, httpRequest{
		method: http.MethodPost,
		path:   "/v1/keys",
		caller: caller,
	}, func(answer io.Reader, r *reply) {
		r.err = json.NewDecoder(answer).Decode(&body)
		r.complete = r.err == nil && body.Key != ""
	})
	return body.Key, r
}

func (c *client) do(ctx context.Context, host string, q httpRequest) reply {
	if q.stream {
		return c.exchange(ctx, host, q, readStream)
	}
	return c.exchange(ctx, host, q, readCall)
}

func (c *client) exchange(ctx context.Context, host string, q httpRequest, read func(io.Reader, *reply)) reply {
	req, err := http.NewRequestWithContext(ctx, q.method, "http://"+host+q.path, strings.NewReader(q.body))
	if err != nil {
		return reply{
			err: err,
		}
	}
	req.Header.Set("X-Caller", string(q.caller))
	if q.deadline > 0 {
		req.Header.Set("X-Deadline-Ms", strconv.FormatInt(q.deadline.Milliseconds(), 10))
	}
	if q.key != "" {
		req.Header.Set("Idempotency-Key", q.key)
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return reply{
			err: err,
		}
	}
	defer func() {
		_ = resp.Body.Close()
	}()
	r := reply{
		status:    resp.StatusCode,
		verdict:   resp.Header.Get("X-Verdict"),
		requestID: resp.Header.Get("X-Request-Id"),
	}
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		r.retryAfter = time.Duration(seconds) * time.Second
	}
	if r.status == statusOK {
		read(resp.Body, &r)
		return r
	}
	b, _ := io.ReadAll(io.LimitReader(resp.Body, maxLineBytes))
	r.code = codeOf(b)
	return r
}

// codeOf returns 0 if there is no verdict code.
func codeOf(body []byte) int {
	var refusal struct {
		Error struct {
			Code int `json:"code"`
		} `json:"error"`
	}
	_ = json.Unmarshal(body, &refusal)
	return refusal.Error.Code
}

// readCall reads the answer of a plain service, which echoes the request.
func readCall(body io.Reader, r *reply) {
	var answer struct {
		Path string `json:"path"`
		Echo string `json:"echo"`
		Runs int    `json:"runs"`
	}
	if r.err = json.NewDecoder(body).Decode(&answer); r.err != nil {
		return
	}
	r.firstAt, r.complete = time.Now(), true
	r.text, r.runs = answer.Path+" "+answer.Echo, answer.Runs
}

// maxLineBytes bounds a line of an event stream, and the body of a refusal.
const maxLineBytes = 64 << 10

// readStream reads a streamed answer. It is complete only with its [DONE] event.
func readStream(body io.Reader, r *reply) {
	var text strings.Builder
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 4096), maxLineBytes)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case lines.Text() == "event: error":
			r.errorEvent = true
		case r.errorEvent && ok:
			r.code = codeOf([]byte(data))
		case !ok:
		case data == "[DONE]":
			r.complete = true
			r.text = text.String()
			return
		default:
			if r.err = r.recordToken(data, &text); r.err != nil {
				return
			}
		}
	}
	r.text = text.String()
	r.err = lines.Err()
}

// recordToken parses one token event, appends its text and records its time.
func (r *reply) recordToken(data string, text *strings.Builder) error {
	var event struct {
		Choices []struct {
			Text  string `json:"text"`
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	if err := json.Unmarshal([]byte(data), &event); err != nil {
		return eris.Wrap(err, "decode token event")
	}
	now := time.Now()
	if r.firstAt.IsZero() {
		r.firstAt = now
	} else {
		r.tokenGaps = append(r.tokenGaps, now.Sub(r.lastAt))
	}
	r.lastAt = now
	for _, c := range event.Choices {
		text.WriteString(c.Text)
		text.WriteString(c.Delta.Content)
	}
	return nil
}
