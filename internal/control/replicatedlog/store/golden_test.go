package store

import (
	"flag"
	"os"
	"testing"

	pb "go.etcd.io/raft/v3/raftpb"
)

const (
	recordedFolder = "testdata/folder"
	recordedData   = "fourfive"
)

var record = flag.Bool("record-folder", false,
	"rewrite the recorded data directory; use only for an intended change of its format")

// A data directory written by an earlier version must stay readable: term, vote, snapshot and entries.
func TestFolderOfEarlierVersionIsReadable(t *testing.T) {
	if *record {
		recordFolder(t)
	}
	dir := t.TempDir()
	recorded, err := os.ReadFile(recordedFolder + "/" + fileName)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(dir+"/"+fileName, recorded, 0o600); err != nil {
		t.Fatal(err)
	}
	s := openStore(t, dir, false)
	state, conf, err := s.InitialState()
	sameState := state.GetTerm() == 4 && state.GetVote() == 2 && state.GetCommit() == 5
	if err != nil || !sameState || len(conf.GetVoters()) != 3 || len(conf.GetLearners()) != 1 {
		t.Errorf("state %v, configuration %v, %v", state, conf, err)
	}
	if got := entryData(t, s); got != recordedData {
		t.Errorf("entries %q, want %q", got, recordedData)
	}
	snapshot, err := s.Snapshot()
	if err != nil || string(snapshot.GetData()) != "state" || snapshot.GetMetadata().GetIndex() != 3 {
		t.Errorf("snapshot %v, %v", snapshot, err)
	}
	mustSucceed(t, s.Save(hard(5, 1, 6), nil, nil))
}

func recordFolder(t *testing.T) {
	t.Helper()
	if err := os.RemoveAll(recordedFolder); err != nil {
		t.Fatal(err)
	}
	s, err := Open(recordedFolder, testOwner, []uint64{1, 2, 3}, []uint64{4}, true)
	if err != nil {
		t.Fatal(err)
	}
	mustSucceed(t, s.Save(hard(4, 2, 5), nil, nil))
	for i, text := range []string{"two", "three", "four", "five"} {
		mustSucceed(t, s.Save(nil, []*pb.Entry{entry(uint64(i+2), 4, text)}, nil))
	}
	mustSucceed(t, s.Compact(3, []byte("state")))
	mustSucceed(t, s.Close())
}
