package purger

import (
	"encoding/binary"
	"path/filepath"

	"go.etcd.io/bbolt"

	"dahliapin/internal/boltfile"
	"dahliapin/internal/control/purge"
	"dahliapin/internal/control/replicatedlog"
)

const (
	fileName      = "purges.bbolt"
	cursorVersion = 1  // version of the cursor format
	cursorBytes   = 33 // a version byte and four numbers of eight bytes, see encodeCursor
)

var bucketCursors = []byte("cursors") // keyed by the cache's name

// cursorStore stores cursors on disk.
type cursorStore struct{ db *bbolt.DB }

// openCursorStore opens the file in a directory and returns its cursors. Unreadable cursors are skipped, and their
// caches are treated as new ones.
func openCursorStore(dir string) (*cursorStore, map[purge.CacheID]purge.Cursor, error) {
	cursors := map[purge.CacheID]purge.Cursor{}
	load := func(tx *bbolt.Tx) error {
		bucket, err := tx.CreateBucketIfNotExists(bucketCursors)
		if err != nil {
			return err
		}
		return bucket.ForEach(func(id, encoded []byte) error {
			cursor, readable := decodeCursor(encoded)
			if readable && len(cursors) < maxCursors {
				cursors[purge.CacheID(id)] = cursor
			}
			return nil
		})
	}
	db, err := boltfile.Open(filepath.Join(dir, fileName), boltfile.Settings{Create: true, Load: load})
	if err != nil {
		return nil, nil, err
	}
	return &cursorStore{db: db}, cursors, nil
}

func encodeCursor(c purge.Cursor) []byte {
	encoded := make([]byte, 0, cursorBytes)
	encoded = append(encoded, cursorVersion)
	encoded = binary.BigEndian.AppendUint64(encoded, uint64(c.Log))
	encoded = binary.BigEndian.AppendUint64(encoded, uint64(c.Incarnation))
	encoded = binary.BigEndian.AppendUint64(encoded, uint64(c.Done))
	return binary.BigEndian.AppendUint64(encoded, uint64(c.SafeAfterRestart))
}

func decodeCursor(encoded []byte) (purge.Cursor, bool) {
	if len(encoded) != cursorBytes || encoded[0] != cursorVersion {
		return purge.Cursor{}, false
	}
	return purge.Cursor{
		Log:              replicatedlog.LogID(binary.BigEndian.Uint64(encoded[1:])),
		Incarnation:      purge.Incarnation(binary.BigEndian.Uint64(encoded[9:])),
		Done:             replicatedlog.Index(binary.BigEndian.Uint64(encoded[17:])),
		SafeAfterRestart: replicatedlog.Index(binary.BigEndian.Uint64(encoded[25:])),
	}, true
}

// put writes the changed cursors and deletes those of caches that are not in all. The changes are durable when it
// returns without an error.
func (s *cursorStore) put(changed map[purge.CacheID]purge.Cursor, all []purge.CacheID) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		bucket := tx.Bucket(bucketCursors)
		for id, cursor := range changed {
			if err := bucket.Put([]byte(id), encodeCursor(cursor)); err != nil {
				return err
			}
		}
		known := map[string]bool{}
		for _, id := range all {
			known[string(id)] = true
		}
		var forgotten [][]byte // a bucket must not be changed during ForEach
		_ = bucket.ForEach(func(id, _ []byte) error {
			if !known[string(id)] {
				forgotten = append(forgotten, append([]byte(nil), id...))
			}
			return nil
		})
		for _, id := range forgotten {
			if err := bucket.Delete(id); err != nil {
				return err
			}
		}
		return nil
	})
}

func (s *cursorStore) close() { _ = s.db.Close() }
