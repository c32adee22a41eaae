package main

import (
	"path/filepath"
	"slices"
	"testing"

	"dahliapin/internal/emulator/diskfault"
)

// TestWrittenFilesSurvivePowerLoss cuts the power at each call that changes a file, while a file is written and then
// replaced. The file must be whole, or not be there, and once a write has returned it must be there.
func TestWrittenFilesSurvivePowerLoss(t *testing.T) {
	const name = "file"
	texts := []string{"first text\n", "second text\n"}
	for what, write := range map[string]func(path, text string, replace bool) error{
		"migrate": func(path, text string, replace bool) error {
			return writeAtomically(path, []byte(text), outputFileMode, replace)
		},
		"report": func(path, text string, _ bool) error { return writeComplete(path, []byte(text)) },
	} {
		dir := diskfault.TempDir(t)
		var recording diskfault.Recording
		var returnedAt []int // number of calls by then, of each write
		err := diskfault.Record(dir, &recording, func() {
			for i, text := range texts {
				if err := write(filepath.Join(dir, name), text, i > 0); err != nil {
					t.Errorf("%s: %v", what, err)
				}
				returnedAt = append(returnedAt, recording.Count())
			}
		})
		if err != nil {
			t.Fatal(err)
		}
		for call := range len(recording.Calls) + 1 {
			for _, image := range recording.PowerLostAt(call) {
				text, exists := image[name]
				first := returnedAt[0] > call
				isLast := returnedAt[1] <= call
				whole := slices.Contains(texts, string(text))
				if exists && !whole || !exists && !first || isLast && string(text) != texts[1] {
					t.Errorf("%s: power lost at call %d of %d: exists %t, %q", what, call, len(recording.Calls), exists, text)
				}
			}
		}
	}
}
