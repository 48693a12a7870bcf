package hingefolder

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
)

// tree is the part of a file system in which folders are created.
type tree interface {
	Exists(path string) (bool, error)
	Create(path string) error
	// Sync makes the names in a folder durable.
	Sync(path string) error
}

// createFolder creates a folder and its missing parents. Once it returns, a power loss takes none of
// them, whatever processes were killed in it before: a folder is created only once its parent's own name is
// durable, so that the existence of a folder proves that of its parent.
func createFolder(t tree, path string) error {
	if err := createIn(t, path); err != nil {
		return err
	}
	return eris.Wrapf(t.Sync(filepath.Dir(path)), "sync the parent of folder %s", path)
}

func createIn(t tree, path string) error {
	there, err := t.Exists(path)
	if err != nil || there {
		return eris.Wrapf(err, "find folder %s", path)
	}
	parent := filepath.Dir(path)
	if parent != path {
		if err := createFolder(t, parent); err != nil {
			return err
		}
	}
	return eris.Wrapf(t.Create(path), "create folder %s", path)
}

type fileSystem struct{}

func (fileSystem) Exists(path string) (bool, error) {
	_, err := os.Stat(path)
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil
	}
	return err == nil, err
}

func (fileSystem) Create(path string) error {
	err := os.Mkdir(path, 0o700)
	if errors.Is(err, fs.ErrExist) {
		return nil
	}
	return err
}

// Sync passes over a folder that this user may not read: another user has created what is in it.
func (fileSystem) Sync(path string) error {
	err := folder(path).Sync()
	if errors.Is(err, fs.ErrPermission) {
		return nil
	}
	return err
}
