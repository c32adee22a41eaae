package store

import (
	"bytes"
	"fmt"

	"go.etcd.io/bbolt"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// All servers of a new log start with the same empty snapshot, at this Raft index and term. The snapshot
// names the members, so that no Raft entry is needed to add them.
const (
	firstIndex = 1
	firstTerm  = 1
)

// ownerFormatVersion is written before the owner's id and label.
const ownerFormatVersion = 1

// contents is the Raft data read from the file.
type contents struct {
	hard     pb.HardState
	snapshot pb.Snapshot
	entries  []*pb.Entry // entries after the snapshot
}

// load copies the contents of the file into memory.
func (s *Store) load(c *contents) error {
	s.snapshotIndex = c.snapshot.GetMetadata().GetIndex()
	s.prevSnapshotIndex = s.snapshotIndex
	next := s.snapshotIndex
	for _, entry := range c.entries {
		next++
		if entry.GetIndex() != next {
			return fmt.Errorf("raft entry %d is missing after the snapshot at %d", next, s.snapshotIndex)
		}
		s.bytesSinceSnapshot += len(entry.GetData())
	}
	if c.hard.GetCommit() < s.snapshotIndex { // not written each time; a snapshot holds only committed entries
		c.hard.Commit = proto.Uint64(s.snapshotIndex)
	}
	if err := s.MemoryStorage.ApplySnapshot(&c.snapshot); err != nil {
		return err
	}
	if err := s.MemoryStorage.SetHardState(&c.hard); err != nil {
		return err
	}
	return s.MemoryStorage.Append(c.entries)
}

// ownerText returns the form of an owner in the file.
func ownerText(owner Owner) []byte {
	return fmt.Appendf(nil, "%d %d %s", ownerFormatVersion, owner.ID, owner.Label)
}

// isInitialized reports whether the file has an owner, which initialize writes in the same transaction as the rest.
func isInitialized(tx *bbolt.Tx) bool {
	meta := tx.Bucket(bucketMeta)
	return meta != nil && meta.Get(keyOwner) != nil
}

// checkOwner returns an error if an initialized file belongs to another owner.
func checkOwner(tx *bbolt.Tx, owner Owner) error {
	own := ownerText(owner)
	if found := tx.Bucket(bucketMeta).Get(keyOwner); !bytes.Equal(found, own) {
		return fmt.Errorf("file belongs to control server %q, this control server is %q", found, own)
	}
	return nil
}

// initialize writes the initial state of a new log into a file without an owner.
func initialize(tx *bbolt.Tx, owner Owner, members *pb.ConfState) error {
	meta, err := tx.CreateBucketIfNotExists(bucketMeta)
	if err != nil {
		return err
	}
	if _, err := tx.CreateBucketIfNotExists(bucketEntries); err != nil {
		return err
	}
	snapshot := &pb.Snapshot{Metadata: &pb.SnapshotMetadata{
		Index:     proto.Uint64(firstIndex),
		Term:      proto.Uint64(firstTerm),
		ConfState: members,
	}}
	if err := putMessage(meta, keySnapshot, snapshot); err != nil {
		return err
	}
	hard := &pb.HardState{Term: proto.Uint64(firstTerm), Commit: proto.Uint64(firstIndex)}
	if err := putMessage(meta, keyHardState, hard); err != nil {
		return err
	}
	return meta.Put(keyOwner, ownerText(owner))
}

// read reads the data that Raft needs after a restart.
func (c *contents) read(tx *bbolt.Tx) error {
	meta := tx.Bucket(bucketMeta)
	if err := proto.Unmarshal(meta.Get(keyHardState), &c.hard); err != nil {
		return err
	}
	if err := proto.Unmarshal(meta.Get(keySnapshot), &c.snapshot); err != nil {
		return err
	}
	return tx.Bucket(bucketEntries).ForEach(func(_, encoded []byte) error {
		entry := &pb.Entry{}
		if err := proto.Unmarshal(encoded, entry); err != nil {
			return err
		}
		if entry.GetIndex() > c.snapshot.GetMetadata().GetIndex() {
			c.entries = append(c.entries, entry)
		}
		return nil
	})
}
