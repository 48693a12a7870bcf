package hingesoak

import (
	"fmt"
	"sync"
	"time"
)

// entry is what is known of one request.
type entry struct {
	once bool
	runs int
	// refused says that its caller was told that it has not run and never will.
	refused bool
}

// book is what callers, servers and operators saw (rule 5).
type book struct {
	began time.Time

	mu       sync.Mutex
	requests map[string]*entry
	acked    uint64
	result   Report
}

func newBook(began time.Time) *book {
	return &book{
		began:    began,
		requests: make(map[string]*entry),
	}
}

// broken notes a promise that was broken.
func (b *book) broken(promise, id, detail string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.note(promise, id, detail)
}

func (b *book) note(promise, id, detail string) {
	b.result.Broken = append(b.result.Broken, Broken{
		Promise: promise,
		At:      time.Since(b.began),
		ID:      id,
		Detail:  detail,
	})
}

func (b *book) fault() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.result.Faults++
}

// asks notes a request before it is sent.
func (b *book) asks(id string, once bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.result.Asked++
	b.requests[id] = &entry{
		once: once,
	}
}

// ran notes that a server runs a request.
func (b *book) ran(id, server string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.requests[id]
	if e == nil {
		b.note("runs only what was asked", id, "at "+server)
		return
	}
	e.runs++
	if e.once && e.runs > 1 {
		b.note("runs at most once", id, fmt.Sprintf("run %d, at %s", e.runs, server))
	}
	if e.refused {
		b.note("not run is true", id, "it runs at "+server+" after its caller was told that it never will")
	}
}

// refused notes that a caller was told that its request has not run.
func (b *book) refused(id string, status int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.result.Refused++
	e := b.requests[id]
	e.refused = true
	if e.once && e.runs > 0 {
		b.note("not run is true", id, fmt.Sprintf("status %d, and it has run", status))
	}
}

func (b *book) answered() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.result.Answered++
}

// accepted notes an accepted version; newest gives the newest.
func (b *book) accepted(v uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.result.Changes++
	b.acked = max(b.acked, v)
}

func (b *book) newest() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.acked
}

func (b *book) report() Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.result
}
