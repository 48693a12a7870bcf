package hingeledger

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/core/hingefakedisk"
)

const readBackDraws = 20_000

// claimStore is a key owner's store in a history of processes.
type claimStore struct {
	disk  *hingefakedisk.Disk
	store *FileStore
}

func (c *claimStore) Open() (string, error) {
	s, err := openFileStore(c.disk, journalName)
	if err != nil {
		return "", err
	}
	frames, _, err := s.Load()
	c.store = s
	held := ""
	for _, f := range frames {
		held += string(f) + ","
	}
	return held, err
}

// Reopen isn't supported: a key owner whose write failed ends its process.
func (c *claimStore) Reopen() (string, error) {
	return "", eris.New("a key owner isn't opened again")
}

// Next writes the first frame by Replace, as the key owner does.
func (c *claimStore) Next(random *rand.Rand, held string, number int) (string, func() error) {
	frame := fmt.Sprintf("f%d", number)
	if held == "" || random.IntN(4) == 0 {
		return frame + ",", func() error {
			return c.store.Replace([]byte(frame))
		}
	}
	return held + frame + ",", func() error {
		return c.store.Append([]byte(frame))
	}
}

// Guards against claims and answers that a start reads back and tells callers, although the next loss of power takes
// them: the process before was killed between the write and its sync.
func TestClaimsReadBackSurviveAPowerLoss(t *testing.T) {
	for seed := range uint64(readBackDraws) {
		d := hingefakedisk.New(seed)
		if err := hingefakedisk.NewHistory(seed, d, &claimStore{
			disk: d,
		}, "").Play(); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}
