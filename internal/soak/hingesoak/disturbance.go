package hingesoak

import (
	"sync"
	"syscall"
	"time"
)

// disturbance is what the run has done to a process: it is in touch again contactBound after the last of it.
type disturbance struct {
	mu sync.Mutex
	// ongoing is set while the process is ended or suspended. changedAt is when that began or ended last.
	ongoing   bool
	changedAt time.Time
	startedAt time.Time
	frozenAt  time.Time
}

// recordSignal records that a signal is sent. SIGHUP disturbs no process.
func (d *disturbance) recordSignal(now time.Time, s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch s {
	case syscall.SIGKILL, syscall.SIGTERM, syscall.SIGQUIT:
		d.ongoing, d.changedAt = true, now
	case syscall.SIGSTOP:
		d.ongoing, d.changedAt, d.frozenAt = true, now, now
	case syscall.SIGCONT:
		d.ongoing, d.changedAt, d.frozenAt = false, now, now
	}
}

// recordStart records that the process is started.
func (d *disturbance) recordStart(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ongoing, d.changedAt, d.startedAt = false, now, now
}

// calmSince reports whether nothing has happened to the process since a moment.
func (d *disturbance) calmSince(at time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.ongoing && d.changedAt.Before(at)
}

// boot returns when the process was started, and how long after a server saw the effect of a version its requests sent at a
// moment are handled by that version.
func (d *disturbance) boot(at time.Time) (startedAt time.Time, slack time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.frozenAt.IsZero() && at.Sub(d.frozenAt) < contactBound {
		return d.startedAt, frozenSlack
	}
	return d.startedAt, rollbackSlack
}

// inTouchSince reports whether an entry host and the control hosts were undisturbed from contactBound before a moment on.
func (x *fleet) inTouchSince(entry int, at time.Time) bool {
	from := at.Add(-contactBound)
	if !x.entries[entry].disturbance.calmSince(from) || !x.lost.calmSince(from) {
		return false
	}
	for _, p := range x.controlHosts() {
		if !p.disturbance.calmSince(from) {
			return false
		}
	}
	return true
}

// calmSince reports whether no loss was in progress since a moment.
func (l *lossCount) calmSince(at time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, n := range l.active {
		if n > 0 {
			return false
		}
	}
	return l.changedAt.Before(at)
}
