package hingejournal

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/swifthinge/swifthinge/internal/core/hingefakedisk"
)

// readBackDraws is the number of histories of each test here.
const readBackDraws = 20_000

// readBackHistory is one history of a folder. Held is what the journal has returned or acknowledged last;
// attempted is what an operation that was cut off may have left instead.
type readBackHistory struct {
	disk      *hingefakedisk.Disk
	random    *rand.Rand
	journal   *Journal
	held      string
	attempted string
	trace     []string
}

func newReadBackHistory(seed uint64) *readBackHistory {
	return &readBackHistory{
		disk:      hingefakedisk.New(seed),
		random:    rand.New(rand.NewPCG(seed, 3)),
		held:      "|",
		attempted: "|",
	}
}

func (h *readBackHistory) tracef(format string, args ...any) {
	h.trace = append(h.trace, fmt.Sprintf(format, args...))
}

// start opens the folder as a new process does.
func (h *readBackHistory) start() error {
	j, recovered, err := open(h.disk)
	h.tracef("start: %v", err)
	return h.adopt(j, recovered, err)
}

// adopt compares what was read with what was held, and relies on it from then on.
func (h *readBackHistory) adopt(j *Journal, recovered Recovered, err error) error {
	if errors.Is(err, hingefakedisk.ErrStopped) {
		return nil
	}
	if err != nil {
		return err
	}
	got := contents(recovered)
	h.tracef("read %s", got)
	if got != h.held && got != h.attempted {
		return fmt.Errorf("the folder holds %q, want %q or %q", got, h.held, h.attempted)
	}
	h.journal = j
	h.held = got
	h.attempted = got
	return nil
}

// write appends a record or compacts the journal, and reports whether that was acknowledged.
func (h *readBackHistory) write(number int) bool {
	record := fmt.Sprintf("r%d", number)
	var err error
	if h.random.IntN(4) == 0 {
		h.attempted = "s" + record + "|" + record
		err = h.journal.Compact([]byte("s"+record), []byte(record))
	} else {
		h.attempted = h.held + "," + record
		if strings.HasSuffix(h.held, "|") {
			h.attempted = h.held + record
		}
		err = h.journal.Append([]byte(record))
	}
	h.tracef("write %s: %v", h.attempted, err)
	if err != nil {
		return false
	}
	h.held = h.attempted
	return true
}

// playProcess starts a process, which writes and may be killed at any operation.
func (h *readBackHistory) playProcess(number int) error {
	if h.random.IntN(2) == 0 {
		h.disk.StopAfter(h.random.IntN(14))
	}
	if err := h.start(); err != nil {
		return err
	}
	for n := range h.random.IntN(4) {
		if h.journal != nil && !h.write(10*number+n) {
			h.journal = nil
		}
	}
	return nil
}

// play draws a series of processes, each ended by a kill or a loss of power, and returns the first violation.
func (h *readBackHistory) play() error {
	for number := range 1 + h.random.IntN(10) {
		if err := h.playProcess(number); err != nil {
			return err
		}
		h.journal = nil
		if h.random.IntN(2) == 0 {
			h.tracef("killed")
			h.disk.Kill()
		} else {
			h.tracef("power lost")
			h.disk.LosePower()
		}
	}
	h.disk.LosePower()
	h.tracef("power lost")
	return h.start()
}

func checkHistories(t *testing.T, prepare func(*readBackHistory)) {
	t.Helper()
	for seed := range uint64(readBackDraws) {
		h := newReadBackHistory(seed)
		prepare(h)
		if err := h.play(); err != nil {
			t.Fatalf("seed %d: %v\n%s", seed, err, strings.Join(h.trace, "\n"))
		}
	}
}

// Guards against records that a start reads back and the member confirms, although the next loss of power takes them:
// the process before was killed between the write and its sync.
func TestRecordsReadBackSurviveAPowerLoss(t *testing.T) {
	checkHistories(t, func(h *readBackHistory) {
		h.disk.KeepNames()
	})
}

// Guards against files that a start finds and builds on, although the next loss of power takes their names, or takes a
// snapshot together with the segments that it replaced.
func TestFileNamesReadBackSurviveAPowerLoss(t *testing.T) {
	checkHistories(t, func(*readBackHistory) {})
}

// Guards against a folder that can't be opened, or that holds records of the disk before, after a kill or a power loss at any
// operation of turning it into a new disk.
func TestRenewedDiskIsTheOldOneOrEmpty(t *testing.T) {
	for seed := range uint64(readBackDraws) {
		h := newReadBackHistory(seed)
		if err := h.playRenewals(); err != nil {
			t.Fatalf("seed %d: %v\n%s", seed, err, strings.Join(h.trace, "\n"))
		}
	}
}

func (h *readBackHistory) playRenewals() error {
	for number := range 1 + h.random.IntN(8) {
		if err := h.playProcess(number); err != nil {
			return err
		}
		if h.journal != nil && h.random.IntN(2) == 0 {
			if err := h.renew(); err != nil {
				return err
			}
		}
		h.journal = nil
		if h.random.IntN(2) == 0 {
			h.tracef("killed")
			h.disk.Kill()
		} else {
			h.tracef("power lost")
			h.disk.LosePower()
		}
	}
	return h.start()
}

func (h *readBackHistory) renew() error {
	previous := h.journal.identity.Disk
	h.attempted = "|"
	err := RenewIdentity(h.disk, previous, now)
	h.tracef("renew: %v", err)
	if err != nil {
		return nil
	}
	h.held = h.attempted
	h.journal = nil
	if err := h.start(); err != nil || h.journal == nil {
		return err
	}
	if h.journal.identity.Disk <= previous {
		return fmt.Errorf("the new disk %d isn't newer than %d", h.journal.identity.Disk, previous)
	}
	h.write(0)
	return nil
}

// Guards against a record whose write or sync failed, which the journal reads back in the same process and takes for
// durable: the kernel counts it as written, no later sync writes it, and a loss of power takes it with all that follows.
func TestFailedWritesAreNotReadBack(t *testing.T) {
	for seed := range uint64(readBackDraws) {
		h := newReadBackHistory(seed)
		if err := h.playFailures(); err != nil {
			t.Fatalf("seed %d: %v\n%s", seed, err, strings.Join(h.trace, "\n"))
		}
	}
}

// playFailures draws a series of processes in which single operations of the disk fail, and returns the first violation.
func (h *readBackHistory) playFailures() error {
	for number := range 1 + h.random.IntN(5) {
		if err := h.start(); err != nil {
			return err
		}
		for n := range h.random.IntN(8) {
			if h.random.IntN(3) == 0 {
				h.disk.FailAfter(h.random.IntN(8))
			}
			if h.write(10*number + n) {
				continue
			}
			if err := h.reopen(); err != nil {
				return err
			}
		}
		h.tracef("power lost")
		h.disk.LosePower()
	}
	return h.start()
}

// reopen retries as the member does.
func (h *readBackHistory) reopen() error {
	for {
		j, recovered, err := h.journal.Reopen(now)
		h.tracef("reopen: %v", err)
		if errors.Is(err, hingefakedisk.ErrFailed) {
			continue
		}
		return h.adopt(j, recovered, err)
	}
}
