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

func journal(folder string) string {
	return filepath.Join(folder, "keeper.journal")
}

// writeJournal leaves a file of a base and two frames, and gives where each ends.
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

// Power is lost while the last frame is written, so that it is there in part or
// with other bytes. Nothing in it was answered: it is cut off, and what is written
// from then on is read again at the next start.
func TestTornLastFrameIsCutOff(t *testing.T) {
	frames, ends := writeJournal(t, t.TempDir())
	for size := ends[1] + 1; size <= ends[2]; size++ {
		folder := t.TempDir()
		writeJournal(t, folder)
		raw, _ := os.ReadFile(journal(folder))
		raw = raw[:size]
		raw[size-1] ^= 0x40
		if err := os.WriteFile(journal(folder), raw, 0o600); err != nil {
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

// The disk loses bytes that it had said were synced. Going on without them would
// forget claims, and requests would run twice: the start fails and names the place.
func TestDamageInTheMiddleIsAnError(t *testing.T) {
	_, ends := writeJournal(t, t.TempDir())
	for at := range ends[1] {
		folder := t.TempDir()
		writeJournal(t, folder)
		raw, _ := os.ReadFile(journal(folder))
		raw[at] ^= 0x40
		if err := os.WriteFile(journal(folder), raw, 0o600); err != nil {
			t.Fatal(err)
		}
		_, _, err := openStore(t, folder).Load()
		if err == nil || !strings.Contains(err.Error(), "offset") || !strings.Contains(err.Error(), journal(folder)) {
			t.Fatalf("byte %d damaged: error %v", at, err)
		}
		if left, _ := os.ReadFile(journal(folder)); !bytes.Equal(raw, left) {
			t.Fatalf("byte %d damaged: the file was changed", at)
		}
	}
}

func FuzzJournal(f *testing.F) {
	f.Add(append(encodeFrame([]byte("one")), encodeFrame([]byte("two"))...))
	f.Add([]byte("not a journal"))
	f.Add(encodeFrame(nil)[:9])
	f.Fuzz(func(t *testing.T, raw []byte) {
		frames, good, err := readFrames(raw)
		if err != nil {
			return
		}
		var again []byte
		for _, b := range frames {
			again = append(again, encodeFrame(b)...)
		}
		if !bytes.Equal(raw[:good], again) {
			t.Fatal("frames don't read back as they were written")
		}
	})
}

// A command that another host or a damaged log holds must not panic a voter.
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
			t.Fatal("a restored State differs")
		}
		_ = fresh.Restore(raw)
	})
}

func openKeeper(t testing.TB, s Store, now time.Time) *Keeper {
	t.Helper()
	k, err := OpenKeeper(KeeperConfig{
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

func runKeeper(t testing.TB, k *Keeper) (stop func() error) {
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

func claimOf(t testing.TB, k *Keeper, key hingeids.IdempotencyKey, sequence uint64) Kind {
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
			Caller: "depot",
			Key:    key,
			Until:  begin.Add(time.Hour).UnixNano(),
			Keep:   testKeep,
			Request: hingeids.RequestID{
				Instance: hingeids.Instance{Host: "cancale-1", Incarnation: 1},
				Sequence: sequence,
			},
		},
	}
}

// The keeper's host is killed and comes back with its disk, then once more
// without it. With the disk it knows the claim; without, it must not give out a key
// that somebody may have run.
func TestKeeperKnowsItsClaimsOrSaysThatItDoesNot(t *testing.T) {
	folder := t.TempDir()
	k := openKeeper(t, openStore(t, folder), begin)
	stop := runKeeper(t, k)
	key, err := k.issue()
	if err != nil {
		t.Fatal(err)
	}
	got := []Kind{claimOf(t, k, key, 1)}
	_ = stop()

	back := openKeeper(t, openStore(t, folder), begin.Add(time.Minute))
	stop = runKeeper(t, back)
	got = append(got, claimOf(t, back, key, 2))
	_ = stop()

	empty := openKeeper(t, openStore(t, t.TempDir()), begin.Add(time.Hour))
	stop = runKeeper(t, empty)
	got = append(got, claimOf(t, empty, key, 3))
	_ = stop()
	if diff := cmp.Diff([]Kind{Granted, InProgress, Uncertain}, got); diff != "" {
		t.Fatal(diff)
	}
}

// The disk refuses a write. What it holds is unknown from then on, so the keeper
// answers nothing more; a claim that was waiting gets no grant.
func TestKeeperEndsWhenItsDiskFails(t *testing.T) {
	disk := &memoryStore{}
	k := openKeeper(t, disk, begin)
	stop := runKeeper(t, k)
	key, err := k.issue()
	if err != nil {
		t.Fatal(err)
	}
	disk.dies = true
	_, err = k.submit(context.Background(), claimCommand(key, 1))
	if !eris.Is(err, errLost) {
		t.Fatalf("error %v, want %v", err, errLost)
	}
	if err := stop(); !eris.Is(err, errKilled) {
		t.Fatalf("run ended with %v", err)
	}
}

// The journal is replaced by a snapshot as it grows, or a restart after a busy
// month would read a month. Nothing may be lost by it.
func TestCompactionBoundsTheJournalAndKeepsClaims(t *testing.T) {
	folder := t.TempDir()
	k := openKeeper(t, openStore(t, folder), begin)
	stop := runKeeper(t, k)
	key, err := k.issue()
	if err != nil {
		t.Fatal(err)
	}
	claimOf(t, k, key, 1)
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
	info, err := os.Stat(journal(folder))
	if err != nil || info.Size() > 2*compactAfter {
		t.Fatalf("%v, %d bytes after %d written", err, info.Size(), 160*len(finish.Answer))
	}
	back := openKeeper(t, openStore(t, folder), begin)
	if !bytes.Equal(k.state.Snapshot(), back.state.Snapshot()) {
		t.Fatal("the State after a restart differs")
	}
}
