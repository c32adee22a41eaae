// Package accord carries the fleet's log of changes: Open runs a control machine (raft between control machines over streams, delivery
// to the nodes that follow), Follow is a node's side, Publish and Changes are an operator's. All of it runs on goroutines of its own.
package controlserver

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"

	purger "dahliapin/internal/control/purger"
	"dahliapin/internal/control/replicatedlog"
)

const (
	longestFrame  = 4 << 20         // bytes of a frame between a control machine and a node, or who publishes
	longestByPeer = 128 << 20       // bytes of a frame between control machines: a snapshot has all that is kept
	firstBytes    = 16 << 10        // of a long frame that are made room for before they come
	greetBy       = 3 * time.Second // for a stream to say what it is
	dialBy        = 1500 * time.Millisecond
	writeBy       = 5 * time.Second  // for a frame to be taken
	longWriteBy   = 30 * time.Second // for a frame with a snapshot
	streamBuffer  = 4 << 10          // bytes read or written at once; longer ones go past it
)

// What stands before each stream: two bytes that are nobody else's, the version of this way of speaking, the kind, and the fleet. A
// stream of another fleet's is dropped before anything of it is read.
const (
	magic0, magic1 = 0xda, 0x18
	speaks         = 1
	prefaceLen     = 8
)

// The kinds of streams.
const (
	kindPeer   = 'r' // raft's messages, from one control machine to another
	kindNode   = 'f' // a node that follows
	kindCaller = 'o' // who publishes or asks
)

func preface(kind byte, label string) []byte {
	return binary.BigEndian.AppendUint32([]byte{magic0, magic1, speaks, kind}, crc32.ChecksumIEEE([]byte(label)))
}

// The kinds of words.
const (
	wordHello   = 1  // from a node: who it is, up to where it has applied; a peer: its id
	wordBegin   = 2  // to a node: where it begins, and with which configuration
	wordEntries = 3  // to a node: entries that follow; none for a sign of life
	wordApplied = 4  // from a node: up to where it has applied
	wordPublish = 5  // proposals
	wordOrdered = 6  // their indexes
	wordRefused = 7  // and why not
	wordAsk     = 8  // for the nodes' table
	wordTable   = 9  // the table; between control machines, of the sender's own nodes
	wordRaft    = 10 // raft's messages
)

const wordVersion = 1

// word is a message on a stream: CBOR, numbered fields, the version first, unknown fields passed over.
type word struct {
	Version  uint32            `cbor:"0,keyasint"`
	Kind     uint8             `cbor:"1,keyasint"`
	Index    uint64            `cbor:"2,keyasint,omitempty"` // applied, or begun at; a peer's id
	Head     uint64            `cbor:"3,keyasint,omitempty"` // the newest entry that the machine has
	Led      bool              `cbor:"4,keyasint,omitempty"` // the machine hears a leader
	Entries  []cbor.RawMessage `cbor:"5,keyasint,omitempty"`
	Base     cbor.RawMessage   `cbor:"6,keyasint,omitempty"` // the configuration to begin with
	Rows     []row             `cbor:"7,keyasint,omitempty"`
	Batch    []byte            `cbor:"8,keyasint,omitempty"` // proposals
	Indexes  []uint64          `cbor:"9,keyasint,omitempty"`
	Reason   string            `cbor:"10,keyasint,omitempty"`
	Raft     [][]byte          `cbor:"11,keyasint,omitempty"`
	Fresh    bool              `cbor:"12,keyasint,omitempty"` // the node has applied nothing
	Machines []machineRow      `cbor:"13,keyasint,omitempty"`
	Log      uint64            `cbor:"14,keyasint,omitempty"` // which log: of a beginning, and of a node's hello
	Caches   []purger.Progress `cbor:"15,keyasint,omitempty"` // how machines stand with caches
}

// row is how a node stands, as control machines tell each other and operators.
type row struct {
	Node     string `cbor:"1,keyasint"`
	Process  uint64 `cbor:"2,keyasint,omitempty"`
	Applied  uint64 `cbor:"3,keyasint"`
	Config   uint64 `cbor:"4,keyasint,omitempty"`
	Refused  uint64 `cbor:"5,keyasint,omitempty"`
	Presumed uint64 `cbor:"6,keyasint,omitempty"`
	Gaps     uint64 `cbor:"7,keyasint,omitempty"`
	Reason   string `cbor:"8,keyasint,omitempty"`
	Machine  uint64 `cbor:"9,keyasint,omitempty"`
	AgoMs    uint64 `cbor:"10,keyasint,omitempty"` // since it was heard
	Begins   bool   `cbor:"11,keyasint,omitempty"` // it has applied nothing, and not begun
}

