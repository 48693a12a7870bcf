package hingeaccount

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "write testdata/account.txt")

func read(t *testing.T) *Account {
	t.Helper()
	f, err := os.Open("testdata/lines.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		// The file was only read, so nothing can be lost.
		_ = f.Close()
	}()
	a := New()
	if err := a.Read(f); err != nil {
		t.Fatal(err)
	}
	return a
}

// Guards the whole report, made from logs that also contain truncated lines and lines of other programs.
func TestReportMatchesGoldenFile(t *testing.T) {
	var b strings.Builder
	if err := read(t).Write(&b, 2*time.Second); err != nil {
		t.Fatal(err)
	}
	const golden = "testdata/account.txt"
	if *update {
		if err := os.WriteFile(golden, []byte(b.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(golden)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), b.String()); diff != "" {
		t.Fatal(diff)
	}
}

// Guards against requests that are counted twice or with several outcomes.
func TestEachRequestIsCountedOnce(t *testing.T) {
	list := read(t).Requests()
	got := make(map[Outcome]int)
	for _, r := range list {
		got[r.Outcome]++
	}
	want := map[Outcome]int{
		OnTime:       3,
		Late:         2,
		Refused:      3,
		Failed:       2,
		Denied:       1,
		Disconnected: 1,
		Lost:         1,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatal(diff)
	}
}

func TestPlotIsWritten(t *testing.T) {
	folder := t.TempDir()
	if err := read(t).Plot(folder, time.Second); err != nil {
		t.Fatal(err)
	}
	if _, err := os.Stat(filepath.Join(folder, "account.png")); err != nil {
		t.Fatal(err)
	}
}
