// Package hingefakedisk provides a disk in memory for tests, which simulates kills and power losses.
//
//  1. After a kill all files are as the process left them: the next process reads what was written, synced or not.
//  2. After a power loss each unsynced write is kept, lost or torn, and each unsynced creation, renaming and removal
//     is kept or lost by itself.
//  3. A sync that fails leaves its bytes readable, and no later sync writes them: the kernel counts them as written.
package hingefakedisk

import (
	"errors"
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/swifthinge/swifthinge/internal/core/hingefolder"
)

// ErrStopped is the error of all operations from the moment at which the process was stopped.
var ErrStopped = errors.New("process stopped")

// ErrFailed is the error of an operation that the disk itself failed.
var ErrFailed = errors.New("input/output error")

const never = -1

// inode is a file. The page cache has content; the disk has durable, and bytes from dirtyFrom on aren't written yet.
type inode struct {
	content   []byte
	durable   []byte
	dirtyFrom int
}

// nameChange is a change of the folder.
type nameChange struct {
	removed string
	set     string
	inode   *inode
}

func (n nameChange) applyTo(names map[string]*inode) {
	delete(names, n.removed)
	if n.set != "" {
		names[n.set] = n.inode
	}
}

// Disk holds one folder. It is safe for concurrent use.
type Disk struct {
	mu           sync.Mutex
	random       *rand.Rand
	names        map[string]*inode
	durableNames map[string]*inode
	// pending are the changes of the folder since its last sync.
	pending         []nameChange
	namesAreDurable bool
	// stopAfter and failAfter count operations that change or sync something.
	stopAfter int
	failAfter int
	stopped   bool
}

var _ hingefolder.Directory = (*Disk)(nil)

// New returns an empty disk. The seed selects what power losses keep.
func New(seed uint64) *Disk {
	return &Disk{
		random:       rand.New(rand.NewPCG(seed, 2)),
		names:        make(map[string]*inode),
		durableNames: make(map[string]*inode),
		stopAfter:    never,
		failAfter:    never,
	}
}

// KeepNames makes each change of the folder durable at once.
func (d *Disk) KeepNames() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.namesAreDurable = true
}

// StopAfter stops the process at the operation that follows the next n ones.
func (d *Disk) StopAfter(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopAfter = n
}

// FailAfter makes one operation fail, the one that follows the next n ones.
func (d *Disk) FailAfter(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failAfter = n
}

// Kill ends the process (rule 1). The next one may use the disk.
func (d *Disk) Kill() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.kill()
}

func (d *Disk) kill() {
	d.stopAfter = never
	d.failAfter = never
	d.stopped = false
}

// LosePower ends the process and leaves a random state that a power loss could leave (rule 2).
func (d *Disk) LosePower() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.kill()
	for _, n := range d.pending {
		if d.random.IntN(2) == 0 {
			n.applyTo(d.durableNames)
		}
	}
	d.pending = nil
	d.names = maps.Clone(d.durableNames)
	for _, name := range slices.Sorted(maps.Keys(d.names)) {
		d.losePowerOf(d.names[name])
	}
}

func (d *Disk) losePowerOf(i *inode) {
	unsynced := i.content[i.dirtyFrom:]
	if kept := slices.Clone(unsynced[:d.random.IntN(len(unsynced)+1)]); len(kept) > 0 {
		if d.random.IntN(2) == 0 {
			// A sector that was allocated but never written reads as zeros.
			clear(kept[d.random.IntN(len(kept)):])
		}
		i.write(kept)
	}
	i.content = slices.Clone(i.durable)
	i.dirtyFrom = len(i.content)
}

// write makes bytes durable. Those before them that a failed sync has left out read as zeros.
func (i *inode) write(b []byte) {
	if missing := i.dirtyFrom + len(b) - len(i.durable); missing > 0 {
		i.durable = append(i.durable, make([]byte, missing)...)
	}
	copy(i.durable[i.dirtyFrom:], b)
}

