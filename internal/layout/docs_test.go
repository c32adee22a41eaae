package layout

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// historicalPages describe earlier versions and may name paths that no longer exist.
var historicalPages = map[string]bool{"results.md": true, "ROADMAP.md": true}

// quotedPath matches a repository path in backquotes, of a directory or a file.
var quotedPath = regexp.MustCompile("`((?:internal|policy|node|cmd|deploy|rehearsals|docs)/[A-Za-z0-9_./-]*)`")

// After packages had moved, pages still named removed directories and files, which misled readers who looked for them.
func TestDocsNameOnlyExistingPaths(t *testing.T) {
	pages, err := filepath.Glob("../../docs/*.md")
	if err != nil {
		t.Fatal(err)
	}
	pages = append(pages, "../../README.md", "../../DEVELOPERS.md")
	for _, page := range pages {
		if historicalPages[filepath.Base(page)] {
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
