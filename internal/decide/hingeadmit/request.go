package hingeadmit

import (
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// Request holds the properties of a request that admission uses.
type Request struct {
	ID     hingeids.RequestID
	Caller hingeids.CallerID
	// Priority is that of the request's class; higher goes first.
	Priority int
	// CanWait keeps the request until its deadline once it is accepted, even if
	// it misses its first-token target.
	CanWait bool
	// Arrived is when the request arrived; FirstToken counts from there.
	Arrived time.Time
	// FirstToken and TokenGap are the targets; zero is no target.
	FirstToken time.Duration
	TokenGap   time.Duration
	// Deadline is when the caller stops waiting; it must be set.
	Deadline time.Time
	// Work is the cost of the request as slot time (rule 1).
	Work time.Duration
	// AnswerTime is the expected duration of the answer after its first token.
	AnswerTime time.Duration
	// JitterSeed is a number that differs between requests, such as a hash of the
	// ID. It seeds the jitter of retry times.
	JitterSeed uint64
}

// Forecast is the prediction for a request that is started now.
type Forecast struct {
	// FirstToken is the time from dequeuing to the first token.
	FirstToken time.Duration
	// TokenGap is the token gap on the best engine.
	TokenGap time.Duration
	// Slots is the number of such requests that the engines can hold; 0 means
	// that there are no engines.
	Slots hingeids.Slots
}

// Config holds the limits of a queue.
type Config struct {
	// Limit bounds the waiting requests of one level, and with them the memory: a
	// waiting request needs about 600 bytes here, and its body elsewhere.
	Limit int
	// MinShare is the share of dequeued work credited to each lower level (rule
	// 2). At 0.1 a flood of low-priority requests slows higher ones by a tenth
	// at most, and low-priority requests always progress.
	MinShare float64
}

// Defaults returns the limits for the reference deployment.
func Defaults() Config {
	return Config{
		Limit:    2000,
		MinShare: 0.1,
	}
}
