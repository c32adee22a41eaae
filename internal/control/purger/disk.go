package purger

import (
	"encoding/binary"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"go.etcd.io/bbolt"

	"dahliapin/internal/control/purge"
	"dahliapin/internal/control/replicatedlog"
)

const (
	fileName  = "purges.bbolt"
	lockBy    = time.Second // for the file to be free
	cursorLen = 33          // bytes: a version, then log, process and two indexes
	version   = 1
)

var bucketCursors = []byte("cursors")

// disk keeps cursors.
type disk struct{ db *bbolt.DB }

// openDisk reads what is kept. A cursor that can't be read is passed over: it is as if the cache were not known.
func openDisk(dir string) (*disk, map[purge.CacheID]purge.Cursor, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, nil, fmt.Errorf("the data folder cannot be made: %w", err)
	}
	path := filepath.Join(dir, fileName)
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockBy})
	if err != nil {
		return nil, nil, fmt.Errorf("%s cannot be opened (is another process at it?): %w", path, err)
	}
	known := map[purge.CacheID]purge.Cursor{}
	err = db.Update(func(tx *bbolt.Tx) error {
		b, err := tx.CreateBucketIfNotExists(bucketCursors)
		if err != nil {
			return err
		}
		return b.ForEach(func(id, v []byte) error {
			if len(v) == cursorLen && v[0] == version && len(known) < mostKept {
				known[purge.CacheID(id)] = purge.Cursor{Log: replicatedlog.LogID(binary.BigEndian.Uint64(v[1:])),
					Started: purge.Incarnation(binary.BigEndian.Uint64(v[9:])), Done: replicatedlog.Index(binary.BigEndian.Uint64(v[17:])),
					Sure: replicatedlog.Index(binary.BigEndian.Uint64(v[25:]))}
			}
			return nil
		})
	})
	if err != nil {
		_ = db.Close()
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	return &disk{db}, known, nil
}

// put writes cursors, and takes those out that are not known any more. They are on disk when it returns without an error.
func (d *disk) put(moved map[purge.CacheID]purge.Cursor, all []purge.CacheID) error {
	return d.db.Update(func(tx *bbolt.Tx) error {
		b := tx.Bucket(bucketCursors)
		for id, c := range moved {
			v := binary.BigEndian.AppendUint64([]byte{version}, uint64(c.Log))
			v = binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(v, uint64(c.Started)), uint64(c.Done))
			v = binary.BigEndian.AppendUint64(v, uint64(c.Sure))
			if err := b.Put([]byte(id), v); err != nil {
				return err
			}
		}
		known := map[string]bool{}
		for _, id := range all {
			known[string(id)] = true
		}
		var out [][]byte
		_ = b.ForEach(func(id, _ []byte) error {
			if !known[string(id)] {
				out = append(out, append([]byte(nil), id...))
			}
			return nil
		})
		for _, id := range out {
			if err := b.Delete(id); err != nil {
				return err
			}
		}
		return nil
	})
}

func (d *disk) close() { _ = d.db.Close() }
