// Package strictly reads the TOML files that operators write. A field that nobody knows, or a value that can't be, is told in one
// line with the file's line.
package strictconfig

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// FieldError is what is wrong with a file, and where.
type FieldError struct {
	File   string
	Line   int // 0 where it is the whole that is wrong
	Reason string
}

func (f FieldError) Error() string {
	if f.Line == 0 {
		return f.File + ": " + f.Reason
	}
	return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Reason)
}

// FieldErrors are all that is wrong with a file, in its order. As an error they are one line: the first.
type FieldErrors []FieldError

func (f FieldErrors) Error() string { return f[0].Error() }

// Parse reads a file's text into a struct. The checker then takes what else is wanted of it.
func Parse(file string, text []byte, into any) (*Checker, error) {
	err := toml.NewDecoder(strings.NewReader(string(text))).DisallowUnknownFields().Decode(into)
	var unknown *toml.StrictMissingError
	var bad *toml.DecodeError
	switch {
	case errors.As(err, &unknown) && len(unknown.Errors) > 0:
		var all FieldErrors
		for _, u := range unknown.Errors {
			row, _ := u.Position()
			all = append(all, FieldError{file, row, "no such field: " + strings.Join(u.Key(), ".")})
		}
		return nil, all
	case errors.As(err, &bad):
		row, _ := bad.Position()
		return nil, FieldErrors{{file, row, strings.TrimPrefix(bad.Error(), "toml: ")}}
	case err != nil:
		return nil, FieldErrors{{file, 0, err.Error()}}
	}
	return &Checker{file: file, lines: linesOf(text)}, nil
}

// linesOf finds the line of each field by its path; a table of an array has its number in it, from 0.
func linesOf(text []byte) map[string]int {
	lines, p, prefix, tables := map[string]int{}, unstable.Parser{}, "", map[string]int{}
	p.Reset(text)
	for p.NextExpression() {
		e := p.Expression()
		var parts []string
		line := 0
		for k := e.Key(); k.Next(); {
			parts = append(parts, string(k.Node().Data))
			if line == 0 {
				line = p.Shape(k.Node().Raw).Start.Line
			}
		}
		path := prefix
		if e.Kind != unstable.KeyValue {
			path = ""
		}
		for i, part := range parts {
			if path += part; e.Kind == unstable.ArrayTable && i == len(parts)-1 {
				tables[path]++
			}
			if n := tables[path]; n > 0 { // the latest table of an array is the one that goes on
				path += "." + strconv.Itoa(n-1)
			}
			path += "."
		}
		if e.Kind != unstable.KeyValue {
			prefix = path
		}
		path = strings.TrimSuffix(path, ".")
		lines[path] = line
	}
	return lines
}

// Checker looks at what was read.
type Checker struct {
	file  string
	lines map[string]int
	wrong FieldErrors
}

// Require notes what is wrong at a path unless it holds. A field that is not written has the line of what it belongs to.
func (c *Checker) Require(holds bool, path, reason string, args ...any) {
	if holds {
		return
	}
	line, at := 0, path
	for line == 0 && at != "" {
		line = c.lines[at]
		at = at[:max(0, strings.LastIndexByte(at, '.'))]
	}
	c.wrong = append(c.wrong, FieldError{c.file, line, path + ": " + fmt.Sprintf(reason, args...)})
}

// InRange wants a number to be in a range.
func (c *Checker) InRange(x, least, most float64, path string) {
	c.Require(x >= least && x <= most, path, "%v is not from %v to %v", x, least, most)
}

// Err is all that is wrong, or nil.
func (c *Checker) Err() error {
	if len(c.wrong) == 0 {
		return nil
	}
	slices.SortStableFunc(c.wrong, func(a, b FieldError) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Reason, b.Reason))
	})
	return c.wrong
}
