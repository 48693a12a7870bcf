package main

import (
	"fmt"
	"os"
	"sort"
	"strings"
	"sync"
	"time"
)

// record holds what was sent, answered and run.
type record struct {
	mu       sync.Mutex
	start    time.Time
	events   []string
	requests map[string]*request
	order    []string
}

type request struct {
	id, path, front string
	sent            time.Time
	answered        time.Time
	status          int
	failure         string
	runs            []execution
}

type execution struct {
	server, service string
	// at is when the request arrived.
	at, ended time.Time
	broken    bool
}

func newRecord() *record {
	return &record{
		start:    time.Now(),
		requests: make(map[string]*request),
	}
}

func (c *record) seconds(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return fmt.Sprintf("%.3f", t.Sub(c.start).Seconds())
}

func (c *record) event(text string, pairs ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	line := c.seconds(time.Now()) + " EVENT " + text
	for i := 0; i+1 < len(pairs); i += 2 {
		line += fmt.Sprintf(" %v=%v", pairs[i], pairs[i+1])
	}
	c.events = append(c.events, line)
	fmt.Println(line)
}

func (c *record) send(r *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.sent = time.Now()
	c.requests[r.id] = r
	c.order = append(c.order, r.id)
}

func (c *record) answer(r *request, status int, failure string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.answered = time.Now()
	r.status = status
	r.failure = failure
}

func (c *record) ran(id string, s *server, arrived time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.requests[id]; r != nil {
		r.runs = append(r.runs, execution{
			server:  s.id,
			service: s.service,
			at:      arrived,
		})
	}
}

func (c *record) end(id string, s *server, broken bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[id]
	if r == nil {
		return
	}
	for i := range r.runs {
		if r.runs[i].server == s.id && r.runs[i].ended.IsZero() {
			r.runs[i].ended = time.Now()
			r.runs[i].broken = broken
		}
	}
}

func (c *record) dropped(id string, s *server)  { c.end(id, s, true) }
func (c *record) finished(id string, s *server) { c.end(id, s, false) }

// all returns copies of the requests in the order in which they were sent.
func (c *record) all() []request {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []request
	for _, id := range c.order {
		r := *c.requests[id]
		r.runs = append([]execution(nil), r.runs...)
		out = append(out, r)
	}
	return out
}

// write writes the record, with the verdict first.
func (c *record) write(path string, verdict []string) error {
	var b strings.Builder
	for _, line := range verdict {
		b.WriteString("VERDICT " + line + "\n")
	}
	lines := append([]string(nil), c.events...)
	for _, r := range c.all() {
		line := fmt.Sprintf("%s REQUEST id=%s path=%s front=%s answered=%s status=%d", c.seconds(r.sent), r.id, r.path, r.front, c.seconds(r.answered), r.status)
		if r.failure != "" {
			line += " failure=" + strings.ReplaceAll(r.failure, " ", "_")
		}
		for _, x := range r.runs {
			line += fmt.Sprintf(" run=%s/%s@%s..%s", x.service, x.server, c.seconds(x.at), c.seconds(x.ended))
			if x.broken {
				line += "(channel_closed)"
			}
		}
		lines = append(lines, line)
	}
	sort.SliceStable(lines, func(i, j int) bool {
		var a, b float64
		_, _ = fmt.Sscanf(lines[i], "%f", &a)
		_, _ = fmt.Sscanf(lines[j], "%f", &b)
		return a < b
	})
	for _, line := range lines {
		b.WriteString(line + "\n")
	}
	return os.WriteFile(path, []byte(b.String()), 0o644)
}
