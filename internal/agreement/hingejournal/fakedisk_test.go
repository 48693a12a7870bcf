package hingejournal

import (
	"errors"
	"io/fs"
	"math/rand/v2"
	"sort"
)

var errPowerCut = errors.New("power cut")

type inode struct {
	content []byte
	synced  int
}

// fakeDisk simulates power cuts. Files keep their synced content and part of the
// rest; names are those of the last folder sync or later.
type fakeDisk struct {
	random       *rand.Rand
	names        map[string]*inode
	durableNames []map[string]*inode
	// failAfter is the number of operations before the power cut; negative means never.
	failAfter int
	syncs     int
}

func newFakeDisk(seed uint64) *fakeDisk {
	return &fakeDisk{
		random:       rand.New(rand.NewPCG(seed, 2)),
		names:        make(map[string]*inode),
		durableNames: []map[string]*inode{{}},
		failAfter:    -1,
	}
}

func (d *fakeDisk) step() error {
	if d.failAfter == 0 {
		return errPowerCut
	}
	if d.failAfter > 0 {
		d.failAfter--
	}
	return nil
}

func (d *fakeDisk) recordNames() {
	c := make(map[string]*inode, len(d.names))
	for n, i := range d.names {
		c[n] = i
	}
	d.durableNames = append(d.durableNames, c)
}

// The new contents are a random state that a power cut could leave.
func (d *fakeDisk) crash() {
	d.names = d.durableNames[d.random.IntN(len(d.durableNames))]
	d.durableNames = []map[string]*inode{d.names}
	d.failAfter = -1
	for _, i := range d.names {
		unsynced := i.content[i.synced:]
		unsynced = unsynced[:d.random.IntN(len(unsynced)+1)]
		if len(unsynced) > 0 && d.random.IntN(2) == 0 {
			// A sector that was allocated but never written reads as zeros.
			clear(unsynced[d.random.IntN(len(unsynced)):])
		}
		i.content = append(i.content[:i.synced:i.synced], unsynced...)
		i.synced = len(i.content)
	}
	d.recordNames()
	d.durableNames = d.durableNames[1:]
}

func (d *fakeDisk) List() ([]string, error) {
	var out []string
	for n := range d.names {
		out = append(out, n)
	}
	sort.Strings(out)
	return out, nil
}

func (d *fakeDisk) Read(name string) ([]byte, error) {
	i := d.names[name]
	if i == nil {
		return nil, fs.ErrNotExist
	}
	return append([]byte(nil), i.content...), nil
}

func (d *fakeDisk) Create(name string) (File, error) {
	if err := d.step(); err != nil {
		return nil, err
	}
	i := &inode{}
	d.names[name] = i
	d.recordNames()
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
	i := d.names[name]
	i.content = i.content[:size]
	i.synced = int(size)
	return nil
}

func (d *fakeDisk) Rename(from, to string) error {
	if err := d.step(); err != nil {
		return err
	}
	d.names[to] = d.names[from]
	delete(d.names, from)
	d.recordNames()
	return nil
}

func (d *fakeDisk) Remove(name string) error {
	if err := d.step(); err != nil {
		return err
	}
	delete(d.names, name)
	d.recordNames()
	return nil
}

func (d *fakeDisk) Sync() error {
	if err := d.step(); err != nil {
		return err
	}
	d.recordNames()
	d.durableNames = d.durableNames[len(d.durableNames)-1:]
	return nil
}

type fakeFile struct {
	disk  *fakeDisk
	inode *inode
}

func (f *fakeFile) Write(b []byte) (int, error) {
	if err := f.disk.step(); err != nil {
		f.inode.content = append(f.inode.content, b[:f.disk.random.IntN(len(b)+1)]...)
		return 0, err
	}
	f.inode.content = append(f.inode.content, b...)
	return len(b), nil
}

func (f *fakeFile) Sync() error {
	if err := f.disk.step(); err != nil {
		return err
	}
	f.disk.syncs++
	f.inode.synced = len(f.inode.content)
	return nil
}

func (f *fakeFile) Close() error {
	return nil
}
