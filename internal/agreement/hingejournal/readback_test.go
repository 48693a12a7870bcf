package hingejournal

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/swifthinge/swifthinge/internal/core/hingefakedisk"
)

// readBackDraws is the number of histories of each test here.
const readBackDraws = 20_000

// journalStore is a journal in a history of processes. With renews set, writes may also turn the disk into a new one.
type journalStore struct {
	disk    *hingefakedisk.Disk
	journal *Journal
	renews  bool
}

func (s *journalStore) Open() (string, error) {
	j, recovered, err := open(s.disk)
	s.journal = j
	return contents(recovered), err
}

func (s *journalStore) Reopen() (string, error) {
	j, recovered, err := s.journal.Reopen(now)
	if err != nil {
		return "", err
	}
	s.journal = j
	return contents(recovered), nil
}

func (s *journalStore) Next(random *rand.Rand, held string, number int) (string, func() error) {
	record := fmt.Sprintf("r%d", number)
	switch {
	case s.renews && random.IntN(4) == 0:
		return "|", s.renew
	case random.IntN(4) == 0:
		return "s" + record + "|" + record, func() error {
			return s.journal.Compact([]byte("s"+record), []byte(record))
		}
	}
	after := held + "," + record
	if strings.HasSuffix(held, "|") {
		after = held + record
	}
	return after, func() error {
		return s.journal.Append([]byte(record))
	}
}

// renew leaves the journal closed if it fails, as the process is stopped then.
func (s *journalStore) renew() error {
	previous := s.journal.identity.Disk
	if err := RenewIdentity(s.disk, previous, now); err != nil {
		return err
	}
	held, err := s.Open()
	if err == nil && (held != "|" || s.journal.identity.Disk <= previous) {
		return fmt.Errorf("the new disk %d, after %d, holds %q", s.journal.identity.Disk, previous, held)
	}
	return err
}

func checkHistories(t *testing.T, s journalStore, play func(*hingefakedisk.History) error, prepare func(*hingefakedisk.Disk)) {
	t.Helper()
	for seed := range uint64(readBackDraws) {
		d := hingefakedisk.New(seed)
		prepare(d)
		store := s
		store.disk = d
		if err := play(hingefakedisk.NewHistory(seed, d, &store, "|")); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

func nothing(*hingefakedisk.Disk) {}

// Guards against records that a start reads back and the member confirms, although the next loss of power takes them:
// the process before was killed between the write and its sync.
func TestRecordsReadBackSurviveAPowerLoss(t *testing.T) {
	checkHistories(t, journalStore{}, (*hingefakedisk.History).Play, (*hingefakedisk.Disk).KeepNames)
}

// Guards against files that a start finds and builds on, although the next loss of power takes their names, or takes a
// snapshot together with the segments that it replaced.
func TestFileNamesReadBackSurviveAPowerLoss(t *testing.T) {
	checkHistories(t, journalStore{}, (*hingefakedisk.History).Play, nothing)
}

// Guards against a folder that can't be opened, or that holds records of the disk before, after a kill or a power loss at any
// operation of turning it into a new disk.
func TestRenewedDiskIsTheOldOneOrEmpty(t *testing.T) {
	checkHistories(t, journalStore{
		renews: true,
	}, (*hingefakedisk.History).Play, nothing)
}

// Guards against a record whose write or sync failed, which the journal reads back in the same process and takes for
// durable: the kernel counts it as written, no later sync writes it, and a loss of power takes it with all that follows.
func TestFailedWritesAreNotReadBack(t *testing.T) {
	checkHistories(t, journalStore{}, (*hingefakedisk.History).PlayFailures, nothing)
}
