package store

import (
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"strings"
	"testing"

	pb "go.etcd.io/raft/v3/raftpb"
	"golang.org/x/sys/unix"
	"google.golang.org/protobuf/proto"

	"dahliapin/internal/emulator/diskfault"
)

// describe returns a text of everything in a store that must survive a restart.
func describe(s *Store) string {
	hard, members, _ := s.InitialState()
	snapshot, _ := s.Snapshot()
	var text strings.Builder
	fmt.Fprintf(&text, "term %d vote %d members %v", hard.GetTerm(), hard.GetVote(), members.GetVoters())
	fmt.Fprintf(&text, " snapshot %d %q", snapshot.GetMetadata().GetIndex(), snapshot.GetData())
	last, _ := s.LastIndex()
	for index := s.snapshotIndex + 1; index <= last; index++ {
		entries, err := s.Entries(index, index+1, 1<<20)
		if err != nil {
			return err.Error()
		}
		data := entries[0].GetData()
		fmt.Fprintf(&text, " %d:%d:%d:%08x", index, entries[0].GetTerm(), len(data), crc32.ChecksumIEEE(data))
	}
	return text.String()
}

// storeRun performs every kind of write of a control server on a store, and stops at the first error.
type storeRun struct {
	dir          string
	acknowledged func(state string) // called with the state after each successful call
}

func (r *storeRun) run() error {
	s, err := Open(r.dir, testOwner, []uint64{1, 2, 3}, []uint64{4}, true)
	if err != nil {
		return err
	}
	defer func() { _ = s.Close() }()
	r.acknowledged(describe(s))
	large := strings.Repeat("L", 150_000) // the file has to grow
	received := &pb.Snapshot{Data: []byte("received"), Metadata: &pb.SnapshotMetadata{
		Index: proto.Uint64(50), Term: proto.Uint64(9), ConfState: &pb.ConfState{Voters: []uint64{1, 2, 3}},
	}}
	steps := []func() error{
		func() error { return s.Save(hard(2, 3, 1), nil, nil) }, // a vote
		func() error {
			return s.Save(nil, []*pb.Entry{entry(2, 2, "a"), entry(3, 2, "b"), entry(4, 2, "c")}, nil)
		},
		func() error { return s.Save(hard(3, 1, 1), []*pb.Entry{entry(3, 3, "B")}, nil) }, // replaces b and c
		func() error { return s.Compact(3, []byte("state")) },
		func() error { return s.Save(nil, []*pb.Entry{entry(4, 3, large)}, nil) },
		func() error { return s.Save(hard(9, 0, 50), nil, received) },
		func() error { return s.Save(nil, []*pb.Entry{entry(51, 9, "d")}, nil) },
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
		r.acknowledged(describe(s))
	}
	return nil
}

// acknowledgement is a state that was acknowledged after a number of disk calls.
type acknowledgement struct {
	calls int
	state string
}

// recordRun records a run without faults.
func recordRun(t *testing.T) (*diskfault.Recording, []acknowledgement) {
	t.Helper()
	var recording diskfault.Recording
	var acknowledged []acknowledgement
	run := storeRun{dir: diskfault.TempDir(t), acknowledged: func(state string) {
		acknowledged = append(acknowledged, acknowledgement{calls: recording.Count(), state: state})
	}}
	var runErr error
	err := diskfault.Record(run.dir, &recording, func() { runErr = run.run() })
	if err != nil || runErr != nil {
		t.Fatal(err, runErr)
	}
	return &recording, acknowledged
}

// expectRecovered opens the store in a directory after a crash. It must have the last acknowledged state, or the
// complete next one. A store without an acknowledgement may also require that it is opened for a first start.
func expectRecovered(t *testing.T, what, dir string, last int, states []acknowledgement) {
	t.Helper()
	s, err := Open(dir, testOwner, []uint64{1, 2, 3}, []uint64{4}, false)
	if err != nil && last < 0 {
		if strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error of several lines: %v", what, err)
		}
		s, err = Open(dir, testOwner, []uint64{1, 2, 3}, []uint64{4}, true)
	}
	if err != nil {
		t.Errorf("%s: %v", what, err)
		return
	}
	defer s.Close()
	got := describe(s)
	if last >= 0 && got == states[last].state {
		return
	}
	if last+1 < len(states) && got == states[last+1].state {
		return
	}
	t.Errorf("%s: after %d acknowledgements the state is %s", what, last+1, got)
}

