package diskfault

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

// Under go test, package os logs all file names and flushes the log during a filtered call, while it holds a lock. A
// supervisor that used package os waited for that lock, and the test hung even beyond its timeout. The names used here
// fill the log several times.
func TestSupervisorDoesNotWaitForTheTestLog(t *testing.T) {
	const names = 2000
	dir := TempDir(t)
	path := filepath.Join(dir, "file")
	if err := os.WriteFile(path, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	var failed error
	err := Run(dir, func(Call) Action { return Action{} }, func() {
		for i := range names {
			_, _ = os.Stat(filepath.Join(dir, fmt.Sprint("missing-", i)))
			if err := os.WriteFile(path, []byte("text"), 0o600); err != nil {
				failed = err
				return
			}
		}
	})
	if err != nil || failed != nil {
		t.Fatalf("Run returned %v, writes returned %v", err, failed)
	}
}
