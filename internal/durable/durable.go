// Package durable makes the entries of directories durable. A file or directory that was created, linked or renamed may
// have its former name, or none, after a power failure until the directory that holds it is synced.
package durable

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
)

// SyncDir makes the entries of a directory durable.
func SyncDir(dir string) error {
	opened, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(opened.Sync(), opened.Close())
}

// MakeDir creates a directory, with its parents where they are missing, and makes the entry of each new one durable. It
// does nothing if the directory exists.
func MakeDir(dir string, mode fs.FileMode) error {
	if _, err := os.Stat(dir); !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	parent := filepath.Dir(dir)
	if err := MakeDir(parent, mode); err != nil {
		return err
	}
	if err := os.Mkdir(dir, mode); err != nil && !errors.Is(err, fs.ErrExist) { // another process may have created it
		return err
	}
	return SyncDir(parent)
}
