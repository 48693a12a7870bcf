package main

import (
	"fmt"
	"time"
)

const (
	// routesPerChange is the number of routes that each of growingChanges adds.
	routesPerChange = 1400
	growingChanges  = 18
	changeGap       = time.Second
	// watchTime is how long requests are sent after the last change.
	watchTime = 15 * time.Second
)

// playLarge lets the configuration grow by many routes, and then moves a route to another service.
func playLarge(r *run) ([]string, error) {
	for _, zone := range []string{"cancale", "roscoff", "quiberon"} {
		r.addControl(zone)
		r.addFront(zone)
	}
	_, stop, c, err := r.startPlain(3)
	if err != nil {
		return nil, err
	}
	defer stop()
	services := []string{"viviers-app", "viviers-app-2"}
	for i := range 2 {
		if _, err := r.newServer(4+i, services[1], r.controls[i].zone, 6, 15*time.Millisecond, i); err != nil {
			return nil, err
		}
	}
	version := 7
	moving := newRoute("statut-lot", "/pule252/", "unsafe", services[0], 600)
	var added []route
	for range growingChanges {
		for range routesPerChange {
			if r.trouble {
				n := len(added)
				added = append(added, newRoute(fmt.Sprintf("r-%07x", n), fmt.Sprintf("/more%05x/", n), "safe", services[0], 600))
			}
		}
		version += 2
		if _, err := r.put(config(version, services, append([]route{moving}, added...)...)); err != nil {
			return nil, err
		}
		time.Sleep(changeGap)
	}
	moving.Service = services[1]
	version += 2
	body := config(version, services, append([]route{moving}, added...)...)
	ackedAt, err := r.put(body)
	if err != nil {
		return nil, err
	}
	r.record.event("route moved", "version", version, "routes", len(added)+1, "bytes", len(body))
	time.Sleep(watchTime)
	stop()
	c.group.Wait()
	return r.checkMoved(ackedAt, services[0]), nil
}

// checkMoved counts the requests that were sent later than configApplyMs after the acknowledgement and run by the old
// service.
func (r *run) checkMoved(ackedAt time.Time, oldService string) []string {
	late, byOld := 0, 0
	var last time.Duration
	for _, q := range r.record.all() {
		after := q.sent.Sub(ackedAt)
		if after <= configApplyMs*time.Millisecond {
			continue
		}
		late++
		for _, x := range q.runs {
			if x.service == oldService {
				byOld++
				last = after
			}
		}
	}
	r.record.event("checked", "sentAfterApply", late, "runByOldService", byOld)
	if byOld == 0 {
		return nil
	}
	return []string{fmt.Sprintf("CONFIG broken: %d of %d requests that were sent later than configApplyMs after the acknowledgement are run by the old service, the last sent %.1f s after it",
		byOld, late, last.Seconds())}
}
