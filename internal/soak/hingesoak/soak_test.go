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
	playSeeds(t, "testdata/seeds.txt")
}

// A request ends each server that runs it and comes again at every host, through the same faults: all servers end one after the
// other, and with them everybody else's requests.
func TestSeedsStopRequestsThatEndServers(t *testing.T) {
	playSeeds(t, "testdata/poison.txt")
}

func playSeeds(t *testing.T, file string) {
	t.Helper()
	program := filepath.Join(t.TempDir(), "swifthinge-fleet")
	build := exec.Command("go", "build", "-buildvcs=false", "-o", program, "github.com/swifthinge/swifthinge/cmd/swifthinge-fleet")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(data)) {
		o, ok := parseSeed(line)
		if !ok {
			continue
		}
		var out bytes.Buffer
		o.Program = program
		o.Folder = t.TempDir()
		o.Out = &out
		seed := o.Seed
		r, err := Run(t.Context(), o)
		if err != nil {
			t.Fatalf("seed %d: %v\n%s", seed, err, out.String())
		}
		t.Logf("seed %d: %+v", seed, r)
		if len(r.Broken) > 0 || r.Answered == 0 {
			t.Errorf("seed %d: answered %d, broken %+v\n%s", seed, r.Answered, r.Broken, out.String())
		}
	}
}

// parseSeed reads a seed with what it needs beside it: the numbers of hosts and how long its faults last,
// up to a colon that begins its cause.
func parseSeed(line string) (Options, bool) {
	text, _, _ := strings.Cut(line, ":")
	words := strings.Fields(text)
	if len(words) == 0 {
		return Options{}, false
	}
	seed, err := strconv.ParseUint(words[0], 10, 64)
	if err != nil {
		return Options{}, false
	}
	o := Options{
		Seed:  seed,
		Lasts: playTime,
	}
	for _, w := range words[1:] {
		name, value, _ := strings.Cut(w, "=")
		n, _ := strconv.Atoi(value)
		switch name {
		case "controls":
			o.Controls = n
		case "entries":
			o.Entries = n
		case "poison":
			o.Poison = n
		case "lasts":
			o.Lasts, _ = time.ParseDuration(value)
		}
	}
	return o, true
}
