// Package linefile appends lines to a file. A crash or a disk error may truncate a line; the next line then starts on a
// line of its own, so that each line in the file is either complete or a separate fragment.
package linefile

import (
	"fmt"
	"os"
)

const fileMode = 0o644

// File is a file to which lines are appended. It is not safe for concurrent use.
type File struct {
	// OnFailing, if not nil, is called with the error of the first line that is lost after a successful one.
	OnFailing func(error)
	// OnRecovered, if not nil, is called with the number of lost lines once a line is written again.
	OnRecovered func(lost uint64)

	file        *os.File
	endsMidLine bool   // the file ends with an incomplete line
	lost        uint64 // lines lost since the last successful write
}

// Open opens a file for appending, creating it if it is missing.
func Open(path string) (*File, error) {
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, fileMode)
	if err != nil {
		return nil, err
	}
	endsMidLine, err := endsWithinLine(path)
	if err != nil {
		_ = file.Close()
		return nil, fmt.Errorf("cannot read the end of the file: %w", err)
	}
	return &File{file: file, endsMidLine: endsMidLine}, nil
}

// endsWithinLine reports whether a file ends with an incomplete line, as after a kill. It returns false for pipes and
// devices without opening them: a second reader of a pipe would consume lines that nobody reads.
func endsWithinLine(path string) (bool, error) {
	info, err := os.Stat(path)
	if err != nil || !info.Mode().IsRegular() || info.Size() == 0 {
		return false, err
	}
	file, err := os.Open(path)
	if err != nil {
		return false, err
	}
	defer file.Close()
	var last [1]byte
	_, err = file.ReadAt(last[:], info.Size()-1)
	return last[0] != '\n', err
}

// Append appends a line, given without its newline. A line that cannot be written is dropped and counted.
func (f *File) Append(line []byte) {
	text := make([]byte, 0, len(line)+2)
	if f.endsMidLine { // otherwise the fragment and this line would merge, and neither could be parsed
		text = append(text, '\n')
	}
	text = append(append(text, line...), '\n')
	written, err := f.file.Write(text)
	if written > 0 {
		f.endsMidLine = text[written-1] != '\n'
	}
	if err != nil {
		f.lost++
		if f.lost == 1 && f.OnFailing != nil {
			f.OnFailing(err)
		}
		return
	}
	lost := f.lost
	f.lost = 0
	if lost > 0 && f.OnRecovered != nil {
		f.OnRecovered(lost)
	}
}

func (f *File) Close() error { return f.file.Close() }
