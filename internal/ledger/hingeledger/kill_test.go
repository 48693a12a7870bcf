package hingeledger

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"testing"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// If set, it makes this test binary run a key owner in the given folder instead of
// the tests.
const childFolder = "HINGELEDGER_CHILD_FOLDER"

// runKeyOwnerChild claims new keys from several goroutines and prints each granted one,
// until the process is killed.
func runKeyOwnerChild(folder string) error {
	store, err := OpenFileStore(folder)
	if err != nil {
		return err
	}
	k, err := OpenKeyOwner(KeyOwnerConfig{Zone: "cancale", Store: store, Limits: DefaultLimits()})
	if err != nil {
		return err
	}
	prefix, err := k.issue()
	if err != nil {
		return err
	}
	for i := range 8 {
		go func() {
			for n := i; ; n += 8 {
				key := prefix + hingeids.IdempotencyKey(strconv.Itoa(n))
				if o, err := k.submit(context.Background(), claimCommand(key, uint64(n))); err == nil && o.Kind == Granted {
					fmt.Println("granted", key)
				}
			}
		}()
	}
	return k.Run(context.Background())
}

// A key owner that is killed with SIGKILL must know all granted claims after the
// restart, since their requests may have been sent.
func TestKilledProcessForgetsNoGrant(t *testing.T) {
	folder := t.TempDir()
	for round := range 3 {
		c := exec.Command(os.Args[0])
		c.Env = append(os.Environ(), childFolder+"="+folder)
		out, err := c.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := c.Start(); err != nil {
			t.Fatal(err)
		}
		var granted []hingeids.IdempotencyKey
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			if key, ok := strings.CutPrefix(lines.Text(), "granted "); ok {
				granted = append(granted, hingeids.IdempotencyKey(key))
			}
			if len(granted) == 300 {
				_ = c.Process.Kill()
			}
		}
		_ = c.Wait()
		if len(granted) < 300 {
			t.Fatalf("round %d: only %d keys granted before the process ended", round, len(granted))
		}
		checkGranted(t, folder, granted)
	}
}

func checkGranted(t *testing.T, folder string, granted []hingeids.IdempotencyKey) {
	t.Helper()
	k := openKeyOwner(t, openStore(t, folder), startTime)
	stop := runKeyOwner(t, k)
	defer func() {
		_ = stop()
	}()
	for _, key := range granted {
		if kind := submitClaim(t, k, key, 1<<40); kind != InProgress && kind != Uncertain {
			t.Fatalf("key %s was granted before the kill and is %s after it", key, kindNames[kind])
		}
	}
}
