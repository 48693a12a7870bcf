package hingeledger

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/swifthinge/swifthinge/internal/core/hingefakedisk"
)

const readBackDraws = 20_000

// storeHistory is a series of processes on one disk. Held is what the store has returned or acknowledged last;
// attempted is what an operation that was cut off may have left instead.
type storeHistory struct {
	disk      *hingefakedisk.Disk
	random    *rand.Rand
	store     *FileStore
	held      string
	attempted string
	trace     []string
}

// start opens the store as a new process does.
func (h *storeHistory) start() error {
	h.store = nil
	s, err := openFileStore(h.disk, journalName)
	var frames [][]byte
	if err == nil {
		frames, _, err = s.Load()
	}
	if errors.Is(err, hingefakedisk.ErrStopped) {
		return nil
	}
	if err != nil {
		return err
	}
	got := ""
	for _, f := range frames {
		got += string(f) + ","
	}
	h.trace = append(h.trace, "read "+got)
	if got != h.held && got != h.attempted {
		return fmt.Errorf("the disk holds %q, want %q or %q", got, h.held, h.attempted)
	}
	h.store = s
	h.held = got
	h.attempted = got
	return nil
}

// write reports whether a frame was acknowledged. The first one is written by Replace, as the key owner does.
func (h *storeHistory) write(number int) bool {
	record := fmt.Sprintf("f%d", number)
	var err error
	if h.held == "" || h.random.IntN(4) == 0 {
		h.attempted = record + ","
		err = h.store.Replace([]byte(record))
	} else {
		h.attempted = h.held + record + ","
		err = h.store.Append([]byte(record))
	}
	h.trace = append(h.trace, fmt.Sprintf("write %s: %v", h.attempted, err))
	if err != nil {
		return false
	}
	h.held = h.attempted
	return true
}

func (h *storeHistory) playProcess(number int) error {
	if h.random.IntN(2) == 0 {
		h.disk.StopAfter(h.random.IntN(14))
	}
	if err := h.start(); err != nil || h.store == nil {
		return err
	}
	for n := range h.random.IntN(4) {
		if !h.write(10*number + n) {
			break
		}
	}
	return nil
}

func (h *storeHistory) play() error {
	for number := range 1 + h.random.IntN(10) {
		if err := h.playProcess(number); err != nil {
			return err
		}
		if h.random.IntN(2) == 0 {
			h.trace = append(h.trace, "killed")
			h.disk.Kill()
		} else {
			h.trace = append(h.trace, "power lost")
			h.disk.LosePower()
		}
	}
	h.disk.LosePower()
	return h.start()
}

// Guards against claims and answers that a start reads back and tells callers, although the next loss of power takes
// them: the process before was killed between the write and its sync.
func TestClaimsReadBackSurviveAPowerLoss(t *testing.T) {
	for seed := range uint64(readBackDraws) {
		h := &storeHistory{
			disk:   hingefakedisk.New(seed),
			random: rand.New(rand.NewPCG(seed, 3)),
		}
		if err := h.play(); err != nil {
			t.Fatalf("seed %d: %v\n%s", seed, err, strings.Join(h.trace, "\n"))
		}
	}
}
