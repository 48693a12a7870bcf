package hingegroup

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/swifthinge/swifthinge/internal/agreement/hingelog"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// Reason is why a group serves no read or proposal. It is the label of a metric.
type Reason string

// The reasons.
const (
	// NoLeader means that no leader is known.
	NoLeader Reason = "noLeader"
	// LeaderUnreachable means that a leader is known and doesn't answer.
	LeaderUnreachable Reason = "leaderUnreachable"
	// LeaderWithoutLease means that the host that is known as the leader refuses.
	LeaderWithoutLease Reason = "leaderWithoutLease"
	// CopyBehind means that the leader answered, and the local copy didn't catch up in time.
	CopyBehind Reason = "copyBehind"
	// Stopping means that this host's part has stopped.
	Stopping Reason = "stopping"
)

// Unavailable is the cause of a failed read or proposal.
type Unavailable struct {
	Group  string
	Reason Reason
	// Leader is the leader that this host knew, if any, and Asked are the hosts that were asked.
	Leader hingeids.HostID
	Asked  []hingeids.HostID
	// Applied is the local copy's index, and Needed the one that the read needs; only for CopyBehind.
	Applied hingelog.Index
	Needed  hingelog.Index
	// For is the time for which calls have failed for this reason, or for which no leader is known.
	For time.Duration
	// Cause is the error of the last host that was asked; it may be nil.
	Cause error
}

func (e *Unavailable) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "group %s: ", e.Group)
	switch e.Reason {
	case NoLeader:
		b.WriteString("no leader is known")
	case LeaderUnreachable:
		fmt.Fprintf(&b, "leader %s doesn't answer", e.Leader)
	case LeaderWithoutLease:
		fmt.Fprintf(&b, "host %s is known as the leader and refuses, it holds no lease", e.Leader)
	case CopyBehind:
		fmt.Fprintf(&b, "the local copy is %d entries behind index %d of leader %s",
			e.Needed-min(e.Applied, e.Needed), e.Needed, e.Leader)
	case Stopping:
		b.WriteString("this host's part has stopped")
	}
	fmt.Fprintf(&b, ", for %v, asked %s", e.For.Round(time.Millisecond), joinHosts(e.Asked))
	if e.Cause != nil {
		fmt.Fprintf(&b, ": %v", e.Cause)
	}
	return b.String()
}

// Unwrap returns the cause, for errors.Is and errors.As.
func (e *Unavailable) Unwrap() error {
	return e.Cause
}

func joinHosts(hosts []hingeids.HostID) string {
	if len(hosts) == 0 {
		return "no host"
	}
	names := make([]string, 0, len(hosts))
	for _, h := range hosts {
		names = append(names, string(h))
	}
	return strings.Join(names, ", ")
}

// failures records since when calls fail for the same reason.
type failures struct {
	mu     sync.Mutex
	reason Reason
	since  time.Time
}

// add returns the time for which calls have failed for the reason.
func (f *failures) add(now time.Time, r Reason) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.reason != r {
		f.reason = r
		f.since = now
	}
	return now.Sub(f.since)
}

func (f *failures) clear() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reason = ""
}
