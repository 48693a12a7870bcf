package hingeretry

import "time"

// FleetLimits limits the retries of one service over all hosts: in any Window, at most PerRequest for
// each request of that time and Burst beyond that.
type FleetLimits struct {
	PerRequest float64
	Burst      float64
	Window     time.Duration
}

const (
	// usedShare is the fraction of the limits that all hosts together use. The rest covers a wrong
	// host count, restarted processes and requests at the border of a window.
	usedShare = 0.75
	// minHostBurst allows a host to move one stream, which costs a prefill message and a decode
	// message.
	minHostBurst = 2.0
	// maxUsedShare is the fraction of Burst that hosts may use together because each has at least
	// minHostBurst.
	maxUsedShare = 0.9
	// refillShare is the fraction of Burst by which a shared budget refills in a Window. The rest of
	// usedShare is its size, so that a new budget, which is empty, and the one that it replaces
	// stay within usedShare plus refillShare.
	refillShare = 0.25
)

// IsShared reports whether the part of one of that many hosts would be too small for a retry, so that
// all hosts request their retries from one budget.
func (l FleetLimits) IsShared(hosts int) bool {
	return float64(hosts)*minHostBurst > maxUsedShare*l.Burst
}

// HostLimits returns the limits of one host. Hosts share the burst evenly and earn retries by their own
// requests, so that they need no coordination. With a shared budget they have none of their own.
func (l FleetLimits) HostLimits(hosts int) Limits {
	if l.IsShared(hosts) {
		return Limits{}
	}
	return Limits{
		PerRequest: usedShare * l.PerRequest,
		Burst:      max(usedShare*l.Burst/float64(max(hosts, 1)), minHostBurst),
	}
}

// SharedLimits returns the limits of the budget that grants retries to all hosts. They are zero while
// each host has limits of its own.
func (l FleetLimits) SharedLimits(hosts int) Limits {
	if !l.IsShared(hosts) || l.Window <= 0 {
		return Limits{}
	}
	return Limits{
		PerRequest: usedShare * l.PerRequest,
		Burst:      (usedShare - refillShare) * l.Burst,
		PerSecond:  refillShare * l.Burst / l.Window.Seconds(),
	}
}
