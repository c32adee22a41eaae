package strictconfig

import "fmt"

// FieldError is an error in a file, with its position.
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

// FieldErrors lists all errors in a file, in the order of its lines. It is never empty.
type FieldErrors []FieldError

// Error returns the text of the first error only, which keeps it to one line.
func (e FieldErrors) Error() string { return e[0].Error() }
