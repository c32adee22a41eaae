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
	fileName    = "records"
	testLines   = 6
	permanently = 1 << 30
)

// lineOf returns a test line that cannot be confused with a fragment or with a concatenation of fragments.
func lineOf(i int) string { return fmt.Sprintf("<%d%s>", i, strings.Repeat("-", 10+i)) }

// appendRun appends the test lines to a file and records the callbacks.
type appendRun struct {
	dir       string
	openError error
	failures  int      // calls of OnFailing
	reported  uint64   // sum of the counts passed to OnRecovered
	written   []string // lines appended without a reported loss
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
			r.written = append(r.written, lineOf(i))
		}
	}
}

// wholeLines returns the complete test lines in a file, and the number of other lines.
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

// record records the file system calls of a run without faults.
func record(t *testing.T) *diskfault.Recording {
	t.Helper()
	run := appendRun{dir: diskfault.TempDir(t)}
	var recording diskfault.Recording
	if err := diskfault.Record(run.dir, &recording, run.run); err != nil || run.openError != nil {
		t.Fatal(err, run.openError)
	}
	return &recording
}

// The process is killed at each call, also with a line half written, and another process continues the file: it must
// contain all lines of both and at most one fragment. Previously the second process appended its first line directly to
// the fragment, and neither could be parsed.
func TestLinesSurviveKillAtAnyCall(t *testing.T) {
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
			want := append(before, run.written...)
			if !slices.Equal(got, want) || len(run.written) != testLines || others > 1 {
				t.Errorf("killed at call %d: %q and %d others, want %q; %v", call, got, others, want, run.openError)
			}
			images++
		}
	}
	t.Logf("records: %d calls; %d images after a kill", len(recording.Calls), images)
}

// Each call fails once, three times or permanently, before or after part of a line is written. Lines that are reported
// as written must be complete in the file, OnFailing must be called once, and OnRecovered must get the number of lost
// lines.
func TestLinesSurviveFaultAtAnyCall(t *testing.T) {
	recording := record(t)
	tried := 0
	for call := range recording.Calls {
		for _, failing := range []int{1, 3, permanently} {
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

// checkAfterFault checks the file and the callbacks of a run with a fault.
func checkAfterFault(t *testing.T, what string, run *appendRun) {
	t.Helper()
	got, _ := wholeLines(t, run.dir)
	for _, line := range run.written {
		if !slices.Contains(got, line) {
			t.Errorf("%s: %s is lost", what, line)
		}
	}
	if run.openError != nil {
		if strings.Contains(run.openError.Error(), "\n") {
			t.Errorf("%s: error has more than one line: %v", what, run.openError)
		}
		return
	}
	lost := testLines - len(run.written)
	if run.failures > 1 || (lost > 0) != (run.failures == 1) {
		t.Errorf("%s: %d lines lost, OnFailing called %d times", what, lost, run.failures)
	}
	if recovered := slices.Contains(run.written, lineOf(testLines-1)); recovered && run.reported != uint64(lost) {
		t.Errorf("%s: %d lines lost, %d reported", what, lost, run.reported)
	}
}
