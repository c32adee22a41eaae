package linefile

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"golang.org/x/sys/unix"

	"dahliapin/internal/emulator/diskfault"
)

const (
	fileName  = "records"
	testLines = 6
	forGood   = 1 << 30
)

// lineOf is a line that no part of it, and no two parts together, equals.
func lineOf(i int) string { return fmt.Sprintf("<%d%s>", i, strings.Repeat("-", 10+i)) }

// appendRun appends lines, and notes what the file said of each.
type appendRun struct {
	dir       string
	openError error
	failures  int    // times that lines began to be lost
	reported  uint64 // lines lost, as was said on recovery
	kept      []string
}

func (r *appendRun) run() {
	f, err := Open(filepath.Join(r.dir, fileName))
	if err != nil {
		r.openError = err
		return
	}
	defer f.Close()
	failing := false
	f.OnFailing = func(error) {
		failing = true
		r.failures++
	}
	f.OnRecovered = func(lost uint64) {
		failing = false
		r.reported += lost
	}
	for i := range testLines {
		f.Append([]byte(lineOf(i)))
		if !failing {
			r.kept = append(r.kept, lineOf(i))
		}
	}
}

// wholeLines are a file's lines that were given as they stand, and how many others it has.
func wholeLines(t *testing.T, dir string) (whole []string, others int) {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(dir, fileName))
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		t.Fatal(err)
	}
	for line := range strings.SplitSeq(strings.TrimSuffix(string(text), "\n"), "\n") {
		isOne := strings.HasPrefix(line, "<") && strings.HasSuffix(line, ">") && strings.Count(line, "<") == 1
		switch {
		case isOne:
			whole = append(whole, line)
		case line != "":
			others++
		}
	}
	return whole, others
}

// record records a run without faults.
func record(t *testing.T) *diskfault.Recording {
	t.Helper()
	run := appendRun{dir: diskfault.TempDir(t)}
	var recording diskfault.Recording
	if err := diskfault.Record(run.dir, &recording, run.run); err != nil || run.openError != nil {
		t.Fatal(err, run.openError)
	}
	return &recording
}

// The process is killed at each call, also with half a line written, and another one goes on with the file: it has all
// lines of both, and a part of one at most. Before, the first line of the second process stood behind that part, and
// neither could be read.
func TestLinesSurviveAKillAtEachCall(t *testing.T) {
	recording := record(t)
	images := 0
	for call := range recording.Calls {
		for _, image := range recording.KilledAt(call) {
			run := appendRun{dir: diskfault.TempDir(t)}
			if err := image.WriteTo(run.dir); err != nil {
				t.Fatal(err)
			}
			before, _ := wholeLines(t, run.dir)
			run.run()
			got, others := wholeLines(t, run.dir)
			want := append(before, run.kept...)
			if !slices.Equal(got, want) || len(run.kept) != testLines || others > 1 {
				t.Errorf("killed at call %d: %q and %d others, wanted %q; %v", call, got, others, want, run.openError)
			}
			images++
		}
	}
	t.Logf("records: %d calls; %d images after a kill", len(recording.Calls), images)
}

// Each call fails: once, a few times, or from then on; at once, or after a part of a line. The lines that were kept are
// there, each whole; the beginning of a loss is told once, and its end with the number of lines.
func TestLinesSurviveAFaultAtEachCall(t *testing.T) {
	recording := record(t)
	tried := 0
	for call := range recording.Calls {
		for _, failing := range []int{1, 3, forGood} {
			for _, written := range []int{0, len(recording.Calls[call].Data) / 2, len(recording.Calls[call].Data) - 1} {
				run := appendRun{dir: diskfault.TempDir(t)}
				calls := 0
				err := diskfault.Run(run.dir, func(diskfault.Call) diskfault.Action {
					calls++
					if calls <= call || calls > call+failing {
						return diskfault.Action{}
					}
					return diskfault.Action{Errno: unix.ENOSPC, Written: max(0, written)}
				}, run.run)
				if err != nil {
					t.Fatal(err)
				}
				checkAfterFault(t, fmt.Sprintf("call %d, %d times, after %d bytes", call, failing, written), &run)
				tried++
			}
		}
	}
	t.Logf("records: %d calls, %d faults", len(recording.Calls), tried)
}

// checkAfterFault checks what a run with a fault left and said.
func checkAfterFault(t *testing.T, what string, run *appendRun) {
	t.Helper()
	got, _ := wholeLines(t, run.dir)
	for _, line := range run.kept {
		if !slices.Contains(got, line) {
			t.Errorf("%s: %s is lost", what, line)
		}
	}
	if run.openError != nil {
		if strings.Contains(run.openError.Error(), "\n") {
			t.Errorf("%s: more than a line: %v", what, run.openError)
		}
		return
	}
	lost := testLines - len(run.kept)
	if run.failures > 1 || (lost > 0) != (run.failures == 1) {
		t.Errorf("%s: %d lost, told %d times", what, lost, run.failures)
	}
	if recovered := slices.Contains(run.kept, lineOf(testLines-1)); recovered && run.reported != uint64(lost) {
		t.Errorf("%s: %d lost, %d reported", what, lost, run.reported)
	}
}
