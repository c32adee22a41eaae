package strictconfig

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Checker collects what is wrong with a file that has been decoded.
type Checker struct {
	file  string
	lines map[string]int // line of each field and table by its path
	wrong FieldErrors
}

// Parse decodes the text of a file into a struct, and returns a Checker for the caller's further requirements. An
// error is a FieldErrors.
func Parse(file string, text []byte, into any) (*Checker, error) {
	err := toml.NewDecoder(strings.NewReader(string(text))).DisallowUnknownFields().Decode(into)
	if err != nil {
		return nil, fieldErrors(file, err)
	}
	return &Checker{file: file, lines: lineNumbers(text)}, nil
}

// fieldErrors turns an error of the TOML library into one with the file and its line.
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
// fmt.Sprintf. A field that the file leaves out has the line of the table that it belongs to.
func (c *Checker) Require(holds bool, path, reason string, args ...any) {
	if holds {
		return
	}
	c.wrong = append(c.wrong, FieldError{
		File:   c.file,
		Line:   c.lineOf(path),
		Reason: path + ": " + fmt.Sprintf(reason, args...),
	})
}

// InRange requires the number at a path to be between two bounds, both included.
func (c *Checker) InRange(x, least, most float64, path string) {
	c.Require(x >= least && x <= most, path, "%v is not from %v to %v", x, least, most)
}

// Err returns what has been recorded as FieldErrors, or nil.
func (c *Checker) Err() error {
	if len(c.wrong) == 0 {
		return nil
	}
	slices.SortStableFunc(c.wrong, func(a, b FieldError) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Reason, b.Reason))
	})
	return c.wrong
}

// lineOf returns the line of the field or, failing that, of the nearest table around it; 0 for none.
func (c *Checker) lineOf(path string) int {
	for path != "" {
		if line := c.lines[path]; line != 0 {
			return line
		}
		path = path[:max(0, strings.LastIndexByte(path, '.'))]
	}
	return 0
}
