package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// lateReports is how many reports in a row arrive late at each replica's path, as many as there are control hosts, and
	// lateBy how late they arrive. lateSpan is longer than it takes to send them.
	lateReports = 3
	lateBy      = 2500 * time.Millisecond
	lateSpan    = 5 * time.Second
	// watchAfter is how long requests are sent after the last late report. The requests of the whole run count, also those
	// before and while reports are late.
	watchAfter = 50 * time.Second
	// enoughRequests and servedShare are those of the rule.
	enoughRequests = 20
	servedShare    = 0.25
)

// slowPath is the path from a replica to the control hosts. The next reports, as many as late says, arrive lateBy later,
// also if the replica has given up waiting.
type slowPath struct {
	run  *run
	late atomic.Int64

	mu        sync.Mutex
	forwarder map[string]string
}

// newSlowPath opens a forwarder to each control host.
func newSlowPath(r *run) (*slowPath, error) {
	p := &slowPath{
		run:       r,
		forwarder: make(map[string]string),
	}
	for _, c := range r.controls {
		target := fmt.Sprintf("%s:%d", c.ip, r.ports.control)
		l, err := net.Listen("tcp4", r.address(3, 1)+":0")
		if err != nil {
			return nil, err
		}
		r.onClose(func() { _ = l.Close() })
		p.forwarder[target] = l.Addr().String()
		go p.accept(l, target)
	}
	return p, nil
}

func (p *slowPath) accept(l net.Listener, target string) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go p.forward(c, target)
	}
}

func (p *slowPath) forward(c net.Conn, target string) {
	defer func() {
		_ = c.Close()
	}()
	if p.late.Add(-1) >= 0 {
		time.Sleep(lateBy)
		p.run.record.event("a liveness report arrives late", "at", p.run.nameOf(target), "by", lateBy)
	}
	to, err := net.DialTimeout("tcp4", target, time.Second)
	if err != nil {
		return
	}
	defer func() {
		_ = to.Close()
	}()
	go func() {
		// The end of what the replica has sent isn't forwarded: the report is complete by then.
		_, _ = io.Copy(to, c)
	}()
	_ = to.SetReadDeadline(time.Now().Add(2 * time.Second))
	_, _ = io.Copy(c, to)
}

// client returns a client whose channels take the path.
func (p *slowPath) client() *http.Client {
	return &http.Client{
		Timeout: time.Second,
		Transport: &http.Transport{
			DisableKeepAlives: true,
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				p.mu.Lock()
				via := p.forwarder[address]
				p.mu.Unlock()
				var d net.Dialer
				return d.DialContext(ctx, network, via)
			},
		},
	}
}

// playLate adds a route to a second service, and lets the reports of that service's replicas arrive late for a while.
func playLate(r *run) ([]string, error) {
	for _, zone := range []string{"cancale", "roscoff", "quiberon"} {
		r.addControl(zone)
		r.addFront(zone)
	}
	first := newRoute("statut-lot", "/pule252/", "unsafe", "viviers-app", 600)
	_, stop, c, err := r.startPlain(3)
	if err != nil {
		return nil, err
	}
	defer stop()
	added := newRoute("quai-chargement", "/lohu930/", "safe", "viviers-app-2", 600)
	if _, err := r.put(config(9, []string{"viviers-app", "viviers-app-2"}, first, added)); err != nil {
		return nil, err
	}
	var servers []*server
	var paths []*slowPath
	for i := range 3 {
		path, err := newSlowPath(r)
		if err != nil {
			return nil, err
		}
		paths = append(paths, path)
		s, err := r.newServerAt(4+i, "viviers-app-2", r.controls[i].zone, 6, 15*time.Millisecond, i, path.client())
		if err != nil {
			return nil, err
		}
		servers = append(servers, s)
	}
	time.Sleep(configApplyMs * time.Millisecond)
	ctx, stopAdded := context.WithCancel(context.Background())
	defer stopAdded()
	for _, f := range r.fronts {
		c.every(ctx, 60*time.Millisecond, func() { c.send(f, http.MethodGet, "/lohu930/2f", 600*time.Millisecond) })
	}
	countFrom := time.Now()
	time.Sleep(3 * time.Second)
	if r.trouble {
		for _, p := range paths {
			p.late.Store(lateReports)
		}
		r.record.event("each replica's next liveness reports arrive late", "reports", lateReports, "by", lateBy)
	}
	time.Sleep(lateSpan)
	time.Sleep(lateBy)
	before := make(map[string]uint64)
	for _, s := range servers {
		before[s.id] = s.acknowledged.Load()
	}
	time.Sleep(watchAfter)
	for _, s := range servers {
		r.record.event("reports acknowledged after the late ones", "replica", s.id, "count", s.acknowledged.Load()-before[s.id], "by", r.nameOf(s.target()))
	}
	stopAdded()
	stop()
	c.group.Wait()
	return r.checkAdded(countFrom, first.PathPrefix, added.PathPrefix), nil
}

// checkAdded compares how often the requests on the added route are served with those on the first one, from countFrom to
// the end of the run.
func (r *run) checkAdded(countFrom time.Time, first, added string) []string {
	sent, served := make(map[string]int), make(map[string]int)
	for _, q := range r.record.all() {
		if q.sent.Before(countFrom) {
			continue
		}
		for _, prefix := range []string{first, added} {
			if q.path[:len(prefix)] != prefix {
				continue
			}
			sent[prefix]++
			if q.status == http.StatusOK && q.failure == "" {
				served[prefix]++
			}
		}
	}
	r.record.event("checked", "firstSent", sent[first], "firstServed", served[first], "addedSent", sent[added], "addedServed", served[added])
	share := float64(served[added]) / float64(max(sent[added], 1))
	firstShare := float64(served[first]) / float64(max(sent[first], 1))
	if sent[added] < enoughRequests || share >= servedShare*firstShare {
		return nil
	}
	return []string{fmt.Sprintf("CONFIG broken: %d of %d requests on the added route are served, and %d of %d on the first one",
		served[added], sent[added], served[first], sent[first])}
}
