package strictconfig

import "fmt"

// FieldError says what is wrong with a file, and where.
type FieldError struct {
	File   string
	Line   int // from 1; 0 where the file as a whole is wrong
	Reason string
}

// Error returns the file, the line and the reason in one line.
func (e FieldError) Error() string {
	if e.Line == 0 {
		return e.File + ": " + e.Reason
	}
	return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Reason)
}

// FieldErrors are all that is wrong with a file, in the order of its lines. There is at least one.
type FieldErrors []FieldError

// Error returns the first error only, so that it is one line.
func (e FieldErrors) Error() string { return e[0].Error() }