// Kills a control server, or cuts its power, at each call that changes the disk. Raft is safe only if acknowledged data
// survives: a server that lost its vote could vote twice.
func TestStoreSurvivesCrashAtEachCall(t *testing.T) {
	recording, acknowledged := recordRun(t)
	killed, powerLost := 0, 0
	for call := range recording.Calls {
		last := -1
		for last+1 < len(acknowledged) && acknowledged[last+1].calls <= call {
			last++
		}
		check := func(what string, image diskfault.Image) {
			dir := diskfault.TempDir(t)
			mustSucceed(t, image.WriteTo(dir))
			expectRecovered(t, fmt.Sprintf("%s at call %d", what, call), dir, last, acknowledged)
		}
		for _, image := range recording.KilledAt(call) {
			killed++
			check("killed", image)
		}
		for _, image := range recording.PowerLostAt(call) {
			powerLost++
			check("power lost", image)
		}
	}
	calls := len(recording.Calls)
	t.Logf("replicated log: %d calls; %d images after a kill, %d after a power loss", calls, killed, powerLost)
}

// Makes each call that changes the disk fail once, a few times or permanently; writes fail at once or halfway. A store
// that returned an error is not used any more, and is reopened when the disk works again.
func TestStoreSurvivesFaultAtEachCall(t *testing.T) {
	recording, acknowledged := recordRun(t)
	const permanently = 1 << 30
	tried := 0
	for call := range recording.Calls {
		for _, failing := range []int{1, 3, permanently} {
			for _, written := range recording.Calls[call].FailingSizes() {
				errno := []unix.Errno{unix.EIO, unix.ENOSPC}[tried%2]
				what := fmt.Sprintf("%v at call %d, %d times, after %d bytes", errno, call, failing, written)
				failStoreRun(t, what, acknowledged, func(n int) diskfault.Action {
					if n < call || n >= call+failing {
						return diskfault.Action{}
					}
					return diskfault.Action{Errno: errno, Written: written}
				})
				tried++
			}
		}
	}
	t.Logf("replicated log: %d calls, %d faults", len(recording.Calls), tried)
}

// failStoreRun runs with faults chosen by call number until the first error, and reopens the store without faults.
func failStoreRun(t *testing.T, what string, states []acknowledgement, action func(call int) diskfault.Action) {
	t.Helper()
	last := -1
	run := storeRun{dir: diskfault.TempDir(t), acknowledged: func(string) { last++ }}
	calls := 0
	decide := func(diskfault.Call) diskfault.Action {
		calls++
		return action(calls - 1)
	}
	var runErr error
	if err := diskfault.Run(run.dir, decide, func() { runErr = run.run() }); err != nil {
		t.Fatal(err)
	}
	if runErr != nil && strings.Contains(runErr.Error(), "\n") {
		t.Errorf("%s: error of several lines: %v", what, runErr)
	}
	if runErr == nil && last != len(states)-1 {
		t.Errorf("%s: no error, but only %d of %d states are acknowledged", what, last+1, len(states))
	}
	expectRecovered(t, what, run.dir, last, states)
}

// Truncates the file, as a crash does if the file system made its size or content durable too late. A voter that used
// the rest as its log could have lost its vote, and a voter with an empty file is not a new one.
func TestTruncatedFileIsRejectedWithAOneLineError(t *testing.T) {
	run := storeRun{dir: diskfault.TempDir(t)}
	want := ""
	run.acknowledged = func(state string) { want = state }
	mustSucceed(t, run.run())
	whole, err := os.ReadFile(filepath.Join(run.dir, fileName))
	mustSucceed(t, err)
	const step = 1024
	refused := 0
	for size := 0; size < len(whole); size += step {
		dir := diskfault.TempDir(t)
		mustSucceed(t, diskfault.Image{fileName: whole[:size]}.WriteTo(dir))
		s, err := Open(dir, testOwner, []uint64{1, 2, 3}, []uint64{4}, false)
		switch {
		case err == nil: // only free pages are missing
			if got := describe(s); got != want {
				t.Errorf("file cut to %d bytes has state %s", size, got)
			}
			mustSucceed(t, s.Close())
		case strings.Contains(err.Error(), "\n"):
			t.Errorf("file cut to %d bytes: error of several lines: %v", size, err)
		case size == 0 && !errors.Is(err, ErrEmpty):
			t.Errorf("empty file: %v", err)
		default:
			refused++
		}
	}
	if refused == 0 {
		t.Error("all truncated files were accepted")
	}
	t.Logf("replicated log: %d truncated files, %d rejected", (len(whole)+step-1)/step, refused)
}
