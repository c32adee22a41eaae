package store

import (
	"errors"
	"os"
	"strings"
	"testing"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

var me = Owner{ID: 1, Label: "l"}

func opened(t *testing.T, dir string, mayBegin bool) *Store {
	t.Helper()
	s, err := Open(dir, me, []uint64{1, 2, 3}, []uint64{4}, mayBegin)
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

func texts(t *testing.T, s *Store) (all string) {
	t.Helper()
	first, _ := s.FirstIndex()
	last, _ := s.LastIndex()
	if first > last {
		return ""
	}
	es, err := s.Entries(first, last+1, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range es {
		all += string(e.GetData())
	}
	return all
}

func saved(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func TestWhatWasSavedIsThereAgain(t *testing.T) {
	dir := t.TempDir()
	s := opened(t, dir, true)
	told := 0
	s.OnPersisted = func(es []*pb.Entry) { told += len(es) }
	saved(t, s.Save(hard(2, 3, 1), []*pb.Entry{entry(2, 2, "a"), entry(3, 2, "b"), entry(4, 2, "c")}, nil))
	saved(t, s.Save(hard(3, 1, 1), []*pb.Entry{entry(3, 3, "B")}, nil)) // a later leader's take the place of b and c
	if got := texts(t, s); got != "aB" || told != 4 {
		t.Errorf("in memory %q, told of %d", got, told)
	}
	saved(t, s.Close())
	s = opened(t, dir, false)
	h, conf, _ := s.InitialState()
	if got := texts(t, s); got != "aB" || h.GetTerm() != 3 || h.GetVote() != 1 || len(conf.GetVoters()) != 3 || len(conf.GetLearners()) != 1 {
		t.Errorf("%q, %v, %v", got, h, conf)
	}
	saved(t, s.Compact(3, []byte("state")))
	saved(t, s.Save(nil, []*pb.Entry{entry(4, 3, "d")}, nil))
	saved(t, s.Close())
	s = opened(t, dir, false)
	snap, _ := s.Snapshot()
	h, conf, _ = s.InitialState()
	if got := texts(t, s); got != "d" || string(snap.GetData()) != "state" || snap.GetMetadata().GetTerm() != 3 || h.GetCommit() < 3 || len(conf.GetVoters()) != 3 {
		t.Errorf("%q, %v, %v, %v", got, snap, h, conf)
	}
	if n, bytes := s.SizeSinceSnapshot(4); n != 1 || bytes != 1 {
		t.Errorf("since the snapshot: %d, %d bytes", n, bytes)
	}
	// another's snapshot takes the place of all
	saved(t, s.Save(hard(9, 0, 50), nil, &pb.Snapshot{Data: []byte("later"), Metadata: &pb.SnapshotMetadata{Index: proto.Uint64(50), Term: proto.Uint64(9), ConfState: conf}}))
	saved(t, s.Close())
	s = opened(t, dir, false)
	if snap, _ := s.Snapshot(); texts(t, s) != "" || string(snap.GetData()) != "later" {
		t.Errorf("%q, %v", texts(t, s), snap)
	}
}

func TestAFolderThatIsNotThisMachinesIsRefused(t *testing.T) {
	dir := t.TempDir()
	if _, err := Open(dir, me, []uint64{1}, nil, false); !errors.Is(err, ErrEmpty) {
		t.Errorf("a voter without its disk: %v", err)
	}
	s := opened(t, dir, true)
	if _, err := Open(dir, me, []uint64{1}, nil, false); err == nil || !strings.Contains(err.Error(), "another process") {
		t.Errorf("two at one folder: %v", err)
	}
	saved(t, s.Close())
	for _, other := range []Owner{{2, "l"}, {1, "m"}} {
		if _, err := Open(dir, other, []uint64{1}, nil, true); err == nil || !strings.Contains(err.Error(), "this machine is") {
			t.Errorf("%v: %v", other, err)
		}
	}
	saved(t, os.WriteFile(dir+"/"+fileName, []byte("no"), 0o600))
	if _, err := Open(dir, me, []uint64{1}, nil, true); err == nil || strings.Contains(err.Error(), "\n") {
		t.Errorf("a torn file: %v", err)
	}
}
