// Package trace is what a run of the log of changes leaves for its judge: what was published and ordered, what was on which machine's
// disk, what each node applied and told. All clocks are the one that all processes of a machine share (CLOCK_BOOTTIME, ns).
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

const recordLen = 32 // bytes: a run writes millions

// DurableEntries is what a control machine has on disk since then, by marks of changes.
type DurableEntries struct {
	At    monotime.Instant `json:"at"`
	Marks []uint64         `json:"marks"`
}

// PublishedChange is a change from its publishing to its being acknowledged.
type PublishedChange struct {
	Mark   uint64           `json:"mark"`
	Index  uint64           `json:"index"` // 0: never acknowledged
	Config bool             `json:"config,omitempty"`
	Sent   monotime.Instant `json:"sent"`
	Acked  monotime.Instant `json:"acked"`
	Play   string           `json:"play,omitempty"` // which part of a run it belongs to
}

// NodeEventKind says what a node did.
type NodeEventKind uint8

// What a node does.
const (
	Began        NodeEventKind = 1 // at an index, under the configuration with a mark; 0 for none
	Applied      NodeEventKind = 2 // an entry
	Acknowledged NodeEventKind = 3 // that it has applied up to an index
	Refused      NodeEventKind = 4 // an entry: a configuration that could not be taken; it is applied nonetheless
)

// NodeEvent is one thing that a node did.
type NodeEvent struct {
	At    monotime.Instant
	Index uint64
	Mark  uint64
	Node  uint32
	Kind  NodeEventKind
}

// Write adds a record.
func Write(w io.Writer, r NodeEvent) error {
	var b [recordLen]byte
	binary.LittleEndian.PutUint64(b[0:], uint64(r.At))
	binary.LittleEndian.PutUint64(b[8:], r.Index)
	binary.LittleEndian.PutUint64(b[16:], r.Mark)
	binary.LittleEndian.PutUint32(b[24:], r.Node)
	b[28] = byte(r.Kind)
	_, err := w.Write(b[:])
	return err
}

// Read hands each record of a file to a function. A last one that is torn is passed over: its process was killed.
func Read(path string, each func(NodeEvent)) error {
	f, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("a trace cannot be read: %w", err)
	}
	defer f.Close()
	in := bufio.NewReaderSize(f, 1<<20)
	for {
		var b [recordLen]byte
		switch _, err := io.ReadFull(in, b[:]); {
		case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
			return nil
		case err != nil:
			return fmt.Errorf("a trace cannot be read: %w", err)
		}
		each(NodeEvent{At: monotime.Instant(binary.LittleEndian.Uint64(b[0:])), Index: binary.LittleEndian.Uint64(b[8:]), Mark: binary.LittleEndian.Uint64(b[16:]),
			Node: binary.LittleEndian.Uint32(b[24:]), Kind: NodeEventKind(b[28])})
	}
}

// ReadJSONLines hands each JSON line of a file to a function, but a torn last one.
func ReadJSONLines[T any](path string, each func(T)) error {
	f, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("a trace cannot be read: %w", err)
	}
	defer f.Close()
	for d := json.NewDecoder(bufio.NewReaderSize(f, 1<<20)); ; {
		var l T
		if err := d.Decode(&l); err != nil {
			if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
				return nil
			}
			return fmt.Errorf("a trace cannot be read: %w", err)
		}
		each(l)
	}
}
