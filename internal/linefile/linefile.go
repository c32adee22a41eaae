// Package linefile appends lines to a file of which a crash or a fault of the disk may cut one short, and keeps that
// one from spoiling the next: a line is there as it was written, or stands alone as a part.
package linefile

import (
	"fmt"
	"os"
)

const fileMode = 0o644

// File is a file to which lines are appended. It belongs to one goroutine.
type File struct {
	// OnFailing is called with the first error when lines begin to be lost; nil for nobody.
	OnFailing func(error)
	// OnRecovered is called with the number of lines that were lost when one is written again; nil for nobody.
	OnRecovered func(lost uint64)

	file      *os.File
	withinOne bool   // the file ends within a line
	lost      uint64 // lines, since one was written
}

// Open opens a file to append to, after it was made if it is missing.
func Open(path string) (*File, error) {
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, fileMode)
	if err != nil {
		return nil, err
	}
	withinOne, err := endsWithinLine(path)
	if err != nil {
		_ = file.Close()
		return nil, fmt.Errorf("its end cannot be read: %w", err)
	}
	return &File{file: file, withinOne: withinOne}, nil
}

// endsWithinLine says whether a file ends with a part of a line, as after a kill. A pipe or a device never does, and is
// not opened: a pipe with a reader of its own would take lines that nobody reads.
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

// Append appends a line, which is given without its end. One that cannot be written is lost and counted.
func (f *File) Append(line []byte) {
	text := make([]byte, 0, len(line)+2)
	if f.withinOne { // guards against two lines in one, of which neither could be read
		text = append(text, '\n')
	}
	text = append(append(text, line...), '\n')
	written, err := f.file.Write(text)
	if written > 0 {
		f.withinOne = text[written-1] != '\n'
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

// Close closes the file.
func (f *File) Close() error { return f.file.Close() }
