package hingesoak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
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
	entry := c.random.IntN(len(c.fleet.entries))
	address := c.fleet.entries[entry].settings.CallerAddress
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, strings.NewReader("body of "+id))
	if err != nil {
		return false
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
	c.checker.recordRequest(id, entry, strings.HasPrefix(path, "/once/"))
	a, err := c.client.Do(q)
	if err != nil {
		return false
	}
	defer func() {
		_ = a.Body.Close()
	}()
	switch a.StatusCode {
	case http.StatusOK:
		return c.checkAnswer(id, stream, a.Body)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		c.checker.recordRefusal(id, a.StatusCode)
		c.checkRefusal(id, a.StatusCode, a.Body)
	case http.StatusNotFound:
		c.checker.recordViolation("configured routes are known", id, "status 404")
	}
	_, _ = io.Copy(io.Discard, a.Body)
	return false
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

// operator changes the configuration and reads it back.
type operator struct {
	fleet    *fleet
	checker  *checker
	version  atomic.Uint64
	sequence atomic.Uint64
}

func newOperator(f *fleet, c *checker) *operator {
	return &operator{
		fleet:   f,
		checker: c,
	}
}

// run sends changes until the context is done, each up to 20 times until it is accepted.
func (o *operator) run(ctx context.Context) {
	for ctx.Err() == nil {
		for try := 0; try < 20 && ctx.Err() == nil && !o.send(ctx, o.version.Load()); try++ {
			sleepUntil(ctx, time.Now().Add(100*time.Millisecond))
		}
		o.version.Add(uint64(1 + o.sequence.Load()%3))
		sleepUntil(ctx, time.Now().Add(400*time.Millisecond))
	}
}

// sendNext increases the version by step, sends it once and reports whether it was accepted.
func (o *operator) sendNext(ctx context.Context, step uint64) bool {
	return o.send(ctx, o.version.Add(step))
}

func (o *operator) send(ctx context.Context, v uint64) bool {
	status, _, err := call(ctx, o.nextControl(), wire.Put(v, requestHost, plainService, engineService))
	if err != nil || status != http.StatusOK {
		return false
	}
	o.checker.recordAccepted(v)
	return true
}

func (o *operator) nextControl() string {
	return o.fleet.controls[int(o.sequence.Add(1))%len(o.fleet.controls)].settings.ControlAddress
}

// read reads the configuration back periodically until the context is done.
func (o *operator) read(ctx context.Context) {
	for ctx.Err() == nil {
		o.readAt(ctx, o.nextControl())
		sleepUntil(ctx, time.Now().Add(150*time.Millisecond))
	}
}

// readAt reads from one control host and checks that the version isn't older than the
// newest accepted one before the read. It returns false if the host didn't answer.
func (o *operator) readAt(ctx context.Context, address string) bool {
	newestVersion := o.checker.newestVersion()
	status, body, err := call(ctx, address, wire.Get())
	if err != nil || status != http.StatusOK {
		return false
	}
	v, err := wire.Version(body)
	if err != nil || v < newestVersion {
		o.checker.recordViolation("reads of the configuration are never stale", "", fmt.Sprintf("%s returns version %d after %d was accepted, %v", address, v, newestVersion, err))
	}
	return true
}

// readAll checks a read from every control host after recovery.
func (o *operator) readAll(ctx context.Context) {
	for _, p := range o.fleet.controls {
		if !waitFor(ctx, recoveryTimeout, func() bool {
			return o.readAt(ctx, p.settings.ControlAddress)
		}) {
			o.checker.recordViolation("the fleet recovers", "", p.name+" doesn't answer reads of the configuration")
		}
	}
}
