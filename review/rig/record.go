//go:build review

// Package rig has the stand-ins that the cases of the review share: discovery, cache servers, the origin, clients and
// the platform that starts a node. All of them use loopback addresses and the real clock.
package rig

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record writes what was sent, answered and run to a file, with the time in seconds since the start.
type Record struct {
	mu    sync.Mutex
	out   *bufio.Writer
	file  *os.File
	start time.Time
	echo  bool
}

// OpenRecord opens a record at a path.
func OpenRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{out: bufio.NewWriterSize(file, 1<<16), file: file, start: time.Now()}, nil
}

// Since returns the time of the record, which begins at 0.
func (r *Record) Since() float64 { return time.Since(r.start).Seconds() }

// At converts a time to seconds of the record.
func (r *Record) At(t time.Time) float64 { return t.Sub(r.start).Seconds() }

// Line writes one line.
func (r *Record) Line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.4f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.out, format, args...)
	r.out.WriteByte('\n')
}

// Say writes one line to the record and to standard output.
func (r *Record) Say(format string, args ...any) {
	r.Line(format, args...)
	fmt.Printf("%9.4f ", r.Since())
	fmt.Printf(format+"\n", args...)
}

// Close writes out what is buffered.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.file.Close()
}
