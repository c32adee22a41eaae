package boltfile

import (
	"os"
	"path/filepath"
	"testing"
)

// writeFile writes a file into a folder and returns its path.
func writeFile(t *testing.T, dir, name, text string) string {
	t.Helper()
	path := filepath.Join(dir, name)
	if err := os.WriteFile(path, []byte(text), fileMode); err != nil {
		t.Fatal(err)
	}
	return path
}

// Of two processes that find no file the slower one removed the file of the other, which went on writing to it.
func TestTheFileOfAnotherProcessStays(t *testing.T) {
	for there, want := range map[string]string{"another's": "another's", "": "ours"} {
		dir := t.TempDir()
		path := writeFile(t, dir, "log.bbolt", there)
		if err := publish(writeFile(t, dir, "temporary", "ours"), path); err != nil {
			t.Error(err)
		}
		if got, err := os.ReadFile(path); err != nil || string(got) != want {
			t.Errorf("%q is there: %q, %v", there, got, err)
		}
	}
}
