package hingedemo

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/swifthinge/swifthinge/internal/standin/hingestandin"
)

type kind int

const (
	streamed kind = iota
	complete
	plain
	once
	kindCount
)

var kindNames = [kindCount]string{"streamed completion", "whole completion", "plain call", "guestbook entry"}

// outcome is the result of one request as its caller saw it.
type outcome int

const (
	answered outcome = iota
	refused
	lost
	truncated
	duplicated
)

type task struct {
	number int
	kind   kind
	tokens int
	// firstHost is the index of the entry host that is tried first.
	firstHost int
	// resend makes the caller discard the answer and repeat the request on another host.
	resend bool
}

func tasks(n int, seed uint64) []task {
	random := rand.New(rand.NewPCG(seed, 0))
	out := make([]task, n)
	for i := range out {
		out[i] = task{
			number:    i,
			kind:      kind(random.IntN(int(kindCount))),
			tokens:    5 + random.IntN(40),
			firstHost: random.IntN(len(zoneNames) * hostsPerZone),
			resend:    random.IntN(4) == 0,
		}
	}
	return out
}

func (t task) key() string {
	return fmt.Sprintf("entry-%d", t.number)
}

func (t task) prompt() string {
	return fmt.Sprintf("eulogy %d, %s", t.number%7, strings.Repeat("remembered by the family, ", 20+t.number%13))
}

// caller sends requests to the entry hosts in place of a load balancer.
type caller struct {
	fleet  *fleet
	client http.Client
}

// Limits of the retries: about fifteen seconds if every host refuses.
const (
	maxAttempts = 150
	retryDelay  = 100 * time.Millisecond
)

// send retries a task on one entry host after another until its outcome is final (rule 1).
func (c *caller) send(ctx context.Context, t task) outcome {
	last := lost
	for i := range maxAttempts {
		host := c.fleet.hosts[(t.firstHost+i)%len(c.fleet.hosts)]
		got, done := c.attempt(ctx, host.Addresses().Callers, t)
		if done {
			return got
		}
		last = got
		select {
		case <-ctx.Done():
			return last
		case <-time.After(retryDelay):
		}
	}
	return last
}

// attempt sends a task to one entry host. done is false if the task is to be retried on the next host.
func (c *caller) attempt(ctx context.Context, address string, t task) (got outcome, done bool) {
	req, err := t.request(ctx, address)
	if err != nil {
		return lost, true
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return lost, false
	}
	defer func() {
		_ = resp.Body.Close()
	}()
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, resp.Body)
		// A guestbook entry that may have run is final: every host would refuse a retry.
		final := t.kind == once && resp.Header.Get("X-Verdict") != "notRun" &&
			resp.StatusCode == http.StatusConflict && resp.Header.Get("Retry-After") == ""
		return refused, final
	}
	switch t.kind {
	case streamed:
		return classifyStream(resp.Body, t)
	case complete:
		return classifyComplete(resp.Body, t)
	default:
		_, err := io.Copy(io.Discard, resp.Body)
		return answered, err == nil
	}
}

func (t task) request(ctx context.Context, address string) (*http.Request, error) {
	switch t.kind {
	case plain:
		return http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/darshan/stream", nil)
	case once:
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/darshan/guestbook",
			strings.NewReader("with love"))
		if err == nil {
			req.Header.Set("Idempotency-Key", t.key())
		}
		return req, err
	}
	body, err := json.Marshal(struct {
		Model     string `json:"model"`
		Prompt    string `json:"prompt"`
		MaxTokens int    `json:"max_tokens"`
		Stream    bool   `json:"stream"`
	}{
		Model:     string(modelName),
		Prompt:    t.prompt(),
		MaxTokens: t.tokens,
		Stream:    t.kind == streamed,
	})
	if err != nil {
		return nil, err
	}
	return http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/completions", strings.NewReader(string(body)))
}

type choices struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

// classify compares a text that looks complete with the answer that the stand-in engines generate.
func classify(text string, t task) outcome {
	expected := hingestandin.Answer(t.prompt(), t.tokens)
	switch {
	case text == expected:
		return answered
	case len(text) > len(expected):
		return duplicated
	default:
		return truncated
	}
}

func classifyStream(body io.Reader, t task) (outcome, bool) {
	var text strings.Builder
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return classify(text.String(), t), true
		}
		var c choices
		if json.Unmarshal([]byte(data), &c) != nil || len(c.Choices) == 0 {
			break
		}
		text.WriteString(c.Choices[0].Text)
	}
	return lost, false
}

func classifyComplete(body io.Reader, t task) (outcome, bool) {
	var c choices
	if json.NewDecoder(body).Decode(&c) != nil || len(c.Choices) == 0 {
		return lost, false
	}
	return classify(c.Choices[0].Text, t), true
}
