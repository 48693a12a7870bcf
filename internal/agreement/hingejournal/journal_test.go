package hingejournal

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/swifthinge/swifthinge/internal/core/hingefakedisk"
	"github.com/swifthinge/swifthinge/internal/core/hingefolder"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func claimOf(h hingeids.HostID) Claim {
	return Claim{
		Host:  h,
		Group: "config",
	}
}

func open(f hingefolder.Directory) (*Journal, Recovered, error) {
	return Open(f, claimOf("cancale-1"), now)
}

func mustOpen(t interface{ Fatal(...any) }, f hingefolder.Directory) (*Journal, Recovered) {
	j, recovered, err := open(f)
	if err != nil {
		t.Fatal(err)
	}
	return j, recovered
}

func contents(recovered Recovered) string {
	return string(recovered.Snapshot) + "|" + string(bytes.Join(recovered.Records, []byte(",")))
}

func flip(d *hingefakedisk.Disk, name string, offset int, mask byte) {
	b, _ := d.Read(name)
	b[offset] ^= mask
	d.Put(name, b)
}

// Guards against lost records and a journal that can't be opened after a power cut at
// any operation.
func TestPowerCutLosesNothingThatWasAppended(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := hingefakedisk.New(rapid.Uint64().Draw(t, "seed"))
		j, _ := mustOpen(t, d)
		snapshot, kept, tried := "", []string{}, []string(nil)
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			if rapid.IntRange(0, 5).Draw(t, "fails") == 0 {
				d.StopAfter(rapid.IntRange(0, 9).Draw(t, "at"))
			}
			record := fmt.Sprintf("r%d", i)
			before := snapshot + "|" + strings.Join(kept, ",")
			var err error
			if rapid.IntRange(0, 3).Draw(t, "compact") == 0 {
				tried = []string{record, "s" + record}
				err = j.Compact([]byte("s"+record), []byte(record))
				if err == nil {
					snapshot, kept = "s"+record, []string{record}
				}
			} else {
				tried = nil
				err = j.Append([]byte(record))
				if err == nil {
					kept = append(kept, record)
				}
			}
			if err == nil {
				continue
			}
			if j.Append([]byte("late")) == nil {
				t.Fatal("Append succeeded after an earlier write failed")
			}
			after := before + "," + record
			if len(kept) == 0 {
				after = before + record
			}
			if tried != nil {
				after = tried[1] + "|" + tried[0]
			}
			d.LosePower()
			again, recovered := mustOpen(t, d)
			got := contents(recovered)
			if got != before && got != after {
				t.Fatalf("found %q, want %q or %q", got, before, after)
			}
			j = again
			snapshot, _, _ = strings.Cut(got, "|")
			kept = nil
			for _, r := range recovered.Records {
				kept = append(kept, string(r))
			}
		}
		d.LosePower()
		_, recovered := mustOpen(t, d)
		if diff := cmp.Diff(snapshot+"|"+strings.Join(kept, ","), contents(recovered)); diff != "" {
			t.Fatal(diff)
		}
	})
}

// Guards against skipped or mixed records after disk corruption or in the wrong
// folder: Open must fail and name the file and the offset.
func TestDamageIsNamedAndNeverSkipped(t *testing.T) {
	const segment = "0000000000000003.segment"
	const snapshot = "0000000000000003.snapshot"
	for name, c := range map[string]struct {
		damage func(*hingefakedisk.Disk)
		want   []string
	}{
		"middle of the journal": {
			damage: func(d *hingefakedisk.Disk) {
				flip(d, segment, headerSize+frameSize, 1)
			},
			want: []string{segment, fmt.Sprint("offset ", headerSize)},
		},
		"length in the middle": {
			damage: func(d *hingefakedisk.Disk) {
				flip(d, segment, headerSize, 0x80)
			},
			want: []string{segment, fmt.Sprint("offset ", headerSize)},
		},
		"snapshot": {
			damage: func(d *hingefakedisk.Disk) {
				flip(d, snapshot, headerSize+frameSize, 1)
			},
			want: []string{snapshot, fmt.Sprint("offset ", headerSize)},
		},
		"identity": {
			damage: func(d *hingefakedisk.Disk) {
				flip(d, identityFile, 2, 1)
			},
			want: []string{identityFile, "offset 0"},
		},
		"file of another disk": {
			damage: func(d *hingefakedisk.Disk) {
				other := hingefakedisk.New(2)
				if _, _, err := Open(other, claimOf("cancale-1"), now.Add(1)); err != nil {
					panic(err)
				}
				b, _ := other.Read("0000000000000001.segment")
				d.Put(segment, b)
			},
			want: []string{segment, "another host, group or disk"},
		},
		"file that isn't ours": {
			damage: func(d *hingefakedisk.Disk) {
				d.Put("notes.txt", nil)
			},
			want: []string{"notes.txt", "isn't swifthinge's"},
		},
		"identity gone": {
			damage: func(d *hingefakedisk.Disk) {
				d.Forget(identityFile)
			},
			want: []string{identityFile},
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := hingefakedisk.New(1)
			j, _ := mustOpen(t, d)
			for _, err := range []error{
				j.Append([]byte("old")),
				j.Compact([]byte("state")),
				j.Append([]byte("first")),
				j.Append([]byte("second")),
			} {
				if err != nil {
					t.Fatal(err)
				}
			}
			c.damage(d)
			_, _, err := open(d)
			if err == nil {
				t.Fatal("Open succeeded on a damaged folder")
			}
			for _, w := range c.want {
				if !strings.Contains(err.Error(), w) {
					t.Errorf("error %q doesn't contain %q", err, w)
				}
			}
		})
	}
}

