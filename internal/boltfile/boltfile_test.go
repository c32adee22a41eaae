package boltfile

import (
	"os"
	"path/filepath"
	"testing"

	"dahliapin/internal/emulator/diskfault"
)

// writeFile writes a file into dir and returns its path.
func writeFile(t *testing.T, dir, name, text string) string {
	t.Helper()
	path := filepath.Join(dir, name)
	if err := os.WriteFile(path, []byte(text), fileMode); err != nil {
		t.Fatal(err)
	}
	return path
}

// When two processes both found no file, the slower one removed the file that the other one was already writing to.
func TestLinkFileKeepsFileOfAnotherProcess(t *testing.T) {
	for existing, want := range map[string]string{"another's": "another's", "": "ours"} {
		dir := t.TempDir()
		path := writeFile(t, dir, "log.bbolt", existing)
		if err := linkFile(writeFile(t, dir, "temporary", "ours"), path); err != nil {
			t.Error(err)
		}
		if got, err := os.ReadFile(path); err != nil || string(got) != want {
			t.Errorf("existing file %q: read %q, want %q; %v", existing, got, want, err)
		}
	}
}

// A file in a directory of several new levels is lost with the power if the entry of any of them is not synced.
func TestOpenSyncsEachNewLevelOfItsDirectory(t *testing.T) {
	root := diskfault.TempDir(t)
	synced := map[string]bool{}
	err := diskfault.Run(root, func(call diskfault.Call) diskfault.Action {
		if call.Operation == diskfault.Sync {
			synced[call.Path] = true
		}
		return diskfault.Action{}
	}, func() {
		db, err := Open(filepath.Join(root, "a", "b", "log.bbolt"), Settings{Create: true})
		if err != nil {
			t.Error(err)
			return
		}
		_ = db.Close()
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, dir := range []string{root, filepath.Join(root, "a"), filepath.Join(root, "a", "b")} {
		if !synced[dir] {
			t.Errorf("%s is not synced", dir)
		}
	}
}
