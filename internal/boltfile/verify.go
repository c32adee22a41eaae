package boltfile

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"
	"sync/atomic"

	"go.etcd.io/bbolt"
)

// errTruncated reports that a file is shorter than its last transaction recorded.
var errTruncated = errors.New("file is truncated")

// errPartialPage reports that a file ends within a page; the kernel maps the rest of that page as zeros.
var errPartialPage = errors.New("file ends within a page")

// verify reads the whole file and returns an error if a part of it is missing.
//
// bbolt maps the file into memory and trusts its content. In a truncated file it accesses pages that do not exist,
// which raises SIGBUS; when opened for writing it does so in a goroutine of its own, where no caller can recover.
// verify opens the file read-only first, when bbolt reads only what is requested, and turns a memory fault into an
// error. It does not detect changed bytes within a page, because bbolt has checksums for its two meta pages only.
func verify(path string, settings Settings) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("%s is damaged: %v", path, r)
		}
	}()
	options := settings.options()
	options.ReadOnly = true
	db, err := bbolt.Open(path, fileMode, options)
	if err != nil {
		return openError(path, err)
	}
	defer db.Close()
	info, err := os.Stat(path)
	if err != nil {
		return err
	}
	if info.Size()%int64(db.Info().PageSize) != 0 {
		return fmt.Errorf("%s is damaged: %w", path, errPartialPage)
	}
	return db.View(func(tx *bbolt.Tx) error {
		if tx.Size() > info.Size() {
			return fmt.Errorf("%s is damaged: %w", path, errTruncated)
		}
		return tx.ForEach(func(_ []byte, bucket *bbolt.Bucket) error { return readBucket(bucket) })
	})
}

// readBucket reads the first and last byte of each value, and thereby each page on which a value begins or ends.
func readBucket(bucket *bbolt.Bucket) error {
	checksum := byte(0)
	err := bucket.ForEach(func(key, value []byte) error {
		if value == nil {
			return readBucket(bucket.Bucket(key))
		}
		if n := len(value); n > 0 {
			checksum ^= value[0] ^ value[n-1]
		}
		return nil
	})
	readBytes.Store(uint32(checksum))
	return err
}

// readBytes keeps the compiler from optimizing the reads away.
var readBytes atomic.Uint32