// Put stores a file durably.
func (d *Disk) Put(name string, content []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	i := &inode{
		content:   slices.Clone(content),
		durable:   slices.Clone(content),
		dirtyFrom: len(content),
	}
	d.names[name] = i
	d.durableNames[name] = i
}

// Forget removes a file durably.
func (d *Disk) Forget(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.names, name)
	delete(d.durableNames, name)
}

// step counts an operation, and returns the error that it has instead of an effect.
func (d *Disk) step() error {
	if d.stopAfter == 0 {
		d.stopped = true
		return ErrStopped
	}
	if d.stopAfter > 0 {
		d.stopAfter--
	}
	if d.failAfter == never {
		return nil
	}
	d.failAfter--
	if d.failAfter == never {
		return ErrFailed
	}
	return nil
}

func (d *Disk) changeNames(n nameChange) {
	n.applyTo(d.names)
	if d.namesAreDurable {
		n.applyTo(d.durableNames)
		return
	}
	d.pending = append(d.pending, n)
}

// List implements hingefolder.Directory.
func (d *Disk) List() ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Sorted(maps.Keys(d.names)), nil
}

// Read implements hingefolder.Directory.
func (d *Disk) Read(name string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	i := d.names[name]
	if i == nil {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(i.content), nil
}

// Create implements hingefolder.Directory. The truncation of an existing file counts as durable: no caller truncates
// one whose content is needed.
func (d *Disk) Create(name string) (hingefolder.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.step(); err != nil {
		return nil, err
	}
	i := d.names[name]
	if i == nil {
		i = &inode{}
		d.changeNames(nameChange{
			set:   name,
			inode: i,
		})
	}
	*i = inode{}
	return &file{
		disk:  d,
		inode: i,
	}, nil
}

// OpenAppend implements hingefolder.Directory.
func (d *Disk) OpenAppend(name string) (hingefolder.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	i := d.names[name]
	if i == nil {
		return nil, fs.ErrNotExist
	}
	return &file{
		disk:  d,
		inode: i,
	}, nil
}

// Truncate implements hingefolder.Directory.
func (d *Disk) Truncate(name string, size int64) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	i := d.names[name]
	if i == nil {
		return fs.ErrNotExist
	}
	if err := d.step(); err != nil {
		return err
	}
	i.content = i.content[:size]
	i.durable = i.durable[:min(len(i.durable), int(size))]
	i.dirtyFrom = min(i.dirtyFrom, int(size))
	return d.syncFile(i)
}

// Rename implements hingefolder.Directory.
func (d *Disk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.step(); err != nil {
		return err
	}
	d.changeNames(nameChange{
		removed: from,
		set:     to,
		inode:   d.names[from],
	})
	return nil
}

// Remove implements hingefolder.Directory.
func (d *Disk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.step(); err != nil {
		return err
	}
	d.changeNames(nameChange{
		removed: name,
	})
	return nil
}

// Sync implements hingefolder.Directory.
func (d *Disk) Sync() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.step(); err != nil {
		return err
	}
	d.pending = nil
	d.durableNames = maps.Clone(d.names)
	return nil
}

func (d *Disk) syncFile(i *inode) error {
	err := d.step()
	switch {
	case errors.Is(err, ErrStopped):
		return err
	case err == nil:
		i.write(i.content[i.dirtyFrom:])
	}
	i.dirtyFrom = len(i.content)
	return err
}

type file struct {
	disk  *Disk
	inode *inode
}

// Write that fails leaves a part of the bytes.
func (f *file) Write(b []byte) (int, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.disk.stopped {
		return 0, ErrStopped
	}
	n := len(b)
	err := f.disk.step()
	if err != nil {
		n = f.disk.random.IntN(len(b) + 1)
	}
	f.inode.content = append(f.inode.content, b[:n]...)
	return n, err
}

func (f *file) Sync() error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	return f.disk.syncFile(f.inode)
}

func (f *file) Close() error {
	return nil
}
