package hingefakedisk

import (
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func write(t *testing.T, d *Disk, name, content string) {
	t.Helper()
	f, err := d.Create(name)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.Write([]byte(content)); err != nil {
		t.Fatal(err)
	}
}

func read(d *Disk, name string) string {
	b, err := d.Read(name)
	if err != nil {
		return "none"
	}
	return string(b)
}

// Guards against a fake that keeps more than a real disk: tests over it would then pass on code that loses data.
func TestOnlySyncedFilesWithSyncedNamesAreAlwaysKept(t *testing.T) {
	lost := map[string]int{}
	const draws = 200
	for seed := range uint64(draws) {
		d := New(seed)
		for _, name := range []string{"synced", "unsynced", "unnamed"} {
			if name == "unnamed" {
				if err := d.Sync(); err != nil {
					t.Fatal(err)
				}
			}
			write(t, d, name, "content")
			if name != "unsynced" {
				f, _ := d.OpenAppend(name)
				if err := f.Sync(); err != nil {
					t.Fatal(err)
				}
			}
		}
		d.Kill()
		for _, name := range []string{"synced", "unsynced", "unnamed"} {
			if read(d, name) != "content" {
				t.Fatalf("%s: a kill changed the file", name)
			}
		}
		d.LosePower()
		for _, name := range []string{"synced", "unsynced", "unnamed"} {
			if read(d, name) != "content" {
				lost[name]++
			}
		}
	}
	if lost["synced"] > 0 || lost["unsynced"] == 0 || lost["unsynced"] == draws || lost["unnamed"] == 0 || lost["unnamed"] == draws {
		t.Fatalf("of %d files each were lost: %v", draws, lost)
	}
}

// Guards against a fake that writes with a later sync what an earlier one failed to write.
func TestNoLaterSyncWritesWhatAFailedOneLeftOut(t *testing.T) {
	d := New(1)
	d.KeepNames()
	write(t, d, "x", "ab")
	d.FailAfter(0)
	f, _ := d.OpenAppend("x")
	if err := f.Sync(); !errors.Is(err, ErrFailed) {
		t.Fatalf("sync returned %v", err)
	}
	_, _ = f.Write([]byte("cd"))
	if err := f.Sync(); err != nil {
		t.Fatal(err)
	}
	got := []string{read(d, "x")}
	d.LosePower()
	got = append(got, read(d, "x"))
	if diff := cmp.Diff([]string{"abcd", "\x00\x00cd"}, got); diff != "" {
		t.Fatal(diff)
	}
}