// machineRow is how a control machine stands, as one of them knows it.
type machineRow struct {
	ID      uint64 `cbor:"1,keyasint"`
	Name    string `cbor:"2,keyasint"`
	Learner bool   `cbor:"3,keyasint,omitempty"`
	Leads   bool   `cbor:"4,keyasint,omitempty"`
	Head    uint64 `cbor:"5,keyasint,omitempty"`
	Floor   uint64 `cbor:"6,keyasint,omitempty"`
	Term    uint64 `cbor:"7,keyasint,omitempty"`
	AgoMs   uint64 `cbor:"8,keyasint,omitempty"`
	Unheard bool   `cbor:"9,keyasint,omitempty"` // never heard
	Config  uint64 `cbor:"10,keyasint,omitempty"`
	In      uint64 `cbor:"11,keyasint,omitempty"` // bytes, from nodes and other machines
	Out     uint64 `cbor:"12,keyasint,omitempty"`
	Foreign uint64 `cbor:"13,keyasint,omitempty"` // streams and messages that were not to be read
	Away    uint64 `cbor:"14,keyasint,omitempty"` // streams turned away for want of room
	Purges  bool   `cbor:"15,keyasint,omitempty"` // it carries purges out at caches
	NoList  bool   `cbor:"16,keyasint,omitempty"` // and has no list of them yet
}

const (
	longestName   = 200  // bytes of a node's name
	longestReason = 300  // bytes of why a configuration was refused
	mostRows      = 4096 // nodes in a table
	mostMachines  = 9    // whose tables are told together
	mostCacheRows = 1024 // caches in one machine's
)

var errWord = errors.New("not a message of the log of changes")

// line is a stream in frames: four bytes of length, then a word.
type line struct {
	net.Conn
	in   *bufio.Reader
	most int
}

func newLine(c net.Conn, most int) *line {
	return &line{Conn: c, in: bufio.NewReaderSize(c, streamBuffer), most: most}
}

func frame(w word, most int) ([]byte, error) {
	w.Version = wordVersion
	b, err := cbor.Marshal(w)
	if err != nil {
		return nil, err
	}
	if len(b) > most {
		return nil, fmt.Errorf("%w: %d bytes to send, %d can be", errWord, len(b), most)
	}
	return append(binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(b)), uint32(len(b))), b...), nil
}

// say sends a word within a time.
func (l *line) say(w word, by time.Duration) (int, error) {
	b, err := frame(w, l.most)
	if err != nil {
		return 0, err
	}
	_ = l.SetWriteDeadline(time.Now().Add(by))
	return l.Write(b)
}

// hear takes a word that begins within a time.
func (l *line) hear(by time.Duration) (w word, bytes int, err error) {
	_ = l.SetReadDeadline(time.Now().Add(by))
	var head [4]byte
	if _, err := io.ReadFull(l.in, head[:]); err != nil {
		return w, 0, err
	}
	n := int(binary.BigEndian.Uint32(head[:]))
	if n > l.most {
		return w, 0, fmt.Errorf("%w: %d bytes, %d can be", errWord, n, l.most)
	}
	var b []byte
	if n <= firstBytes {
		b = make([]byte, n)
		_, err = io.ReadFull(l.in, b)
	} else {
		if n > longestFrame {
			_ = l.SetReadDeadline(time.Now().Add(longWriteBy))
		}
		b, err = io.ReadAll(io.LimitReader(l.in, int64(n)))
		if err == nil && len(b) < n {
			err = io.ErrUnexpectedEOF
		}
	}
	if err != nil {
		return w, 0, err
	}
	if err := replicatedlog.DecodeMode.Unmarshal(b, &w); err != nil {
		return w, 0, fmt.Errorf("%w: %w", errWord, err)
	}
	if w.Version == 0 || len(w.Rows) > mostRows || len(w.Caches) > mostMachines*mostCacheRows {
		return w, 0, fmt.Errorf("%w: version %d, %d rows, %d of caches", errWord, w.Version, len(w.Rows), len(w.Caches))
	}
	return w, n + len(head), nil
}

// call opens a stream and says what it is.
func call(dial func(string, time.Duration) (net.Conn, error), addr string, kind byte, label string, most int) (*line, error) {
	if dial == nil {
		dial = func(addr string, within time.Duration) (net.Conn, error) { return net.DialTimeout("tcp", addr, within) }
	}
	c, err := dial(addr, dialBy)
	if err != nil {
		return nil, err
	}
	_ = c.SetWriteDeadline(time.Now().Add(greetBy))
	if _, err := c.Write(preface(kind, label)); err != nil {
		_ = c.Close()
		return nil, err
	}
	return newLine(c, most), nil
}

// greeted reads a stream's preface.
func greeted(l *line, label string) (kind byte, err error) {
	var b [prefaceLen]byte
	_ = l.SetReadDeadline(time.Now().Add(greetBy))
	if _, err := io.ReadFull(l.in, b[:]); err != nil {
		return 0, err
	}
	if b[0] != magic0 || b[1] != magic1 || b[2] != speaks || binary.BigEndian.Uint32(b[4:]) != crc32.ChecksumIEEE([]byte(label)) {
		return 0, fmt.Errorf("%w: it begins with % x", errWord, b)
	}
	return b[3], nil
}
