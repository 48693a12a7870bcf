package hingefolder

import (
	"io"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
)

// File is a file that is open for appending.
type File interface {
	io.Writer
	// Sync makes all written data durable across a power failure.
	Sync() error
	Close() error
}

// Directory is a folder of files. File names are relative to it and have no path.
type Directory interface {
	List() ([]string, error)
	Read(name string) ([]byte, error)
	// Create creates an empty file and truncates an existing one.
	Create(name string) (File, error)
	// OpenAppend opens an existing file for appending.
	OpenAppend(name string) (File, error)
	// Truncate shortens a file to a size in bytes and syncs it.
	Truncate(name string, size int64) error
	Rename(from, to string) error
	Remove(name string) error
	// Sync makes creations, renames and removals durable.
	Sync() error
}

// TemporarySuffix ends the names of files that a crash may have left behind.
const TemporarySuffix = ".new"

type folder string

// Open opens a folder of the file system and creates it if it doesn't exist.
func Open(path string) (Directory, error) {
	absolute, err := filepath.Abs(path)
	if err != nil {
		return nil, eris.Wrap(err, "find the working directory")
	}
	if err := createFolder(fileSystem{}, absolute); err != nil {
		return nil, err
	}
	return folder(path), nil
}

// At returns an existing folder.
func At(path string) Directory {
	return folder(path)
}

func (f folder) path(name string) string {
	return filepath.Join(string(f), name)
}

func (f folder) List() ([]string, error) {
	entries, err := os.ReadDir(string(f))
	if err != nil {
		return nil, err
	}
	out := make([]string, 0, len(entries))
	for _, e := range entries {
		out = append(out, e.Name())
	}
	return out, nil
}

func (f folder) Read(name string) ([]byte, error) {
	return os.ReadFile(f.path(name))
}

func (f folder) Create(name string) (File, error) {
	return os.OpenFile(f.path(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, 0o600)
}

func (f folder) OpenAppend(name string) (File, error) {
	return os.OpenFile(f.path(name), os.O_WRONLY|os.O_APPEND, 0)
}

func (f folder) Truncate(name string, size int64) error {
	file, err := os.OpenFile(f.path(name), os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	defer func() {
		_ = file.Close()
	}()
	if err := file.Truncate(size); err != nil {
		return err
	}
	return file.Sync()
}

func (f folder) Rename(from, to string) error {
	return os.Rename(f.path(from), f.path(to))
}

func (f folder) Remove(name string) error {
	return os.Remove(f.path(name))
}

func (f folder) Sync() error {
	d, err := os.Open(string(f))
	if err != nil {
		return err
	}
	defer func() {
		_ = d.Close()
	}()
	return d.Sync()
}

// WriteAtomically replaces a file. After a crash either the new or the previous content is
// there, and whole; once it returns, the new content is durable.
func WriteAtomically(d Directory, name string, content []byte) error {
	if err := writeSynced(d, name+TemporarySuffix, content); err != nil {
		return eris.Wrapf(err, "write %s", name)
	}
	if err := d.Rename(name+TemporarySuffix, name); err != nil {
		return eris.Wrapf(err, "rename %s", name)
	}
	return eris.Wrapf(d.Sync(), "sync folder after renaming %s", name)
}

func writeSynced(d Directory, name string, content []byte) error {
	file, err := d.Create(name)
	if err != nil {
		return err
	}
	if _, err := file.Write(content); err != nil {
		_ = file.Close()
		return err
	}
	if err := file.Sync(); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}
