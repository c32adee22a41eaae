package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"path/filepath"

	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"dahliapin/internal/boltfile"
)

const fileName = "log.bbolt"

// The file's buckets and keys.
var (
	bucketMeta    = []byte("meta")
	bucketEntries = []byte("entries") // Raft entries; the key is the index as eight bytes, big endian
	keyOwner      = []byte("owner")
	keyHardState  = []byte("hard")
	keySnapshot   = []byte("snapshot")
)

// ErrEmpty reports that the data directory is empty although this is not the first start. A voter that lost its vote
// could elect a second leader.
var ErrEmpty = errors.New("data directory is empty: a voter that lost its disk could vote twice; " +
	"use --new only on the first start")

// Owner identifies the control server that a data directory belongs to.
type Owner struct {
	ID    uint64
	Label string // label of the fleet
}

// Store is the Raft log of one control server, on disk and in memory.
type Store struct {
	*raft.MemoryStorage
	db *bbolt.DB
	// OnPersisted, if not nil, is called by Save with the entries that are now on disk. The invariant checker of
	// tests sets it.
	OnPersisted        func([]*pb.Entry)
	bytesSinceSnapshot int    // size of the entries since the last snapshot
	snapshotIndex      uint64 // Raft index of the last snapshot
	prevSnapshotIndex  uint64 // Raft index of the one before; the next Compact drops entries up to here from memory
}

