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

// foreignTime is how long another writer reports, and requests are sent.
const foreignTime = 30 * time.Second

// playForeign adds a route to a second service. Then another writer reports under an id of its own, for the addresses of that
// service's replicas, in liveness reports that lack version and coldRemainingMs.
func playForeign(r *run) ([]string, error) {
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
	for i := range 3 {
		s, err := r.newServer(4+i, "viviers-app-2", r.controls[i].zone, 6, 15*time.Millisecond, i)
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
	before := make(map[string]uint64)
	for i, s := range servers {
		before[s.id] = s.acknowledged.Load()
		if r.trouble {
			go r.reportForeign(s, r.controls[i])
		}
	}
	time.Sleep(foreignTime)
	for _, s := range servers {
		r.record.event("the replica's own reports acknowledged", "replica", s.id, "count", s.acknowledged.Load()-before[s.id])
	}
	stopAdded()
	stop()
	c.group.Wait()
	return r.checkAdded(countFrom, first.PathPrefix, added.PathPrefix), nil
}

// reportForeign sends the liveness reports of another writer for a replica's address, as often as replicas do.
func (r *run) reportForeign(s *server, to *process) {
	var stopped atomic.Bool
	r.onClose(func() { stopped.Store(true) })
	id := fmt.Sprintf("i-%08x", rand.Uint32())
	for seq := 1; !stopped.Load(); seq++ {
		body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"slots":6,"state":"ready","seq":%d}`, s.service, s.address, s.zone, seq)
		resp, err := oneCall.Post(r.controlURL(to, "/api/Instances.Heartbeat/"+id), "application/json", bytes.NewReader([]byte(body)))
		if err == nil {
			_ = resp.Body.Close()
			r.record.event("liveness report of another writer", "id", id, "address of", s.id, "to", to.name, "status", resp.StatusCode)
		}
		time.Sleep(heartbeatMs * time.Millisecond)
	}
}
