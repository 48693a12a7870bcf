package main

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// drainedServes is how long a draining replica serves after the acknowledgement.
	drainedServes = 7 * time.Second
	// plainWork and plainGap are the work of a request and the pace of each entry host's.
	plainWork = 80 * time.Millisecond
	plainGap  = 30 * time.Millisecond
)

// playReport sends liveness reports of another writer, whose ids can't be read, before a release of three of seven replicas: three
// new ones start, and then three old ones drain and leave.
func playReport(r *run) ([]string, error) {
	for _, zone := range []string{"cancale", "roscoff", "quiberon"} {
		r.addControl(zone)
		r.addFront(zone)
	}
	servers, stop, c, err := r.startPlain(7)
	if err != nil {
		return nil, err
	}
	defer stop()
	time.Sleep(2 * time.Second)
	if r.trouble {
		for _, p := range r.controls {
			go r.reportUnreadable(p, "viviers-app")
		}
	}
	time.Sleep(6 * time.Second)
	for i := range 3 {
		if _, err := r.newServer(8+i, "viviers-app", r.controls[i].zone, 6, plainWork, i); err != nil {
			return nil, err
		}
	}
	r.record.event("three new replicas have started")
	time.Sleep(2 * time.Second)
	left := make(map[string]time.Time)
	for _, s := range servers[:3] {
		at, to, err := s.drain()
		if err != nil {
			return nil, err
		}
		left[s.id] = at
		r.record.event("draining acknowledged", "replica", s.id, "by", to)
	}
	time.Sleep(drainedServes)
	for _, s := range servers[:3] {
		_, acked := s.deregister()
		r.record.event("replica leaves", "replica", s.id, "acknowledged", acked)
		_ = s.web.Close()
	}
	time.Sleep(4 * time.Second)
	stop()
	c.group.Wait()
	return r.checkDrain(left, func(request, execution, time.Time) bool { return true }), nil
}

// reportUnreadable sends the liveness reports of another writer to a control host, as often as servers do. Their ids are
// bytes that can't be read, and no server listens at their address.
func (r *run) reportUnreadable(p *process, service string) {
	var stopped atomic.Bool
	r.onClose(func() { stopped.Store(true) })
	for seq := 1; !stopped.Load(); seq++ {
		body := fmt.Sprintf(`{"service":%q,"address":"%s:%d","zone":"cancale","version":"v1","slots":6,"state":"ready","coldRemainingMs":0,"seq":%d}`,
			service, r.address(3, 4), r.ports.metrics, seq)
		q, err := http.NewRequest(http.MethodPost, r.controlURL(p, "/"), bytes.NewReader([]byte(body)))
		if err != nil {
			panic(err)
		}
		q.URL.Opaque = "/api/Instances.Heartbeat/" + unreadable()
		q.Header.Set("Content-Type", "application/json")
		resp, err := oneCall.Do(q)
		if err == nil {
			_ = resp.Body.Close()
			r.record.event("unreadable liveness report", "to", p.name, "status", resp.StatusCode)
		}
		time.Sleep(heartbeatMs * time.Millisecond)
	}
}

// unreadable returns bytes that are no text in UTF-8.
func unreadable() string {
	b := make([]byte, 8)
	for i := range b {
		b[i] = byte(0x80 + rand.IntN(0x80))
	}
	b[0] = 0xff
	return string(b)
}

// startPlain starts the processes, n replicas of a plain service whose homes are the control hosts in turn, and clients of
// each entry host.
func (r *run) startPlain(n int) ([]*server, func(), *clients, error) {
	if err := r.startAll(); err != nil {
		return nil, nil, nil, err
	}
	if err := r.awaitControls(); err != nil {
		return nil, nil, nil, err
	}
	var servers []*server
	for i := range n {
		s, err := r.newServer(i+1, "viviers-app", r.controls[i%len(r.controls)].zone, 6, plainWork, i)
		if err != nil {
			return nil, nil, nil, err
		}
		servers = append(servers, s)
	}
	if _, err := r.put(config(7, []string{"viviers-app"}, newRoute("statut-lot", "/pule252/", "unsafe", "viviers-app", 600))); err != nil {
		return nil, nil, nil, err
	}
	if err := r.awaitReady(); err != nil {
		return nil, nil, nil, err
	}
	time.Sleep(contactMs * time.Millisecond)
	ctx, stop := context.WithCancel(context.Background())
	c := &clients{
		run: r,
	}
	for _, f := range r.fronts {
		c.every(ctx, plainGap, func() { c.send(f, http.MethodPost, "/pule252/2f", 600*time.Millisecond) })
	}
	return servers, stop, c, nil
}

// checkDrain counts the requests that reached a replica later than drainMs after the acknowledgement that it leaves.
// counts says whether the machines were in touch.
func (r *run) checkDrain(left map[string]time.Time, counts func(q request, x execution, ackedAt time.Time) bool) []string {
	late, lost := 0, 0
	var last time.Duration
	example := ""
	for _, q := range r.record.all() {
		for _, x := range q.runs {
			ackedAt, leaves := left[x.server]
			after := x.at.Sub(ackedAt)
			if !leaves || after <= drainMs*time.Millisecond || !counts(q, x, ackedAt) {
				continue
			}
			late++
			if x.broken && q.status != http.StatusOK {
				lost++
			}
			last = max(last, after)
			if example == "" {
				example = fmt.Sprintf("first: request %s, sent %.2f s after the acknowledgement", q.id, q.sent.Sub(ackedAt).Seconds())
			}
		}
	}
	r.record.event("checked", "requestsAtLeavingReplicaAfterDrain", late, "lostAsItEnded", lost)
	if late == 0 {
		return nil
	}
	return []string{fmt.Sprintf("DRAIN broken: %d requests reached a replica later than drainMs after the acknowledgement that it leaves, the last %.2f s after it, and %d of them, which may not be repeated, were cut off as it ended; %s",
		late, last.Seconds(), lost, example)}
}