// Guards against starting a host with the data folder of another host.
func TestFolderOfAnotherHostIsRefused(t *testing.T) {
	d := hingefakedisk.New(1)
	mustOpen(t, d)
	_, _, err := Open(d, claimOf("roscoff-1"), now)
	if err == nil || !strings.Contains(err.Error(), "belongs to host cancale-1") {
		t.Fatalf("got %v", err)
	}
}

// Guards against records lost across segments, compaction and reopening on a real
// file system.
func TestRealFolderIsReadBack(t *testing.T) {
	f, err := hingefolder.Open(t.TempDir() + "/config")
	if err != nil {
		t.Fatal(err)
	}
	j, recovered := mustOpen(t, f)
	if !recovered.NewDisk {
		t.Error("an empty folder isn't reported as a new disk")
	}
	big := bytes.Repeat([]byte("x"), segmentLimit)
	for _, err := range []error{
		j.Append([]byte("lost with the snapshot")),
		j.Compact([]byte("s"), []byte("k")),
		j.Append(big),
		j.Append([]byte("a"), []byte("b")),
		j.Close(),
	} {
		if err != nil {
			t.Fatal(err)
		}
	}
	_, recovered = mustOpen(t, f)
	if diff := cmp.Diff("s|k,"+string(big)+",a,b", contents(recovered)); diff != "" || recovered.NewDisk {
		t.Fatalf("new disk %v, %.200s", recovered.NewDisk, diff)
	}
}

func FuzzReadSegment(f *testing.F) {
	b := encodeHeader(segmentMagic, 7, 1)
	b = appendFrame(b, 7, 1, [][]byte{[]byte("one"), {}})
	b = appendFrame(b, 7, 2, [][]byte{[]byte("two")})
	f.Add(b)
	f.Add(b[:len(b)-2])
	f.Add(b[headerSize:])
	f.Fuzz(func(t *testing.T, b []byte) {
		_, next, validSize, err := readSegment("x", b, 7, 1, true)
		if err != nil {
			return
		}
		// The valid part must decode to the same result, with no bytes left over.
		_, again, size, err := readSegment("x", b[:validSize], 7, 1, false)
		if err != nil || again != next || size != validSize {
			t.Fatalf("first read: next frame %d, %d bytes; second read: next frame %d, %d bytes: %v", next, validSize, again, size, err)
		}
	})
}

// BenchmarkAppend compares one sync per change with one sync per batch of 64 changes, on
// the disk of the temporary folder.
func BenchmarkAppend(b *testing.B) {
	for _, batchSize := range []int{1, 64} {
		b.Run(fmt.Sprint(batchSize, "-a-sync"), func(b *testing.B) {
			f, err := hingefolder.Open(b.TempDir() + "/config")
			if err != nil {
				b.Fatal(err)
			}
			j, _ := mustOpen(b, f)
			batch := make([][]byte, batchSize)
			for i := range batch {
				batch[i] = make([]byte, 300)
			}
			for b.Loop() {
				if err := j.Append(batch...); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.N*batchSize)/b.Elapsed().Seconds(), "changes/s")
		})
	}
}
