package hingefolder

import (
	"errors"
	"math/rand/v2"
	"path/filepath"
	"testing"
)

var errStopped = errors.New("process stopped")

// fakeTree holds folders. Those whose name isn't durable are lost with the power, and with them what is in them.
type fakeTree struct {
	folders   map[string]bool
	durable   map[string]bool
	stopAfter int
}

func (f *fakeTree) step() error {
	if f.stopAfter == 0 {
		return errStopped
	}
	f.stopAfter--
	return nil
}

func (f *fakeTree) Exists(path string) (bool, error) {
	return f.folders[path], nil
}

func (f *fakeTree) Create(path string) error {
	if err := f.step(); err != nil {
		return err
	}
	f.folders[path] = true
	return nil
}

func (f *fakeTree) Sync(path string) error {
	if err := f.step(); err != nil {
		return err
	}
	for p := range f.folders {
		if filepath.Dir(p) == path {
			f.durable[p] = true
		}
	}
	return nil
}

func (f *fakeTree) survives(path string) bool {
	for ; path != "/"; path = filepath.Dir(path) {
		if !f.durable[path] {
			return false
		}
	}
	return true
}

// Guards against a data folder, with all that is synced in it, that a power loss takes because a parent was created by
// a process that was killed before it synced the name.
func TestCreatedFolderSurvivesAPowerLoss(t *testing.T) {
	const path = "/srv/swifthinge/data/config"
	for seed := range uint64(5_000) {
		random := rand.New(rand.NewPCG(seed, 1))
		f := &fakeTree{
			folders: map[string]bool{
				"/": true,
			},
			durable: make(map[string]bool),
		}
		for range random.IntN(6) {
			f.stopAfter = random.IntN(12)
			_ = createFolder(f, path)
		}
		f.stopAfter = -1
		if err := createFolder(f, path); err != nil {
			t.Fatal(err)
		}
		if !f.survives(path) {
			t.Fatalf("seed %d: folders %v, durable %v", seed, f.folders, f.durable)
		}
	}
}
