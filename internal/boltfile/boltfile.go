// Package boltfile opens bbolt files crash-safely: a crash at any time leaves either a complete file or none, and an
// incomplete file is reported as an error instead of crashing the process.
//
// bbolt makes transactions atomic and durable, but not the creation of a file. A file truncated during creation makes
// the process die of SIGBUS at every later start, an empty file is taken for a new one, and the directory entry is not
// synced, so that a power failure may lose the file with all of its transactions. Open therefore creates a file under a
// temporary name, commits its first transaction, links it to its final name and syncs the directory.
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

	"dahliapin/internal/durable"
)

const (
	dirMode  = 0o700
	fileMode = 0o600
	// lockTimeout is short so that a file locked by another process is reported instead of waited for.
	lockTimeout = time.Second
	// temporaryPattern names files under construction. A file left behind by a crash is never read.
	temporaryPattern = ".new-*.bbolt"
)

// ErrMissing reports that the file is missing or empty and that Settings.Create is not set.
var ErrMissing = errors.New("file does not exist or is empty")

// Settings configures how Open opens a file.
type Settings struct {
	Create bool // create the file if it is missing or empty
	// Initialize is the first transaction of a new file. It commits before the file gets its name.
	Initialize func(*bbolt.Tx) error
	// Load runs in a transaction at every opening. It may return an error for incomplete content.
	Load func(*bbolt.Tx) error
	// NoFreelistSync omits the freelist from each transaction, in return for a full scan of the file at opening.
	NoFreelistSync bool
}

// Open opens a file, creating its directory if needed. It returns an error that wraps ErrMissing if there is no file
// and none may be created, and a one-line error if the file is in use or cannot be read, or if Load fails.
func Open(path string, settings Settings) (*bbolt.DB, error) {
	if err := durable.MakeDir(filepath.Dir(path), dirMode); err != nil {
		return nil, fmt.Errorf("cannot create the data directory: %w", err)
	}
	if isMissing(path) {
		if !settings.Create {
			return nil, fmt.Errorf("%s: %w", path, ErrMissing)
		}
		if err := create(path, settings); err != nil {
			return nil, fmt.Errorf("cannot create %s: %w", path, err)
		}
	}
	db, err := openExisting(path, settings)
	if err != nil {
		return nil, err
	}
	// Without this sync a power failure may lose the directory entry, and with it every transaction acknowledged since.
	// It runs at every opening because an earlier process may have crashed between linking the file and the sync.
	if err := durable.SyncDir(filepath.Dir(path)); err != nil {
		_ = db.Close()
		return nil, fmt.Errorf("%s: cannot sync the directory: %w", path, err)
	}
	return db, nil
}

// isMissing reports whether a file is missing or empty. A crash leaves an empty file if the content was never synced.
func isMissing(path string) bool {
	info, err := os.Stat(path)
	if err != nil {
		return errors.Is(err, fs.ErrNotExist)
	}
	return info.Size() == 0
}

// create creates a file with its first transaction. A file that another process has created meanwhile is not replaced.
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
	return linkFile(temporary.Name(), path)
}

// linkFile links a temporary file to its final name, unless another process has created that file meanwhile. The
// directory is locked from the check for an existing file until the link is made. Otherwise, of two processes that both
// find no file, the slower one would remove the file that the other one already writes to.
func linkFile(temporary, path string) error {
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	defer dir.Close() // releases the lock
	if err := unix.Flock(int(dir.Fd()), unix.LOCK_EX); err != nil {
		return fmt.Errorf("cannot lock the directory: %w", err)
	}
	info, err := os.Stat(path)
	if err == nil && info.Size() > 0 {
		return nil
	}
	if err == nil { // an empty file, see isMissing
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

// openExisting verifies and opens an existing file.
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
	return fmt.Errorf("cannot open %s (is another process using it?): %w", path, err)
}
