package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	headerID     = "X-Swifthinge-Request-Id"
	headerSeal   = "X-Swifthinge-Response-Seal"
	headerExpect = "X-Swifthinge-Expect-Instance"
	headerNotRun = "X-Swifthinge-Not-Executed"
	headerLimit  = "X-Swifthinge-Deadline-Ms"
)

// server is a stand-in for a replica of a plain service.
type server struct {
	run     *run
	id      string
	service string
	zone    string
	address string
	work    time.Duration
	places  chan struct{}
	queued  atomic.Int64
	seq     atomic.Uint64
	silent  atomic.Bool
	// draining is set when the replica reports that it leaves, and drained when that is acknowledged.
	draining atomic.Bool
	drained  atomic.Bool
	// home is the index of the control host that gets the reports; heartbeatAddr replaces it.
	home int
	web  *http.Server
	// reports sends the reports, and acknowledged counts those that were.
	reports      *http.Client
	acknowledged atomic.Uint64

	mu            sync.Mutex
	heartbeatAddr string
}

const maxQueued = 24

func (r *run) newServer(n int, service, zone string, slots int, work time.Duration, home int) (*server, error) {
	return r.newServerAt(n, service, zone, slots, work, home, oneCall)
}

// newServerAt starts a replica whose reports are sent by a client.
func (r *run) newServerAt(n int, service, zone string, slots int, work time.Duration, home int, reports *http.Client) (*server, error) {
	s := &server{
		run:     r,
		id:      fmt.Sprintf("i-%08x", rand.Uint32()),
		service: service,
		zone:    zone,
		address: fmt.Sprintf("%s:%d", r.address(3, n), r.ports.server),
		work:    work,
		places:  make(chan struct{}, slots),
		home:    home,
		reports: reports,
	}
	l, err := net.Listen("tcp4", s.address)
	if err != nil {
		return nil, err
	}
	s.web = &http.Server{
		Handler: s,
	}
	go func() {
		_ = s.web.Serve(l)
	}()
	go s.beat()
	r.onClose(func() {
		s.silent.Store(true)
		_ = s.web.Close()
	})
	return s, nil
}

func (s *server) report(state string) []byte {
	b, err := json.Marshal(map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": cap(s.places),
		"state": state, "coldRemainingMs": 0, "seq": s.seq.Add(1),
	})
	if err != nil {
		panic(err)
	}
	return b
}

// target returns where the next report goes.
func (s *server) target() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.heartbeatAddr != "" {
		return s.heartbeatAddr
	}
	c := s.run.controls[s.home%len(s.run.controls)]
	return fmt.Sprintf("%s:%d", c.ip, s.run.ports.control)
}

func (s *server) moveOn() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heartbeatAddr = ""
	s.home++
}

// beat sends a heartbeat every heartbeatMs, to the next control host after a failure.
func (s *server) beat() {
	for !s.silent.Load() {
		state := "ready"
		if s.draining.Load() {
			state = "draining"
		}
		resp, err := s.reports.Post("http://"+s.target()+"/api/Instances.Heartbeat/"+s.id, "application/json", bytes.NewReader(s.report(state)))
		if err != nil {
			s.moveOn()
			time.Sleep(50 * time.Millisecond)
			continue
		}
		var answer struct {
			HeartbeatAddr string `json:"heartbeatAddr"`
		}
		body, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode/100 != 2 {
			s.moveOn()
			time.Sleep(50 * time.Millisecond)
			continue
		}
		if json.Unmarshal(body, &answer) == nil && answer.HeartbeatAddr != "" {
			s.mu.Lock()
			s.heartbeatAddr = answer.HeartbeatAddr
			s.mu.Unlock()
		}
		s.acknowledged.Add(1)
		if state == "draining" {
			s.drained.Store(true)
		}
		time.Sleep(heartbeatMs * time.Millisecond)
	}
}

// drain reports with the next heartbeat that the replica leaves, and returns when and where that was acknowledged.
func (s *server) drain() (time.Time, string, error) {
	s.draining.Store(true)
	end := time.Now().Add(readyTimeout)
	for !s.drained.Load() {
		if time.Now().After(end) {
			return time.Time{}, "", fmt.Errorf("%w: no acknowledgement that %s drains", errSetup, s.id)
		}
		time.Sleep(time.Millisecond)
	}
	return time.Now(), s.run.nameOf(s.target()), nil
}

// deregister sends the message by which a replica that never says draining leaves, and returns whether it was acknowledged.
func (s *server) deregister() (string, bool) {
	s.silent.Store(true)
	to := s.target()
	resp, err := oneCall.Post("http://"+to+"/api/Instances.Deregister/"+s.id, "application/json", nil)
	if err != nil {
		return to, false
	}
	_ = resp.Body.Close()
	return to, resp.StatusCode/100 == 2
}

// ServeHTTP answers as the pages say: 421 to a request for another replica, 400 to one without an id, 503 while the queue is
// full or if the time limit passes in the queue, 504 if it passes while the request runs. Status checks need a place too.
func (s *server) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	arrived := time.Now()
	_, _ = io.Copy(io.Discard, q.Body)
	id := q.Header.Get(headerID)
	health := q.URL.Path == "/healthz"
	w.Header().Set(headerID, id)
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	if expect := q.Header.Get(headerExpect); expect != "" && expect != s.id {
		notRun(w, http.StatusMisdirectedRequest)
		return
	}
	if id == "" && !health {
		notRun(w, http.StatusBadRequest)
		return
	}
	if s.queued.Add(1) > maxQueued {
		s.queued.Add(-1)
		notRun(w, http.StatusServiceUnavailable)
		return
	}
	defer s.queued.Add(-1)
	ctx := q.Context()
	if ms, err := strconv.Atoi(q.Header.Get(headerLimit)); err == nil {
		limited, stop := context.WithDeadline(ctx, arrived.Add(time.Duration(ms)*time.Millisecond))
		defer stop()
		ctx = limited
	}
	select {
	case s.places <- struct{}{}:
	case <-ctx.Done():
		if q.Context().Err() == nil {
			notRun(w, http.StatusServiceUnavailable)
		}
		return
	}
	defer func() {
		<-s.places
	}()
	if health {
		w.Header().Set("X-Swifthinge-Instance-Id", s.id)
		if s.draining.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	s.run.record.ran(id, s, arrived)
	select {
	case <-time.After(s.work):
	case <-ctx.Done():
		if q.Context().Err() != nil {
			s.run.record.dropped(id, s)
			return
		}
		w.Header().Set(headerSeal, "seal."+id)
		w.WriteHeader(http.StatusGatewayTimeout)
		s.run.record.finished(id, s)
		return
	}
	w.Header().Set(headerSeal, "seal."+id)
	_, _ = io.WriteString(w, answerTo(id))
	s.run.record.finished(id, s)
}

// notRun answers that the request didn't run.
func notRun(w http.ResponseWriter, status int) {
	w.Header().Set(headerNotRun, "1")
	w.WriteHeader(status)
}

func answerTo(id string) string {
	return "answer to " + id + " " + strings.Repeat("x", 700)
}
