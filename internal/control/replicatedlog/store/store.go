// Package store keeps a control machine's part of the replicated log on disk (bbolt), and the same in memory for raft to read. What
// Save was given is on disk (fsync) when it returns without an error.
package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

const (
	fileName  = "log.bbolt"
	lockBy    = time.Second // for the file to be free: another process with the same folder is told at once, not waited for
	firstAt   = 1           // raft's index of the snapshot by which all machines begin alike
	firstTerm = 1
)

var (
	bucketMeta    = []byte("meta")
	bucketEntries = []byte("entries")
	keyOwner      = []byte("owner")
	keyHard       = []byte("hard")
	keySnapshot   = []byte("snapshot")
)

// ErrEmpty says that a voter's folder is empty and was not said to be new. A voter that forgot what it voted for could elect a second
// leader.
var ErrEmpty = errors.New("the data folder is empty: a voter that lost its disk is not started by itself; --new says that it is the first start")

// Owner is whose a folder is.
type Owner struct {
	ID    uint64
	Label string
}

// Store is one machine's disk. It is one goroutine's, but for Storage's own reading.
type Store struct {
	*raft.MemoryStorage
	db          *bbolt.DB
	OnPersisted func([]*pb.Entry) // told of entries once they are on disk; nil for nobody
	since       int               // bytes of entries since the last snapshot
	snapAt      uint64
	prevAt      uint64 // raft's index of the snapshot before
}

