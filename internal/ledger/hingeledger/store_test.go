package hingeledger

import (
	"bytes"
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

func openStore(t testing.TB, folder string) *FileStore {
	t.Helper()
	s, err := OpenFileStore(folder)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = s.Close()
	})
	return s
}

func journalPath(folder string) string {
	return filepath.Join(folder, "keeper.journal")
}

// The journal has a base frame and two others; ends are their end offsets.
func writeJournal(t *testing.T, folder string) (frames [][]byte, ends []int) {
	t.Helper()
	s := openStore(t, folder)
	frames = [][]byte{[]byte("base"), []byte("first"), []byte("second, and longer than what is written after it")}
	err := errors.Join(s.Replace(frames[0]), s.Append(frames[1]), s.Append(frames[2]))
	if err != nil {
		t.Fatal(err)
	}
	end := 0
	for _, f := range frames {
		end += frameHeader + len(f)
		ends = append(ends, end)
	}
	return frames, ends
}

// A last frame that is incomplete or corrupt after a power loss must be truncated, and
// frames appended afterwards must be readable.
func TestTornLastFrameIsTruncated(t *testing.T) {
	frames, ends := writeJournal(t, t.TempDir())
	for size := ends[1] + 1; size <= ends[2]; size++ {
		folder := t.TempDir()
		writeJournal(t, folder)
		raw, _ := os.ReadFile(journalPath(folder))
		raw = raw[:size]
		raw[size-1] ^= 0x40
		if err := os.WriteFile(journalPath(folder), raw, 0o600); err != nil {
			t.Fatal(err)
		}
		s := openStore(t, folder)
		got, torn, err := s.Load()
		if err != nil {
			t.Fatalf("%d bytes: %v", size, err)
		}
		if diff := cmp.Diff(frames[:2], got); diff != "" || torn != size-ends[1] {
			t.Fatalf("%d bytes, torn %d\n%s", size, torn, diff)
		}
		if err := s.Append([]byte("after")); err != nil {
			t.Fatal(err)
		}
		got, torn, err = openStore(t, folder).Load()
		if diff := cmp.Diff([][]byte{frames[0], frames[1], []byte("after")}, got); diff != "" || torn != 0 || err != nil {
			t.Fatalf("%d bytes, torn %d, %v\n%s", size, torn, err, diff)
		}
	}
}

// Loss of synced data must fail the load with the offset of the damage. Ignoring it would
// lose claims, and requests could run twice.
func TestDamageInTheMiddleIsAnError(t *testing.T) {
	_, ends := writeJournal(t, t.TempDir())
	for at := range ends[1] {
		folder := t.TempDir()
		writeJournal(t, folder)
		raw, _ := os.ReadFile(journalPath(folder))
		raw[at] ^= 0x40
		if err := os.WriteFile(journalPath(folder), raw, 0o600); err != nil {
			t.Fatal(err)
		}
		_, _, err := openStore(t, folder).Load()
		if err == nil || !strings.Contains(err.Error(), "offset") || !strings.Contains(err.Error(), journalPath(folder)) {
			t.Fatalf("byte %d damaged: error %v", at, err)
		}
		if after, _ := os.ReadFile(journalPath(folder)); !bytes.Equal(raw, after) {
			t.Fatalf("byte %d damaged: the file was changed", at)
		}
	}
}

func FuzzJournal(f *testing.F) {
	f.Add(append(encodeFrame([]byte("one")), encodeFrame([]byte("two"))...))
	f.Add([]byte("not a journal"))
	f.Add(encodeFrame(nil)[:9])
	f.Fuzz(func(t *testing.T, raw []byte) {
		frames, validBytes, err := readFrames(raw)
		if err != nil {
			return
		}
		var again []byte
		for _, b := range frames {
			again = append(again, encodeFrame(b)...)
		}
		if !bytes.Equal(raw[:validBytes], again) {
			t.Fatal("frames differ after encoding them again")
		}
	})
}

// A malformed command from another host or a damaged log must not panic a voter.
func FuzzCommand(f *testing.F) {
	f.Add(encode(command{Verb: verbClaim, Claim: Claim{Caller: "depot", Key: "lot-7"}}))
	f.Add([]byte{0xff})
	f.Fuzz(func(t *testing.T, raw []byte) {
		s := NewState(DefaultLimits())
		s.Apply(0, raw)
		fresh := NewState(DefaultLimits())
		if err := fresh.Restore(s.Snapshot()); err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(s.Snapshot(), fresh.Snapshot()) {
			t.Fatal("a restored State differs from the original")
		}
		_ = fresh.Restore(raw)
	})
}

