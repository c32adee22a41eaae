package boltfile

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"
	"sync/atomic"

	"go.etcd.io/bbolt"
)

// errTruncated says that a file is shorter than its last transaction had it.
var errTruncated = errors.New("it has lost its end")

// errPartOfPage says that a file ends within a page: the system shows zeros for the rest of it.
var errPartOfPage = errors.New("it ends within a page")

// verify reads everything in a file, and returns an error where a part of it is missing.
//
// bbolt maps a file into memory and trusts it. Of one that has lost its end it reads pages that are not there, which is
// SIGBUS, and it does so in a goroutine of its own when it is opened to be written: nobody can recover from that. So
// the file is opened to be read before, when bbolt reads only what it is asked for, and is read here, where a fault
// becomes an error. What is not found: other bytes within a page, since bbolt has checksums of its two meta pages only.
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
		return fmt.Errorf("%s is damaged: %w", path, errPartOfPage)
	}
	return db.View(func(tx *bbolt.Tx) error {
		if tx.Size() > info.Size() {
			return fmt.Errorf("%s is damaged: %w", path, errTruncated)
		}
		return tx.ForEach(func(_ []byte, bucket *bbolt.Bucket) error { return readBucket(bucket) })
	})
}

// readBucket reads the first and the last byte of each value, and so every page at which one begins or ends.
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

// readBytes keeps the compiler from leaving the reads out.
var readBytes atomic.Uint32
