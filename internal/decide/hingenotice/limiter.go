package hingenotice

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/swifthinge/swifthinge/internal/core/hingeclock"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

const (
	// burstTime is how far a server may lag behind its limit and still catch up. It bridges the time
	// between two decisions.
	burstTime = 250 * time.Millisecond
	// transitTime is the difference in transit time up to which two reports may overtake each other.
	transitTime = 50 * time.Millisecond
	// localShare is the share of a limit that all hosts that place locally may use together, in the
	// mean. They don't communicate, so the number that send within some seconds varies by its
	// square root, and the placer may be using the limit at the same time.
	localShare = 0.5
	// localWindow is how long a host may use its turn. In a longer window more turns are used, and
	// more hosts have an unused turn at the same moment, such as the one in which the placer fails.
	localWindow = 2500 * time.Millisecond
)

// Part is the part of the limits that one placer may use. The zero value is the whole of them.
type Part struct {
	// Share is the share that a placer may use which is not the only one, zero for all.
	Share float64
	// Hosts is the number of hosts that place locally at the same time, zero if one placer places the
	// requests of all hosts.
	Hosts int
	// Host is the host that places locally. It determines its turns.
	Host hingeids.HostID
}

// Limiter spaces the requests to one server by the rate limit that it has named. The zero value has no
// limit.
type Limiter struct {
	rate hingeids.RequestsPerSecond
	// statedAt is when rate was last stated.
	statedAt time.Time
	part     Part
	// phase is the offset of the host's turns as a share of the time between two of them.
	phase float64
	// next is when the next request is due. lastSent is when the last one was sent.
	next     time.Time
	lastSent time.Time
}

// Limited reports whether the server has named a limit that is still in force.
func (l *Limiter) Limited() bool {
	return l.rate > 0
}

// Rate returns the rate at which this placer may send requests, and false if there is no limit.
func (l *Limiter) Rate() (perSecond float64, limited bool) {
	switch {
	case l.rate == 0:
		return 0, false
	case l.part.Hosts > 0:
		return localShare * float64(l.rate) / float64(l.part.Hosts), true
	case l.part.Share > 0:
		return l.part.Share * float64(l.rate), true
	}
	return float64(l.rate), true
}

// SetPart sets the part of the limit that may be used.
func (l *Limiter) SetPart(id hingeids.ServerID, p Part) {
	if l.part == p {
		return
	}
	l.part = p
	l.phase = float64(xxhash.Sum64String(string(p.Host)+"/"+string(id))) / math.MaxUint64
}

// Update records the limit of an answer, zero if it names none, and reports whether the limit has
// changed. sentAt is when the request was sent, zero if unknown. A limit is raised or removed only by
// an answer to a request that was sent after it was last stated.
func (l *Limiter) Update(now, sentAt time.Time, stated hingeids.RequestsPerSecond) bool {
	if eased := l.rate > 0 && (stated == 0 || stated > l.rate); eased && sentAt.Before(l.statedAt.Add(transitTime)) {
		return false
	}
	changed := stated != l.rate
	if l.rate == 0 && stated > 0 {
		// The requests that have just been sent are the first of the limit.
		l.lastSent = now
		l.next = now.Add(durationOf(1 / float64(stated)))
	}
	l.rate = stated
	l.statedAt = now
	return changed
}

// HeldUntil returns the time before which no request may be sent.
func (l *Limiter) HeldUntil(now time.Time) time.Time {
	rate, limited := l.Rate()
	switch {
	case !limited:
		return time.Time{}
	case l.part.Hosts == 0:
		return l.next
	}
	period := durationOf(1 / rate)
	turn := l.turn(now, period)
	if !l.lastSent.Before(turn) || now.Sub(turn) >= localWindow {
		return turn.Add(period)
	}
	return turn
}

// turn returns the start of the host's last turn.
func (l *Limiter) turn(now time.Time, period time.Duration) time.Time {
	offset := time.Duration(l.phase * float64(period))
	sincePhase := (time.Duration(now.UnixNano()) - offset) % period
	return now.Add(-sincePhase)
}

// RecordSend records a request to the server.
func (l *Limiter) RecordSend(now time.Time) {
	if rate, limited := l.Rate(); limited {
		l.lastSent = now
		l.next = hingeclock.Later(l.next, now.Add(-burstTime)).Add(durationOf(1 / rate))
	}
}

func durationOf(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}
