package diskfault

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"golang.org/x/sys/unix"
)

// replaceFile replaces a file atomically: it writes and syncs the content under a temporary name, renames the file and
// syncs the folder.
func replaceFile(dir, content string) error {
	path := filepath.Join(dir, "file")
	err := os.WriteFile(path+".new", []byte(content), 0o600)
	if err != nil {
		return err
	}
	f, err := os.OpenFile(path+".new", os.O_RDWR, 0)
	if err != nil {
		return err
	}
	if err := errors.Join(f.Sync(), f.Close(), os.Rename(path+".new", path)); err != nil {
		return err
	}
	folder, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(folder.Sync(), folder.Close())
}

// Run must report the calls of the watched folder in order and no others, and fail the call that the callback selects.
func TestRunReportsCallsInOrderAndFailsTheSelectedOne(t *testing.T) {
	dir := TempDir(t)
	var recording Recording
	var err error
	other := TempDir(t)
	runErr := Record(dir, &recording, func() {
		err = errors.Join(replaceFile(other, "x"), replaceFile(dir, "content"))
	})
	if runErr != nil || err != nil {
		t.Fatal(runErr, err)
	}
	want := []Operation{Create, Write, Sync, Rename, Sync}
	if len(recording.Calls) != len(want) {
		t.Fatalf("recorded %+v, want the operations %v", recording.Calls, want)
	}
	for i, operation := range want {
		if recording.Calls[i].Operation != operation {
			t.Errorf("call %d is %+v, want operation %v", i, recording.Calls[i], operation)
		}
		calls := 0
		failing := TempDir(t)
		runErr := Run(failing, func(Call) Action {
			calls++
			if calls == i+1 {
				return Action{Errno: unix.ENOSPC}
			}
			return Action{}
		}, func() { err = replaceFile(failing, "content") })
		if runErr != nil || !errors.Is(err, unix.ENOSPC) {
			t.Errorf("call %d failed with ENOSPC: Run returned %v, replaceFile returned %v", i, runErr, err)
		}
	}
}

// A power loss before the folder's sync may undo the rename, and one before the file's sync may leave the file empty. A
// kill during a write may leave half of the data.
func TestCrashMayUndoUnsyncedChanges(t *testing.T) {
	dir := TempDir(t)
	var recording Recording
	var err error
	if runErr := Record(dir, &recording, func() { err = replaceFile(dir, "content") }); runErr != nil || err != nil {
		t.Fatal(runErr, err)
	}
	has := func(images []Image, name, content string) bool {
		for _, image := range images {
			if got, is := image[name]; is && string(got) == content {
				return true
			}
		}
		return false
	}
	if images := recording.KilledAt(1); !has(images, "file.new", "") || !has(images, "file.new", "con") {
		t.Errorf("killed during the write: %v", images)
	}
	if images := recording.PowerLostAt(2); !has(images, "file.new", "") || !has(images, "file.new", "content") {
		t.Errorf("power lost before the file's sync: %v", images)
	}
	last := recording.PowerLostAt(4)
	if !has(last, "file", "content") || has(last, "file", "") || len(last[0]) != 0 {
		t.Errorf("power lost before the folder's sync: %v", last)
	}
}
