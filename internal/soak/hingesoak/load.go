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

// caller asks the entry hosts one request after the other, on connections that it keeps.
type caller struct {
	fleet  *fleet
	book   *book
	random *rand.Rand
	name   string
	asked  int
	client *http.Client
}

// routesHost is the host name that all requests of the soak name.
const routesHost = "soak.example"

// patience is how long a caller waits for an answer.
const patience = 6 * time.Second

func newCaller(f *fleet, b *book, seed uint64, n int) *caller {
	return &caller{
		fleet:  f,
		book:   b,
		random: rand.New(rand.NewPCG(seed, uint64(100+n))),
		name:   fmt.Sprintf("caller-%d", n),
		client: &http.Client{
			Timeout:   patience,
			Transport: &http.Transport{},
		},
	}
}

func (c *caller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		c.once(ctx)
		sleepUntil(ctx, time.Now().Add(time.Duration(c.random.IntN(60))*time.Millisecond))
	}
}

// once asks one request, checks its answer, and reports whether it was answered.
func (c *caller) once(ctx context.Context) bool {
	c.asked++
	id := fmt.Sprintf("%s-%d", c.name, c.asked)
	path := []string{"/once/x", "/safe/x", "/safe/y", "/stream/x"}[c.random.IntN(4)]
	at := c.fleet.entries[c.random.IntN(len(c.fleet.entries))].settings.CallerAddress
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+at+path, strings.NewReader("body of "+id))
	if err != nil {
		return false
	}
	// The standard client would send a request again by itself if it had a way to.
	q.GetBody = nil
	q.Host = routesHost
	stream := strings.HasPrefix(path, "/stream/")
	prompt := 0
	if stream {
		prompt = 500
	}
	wire.SetCallerHeaders(q.Header, id, int(patience.Milliseconds()), prompt)
	c.book.asks(id, strings.HasPrefix(path, "/once/"))
	a, err := c.client.Do(q)
	if err != nil {
		return false
	}
	defer func() {
		_ = a.Body.Close()
	}()
	switch a.StatusCode {
	case http.StatusOK:
		return c.check(id, stream, a.Body)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		c.book.refused(id, a.StatusCode)
		c.refusedFor(id, a.StatusCode, a.Body)
	case http.StatusNotFound:
		c.book.broken("routes are known", id, "status 404")
	}
	_, _ = io.Copy(io.Discard, a.Body)
	return false
}

// refusedFor checks why a request was refused: none of these ends servers.
func (c *caller) refusedFor(id string, status int, body io.Reader) {
	why, err := io.ReadAll(body)
	if err == nil && isPoison(status, why) {
		c.book.broken("refuses only what ends servers", id, tail(string(why)))
	}
}

// check compares an answer with what the request has to get.
func (c *caller) check(id string, stream bool, body io.Reader) bool {
	b, err := io.ReadAll(bufio.NewReader(body))
	want := answerTo(id)
	if stream {
		var all strings.Builder
		for i := 1; i <= streamEvents; i++ {
			all.WriteString(event(id, i))
		}
		want = all.String()
	}
	if err != nil {
		// Cut short, and it shows. What came must still be the beginning of the answer.
		if !strings.HasPrefix(want, string(b)) {
			c.book.broken("the whole answer to its own request", id, fmt.Sprintf("began with %q", tail(string(b))))
		}
		return false
	}
	if string(b) != want {
		c.book.broken("the whole answer to its own request", id, fmt.Sprintf("got %q", tail(string(b))))
		return false
	}
	c.book.answered()
	return true
}

func tail(s string) string {
	return s[max(len(s)-120, 0):]
}

// operator changes the configuration and reads it back.
type operator struct {
	fleet   *fleet
	book    *book
	version atomic.Uint64
	turn    atomic.Uint64
}

func newOperator(f *fleet, b *book) *operator {
	return &operator{
		fleet: f,
		book:  b,
	}
}

// run sends changes, each until it is accepted, as long as the context lasts.
func (o *operator) run(ctx context.Context) {
	for ctx.Err() == nil {
		for try := 0; try < 20 && ctx.Err() == nil && !o.send(ctx, o.version.Load()); try++ {
			sleepUntil(ctx, time.Now().Add(100*time.Millisecond))
		}
		o.version.Add(uint64(1 + o.turn.Load()%3))
		sleepUntil(ctx, time.Now().Add(400*time.Millisecond))
	}
}

// change sends the next version once.
func (o *operator) change(ctx context.Context, step uint64) bool {
	return o.send(ctx, o.version.Add(step))
}

func (o *operator) send(ctx context.Context, v uint64) bool {
	status, _, err := call(ctx, o.at(), wire.Put(v, routesHost, plainService, engineService))
	if err != nil || status != http.StatusOK {
		return false
	}
	o.book.accepted(v)
	return true
}

// at goes through the control hosts in turn.
func (o *operator) at() string {
	return o.fleet.controls[int(o.turn.Add(1))%len(o.fleet.controls)].settings.ControlAddress
}

// read reads the configuration back while it changes.
func (o *operator) read(ctx context.Context) {
	for ctx.Err() == nil {
		o.readAt(ctx, o.at())
		sleepUntil(ctx, time.Now().Add(150*time.Millisecond))
	}
}

// readAt checks one read; it gives false if the host didn't answer it.
func (o *operator) readAt(ctx context.Context, at string) bool {
	newest := o.book.newest()
	status, body, err := call(ctx, at, wire.Get())
	if err != nil || status != http.StatusOK {
		return false
	}
	v, err := wire.Version(body)
	if err != nil || v < newest {
		o.book.broken("reads are never old", "", fmt.Sprintf("%s gives version %d after %d was accepted, %v", at, v, newest, err))
	}
	return true
}

// readAll reads at every control host, once all is well.
func (o *operator) readAll(ctx context.Context) {
	for _, p := range o.fleet.controls {
		if !waitFor(ctx, recoverTime, func() bool {
			return o.readAt(ctx, p.settings.ControlAddress)
		}) {
			o.book.broken("recovers", "", p.name+" can't be read")
		}
	}
}
