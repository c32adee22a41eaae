package diskfault

import (
	"os"
	"testing"
)

// memoryFolder is a file system in memory, where a sync takes no time.
const memoryFolder = "/dev/shm"

// TempDir makes a folder for one test, in memory where the machine has such a file system: tests here open thousands of
// files, and a disk that others use would hold them up.
func TempDir(t *testing.T) string {
	t.Helper()
	dir, err := os.MkdirTemp(memoryFolder, "dahliapin-diskfault-")
	if err != nil {
		return t.TempDir()
	}
	t.Cleanup(func() { _ = os.RemoveAll(dir) })
	return dir
}
