// Package rehearsals holds the scripts that come with the program, so that they can be played by name.
package rehearsals

import (
	"embed"
	"io/fs"
	"strings"
)

//go:embed *.toml
var files embed.FS

// Names are the scripts there are.
func Names() (names []string) {
	paths, _ := fs.Glob(files, "*.toml")
	for _, p := range paths {
		names = append(names, strings.TrimSuffix(p, ".toml"))
	}
	return names
}

// Text is a script by its name.
func Text(name string) ([]byte, bool) {
	text, err := files.ReadFile(name + ".toml")
	return text, err == nil
}
