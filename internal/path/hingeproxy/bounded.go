package hingeproxy

import (
	"sync"
	"time"
)

const (
	// mostLines is how many lines a second of one kind are written on requests that callers send in vain. Whoever sends
	// thousands with a wrong key, or beyond a quota, must not have the host spend its processor on lines.
	mostLines = 10
	lineSpan  = time.Second
)

// bounded bounds the lines of one kind; those left out are counted in the next one.
type bounded struct {
	mu    sync.Mutex
	since time.Time
	lines int
	left  int64
}

// take reports whether a line is written, and for how many requests it stands.
func (b *bounded) take(now time.Time) (int64, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.since) >= lineSpan {
		b.since = now
		b.lines = 0
	}
	if b.lines >= mostLines {
		b.left++
		return 0, false
	}
	b.lines++
	told := b.left + 1
	b.left = 0
	return told, true
}
