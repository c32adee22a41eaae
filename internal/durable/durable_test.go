package durable

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"golang.org/x/sys/unix"

	"dahliapin/internal/emulator/diskfault"
)

const testMode = 0o700

// synced returns the directories within root that a function syncs, relative to root.
func synced(t *testing.T, root string, body func()) []string {
	t.Helper()
	var dirs []string
	err := diskfault.Run(root, func(call diskfault.Call) diskfault.Action {
		if call.Operation == diskfault.Sync {
			dir, _ := filepath.Rel(root, call.Path)
			dirs = append(dirs, dir)
		}
		return diskfault.Action{}
	}, body)
	if err != nil {
		t.Fatal(err)
	}
	return dirs
}

// The entry of each new directory is durable only once its parent is synced.
func TestMakeDirSyncsTheParentOfEachNewLevel(t *testing.T) {
	root := diskfault.TempDir(t)
	dir := filepath.Join(root, "a", "b", "c")
	for _, want := range [][]string{{".", "a", "a/b"}, nil} {
		var err error
		got := synced(t, root, func() { err = MakeDir(dir, testMode) })
		if !slices.Equal(got, want) || err != nil {
			t.Errorf("synced %q, want %q; %v", got, want, err)
		}
	}
	if info, err := os.Stat(dir); err != nil || info.Mode() != fs.ModeDir|testMode {
		t.Errorf("%v, %v", info, err)
	}
}

// A directory that cannot be created, or whose entry cannot be synced, is an error.
func TestMakeDirReportsFailures(t *testing.T) {
	root := diskfault.TempDir(t)
	file := filepath.Join(root, "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := MakeDir(filepath.Join(file, "a"), testMode); !errors.Is(err, unix.ENOTDIR) {
		t.Errorf("below a file: %v", err)
	}
	var err error
	fail := func(diskfault.Call) diskfault.Action { return diskfault.Action{Errno: unix.EIO} }
	if runErr := diskfault.Run(root, fail, func() { err = MakeDir(filepath.Join(root, "a"), testMode) }); runErr != nil {
		t.Fatal(runErr)
	}
	if !errors.Is(err, unix.EIO) {
		t.Errorf("entry that cannot be synced: %v", err)
	}
}