// Open opens the store in a directory and creates the directory if it is missing. An empty directory is initialized
// with the given members if firstStart is set, and is otherwise rejected with ErrEmpty. Open returns an error if the
// directory belongs to another server, is in use, or cannot be read.
func Open(dir string, owner Owner, voters, learners []uint64, firstStart bool) (*Store, error) {
	s := &Store{MemoryStorage: raft.NewMemoryStorage()}
	first := func(tx *bbolt.Tx) error {
		return initialize(tx, owner, &pb.ConfState{Voters: voters, Learners: learners})
	}
	var loaded contents
	load := func(tx *bbolt.Tx) error {
		if !isInitialized(tx) { // left by a crash of an older version, which did not create it atomically
			if !firstStart {
				return ErrEmpty
			}
			if err := first(tx); err != nil {
				return err
			}
		}
		if err := checkOwner(tx, owner); err != nil {
			return err
		}
		return loaded.read(tx)
	}
	path := filepath.Join(dir, fileName)
	settings := boltfile.Settings{Create: firstStart, Initialize: first, Load: load, NoFreelistSync: true}
	db, err := boltfile.Open(path, settings)
	if errors.Is(err, boltfile.ErrMissing) {
		return nil, fmt.Errorf("%s: %w", dir, ErrEmpty)
	}
	if err != nil {
		return nil, err
	}
	s.db = db
	if err := s.load(&loaded); err != nil {
		_ = db.Close()
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// Save writes a hard state, entries and a snapshot of Raft to disk, in one transaction with one fsync; each may be nil
// or empty. A change of the commit index alone is recorded in memory only, see the package comment. After an error the
// store must not be used any more.
func (s *Store) Save(hard *pb.HardState, entries []*pb.Entry, snapshot *pb.Snapshot) error {
	before, _, _ := s.InitialState() // reads memory and never fails
	voted := hard != nil && (hard.GetTerm() != before.GetTerm() || hard.GetVote() != before.GetVote())
	received := snapshot != nil && snapshot.GetMetadata().GetIndex() > 0
	if !received {
		snapshot = nil
	}
	if voted || received || len(entries) > 0 {
		durable := hard
		if durable == nil {
			durable = before
		}
		err := s.db.Update(func(tx *bbolt.Tx) error { return writeReady(tx, durable, entries, snapshot) })
		if err != nil {
			return fmt.Errorf("write raft log: %w", err)
		}
	}
	if err := s.saveInMemory(hard, entries, snapshot); err != nil {
		return err
	}
	if s.OnPersisted != nil && len(entries) > 0 {
		s.OnPersisted(entries)
	}
	return nil
}

// writeReady writes a hard state, a snapshot unless it is nil, and entries.
func writeReady(tx *bbolt.Tx, hard *pb.HardState, entries []*pb.Entry, snapshot *pb.Snapshot) error {
	meta := tx.Bucket(bucketMeta)
	bucket := tx.Bucket(bucketEntries)
	if err := putMessage(meta, keyHardState, hard); err != nil {
		return err
	}
	if snapshot != nil {
		if err := putMessage(meta, keySnapshot, snapshot); err != nil {
			return err
		}
		if err := deleteEntries(bucket, 0, 0); err != nil { // the snapshot covers them, or they were never committed
			return err
		}
	}
	for _, entry := range entries {
		if err := putMessage(bucket, entryKey(entry.GetIndex()), entry); err != nil {
			return err
		}
	}
	if n := len(entries); n > 0 {
		// A new leader's entries replace uncommitted entries of an earlier leader. Later entries of the earlier leader
		// would otherwise reappear after a restart, as if the new leader had sent them.
		return deleteEntries(bucket, entries[n-1].GetIndex()+1, 0)
	}
	return nil
}

// saveInMemory applies the same changes to the copy in memory, which Raft reads.
func (s *Store) saveInMemory(hard *pb.HardState, entries []*pb.Entry, snapshot *pb.Snapshot) error {
	if snapshot != nil {
		if err := s.MemoryStorage.ApplySnapshot(snapshot); err != nil {
			return err
		}
		s.snapshotIndex = snapshot.GetMetadata().GetIndex()
		s.prevSnapshotIndex = s.snapshotIndex
		s.bytesSinceSnapshot = 0
	}
	if hard != nil {
		if err := s.MemoryStorage.SetHardState(hard); err != nil {
			return err
		}
	}
	for _, entry := range entries {
		s.bytesSinceSnapshot += len(entry.GetData())
	}
	return s.MemoryStorage.Append(entries)
}

// SizeSinceSnapshot returns how much the log has grown since the last snapshot, in two measures: the number of entries
// after the snapshot up to a Raft index, and the size in bytes of all entries saved since the snapshot, which does not
// depend on the index. Open counts the entries after the snapshot on disk as saved since.
func (s *Store) SizeSinceSnapshot(applied uint64) (entries uint64, bytes int) {
	return applied - min(applied, s.snapshotIndex), s.bytesSinceSnapshot
}

// Compact writes a snapshot of the state at a Raft index to disk, and deletes the entries up to that index from the
// disk. Memory keeps the entries that follow the snapshot before the previous one, so that a server which is slightly
// behind gets entries instead of the whole snapshot.
func (s *Store) Compact(applied uint64, state []byte) error {
	snapshot, err := s.MemoryStorage.CreateSnapshot(applied, nil, state)
	if err != nil {
		return err
	}
	hard, members, err := s.InitialState()
	if err != nil {
		return err
	}
	snapshot.Metadata.ConfState = members
	err = s.db.Update(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(bucketMeta)
		if err := putMessage(meta, keySnapshot, snapshot); err != nil {
			return err
		}
		if err := putMessage(meta, keyHardState, hard); err != nil {
			return err
		}
		return deleteEntries(tx.Bucket(bucketEntries), 0, applied)
	})
	if err != nil {
		return fmt.Errorf("compact raft log: %w", err)
	}
	unneeded := s.prevSnapshotIndex
	s.prevSnapshotIndex = s.snapshotIndex
	s.snapshotIndex = applied
	s.bytesSinceSnapshot = 0
	if first, _ := s.FirstIndex(); unneeded >= first {
		return s.MemoryStorage.Compact(unneeded)
	}
	return nil
}

// Close closes the file.
func (s *Store) Close() error { return s.db.Close() }

func entryKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

func putMessage(bucket *bbolt.Bucket, key []byte, message proto.Message) error {
	encoded, err := proto.Marshal(message)
	if err != nil {
		return err
	}
	return bucket.Put(key, encoded)
}

// deleteEntries deletes the entries from one index through another; an upTo of 0 deletes all that follow.
func deleteEntries(bucket *bbolt.Bucket, from, upTo uint64) error {
	var keys [][]byte // a cursor must not be used after a delete
	cursor := bucket.Cursor()
	for key, _ := cursor.Seek(entryKey(from)); key != nil; key, _ = cursor.Next() {
		if upTo != 0 && binary.BigEndian.Uint64(key) > upTo {
			break
		}
		keys = append(keys, append([]byte(nil), key...))
	}
	for _, key := range keys {
		if err := bucket.Delete(key); err != nil {
			return err
		}
	}
	return nil
}
