package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// clients sends requests, each on a channel of its own.
type clients struct {
	run   *run
	group sync.WaitGroup
}

// send sends one request to an entry host and waits for its answer. A channel that can't be opened isn't a request.
func (c *clients) send(front *process, method, path string, limit time.Duration) {
	r := &request{
		id:    fmt.Sprintf("%016x", rand.Uint64()),
		path:  path,
		front: front.name,
	}
	conn, err := net.DialTimeout("tcp4", fmt.Sprintf("%s:%d", front.ip, c.run.ports.front), time.Second)
	if err != nil {
		return
	}
	defer func() {
		_ = conn.Close()
	}()
	body := ""
	if method == http.MethodPost {
		body = strings.Repeat("b", 600)
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", method, path, clientHost, headerID, r.id, headerLimit, limit.Milliseconds())
	if body != "" {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	c.run.record.send(r)
	_ = conn.SetDeadline(time.Now().Add(limit + time.Second))
	if _, err := io.WriteString(conn, head+"\r\n"+body); err != nil {
		c.run.record.answer(r, 0, "write: "+err.Error())
		return
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		c.run.record.answer(r, 0, "head: "+short(err))
		return
	}
	b, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		c.run.record.answer(r, resp.StatusCode, "body: "+short(err))
	case resp.StatusCode == http.StatusOK && string(b) != answerTo(r.id):
		c.run.record.answer(r, resp.StatusCode, "another body than the server's")
	default:
		c.run.record.answer(r, resp.StatusCode, "")
	}
}

// short leaves the addresses out of an error.
func short(err error) string {
	text := err.Error()
	if i := strings.LastIndex(text, ": "); i >= 0 {
		text = text[i+2:]
	}
	return text
}

// every calls send at an interval until the context ends.
func (c *clients) every(ctx context.Context, interval time.Duration, send func()) {
	c.group.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				c.group.Go(send)
			}
		}
	})
}
