package hingesoak

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"
)

// playTime is how long a seed's faults last here. By hand it is longer.
const playTime = 6 * time.Second

// Hosts are killed, stopped, frozen and lose their disks one upon the other while
// callers and operators go on. Each promise that breaks here is one that a user would see broken.
func TestSeedsKeepThePromises(t *testing.T) {
	program := filepath.Join(t.TempDir(), "swifthinge-fleet")
	build := exec.Command("go", "build", "-buildvcs=false", "-o", program, "github.com/swifthinge/swifthinge/cmd/swifthinge-fleet")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	data, err := os.ReadFile("testdata/seeds.txt")
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(data)) {
		first, _, _ := strings.Cut(line, " ")
		seed, err := strconv.ParseUint(first, 10, 64)
		if err != nil {
			continue
		}
		var out bytes.Buffer
		r, err := Run(t.Context(), Options{
			Program: program,
			Folder:  t.TempDir(),
			Seed:    seed,
			Lasts:   playTime,
			Out:     &out,
		})
		if err != nil {
			t.Fatalf("seed %d: %v\n%s", seed, err, out.String())
		}
		t.Logf("seed %d: %+v", seed, r)
		if len(r.Broken) > 0 || r.Answered == 0 {
			t.Errorf("seed %d: answered %d, broken %+v\n%s", seed, r.Answered, r.Broken, out.String())
		}
	}
}
