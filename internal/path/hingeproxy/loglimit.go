package hingeproxy

import (
	"sync"
	"time"
)

const (
	// maxLogLines is the number of lines of one kind per logWindow. Clients that send thousands of requests with a
	// wrong key or beyond a quota must not load the host with logging.
	maxLogLines = 10
	logWindow   = time.Second
)

// logLimiter limits the log lines of one kind. Suppressed lines are counted in the next line that is written.
type logLimiter struct {
	mu          sync.Mutex
	windowStart time.Time
	written     int
	suppressed  int64
}

// allow reports whether a line may be written, and the number of requests that it represents.
func (l *logLimiter) allow(now time.Time) (int64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.windowStart) >= logWindow {
		l.windowStart = now
		l.written = 0
	}
	if l.written >= maxLogLines {
		l.suppressed++
		return 0, false
	}
	l.written++
	count := l.suppressed + 1
	l.suppressed = 0
	return count, true
}
