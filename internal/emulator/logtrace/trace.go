// Package logtrace defines the records of a scale run of the replicated log, which the run's checker evaluates: which
// changes were published and in which order, what was on the disk of each control server, and what each node applied
// and acknowledged. All instants are of the clock that the processes of a host share (CLOCK_BOOTTIME, in nanoseconds).
package logtrace

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"dahliapin/internal/monotime"
)

// recordLen is the length of a node event in bytes. The format is binary because a run writes millions of them.
const recordLen = 32

// DurableEntries lists, by their marks, the changes that a control server had on disk from an instant on.
type DurableEntries struct {
	At    monotime.Instant `json:"at"`
	Marks []uint64         `json:"marks"`
}

// PublishedChange is a change with the instants of its publication and its acknowledgement.
type PublishedChange struct {
	Mark   uint64           `json:"mark"`  // identifies the change by its content
	Index  uint64           `json:"index"` // 0 if it was never acknowledged
	Config bool             `json:"config,omitempty"`
	Sent   monotime.Instant `json:"sent"`
	Acked  monotime.Instant `json:"acked"`
	Phase  string           `json:"play,omitempty"` // the phase of the run in which it was published
}

// NodeEventKind is the kind of a NodeEvent.
type NodeEventKind uint8

// The kinds of node events.
const (
	Began        NodeEventKind = 1 // started at an index, with the configuration of a mark (0 for none)
	Applied      NodeEventKind = 2 // applied the entry at an index
	Acknowledged NodeEventKind = 3 // reported to its control server that it has applied the entries up to an index
	Refused      NodeEventKind = 4 // rejected an invalid configuration; the entry counts as applied nonetheless
)

// NodeEvent is an event at a node.
type NodeEvent struct {
	At    monotime.Instant
	Index uint64
	Mark  uint64
	Node  uint32
	Kind  NodeEventKind
}

// Write writes an event in the binary format of a trace.
func Write(w io.Writer, e NodeEvent) error {
	var b [recordLen]byte
	binary.LittleEndian.PutUint64(b[0:], uint64(e.At))
	binary.LittleEndian.PutUint64(b[8:], e.Index)
	binary.LittleEndian.PutUint64(b[16:], e.Mark)
	binary.LittleEndian.PutUint32(b[24:], e.Node)
	b[28] = byte(e.Kind)
	_, err := w.Write(b[:])
	return err
}

// Read calls a function with each event of a trace file. An incomplete last event is skipped, as the process that wrote
// it may have been killed.
func Read(path string, each func(NodeEvent)) error {
	f, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("cannot read trace: %w", err)
	}
	defer f.Close()
	in := bufio.NewReaderSize(f, 1<<20)
	for {
		var b [recordLen]byte
		switch _, err := io.ReadFull(in, b[:]); {
		case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
			return nil
		case err != nil:
			return fmt.Errorf("cannot read trace: %w", err)
		}
		each(NodeEvent{
			At:    monotime.Instant(binary.LittleEndian.Uint64(b[0:])),
			Index: binary.LittleEndian.Uint64(b[8:]),
			Mark:  binary.LittleEndian.Uint64(b[16:]),
			Node:  binary.LittleEndian.Uint32(b[24:]),
			Kind:  NodeEventKind(b[28]),
		})
	}
}

// ReadJSONLines calls a function with each JSON line of a file. An incomplete last line is skipped.
func ReadJSONLines[T any](path string, each func(T)) error {
	f, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("cannot read trace: %w", err)
	}
	defer f.Close()
	for d := json.NewDecoder(bufio.NewReaderSize(f, 1<<20)); ; {
		var line T
		if err := d.Decode(&line); err != nil {
			if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
				return nil
			}
			return fmt.Errorf("cannot decode trace %s: %w", path, err)
		}
		each(line)
	}
}
