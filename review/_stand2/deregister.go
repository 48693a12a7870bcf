package main

import (
	"fmt"
	"syscall"
	"time"
)

const (
	// darkTime is how long the control host is without power.
	darkTime = 7 * time.Second
	// servesOn is how long after its acknowledgement the leaving replica serves.
	servesOn = 9 * time.Second
)

// playDeregister ends the control host that has just acknowledged that a replica leaves.
func playDeregister(r *run) ([]string, error) {
	for _, zone := range []string{"cancale", "roscoff", "quiberon"} {
		r.addControl(zone)
		r.addFront(zone)
	}
	servers, stop, c, err := r.startPlain(3)
	if err != nil {
		return nil, err
	}
	defer stop()
	time.Sleep(2 * time.Second)
	leaving := servers[0]
	host := r.controls[0]
	to, acked := leaving.deregister()
	if r.trouble {
		host.signal(syscall.SIGKILL)
	}
	ackedAt := time.Now()
	r.record.event("replica deregistered", "replica", leaving.id, "at", host.name, "acknowledged", acked)
	if !acked || to != fmt.Sprintf("%s:%d", host.ip, r.ports.control) {
		return nil, fmt.Errorf("%w: %s didn't acknowledge", errSetup, host.name)
	}
	time.Sleep(darkTime)
	if r.trouble {
		if err := r.start(host); err != nil {
			return nil, err
		}
		r.record.event("restarted", "process", host.name)
	}
	time.Sleep(servesOn - darkTime)
	_ = leaving.web.Close()
	r.record.event("replica has ended", "replica", leaving.id)
	time.Sleep(3 * time.Second)
	stop()
	c.group.Wait()
	// The machines are in touch again contactMs after the end of the control host, until its start.
	inTouch := func(q request, x execution, ackedAt time.Time) bool {
		return !r.trouble || q.sent.Sub(ackedAt) > contactMs*time.Millisecond && x.at.Sub(ackedAt) < darkTime
	}
	return r.checkDrain(map[string]time.Time{leaving.id: ackedAt}, inTouch), nil
}
