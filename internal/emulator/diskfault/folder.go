package diskfault

import (
	"os"
	"testing"
)

// tmpfsPath is the mount point of a tmpfs, where a sync takes no time.
const tmpfsPath = "/dev/shm"

// TempDir creates a folder that is removed after the test, on a tmpfs if there is one. Tests with this package open
// thousands of files, which is slow on a disk that other processes use.
func TempDir(t *testing.T) string {
	t.Helper()
	dir, err := os.MkdirTemp(tmpfsPath, "dahliapin-diskfault-")
	if err != nil {
		return t.TempDir()
	}
	t.Cleanup(func() { _ = os.RemoveAll(dir) })
	return dir
}
