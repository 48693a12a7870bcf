package hingefakedisk

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
)

// Store is a store on a disk, as one process after another uses it. Its content is described by a string.
type Store interface {
	// Open opens the store as a new process does, and returns what it holds.
	Open() (string, error)
	// Reopen opens it again in the same process, after a failed write.
	Reopen() (string, error)
	// Next draws a write on top of what is held, and returns what is held after it. The number differs from write to write.
	Next(random *rand.Rand, held string, number int) (after string, write func() error)
}

// History plays a series of processes on one disk. What the store has returned, or acknowledged, must be there at each later start.
type History struct {
	disk   *Disk
	store  Store
	random *rand.Rand
	// held is what the store has returned or acknowledged last; attempted is what a write that was cut off may have left instead.
	held      string
	attempted string
	open      bool
	writes    int
	trace     []string
}

// NewHistory returns a history of a store that holds nothing, as the empty string describes it.
func NewHistory(seed uint64, d *Disk, s Store, empty string) *History {
	return &History{
		disk:      d,
		store:     s,
		random:    rand.New(rand.NewPCG(seed, 3)),
		held:      empty,
		attempted: empty,
	}
}

func (h *History) tracef(format string, args ...any) {
	h.trace = append(h.trace, fmt.Sprintf(format, args...))
}

// Play draws processes that write and are killed at any operation, or lose power. It returns the first violation, with a trace.
func (h *History) Play() error {
	for range 1 + h.random.IntN(10) {
		if h.random.IntN(2) == 0 {
			h.disk.StopAfter(h.random.IntN(14))
		}
		if err := h.start(); err != nil {
			return err
		}
		for n := h.random.IntN(4); n > 0 && h.open; n-- {
			if err := h.write(); err != nil {
				return err
			}
		}
		if h.random.IntN(2) == 0 {
			h.tracef("killed")
			h.disk.Kill()
		} else {
			h.losePower()
		}
	}
	h.losePower()
	return h.start()
}

// PlayFailures draws processes in which single operations of the disk fail, and which then go on, until they lose power. It returns the
// first violation, with a trace.
func (h *History) PlayFailures() error {
	for range 1 + h.random.IntN(5) {
		if err := h.start(); err != nil {
			return err
		}
		for range h.random.IntN(8) {
			if h.random.IntN(3) == 0 {
				h.disk.FailAfter(h.random.IntN(8))
			}
			err := h.write()
			if err == nil && !h.open {
				err = h.reopen()
			}
			if err != nil {
				return err
			}
		}
		h.losePower()
	}
	return h.start()
}

func (h *History) losePower() {
	h.tracef("power lost")
	h.disk.LosePower()
}

func (h *History) start() error {
	held, err := h.store.Open()
	h.tracef("start: %v", err)
	return h.adopt(held, err)
}

// reopen retries, as the owner of a store does.
func (h *History) reopen() error {
	for {
		held, err := h.store.Reopen()
		h.tracef("reopen: %v", err)
		if !errors.Is(err, ErrFailed) {
			return h.adopt(held, err)
		}
	}
}

// adopt compares what was read with what was held, and relies on it from then on. Only a process that was stopped may fail to open.
func (h *History) adopt(held string, err error) error {
	h.open = err == nil
	if errors.Is(err, ErrStopped) {
		return nil
	}
	if err == nil && held != h.held && held != h.attempted {
		err = fmt.Errorf("the disk holds %q, want %q or %q", held, h.held, h.attempted)
	}
	if err != nil {
		return h.violation(err)
	}
	h.tracef("holds %s", held)
	h.held = held
	h.attempted = held
	return nil
}

func (h *History) violation(err error) error {
	return fmt.Errorf("%w\n%s", err, strings.Join(h.trace, "\n"))
}

// write draws a write. If that isn't acknowledged, the store isn't open any more. Only the disk may be the reason.
func (h *History) write() error {
	h.writes++
	after, write := h.store.Next(h.random, h.held, h.writes)
	h.attempted = after
	err := write()
	h.tracef("write %s: %v", after, err)
	switch {
	case err == nil:
		h.held = after
	case !errors.Is(err, ErrStopped) && !errors.Is(err, ErrFailed):
		return h.violation(err)
	default:
		h.open = false
	}
	return nil
}
