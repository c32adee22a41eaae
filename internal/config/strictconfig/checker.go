package strictconfig

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Checker collects the errors of a decoded file.
type Checker struct {
	file  string
	lines map[string]int // line of each field and table, by path
	errs  FieldErrors
}

// Parse decodes the text of a file into a struct and returns a Checker for the caller's own requirements. Its errors
// are of the type FieldErrors.
func Parse(file string, text []byte, into any) (*Checker, error) {
	err := toml.NewDecoder(strings.NewReader(string(text))).DisallowUnknownFields().Decode(into)
	if err != nil {
		return nil, fieldErrors(file, err)
	}
	return &Checker{file: file, lines: lineNumbers(text)}, nil
}

// fieldErrors converts an error of the TOML library to FieldErrors with the file and the line.
func fieldErrors(file string, err error) FieldErrors {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) && len(unknown.Errors) > 0 {
		var all FieldErrors
		for _, field := range unknown.Errors {
			line, _ := field.Position()
			reason := "no such field: " + strings.Join(field.Key(), ".")
			all = append(all, FieldError{File: file, Line: line, Reason: reason})
		}
		return all
	}
	var invalid *toml.DecodeError
	if errors.As(err, &invalid) {
		line, _ := invalid.Position()
		reason := strings.TrimPrefix(invalid.Error(), "toml: ")
		return FieldErrors{{File: file, Line: line, Reason: reason}}
	}
	return FieldErrors{{File: file, Reason: err.Error()}}
}

// Require records an error for the field at a path unless the requirement holds. The reason is formatted as by
// fmt.Sprintf. A field that is missing from the file is reported at the line of its table.
func (c *Checker) Require(holds bool, path, reason string, args ...any) {
	if holds {
		return
	}
	c.errs = append(c.errs, FieldError{
		File:   c.file,
		Line:   c.lineOf(path),
		Reason: path + ": " + fmt.Sprintf(reason, args...),
	})
}

// InRange requires the number at a path to be between two bounds, inclusive.
func (c *Checker) InRange(x, least, most float64, path string) {
	c.Require(x >= least && x <= most, path, "%v is not from %v to %v", x, least, most)
}

// Err returns the recorded errors as FieldErrors, or nil if there are none.
func (c *Checker) Err() error {
	if len(c.errs) == 0 {
		return nil
	}
	slices.SortStableFunc(c.errs, func(a, b FieldError) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Reason, b.Reason))
	})
	return c.errs
}

// lineOf returns the line of a field or, if the file lacks it, of the nearest enclosing table; 0 if there is neither.
func (c *Checker) lineOf(path string) int {
	for path != "" {
		if line := c.lines[path]; line != 0 {
			return line
		}
		path = path[:max(0, strings.LastIndexByte(path, '.'))]
	}
	return 0
}
