// Package boltfile opens bbolt files so that a crash at any time leaves a file that is whole or none, and so that a
// file which is not whole is an error, never a crash of the process.
//
// bbolt makes each transaction durable as a whole, but not the making of a file: one that was cut short while it was
// made ends the process with SIGBUS at each later start, an empty one is taken for a new one, and the file's name is
// not synced, so that a loss of power may take the file with all of its transactions. Open therefore makes a file under
// a temporary name, with its first transaction, gives it its name once it is durable, and syncs the folder.
package boltfile

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"go.etcd.io/bbolt"
	"golang.org/x/sys/unix"
)

const (
	folderMode = 0o700
	fileMode   = 0o600
	// lockTimeout is short: another process that uses the file is reported at once, not waited for.
	lockTimeout = time.Second
	// temporaryPattern names files that are being made. One that is left over by a crash is never read.
	temporaryPattern = ".new-*.bbolt"
)

// ErrMissing says that there is no file, or an empty one, and that none was to be made.
var ErrMissing = errors.New("there is no file")

// Settings are how a file is opened.
type Settings struct {
	Create bool // a file that is missing, or empty, is made
	// Initialize is the first transaction of a file that is made: it is never seen without it.
	Initialize func(*bbolt.Tx) error
	// Load is run in a transaction on every opening. It is where a file that is not whole may show.
	Load func(*bbolt.Tx) error
	// NoFreelistSync leaves the list of free pages out of each transaction. Opening reads the whole file then.
	NoFreelistSync bool
}

// Open opens a file, after its folder was made if it is missing. It returns ErrMissing, or an error of one line where
// the file is in use, cannot be read, or Load returned one.
func Open(path string, settings Settings) (*bbolt.DB, error) {
	if err := makeFolder(filepath.Dir(path)); err != nil {
		return nil, fmt.Errorf("the data folder cannot be made: %w", err)
	}
	if isMissing(path) {
		if !settings.Create {
			return nil, fmt.Errorf("%s: %w", path, ErrMissing)
		}
		if err := create(path, settings); err != nil {
			return nil, fmt.Errorf("%s cannot be made: %w", path, err)
		}
	}
	db, err := openExisting(path, settings)
	if err != nil {
		return nil, err
	}
	// Guards against a loss of power that takes the name of a file with all that was acknowledged since. Done on every
	// opening: the crash may have come between the file's name and this.
	if err := syncFolder(filepath.Dir(path)); err != nil {
		_ = db.Close()
		return nil, fmt.Errorf("%s: the folder cannot be synced: %w", path, err)
	}
	return db, nil
}

// isMissing says whether there is nothing in a file. An empty file is what a crash leaves of one whose content was
// never synced.
func isMissing(path string) bool {
	info, err := os.Stat(path)
	if err != nil {
		return errors.Is(err, fs.ErrNotExist)
	}
	return info.Size() == 0
}

// makeFolder makes a folder whose name is durable.
func makeFolder(dir string) error {
	if _, err := os.Stat(dir); err == nil {
		return nil
	}
	if err := os.MkdirAll(dir, folderMode); err != nil {
		return err
	}
	return syncFolder(filepath.Dir(dir))
}

func syncFolder(dir string) error {
	folder, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(folder.Sync(), folder.Close())
}

// create makes a file with its first transaction. Where another process was faster its file stays.
func create(path string, settings Settings) error {
	temporary, err := os.CreateTemp(filepath.Dir(path), temporaryPattern)
	if err != nil {
		return err
	}
	defer os.Remove(temporary.Name())
	if err := temporary.Close(); err != nil {
		return err
	}
	db, err := bbolt.Open(temporary.Name(), fileMode, settings.options())
	if err != nil {
		return err
	}
	if settings.Initialize != nil {
		err = db.Update(settings.Initialize)
	}
	if closeErr := db.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return err
	}
	return publish(temporary.Name(), path)
}

// publish gives a file its name, unless another process has made one meanwhile. The folder is locked from the look at
// what is there to the new name. Guards against two processes that both find no file: the slower one would remove the
// file of the other, which goes on writing to it.
func publish(temporary, path string) error {
	folder, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	defer folder.Close() // which ends the lock
	if err := unix.Flock(int(folder.Fd()), unix.LOCK_EX); err != nil {
		return fmt.Errorf("the folder cannot be locked: %w", err)
	}
	info, err := os.Stat(path)
	if err == nil && info.Size() > 0 {
		return nil
	}
	if err == nil { // an empty one, see isMissing
		if err := os.Remove(path); err != nil {
			return err
		}
	}
	return os.Link(temporary, path)
}

func (s *Settings) options() *bbolt.Options {
	return &bbolt.Options{
		Timeout:        lockTimeout,
		NoFreelistSync: s.NoFreelistSync,
		FreelistType:   bbolt.FreelistMapType,
	}
}

// openExisting opens a file that is there, after it was verified.
func openExisting(path string, settings Settings) (*bbolt.DB, error) {
	if err := verify(path, settings); err != nil {
		return nil, err
	}
	db, err := bbolt.Open(path, fileMode, settings.options())
	if err != nil {
		return nil, openError(path, err)
	}
	if settings.Load == nil {
		return db, nil
	}
	if err := db.Update(settings.Load); err != nil {
		_ = db.Close()
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return db, nil
}

func openError(path string, err error) error {
	return fmt.Errorf("%s cannot be opened (is another process at it?): %w", path, err)
}
