package layout

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// history are pages that tell of earlier versions, and keep the names of their time.
var history = map[string]bool{"results.md": true, "ROADMAP.md": true}

// quotedPath is a path of the repository between backquotes, with or without a file.
var quotedPath = regexp.MustCompile("`((?:internal|policy|node|cmd|deploy|rehearsals|docs)/[A-Za-z0-9_./-]*)`")

// After packages had moved, pages went on to name folders and files that were gone: who looked for them at night lost
// the thread.
func TestPagesNameOnlyPathsThatExist(t *testing.T) {
	pages, err := filepath.Glob("../../docs/*.md")
	if err != nil {
		t.Fatal(err)
	}
	pages = append(pages, "../../README.md", "../../DEVELOPERS.md")
	for _, page := range pages {
		if history[filepath.Base(page)] {
			continue
		}
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, match := range quotedPath.FindAllStringSubmatch(string(text), -1) {
			path := strings.TrimSuffix(match[1], "/")
			if _, err := os.Stat(filepath.Join("../..", path)); err != nil {
				t.Errorf("%s names %s, which does not exist", filepath.Base(page), match[1])
			}
		}
	}
}