func openKeyOwner(t testing.TB, s Store, now time.Time) *KeyOwner {
	t.Helper()
	k, err := OpenKeyOwner(KeyOwnerConfig{
		Zone:   "cancale",
		Store:  s,
		Limits: DefaultLimits(),
		Clock:  func() time.Time { return now },
	})
	if err != nil {
		t.Fatal(err)
	}
	return k
}

func runKeyOwner(t testing.TB, k *KeyOwner) (stop func() error) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		ended <- k.Run(ctx)
	}()
	return func() error {
		cancel()
		<-k.Done()
		return <-ended
	}
}

func submitClaim(t testing.TB, k *KeyOwner, key hingeids.IdempotencyKey, sequence uint64) Kind {
	t.Helper()
	o, err := k.submit(context.Background(), claimCommand(key, sequence))
	if err != nil {
		t.Fatal(err)
	}
	return o.Kind
}

func claimCommand(key hingeids.IdempotencyKey, sequence uint64) command {
	return command{
		Verb: verbClaim,
		Claim: Claim{
			Caller:    "depot",
			Key:       key,
			Until:     startTime.Add(time.Hour).UnixNano(),
			Retention: testRetention,
			Request: hingeids.RequestID{
				Instance: hingeids.Instance{Host: "cancale-1", Incarnation: 1},
				Sequence: sequence,
			},
		},
	}
}

// A key owner that restarts with its disk must know earlier claims. One with a new disk
// must not grant keys of the old one.
func TestKeyOwnerRestartKeepsClaimsAndNewDiskIsUncertain(t *testing.T) {
	folder := t.TempDir()
	k := openKeyOwner(t, openStore(t, folder), startTime)
	stop := runKeyOwner(t, k)
	key, err := k.issue()
	if err != nil {
		t.Fatal(err)
	}
	got := []Kind{submitClaim(t, k, key, 1)}
	_ = stop()

	reopened := openKeyOwner(t, openStore(t, folder), startTime.Add(time.Minute))
	stop = runKeyOwner(t, reopened)
	got = append(got, submitClaim(t, reopened, key, 2))
	_ = stop()

	empty := openKeyOwner(t, openStore(t, t.TempDir()), startTime.Add(time.Hour))
	stop = runKeyOwner(t, empty)
	got = append(got, submitClaim(t, empty, key, 3))
	_ = stop()
	if diff := cmp.Diff([]Kind{Granted, InProgress, Uncertain}, got); diff != "" {
		t.Fatal(diff)
	}
}

// After a failed write the content of the disk is unknown, so the key owner must stop and
// grant no queued claim.
func TestKeyOwnerStopsWhenDiskFails(t *testing.T) {
	disk := &memoryStore{}
	k := openKeyOwner(t, disk, startTime)
	stop := runKeyOwner(t, k)
	key, err := k.issue()
	if err != nil {
		t.Fatal(err)
	}
	disk.failAppend = true
	_, err = k.submit(context.Background(), claimCommand(key, 1))
	if !eris.Is(err, errKeyOwnerStopped) {
		t.Fatalf("error %v, want %v", err, errKeyOwnerStopped)
	}
	if err := stop(); !eris.Is(err, errKilled) {
		t.Fatalf("run ended with %v", err)
	}
}

// Compaction must bound the size of the journal without losing claims.
func TestCompactionBoundsTheJournalAndKeepsClaims(t *testing.T) {
	folder := t.TempDir()
	k := openKeyOwner(t, openStore(t, folder), startTime)
	stop := runKeyOwner(t, k)
	key, err := k.issue()
	if err != nil {
		t.Fatal(err)
	}
	submitClaim(t, k, key, 1)
	finish := claimCommand(key, 1)
	finish.Verb = verbFinish
	finish.Answer = bytes.Repeat([]byte("a"), 128<<10)
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() {
			for range 40 {
				_, _ = k.submit(context.Background(), finish)
			}
		})
	}
	group.Wait()
	_ = stop()
	info, err := os.Stat(journalPath(folder))
	if err != nil || info.Size() > 2*compactAfter {
		t.Fatalf("%v, %d bytes after %d written", err, info.Size(), 160*len(finish.Answer))
	}
	reopened := openKeyOwner(t, openStore(t, folder), startTime)
	if !bytes.Equal(k.state.Snapshot(), reopened.state.Snapshot()) {
		t.Fatal("the State after a restart differs")
	}
}
