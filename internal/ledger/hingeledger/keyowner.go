package hingeledger

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
)

const (
	// maxBatch bounds the commands of one synced write, and with it the time that
	// the first command waits for the others to be encoded.
	maxBatch = 256
	// compactAfter is the minimum journal size in bytes for compaction. The journal
	// must also exceed twice the size of the last snapshot, so that compaction writes
	// at most as much as the commands did.
	compactAfter = 4 << 20
)

// frame is a record of the key owner's journal. The first frame contains the
// incarnation and a snapshot, each later one the commands of one synced write.
type frame struct {
	Incarnation hingeids.Incarnation `cbor:"1,keyasint,omitempty"`
	Snapshot    []byte               `cbor:"2,keyasint,omitempty"`
	Commands    [][]byte             `cbor:"3,keyasint,omitempty"`
}

// KeyOwner processes the claims of a zone's issued keys and stores them on one disk
// (rules 8 and 9). Commands that arrive during a sync are written together by the
// next one (group commit), so the disk's sync rate doesn't bound the rate of claims.
type KeyOwner struct {
	zone          hingeids.Zone
	incarnation   hingeids.Incarnation
	store         Store
	state         *State
	journalBytes  int
	snapshotBytes int
	queue         chan *submission
	done          chan struct{}
	recorder      *hingeevents.Recorder
	clock         func() time.Time
	syncs         atomic.Int64
}

type submission struct {
	command command
	outcome chan Outcome
}

// KeyOwnerConfig configures a KeyOwner.
type KeyOwnerConfig struct {
	Zone     hingeids.Zone
	Store    Store
	Limits   Limits
	Recorder *hingeevents.Recorder
	// Clock returns the current time; nil means the system clock.
	Clock func() time.Time
}

// OpenKeyOwner restores a KeyOwner from its store. An empty store starts a new
// incarnation. The caller must call Run.
func OpenKeyOwner(c KeyOwnerConfig) (*KeyOwner, error) {
	k := &KeyOwner{
		zone:     c.Zone,
		store:    c.Store,
		state:    NewState(c.Limits),
		queue:    make(chan *submission, maxBatch),
		done:     make(chan struct{}),
		recorder: c.Recorder,
		clock:    c.Clock,
	}
	if k.clock == nil {
		k.clock = time.Now
	}
	frames, torn, err := c.Store.Load()
	if err != nil {
		return nil, err
	}
	if torn > 0 {
		k.record(hingeevents.KeeperJournalTorn, int64(torn))
	}
	if len(frames) == 0 {
		k.incarnation = hingeids.Incarnation(k.clock().UnixNano())
		k.record(hingeevents.KeeperBegan, 0)
		return k, k.compact()
	}
	return k, k.replay(frames)
}

func (k *KeyOwner) replay(frames [][]byte) error {
	for i, raw := range frames {
		var f frame
		if err := cbor.Unmarshal(raw, &f); err != nil {
			return eris.Wrapf(err, "decode frame %d of the key owner journal", i)
		}
		if i == 0 {
			k.incarnation = f.Incarnation
			k.snapshotBytes = len(raw)
			if err := k.state.Restore(f.Snapshot); err != nil {
				return err
			}
		}
		for _, c := range f.Commands {
			k.state.Apply(0, c)
		}
		k.journalBytes += len(raw)
	}
	return nil
}

func (k *KeyOwner) compact() error {
	raw := encode(frame{
		Incarnation: k.incarnation,
		Snapshot:    k.state.Snapshot(),
	})
	k.journalBytes = len(raw)
	k.snapshotBytes = len(raw)
	return k.store.Replace(raw)
}

// Incarnation returns the incarnation stored on the disk. The outcome of commands for
// keys of other incarnations is Uncertain.
func (k *KeyOwner) Incarnation() hingeids.Incarnation {
	return k.incarnation
}

// Done returns a channel that is closed when Run has returned.
func (k *KeyOwner) Done() <-chan struct{} {
	return k.done
}

// Run processes commands until the context ends or the disk fails. After a failed
// sync the content of the disk is unknown, so Run returns the error and no further
// command is answered until the store is opened again.
func (k *KeyOwner) Run(ctx context.Context) error {
	defer close(k.done)
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-k.queue:
			if err := k.commit(k.collectBatch(first)); err != nil {
				k.record(hingeevents.KeeperFailed, 0)
				return err
			}
		}
	}
}

func (k *KeyOwner) collectBatch(first *submission) []*submission {
	batch := []*submission{first}
	for len(batch) < maxBatch {
		select {
		case s := <-k.queue:
			batch = append(batch, s)
		default:
			return batch
		}
	}
	return batch
}

// The batch is synced before its outcomes are returned.
func (k *KeyOwner) commit(batch []*submission) error {
	now := k.clock().UnixNano()
	f := frame{
		Commands: make([][]byte, 0, len(batch)),
	}
	outcomes := make([]Outcome, 0, len(batch))
	for _, s := range batch {
		s.command.Time = now
		outcomes = append(outcomes, k.state.apply(&s.command))
		f.Commands = append(f.Commands, encode(s.command))
	}
	raw := encode(f)
	k.syncs.Add(1)
	if err := k.store.Append(raw); err != nil {
		return err
	}
	k.journalBytes += len(raw)
	for i, s := range batch {
		s.outcome <- outcomes[i]
	}
	if k.journalBytes > compactAfter && k.journalBytes > 2*k.snapshotBytes {
		return k.compact()
	}
	return nil
}

// submit returns once the command is synced.
func (k *KeyOwner) submit(ctx context.Context, c command) (Outcome, error) {
	if key, ok := parseIssued(c.Claim.Key); !ok || key.zone != k.zone || key.incarnation != k.incarnation {
		// Rule 9.
		return Outcome{
			Kind: Uncertain,
		}, nil
	}
	s := &submission{
		command: c,
		outcome: make(chan Outcome, 1),
	}
	select {
	case k.queue <- s:
	case <-k.done:
		return Outcome{}, errKeyOwnerStopped
	case <-ctx.Done():
		return Outcome{}, ctx.Err()
	}
	select {
	case o := <-s.outcome:
		return o, nil
	case <-k.done:
		return Outcome{}, errKeyOwnerStopped
	case <-ctx.Done():
		return Outcome{}, ctx.Err()
	}
}

func (k *KeyOwner) issue() (hingeids.IdempotencyKey, error) {
	return newIssuedKey(k.zone, k.incarnation)
}

func (k *KeyOwner) record(n hingeevents.Number, count int64) {
	k.recorder.Record(k.clock(), n, hingeevents.Fields{
		Zone:  k.zone,
		Count: count,
	})
}

// The body was received over a link and may be malformed.
func decodeCommand(body []byte) (command, error) {
	var c command
	err := cbor.Unmarshal(body, &c)
	return c, eris.Wrap(err, "decode ledger command")
}
