package hingejournal

import (
	"errors"
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"
)

// errStopped is the error of all operations after the process was killed or the power was lost.
var errStopped = errors.New("process stopped")

// inode is a file. The page cache has its content; the disk has durable, and what the kernel hasn't written
// yet starts at dirtyFrom.
type inode struct {
	content   []byte
	durable   []byte
	dirtyFrom int
}

// nameChange is a change of the folder that isn't synced yet.
type nameChange struct {
	remove string
	set    string
	inode  *inode
}

func (n nameChange) applyTo(names map[string]*inode) {
	delete(names, n.remove)
	if n.set != "" {
		names[n.set] = n.inode
	}
}

// fakeDisk simulates kills and power losses. After a kill all files are as the process left them; after a power
// loss each unsynced write and each unsynced change of the folder is kept or lost by itself.
type fakeDisk struct {
	random       *rand.Rand
	names        map[string]*inode
	durableNames map[string]*inode
	pending      []nameChange
	// namesAreDurable makes each change of the folder durable at once.
	namesAreDurable bool
	// stopAfter is the number of operations before the process stops; negative means never.
	stopAfter int
	syncs     int
}

func newFakeDisk(seed uint64) *fakeDisk {
	return &fakeDisk{
		random:       rand.New(rand.NewPCG(seed, 2)),
		names:        make(map[string]*inode),
		durableNames: make(map[string]*inode),
		stopAfter:    -1,
	}
}

func (d *fakeDisk) step() error {
	if d.stopAfter == 0 {
		return errStopped
	}
	if d.stopAfter > 0 {
		d.stopAfter--
	}
	return nil
}

func (d *fakeDisk) changeNames(n nameChange) {
	n.applyTo(d.names)
	if d.namesAreDurable {
		n.applyTo(d.durableNames)
		return
	}
	d.pending = append(d.pending, n)
}

// kill ends the process; the next one finds all that it has written.
func (d *fakeDisk) kill() {
	d.stopAfter = -1
}

// losePower leaves a random state that a power loss could leave.
func (d *fakeDisk) losePower() {
	d.kill()
	for _, n := range d.pending {
		if d.random.IntN(2) == 0 {
			n.applyTo(d.durableNames)
		}
	}
	d.pending = nil
	d.names = maps.Clone(d.durableNames)
	for _, i := range d.names {
		d.writeBack(i)
	}
}

// writeBack keeps a part of the unsynced bytes of a file.
func (d *fakeDisk) writeBack(i *inode) {
	unsynced := i.content[i.dirtyFrom:]
	if kept := slices.Clone(unsynced[:d.random.IntN(len(unsynced)+1)]); len(kept) > 0 {
		if d.random.IntN(2) == 0 {
			// A sector that was allocated but never written reads as zeros.
			clear(kept[d.random.IntN(len(kept)):])
		}
		i.writeDurable(kept)
	}
	i.content = slices.Clone(i.durable)
	i.dirtyFrom = len(i.content)
}

func (i *inode) writeDurable(b []byte) {
	i.durable = append(i.durable[:i.dirtyFrom], b...)
}

func (d *fakeDisk) List() ([]string, error) {
	return slices.Sorted(maps.Keys(d.names)), nil
}

func (d *fakeDisk) Read(name string) ([]byte, error) {
	i := d.names[name]
	if i == nil {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(i.content), nil
}

func (d *fakeDisk) Create(name string) (File, error) {
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
	} else {
		// The truncation of an existing file isn't modelled as unsynced: no caller truncates a file that counts.
		*i = inode{}
	}
	return &fakeFile{
		disk:  d,
		inode: i,
	}, nil
}

func (d *fakeDisk) OpenAppend(name string) (File, error) {
	i := d.names[name]
	if i == nil {
		return nil, fs.ErrNotExist
	}
	return &fakeFile{
		disk:  d,
		inode: i,
	}, nil
}

func (d *fakeDisk) Truncate(name string, size int64) error {
	if err := d.step(); err != nil {
		return err
	}
	i := d.names[name]
	i.content = i.content[:size]
	i.durable = i.durable[:min(len(i.durable), int(size))]
	i.dirtyFrom = min(i.dirtyFrom, int(size))
	return (&fakeFile{
		disk:  d,
		inode: i,
	}).Sync()
}

func (d *fakeDisk) Rename(from, to string) error {
	if err := d.step(); err != nil {
		return err
	}
	d.changeNames(nameChange{
		remove: from,
		set:    to,
		inode:  d.names[from],
	})
	return nil
}

func (d *fakeDisk) Remove(name string) error {
	if err := d.step(); err != nil {
		return err
	}
	d.changeNames(nameChange{
		remove: name,
	})
	return nil
}

func (d *fakeDisk) Sync() error {
	if err := d.step(); err != nil {
		return err
	}
	d.pending = nil
	d.durableNames = maps.Clone(d.names)
	return nil
}

type fakeFile struct {
	disk  *fakeDisk
	inode *inode
}

func (f *fakeFile) Write(b []byte) (int, error) {
	err := f.disk.step()
	if err == nil {
		f.inode.content = append(f.inode.content, b...)
		return len(b), nil
	}
	n := 0
	if f.disk.random.IntN(2) == 0 {
		n = f.disk.random.IntN(len(b) + 1)
		f.inode.content = append(f.inode.content, b[:n]...)
	}
	return n, err
}

func (f *fakeFile) Sync() error {
	if err := f.disk.step(); err != nil {
		return err
	}
	f.disk.syncs++
	f.inode.writeDurable(f.inode.content[f.inode.dirtyFrom:])
	f.inode.dirtyFrom = len(f.inode.content)
	return nil
}

func (f *fakeFile) Close() error {
	return nil
}
