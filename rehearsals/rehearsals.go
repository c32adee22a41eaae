// Package rehearsals embeds the rehearsal scripts that are shipped with the program and can be run by name.
package rehearsals

import (
	"embed"
	"io/fs"
	"strings"
)

//go:embed *.toml
var files embed.FS

// Names returns the names of the embedded scripts.
func Names() (names []string) {
	paths, _ := fs.Glob(files, "*.toml")
	for _, p := range paths {
		names = append(names, strings.TrimSuffix(p, ".toml"))
	}
	return names
}

// Text returns the text of the script with the given name, and whether there is one.
func Text(name string) ([]byte, bool) {
	text, err := files.ReadFile(name + ".toml")
	return text, err == nil
}
