package diskfault

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"golang.org/x/sys/unix"
)

// replaceFile replaces a file in the usual way: the content is written and synced under another name, the file is
// renamed and its folder is synced.
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

// Run shows each call in order and fails it as decided; calls in other folders are not shown.
func TestRunShowsEachCallAndFailsItAsDecided(t *testing.T) {
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
		t.Fatalf("%+v", recording.Calls)
	}
	for i, operation := range want {
		if recording.Calls[i].Operation != operation {
			t.Errorf("call %d is %+v", i, recording.Calls[i])
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
			t.Errorf("call %d: %v, %v", i, runErr, err)
		}
	}
}

// A loss of power before the folder is synced may undo the rename, and one before the file is synced may leave it
// empty. A kill during a write leaves half of it.
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
		t.Errorf("killed: %v", images)
	}
	if images := recording.PowerLostAt(2); !has(images, "file.new", "") || !has(images, "file.new", "content") {
		t.Errorf("before the sync: %v", images)
	}
	last := recording.PowerLostAt(4)
	if !has(last, "file", "content") || has(last, "file", "") || len(last[0]) != 0 {
		t.Errorf("before the folder's sync: %v", last)
	}
}
