package hingesoak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// caller sends sequential requests to random entry hosts over persistent connections.
type caller struct {
	fleet   *fleet
	checker *checker
	random  *rand.Rand
	name    string
	sent    int
	client  *http.Client
}

// requestHost is the Host header of all requests.
const requestHost = "soak.example"

// maxWait is the maximum time that a caller waits for a complete answer.
const maxWait = 6 * time.Second

func newCaller(f *fleet, c *checker, seed uint64, n int) *caller {
	return &caller{
		fleet:   f,
		checker: c,
		random:  rand.New(rand.NewPCG(seed, uint64(100+n))),
		name:    fmt.Sprintf("caller-%d", n),
		client: &http.Client{
			Timeout:   maxWait,
			Transport: &http.Transport{},
		},
	}
}

func (c *caller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		c.sendOne(ctx)
		sleepUntil(ctx, time.Now().Add(time.Duration(c.random.IntN(60))*time.Millisecond))
	}
}

// sendOne sends one request, checks its answer, and reports whether it was complete and correct.
func (c *caller) sendOne(ctx context.Context) bool {
	c.sent++
	id := fmt.Sprintf("%s-%d", c.name, c.sent)
	path := []string{"/once/x", "/safe/x", "/safe/y", "/stream/x"}[c.random.IntN(4)]
	status, ok := c.send(ctx, c.random.IntN(len(c.fleet.entries)), id, path)
	if status == http.StatusNotFound {
		c.checker.recordViolation("configured routes are known", id, "status 404")
	}
	return ok
}

// send sends a request and checks its answer. It returns the status, or zero without one, and whether the answer was
// complete and correct.
func (c *caller) send(ctx context.Context, entry int, id, path string) (int, bool) {
	address := c.fleet.entries[entry].settings.CallerAddress
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, strings.NewReader("body of "+id))
	if err != nil {
		return 0, false
	}
	// Without GetBody, net/http can't resend the request on its own.
	q.GetBody = nil
	q.Host = requestHost
	stream := strings.HasPrefix(path, "/stream/")
	prompt := 0
	if stream {
		prompt = 500
	}
	wire.SetCallerHeaders(q.Header, id, int(maxWait.Milliseconds()), prompt)
	if stream && c.fleet.options.PoisonParts > 0 {
		wire.SetPromptParts(q.Header, fmt.Sprintf("%s:200,%08x:300", commonPart, xxhash.Sum64String(id)>>32))
	}
	c.checker.recordRequest(id, entry, strings.HasPrefix(path, "/once/"))
	a, err := c.client.Do(q)
	if err != nil {
		return 0, false
	}
	defer func() {
		_ = a.Body.Close()
	}()
	switch a.StatusCode {
	case http.StatusOK:
		return a.StatusCode, c.checkAnswer(id, stream, a.Body)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		c.checker.recordRefusal(id, a.StatusCode)
		c.checkRefusal(id, a.StatusCode, a.Body)
	}
	_, _ = io.Copy(io.Discard, a.Body)
	return a.StatusCode, false
}

// checkRefusal checks that a request that crashes no servers isn't refused as a poison request.
func (c *caller) checkRefusal(id string, status int, body io.Reader) {
	text, err := io.ReadAll(body)
	if err == nil && isPoison(status, text) {
		c.checker.recordViolation("only poison requests are refused as poison", id, tail(string(text)))
	}
}

// checkAnswer compares an answer with the expected one, and reports whether it is complete.
func (c *caller) checkAnswer(id string, stream bool, body io.Reader) bool {
	b, err := io.ReadAll(bufio.NewReader(body))
	want := answerTo(id)
	if stream {
		var events strings.Builder
		for i := 1; i <= streamEvents; i++ {
			events.WriteString(event(id, i))
		}
		want = events.String()
	}
	if err != nil {
		// The answer was truncated with an error. The received part must still be correct.
		if !strings.HasPrefix(want, string(b)) {
			c.checker.recordViolation("an answer is complete and its request's own", id, fmt.Sprintf("began with %q", tail(string(b))))
		}
		return false
	}
	if string(b) != want {
		c.checker.recordViolation("an answer is complete and its request's own", id, fmt.Sprintf("got %q", tail(string(b))))
		return false
	}
	c.checker.countAnswer()
	return true
}

func tail(s string) string {
	return s[max(len(s)-120, 0):]
}