// Open opens a folder's store. In an empty one the log begins with such voters and learners; that is refused unless it may.
func Open(dir string, o Owner, voters, learners []uint64, mayBegin bool) (*Store, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("the data folder cannot be made: %w", err)
	}
	path := filepath.Join(dir, fileName)
	if _, err := os.Stat(path); errors.Is(err, os.ErrNotExist) && !mayBegin {
		return nil, fmt.Errorf("%s: %w", dir, ErrEmpty)
	}
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockBy, NoFreelistSync: true, FreelistType: bbolt.FreelistMapType})
	if err != nil {
		return nil, fmt.Errorf("%s cannot be opened (is another process at it?): %w", path, err)
	}
	s := &Store{MemoryStorage: raft.NewMemoryStorage(), db: db}
	if err := s.load(o, voters, learners); err != nil {
		_ = db.Close()
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

func at(i uint64) []byte { return binary.BigEndian.AppendUint64(nil, i) }

// load reads all into memory, after what is there on a first start was written.
func (s *Store) load(o Owner, voters, learners []uint64) error {
	owner := fmt.Sprintf("1 %d %s", o.ID, o.Label) // a version stands before it
	var hard pb.HardState
	var snap pb.Snapshot
	var entries []*pb.Entry
	err := s.db.Update(func(tx *bbolt.Tx) error {
		meta, err := tx.CreateBucketIfNotExists(bucketMeta)
		if err != nil {
			return err
		}
		kept, err := tx.CreateBucketIfNotExists(bucketEntries)
		if err != nil {
			return err
		}
		if was := meta.Get(keyOwner); was == nil {
			first := &pb.Snapshot{Metadata: &pb.SnapshotMetadata{Index: proto.Uint64(firstAt), Term: proto.Uint64(firstTerm),
				ConfState: &pb.ConfState{Voters: voters, Learners: learners}}}
			if err := put(meta, keySnapshot, first); err != nil {
				return err
			}
			if err := put(meta, keyHard, &pb.HardState{Term: proto.Uint64(firstTerm), Commit: proto.Uint64(firstAt)}); err != nil {
				return err
			}
			if err := meta.Put(keyOwner, []byte(owner)); err != nil {
				return err
			}
		} else if string(was) != owner {
			return fmt.Errorf("it is of %q, this machine is %q", was, owner)
		}
		if err := proto.Unmarshal(meta.Get(keyHard), &hard); err != nil {
			return err
		}
		if err := proto.Unmarshal(meta.Get(keySnapshot), &snap); err != nil {
			return err
		}
		return kept.ForEach(func(_, v []byte) error {
			e := &pb.Entry{}
			if err := proto.Unmarshal(v, e); err != nil {
				return err
			}
			if e.GetIndex() > snap.GetMetadata().GetIndex() {
				entries = append(entries, e)
				s.since += len(e.GetData())
			}
			return nil
		})
	})
	if err != nil {
		return err
	}
	next := snap.GetMetadata().GetIndex()
	for _, e := range entries {
		if next++; e.GetIndex() != next {
			return fmt.Errorf("entry %d is missing", next)
		}
	}
	s.snapAt = snap.GetMetadata().GetIndex()
	s.prevAt = s.snapAt
	if hard.GetCommit() < s.snapAt { // it is not kept each time: the leader tells it again
		hard.Commit = proto.Uint64(s.snapAt)
	}
	if err := s.MemoryStorage.ApplySnapshot(&snap); err != nil {
		return err
	}
	if err := s.MemoryStorage.SetHardState(&hard); err != nil {
		return err
	}
	return s.MemoryStorage.Append(entries)
}

func put(b *bbolt.Bucket, key []byte, m proto.Message) error {
	text, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	return b.Put(key, text)
}

// Save keeps what raft wants kept, in one transaction with one fsync. The commit index alone is not worth one.
func (s *Store) Save(hard *pb.HardState, entries []*pb.Entry, snap *pb.Snapshot) error {
	was, _, _ := s.InitialState() // of memory, never fails
	voted := hard != nil && (hard.GetTerm() != was.GetTerm() || hard.GetVote() != was.GetVote())
	fresh := snap != nil && snap.GetMetadata().GetIndex() > 0
	if voted || fresh || len(entries) > 0 {
		keep := hard
		if keep == nil {
			keep = was
		}
		err := s.db.Update(func(tx *bbolt.Tx) error {
			meta, kept := tx.Bucket(bucketMeta), tx.Bucket(bucketEntries)
			if err := put(meta, keyHard, keep); err != nil {
				return err
			}
			if fresh {
				if err := put(meta, keySnapshot, snap); err != nil {
					return err
				}
				if err := cut(kept, 0, 0); err != nil { // what there is was another leader's, or is in it
					return err
				}
			}
			for _, e := range entries {
				if err := put(kept, at(e.GetIndex()), e); err != nil {
					return err
				}
			}
			if n := len(entries); n > 0 { // those that a later leader's took the place of
				return cut(kept, entries[n-1].GetIndex()+1, 0)
			}
			return nil
		})
		if err != nil {
			return fmt.Errorf("the log cannot be kept: %w", err)
		}
	}
	if fresh {
		if err := s.MemoryStorage.ApplySnapshot(snap); err != nil {
			return err
		}
		s.snapAt, s.prevAt, s.since = snap.GetMetadata().GetIndex(), snap.GetMetadata().GetIndex(), 0
	}
	if hard != nil {
		if err := s.MemoryStorage.SetHardState(hard); err != nil {
			return err
		}
	}
	for _, e := range entries {
		s.since += len(e.GetData())
	}
	if err := s.MemoryStorage.Append(entries); err != nil {
		return err
	}
	if s.OnPersisted != nil && len(entries) > 0 {
		s.OnPersisted(entries)
	}
	return nil
}

// cut takes entries out from one index up to another, 0 for the last.
func cut(b *bbolt.Bucket, from, upTo uint64) error {
	c := b.Cursor()
	var gone [][]byte
	for k, _ := c.Seek(at(from)); k != nil && (upTo == 0 || binary.BigEndian.Uint64(k) <= upTo); k, _ = c.Next() {
		gone = append(gone, append([]byte(nil), k...))
	}
	for _, k := range gone {
		if err := b.Delete(k); err != nil {
			return err
		}
	}
	return nil
}

// SizeSinceSnapshot is how many entries of raft's up to one, and how many bytes, came after the last snapshot.
func (s *Store) SizeSinceSnapshot(applied uint64) (entries uint64, bytes int) {
	return applied - min(applied, s.snapAt), s.since
}

// Compact keeps a snapshot of the state at an index of raft's, and no entries before the snapshot that was before it: a machine that is
// a little behind gets entries, not all.
func (s *Store) Compact(applied uint64, state []byte) error {
	snap, err := s.MemoryStorage.CreateSnapshot(applied, nil, state)
	if err != nil {
		return err
	}
	hard, conf, err := s.InitialState()
	if err != nil {
		return err
	}
	snap.Metadata.ConfState = conf
	drop := s.prevAt
	err = s.db.Update(func(tx *bbolt.Tx) error {
		if err := put(tx.Bucket(bucketMeta), keySnapshot, snap); err != nil {
			return err
		}
		if err := put(tx.Bucket(bucketMeta), keyHard, hard); err != nil {
			return err
		}
		return cut(tx.Bucket(bucketEntries), 0, applied) // memory has them for others; a start needs them no more
	})
	if err != nil {
		return fmt.Errorf("the log cannot be shortened: %w", err)
	}
	s.prevAt, s.snapAt, s.since = s.snapAt, applied, 0
	if first, _ := s.FirstIndex(); drop >= first {
		return s.MemoryStorage.Compact(drop)
	}
	return nil
}

// Close ends it.
func (s *Store) Close() error { return s.db.Close() }
