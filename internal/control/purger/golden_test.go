package purger

import (
	"flag"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"dahliapin/internal/control/purge"
)

const recordedCursors = "testdata/cursors"

var record = flag.Bool("record-cursors", false,
	"rewrite the recorded cursors; use only for an intended change of their format")

// Cursors written by an earlier version must stay readable, so that done purges are not repeated.
func TestCursorsOfEarlierVersionAreReadable(t *testing.T) {
	want := map[purge.CacheID]purge.Cursor{
		"c1": {Log: 7, Incarnation: 1_700_000_000_123, Done: 41, SafeAfterRestart: 12},
		"c2": {Log: 8, Incarnation: 0, Done: 1, SafeAfterRestart: 0},
	}
	if *record {
		if err := os.RemoveAll(recordedCursors); err != nil {
			t.Fatal(err)
		}
		d, _, err := openCursorStore(recordedCursors)
		if err != nil {
			t.Fatal(err)
		}
		if err := d.put(want, slices.Collect(maps.Keys(want))); err != nil {
			t.Fatal(err)
		}
		d.close()
	}
	dir := t.TempDir()
	recorded, err := os.ReadFile(filepath.Join(recordedCursors, fileName))
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(dir, fileName), recorded, 0o600); err != nil {
		t.Fatal(err)
	}
	d, got, err := openCursorStore(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer d.close()
	if !maps.Equal(got, want) {
		t.Errorf("read %v, want %v", got, want)
	}
}
