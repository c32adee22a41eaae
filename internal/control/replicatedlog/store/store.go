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
	bucketEntries = []byte("entries") // raft's entries, by index in eight bytes, big endian
	keyOwner      = []byte("owner")
	keyHardState  = []byte("hard")
	keySnapshot   = []byte("snapshot")
)

// ErrEmpty says that a voter's folder is empty and was not said to be new. A voter that forgot its vote could elect a
// second leader.
var ErrEmpty = errors.New("the data folder is empty: a voter that lost its disk is not started by itself; " +
	"--new says that it is the first start")

// Owner is the control server that a folder belongs to.
type Owner struct {
	ID    uint64
	Label string // of the fleet
}

// Store is one control server's log on disk and in memory.
type Store struct {
	*raft.MemoryStorage
	db *bbolt.DB
	// OnPersisted is called by Save with entries that are on disk now. The invariant checker of tests sets it; nil for
	// nobody.
	OnPersisted        func([]*pb.Entry)
	bytesSinceSnapshot int    // of entries since the last snapshot
	snapshotIndex      uint64 // raft's index of the last snapshot
	prevSnapshotIndex  uint64 // and of the one before it: memory keeps the entries from there on
}

// Open opens the store of a folder, which is made if it is missing. An empty one is initialized with these members if
// firstStart is set, else refused with ErrEmpty. It is an error if the folder belongs to another server, is in use, or
// cannot be read.
func Open(dir string, owner Owner, voters, learners []uint64, firstStart bool) (*Store, error) {
	s := &Store{MemoryStorage: raft.NewMemoryStorage()}
	first := func(tx *bbolt.Tx) error {
		return initialize(tx, owner, &pb.ConfState{Voters: voters, Learners: learners})
	}
	var kept contents
	load := func(tx *bbolt.Tx) error {
		if !isInitialized(tx) { // a crash cut its making short, by a version that did not make it as a whole
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
		return kept.read(tx)
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
	if err := s.load(&kept); err != nil {
		_ = db.Close()
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// Save makes what raft wants kept durable, in one transaction with one fsync; any of the three may be nil or empty. A
// change of the commit index alone is kept in memory only, see the package comment. After an error the store must not
// be used on.
func (s *Store) Save(hard *pb.HardState, entries []*pb.Entry, snapshot *pb.Snapshot) error {
	before, _, _ := s.InitialState() // of memory, never fails
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
			return fmt.Errorf("the log cannot be kept: %w", err)
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
	kept := tx.Bucket(bucketEntries)
	if err := putMessage(meta, keyHardState, hard); err != nil {
		return err
	}
	if snapshot != nil {
		if err := putMessage(meta, keySnapshot, snapshot); err != nil {
			return err
		}
		if err := deleteEntries(kept, 0, 0); err != nil { // they are in the snapshot, or were never committed
			return err
		}
	}
	for _, entry := range entries {
		if err := putMessage(kept, entryKey(entry.GetIndex()), entry); err != nil {
			return err
		}
	}
	if n := len(entries); n > 0 {
		// A new leader's entries replace those of an earlier one that were never committed. Entries of the earlier
		// one behind them would come back after a restart, as if the new leader had sent them.
		return deleteEntries(kept, entries[n-1].GetIndex()+1, 0)
	}
	return nil
}

// saveInMemory does the same for what raft reads.
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

// SizeSinceSnapshot is how many entries up to an index of raft's, and bytes of all entries, came after the last
// snapshot.
func (s *Store) SizeSinceSnapshot(applied uint64) (entries uint64, bytes int) {
	return applied - min(applied, s.snapshotIndex), s.bytesSinceSnapshot
}

// Compact makes a snapshot of the state at an index of raft's durable and deletes the entries up to there from the
// disk. Memory keeps those since the snapshot before it, so that a server which is a little behind gets entries
// rather than the whole snapshot.
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
		return fmt.Errorf("the log cannot be shortened: %w", err)
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

// deleteEntries deletes the entries from one index up to another; 0 for all that follow.
func deleteEntries(bucket *bbolt.Bucket, from, upTo uint64) error {
	var keys [][]byte // a cursor must not be used on after a delete
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
