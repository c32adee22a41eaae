package realtime

import (
	"bytes"
	"os"
	"testing"
	"time"
)

// A line over 64 KiB used to end the reading of a process's records: nobody read the pipe any more, so that the process
// blocked.
func TestReadLinesPassesLongLines(t *testing.T) {
	in, out, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	long := bytes.Repeat([]byte("x"), 1<<20)
	written := make(chan error, 1)
	go func() {
		_, err := out.Write([]byte("first\n" + string(long) + "\nlast"))
		_ = out.Close()
		written <- err
	}()
	var lines [][]byte
	readLines(in, func(line []byte) { lines = append(lines, bytes.Clone(line)) })
	if len(lines) != 3 || string(lines[0]) != "first" || !bytes.Equal(lines[1], long) || string(lines[2]) != "last" {
		t.Errorf("read %d lines, want 3", len(lines))
	}
	select {
	case err := <-written:
		if err != nil {
			t.Errorf("the writer: %v", err)
		}
	case <-time.After(5 * time.Second):
		t.Error("the writer is blocked")
	}
}
