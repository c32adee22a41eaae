package store

import (
	"errors"
	"os"
	"strings"
	"testing"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

var testOwner = Owner{ID: 1, Label: "l"}

func openStore(t *testing.T, dir string, firstStart bool) *Store {
	t.Helper()
	s, err := Open(dir, testOwner, []uint64{1, 2, 3}, []uint64{4}, firstStart)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return s
}

func entry(index, term uint64, text string) *pb.Entry {
	return &pb.Entry{Index: proto.Uint64(index), Term: proto.Uint64(term), Data: []byte(text)}
}

func hard(term, vote, commit uint64) *pb.HardState {
	return &pb.HardState{Term: proto.Uint64(term), Vote: proto.Uint64(vote), Commit: proto.Uint64(commit)}
}

// entryData returns the concatenated data of the entries in memory.
func entryData(t *testing.T, s *Store) string {
	t.Helper()
	first, _ := s.FirstIndex()
	last, _ := s.LastIndex()
	if first > last {
		return ""
	}
	entries, err := s.Entries(first, last+1, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	var all strings.Builder
	for _, entry := range entries {
		all.Write(entry.GetData())
	}
	return all.String()
}

// mustSucceed fails the test if err is not nil.
func mustSucceed(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// Reopens the store after entries were replaced by a later leader's, after a snapshot of its own, and after a snapshot
// from the leader. It must have what was passed to Save and Compact, and nothing that was replaced.
func TestSavedStateSurvivesReopening(t *testing.T) {
	dir := t.TempDir()
	s := openStore(t, dir, true)
	reported := 0
	s.OnPersisted = func(entries []*pb.Entry) { reported += len(entries) }
	mustSucceed(t, s.Save(hard(2, 3, 1), []*pb.Entry{entry(2, 2, "a"), entry(3, 2, "b"), entry(4, 2, "c")}, nil))
	mustSucceed(t, s.Save(hard(3, 1, 1), []*pb.Entry{entry(3, 3, "B")}, nil)) // replaces b and c
	if got := entryData(t, s); got != "aB" || reported != 4 {
		t.Errorf("entries in memory %q, %d reported", got, reported)
	}
	mustSucceed(t, s.Close())

	s = openStore(t, dir, false)
	state, members, _ := s.InitialState()
	if got := entryData(t, s); got != "aB" || state.GetTerm() != 3 || state.GetVote() != 1 {
		t.Errorf("reopened: entries %q, hard state %v", got, state)
	}
	if len(members.GetVoters()) != 3 || len(members.GetLearners()) != 1 {
		t.Errorf("members %v", members)
	}
	mustSucceed(t, s.Compact(3, []byte("state")))
	mustSucceed(t, s.Save(nil, []*pb.Entry{entry(4, 3, "d")}, nil))
	mustSucceed(t, s.Close())

	s = openStore(t, dir, false)
	snapshot, _ := s.Snapshot()
	state, members, _ = s.InitialState()
	if got := entryData(t, s); got != "d" {
		t.Errorf("entries %q", got)
	}
	if string(snapshot.GetData()) != "state" || snapshot.GetMetadata().GetTerm() != 3 {
		t.Errorf("own snapshot %v", snapshot)
	}
	if state.GetCommit() < 3 || len(members.GetVoters()) != 3 {
		t.Errorf("hard state %v, members %v", state, members)
	}
	if n, bytes := s.SizeSinceSnapshot(4); n != 1 || bytes != 1 {
		t.Errorf("since the snapshot: %d entries, %d bytes", n, bytes)
	}
	received := &pb.Snapshot{
		Data:     []byte("later"),
		Metadata: &pb.SnapshotMetadata{Index: proto.Uint64(50), Term: proto.Uint64(9), ConfState: members},
	}
	mustSucceed(t, s.Save(hard(9, 0, 50), nil, received))
	mustSucceed(t, s.Close())

	s = openStore(t, dir, false)
	if snapshot, _ := s.Snapshot(); entryData(t, s) != "" || string(snapshot.GetData()) != "later" {
		t.Errorf("after the leader's snapshot: entries %q, snapshot %v", entryData(t, s), snapshot)
	}
}

// A server must not start with a directory that is empty, in use, corrupt, or of another server.
func TestForeignEmptyOrCorruptFolderIsRejected(t *testing.T) {
	dir := t.TempDir()
	if _, err := Open(dir, testOwner, []uint64{1}, nil, false); !errors.Is(err, ErrEmpty) {
		t.Errorf("voter with an empty directory: %v", err)
	}
	s := openStore(t, dir, true)
	_, err := Open(dir, testOwner, []uint64{1}, nil, false)
	if err == nil || !strings.Contains(err.Error(), "another process") {
		t.Errorf("second store in the same directory: %v", err)
	}
	mustSucceed(t, s.Close())
	for _, other := range []Owner{{ID: 2, Label: "l"}, {ID: 1, Label: "m"}} {
		_, err := Open(dir, other, []uint64{1}, nil, true)
		if err == nil || !strings.Contains(err.Error(), "this control server is") {
			t.Errorf("owner %v: %v", other, err)
		}
	}
	mustSucceed(t, os.WriteFile(dir+"/"+fileName, []byte("no"), 0o600))
	_, err = Open(dir, testOwner, []uint64{1}, nil, true)
	if err == nil || strings.Contains(err.Error(), "\n") {
		t.Errorf("corrupt file: %v", err)
	}
}
