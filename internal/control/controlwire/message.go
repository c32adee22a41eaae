package controlwire

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"dahliapin/internal/control/purge"
	"dahliapin/internal/control/replicatedlog"
)

// MessageKind is the type of a Message; it determines which fields are set.
type MessageKind uint8

// The kinds of messages.
const (
	KindHello         MessageKind = 1  // node: its NodeReport, LogID and Fresh; control server: see peers.go there
	KindStart         MessageKind = 2  // to a node: the index at which it starts, and the configuration in force there
	KindEntries       MessageKind = 3  // to a node: entries in order; without entries it is a heartbeat
	KindProgress      MessageKind = 4  // from a node: its NodeReport
	KindPublish       MessageKind = 5  // from a client: an encoded batch of proposals
	KindOrdered       MessageKind = 6  // to a client: the index of each proposal
	KindRejected      MessageKind = 7  // to a client: why the proposals were not ordered
	KindStatusRequest MessageKind = 8  // from a client
	KindStatusTable   MessageKind = 9  // to a client: all reports; between control servers: the sender's own reports
	KindRaft          MessageKind = 10 // between control servers: raft messages
)

// messageVersion is part of every message. A message without a version is malformed.
const messageVersion = 1

// Limits on the contents of a message, so that a faulty sender cannot exhaust the receiver's memory. decodeMessage
// checks the numbers of reports; control servers check the lengths of names and reasons when they record a report.
const (
	MaxNameBytes   = 200  // of a node's or cache's name
	MaxReasonBytes = 300  // of a text that states why something was refused or failed
	MaxNodes       = 4096 // node reports in a table
	MaxCaches      = 1024 // cache reports of one control server

	maxServers = 9 // control servers whose cache reports are in one table
)

// ErrMalformed reports bytes that are not a valid preface, frame or message of this protocol.
var ErrMalformed = errors.New("malformed control protocol data")

// Message is the content of a frame, encoded as CBOR with numbered fields; unknown fields are skipped. All kinds share
// this one flat struct, and Kind determines which fields are set.
type Message struct {
	Version      uint32            `cbor:"0,keyasint"` // set by EncodeFrame
	Kind         MessageKind       `cbor:"1,keyasint"`
	Index        uint64            `cbor:"2,keyasint,omitempty"` // Start: where the node starts; a peer's Hello: its id
	Last         uint64            `cbor:"3,keyasint,omitempty"` // index of the newest entry that the server has
	HasLeader    bool              `cbor:"4,keyasint,omitempty"` // the server leads, or its leader is alive
	Entries      []cbor.RawMessage `cbor:"5,keyasint,omitempty"` // encoded entries in order
	BaseConfig   cbor.RawMessage   `cbor:"6,keyasint,omitempty"` // Start: the encoded configuration in force
	Nodes        []NodeReport      `cbor:"7,keyasint,omitempty"`
	Batch        []byte            `cbor:"8,keyasint,omitempty"` // Publish: an encoded replicatedlog.Batch
	Indexes      []uint64          `cbor:"9,keyasint,omitempty"` // Ordered: one for each proposal
	Reason       string            `cbor:"10,keyasint,omitempty"`
	RaftMessages [][]byte          `cbor:"11,keyasint,omitempty"` // in protobuf
	Fresh        bool              `cbor:"12,keyasint,omitempty"` // a node's Hello: it has applied nothing yet
	Servers      []ServerReport    `cbor:"13,keyasint,omitempty"`
	LogID        uint64            `cbor:"14,keyasint,omitempty"` // Start, a node's Hello: the log of the indexes
	Caches       []purge.Progress  `cbor:"15,keyasint,omitempty"` // purges at caches, by control server
	// Incarnation is the learner's in its Hello to another control server, and in a frame of raft messages to a learner
	// the last one that the sender knows; 0 if there is none. A learner's incarnation differs in each of its processes.
	Incarnation uint64 `cbor:"16,keyasint,omitempty"`
}

// NodeReport is a node's own report of how far it has applied the replicated log. Control servers fill in Server and
// AgeMs when they pass it on.
type NodeReport struct {
	Node           string `cbor:"1,keyasint"`
	Process        uint64 `cbor:"2,keyasint,omitempty"` // a random number for each process of the node
	Applied        uint64 `cbor:"3,keyasint"`
	Config         uint64 `cbor:"4,keyasint,omitempty"`  // of the one in force; 0 for its own, or one of an earlier log
	Refused        uint64 `cbor:"5,keyasint,omitempty"`  // index of a configuration that it refused; 0 for none
	PresumedPurged uint64 `cbor:"6,keyasint,omitempty"`  // everything up to here may have been purged
	Gaps           uint64 `cbor:"7,keyasint,omitempty"`  // times that entries did not follow the applied ones
	Reason         string `cbor:"8,keyasint,omitempty"`  // why a configuration was refused
	Server         uint64 `cbor:"9,keyasint,omitempty"`  // set by control servers: the one that the node follows
	AgeMs          uint64 `cbor:"10,keyasint,omitempty"` // set by control servers: milliseconds since the report
	NotStarted     bool   `cbor:"11,keyasint,omitempty"` // the node has not received a starting point yet
}

// ServerReport is the state of a control server: its own, or what it last reported to another one. The struct is flat
// because it is one flat map on the wire.
type ServerReport struct {
	ID          uint64 `cbor:"1,keyasint"`
	Name        string `cbor:"2,keyasint"`
	Learner     bool   `cbor:"3,keyasint,omitempty"`
	IsLeader    bool   `cbor:"4,keyasint,omitempty"`
	Last        uint64 `cbor:"5,keyasint,omitempty"` // index of the newest entry
	Floor       uint64 `cbor:"6,keyasint,omitempty"` // index up to which entries are no longer retained
	Term        uint64 `cbor:"7,keyasint,omitempty"` // raft's
	AgeMs       uint64 `cbor:"8,keyasint,omitempty"` // milliseconds since it reported
	NeverSeen   bool   `cbor:"9,keyasint,omitempty"`
	Config      uint64 `cbor:"10,keyasint,omitempty"` // index of the newest configuration
	BytesIn     uint64 `cbor:"11,keyasint,omitempty"` // from nodes and other control servers
	BytesOut    uint64 `cbor:"12,keyasint,omitempty"`
	Invalid     uint64 `cbor:"13,keyasint,omitempty"` // malformed streams and messages, and messages for others
	Rejected    uint64 `cbor:"14,keyasint,omitempty"` // streams closed because too many were open
	RunsPurges  bool   `cbor:"15,keyasint,omitempty"` // it carries purges out at caches
	NoCacheList bool   `cbor:"16,keyasint,omitempty"` // and has no list of caches yet
}

// EncodeFrame encodes a message with its length prefix. It returns ErrMalformed for a message of more than maxBytes.
func EncodeFrame(message Message, maxBytes int) ([]byte, error) {
	message.Version = messageVersion
	body, err := cbor.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("cannot encode a message of kind %d: %w", message.Kind, err)
	}
	if len(body) > maxBytes {
		return nil, fmt.Errorf("%w: message of %d bytes to be sent, limit %d bytes", ErrMalformed, len(body), maxBytes)
	}
	frame := make([]byte, 0, lengthBytes+len(body))
	frame = binary.BigEndian.AppendUint32(frame, uint32(len(body)))
	return append(frame, body...), nil
}

// decodeMessage decodes the body of a frame and checks its version and the numbers of node and cache reports.
func decodeMessage(body []byte) (Message, error) {
	var message Message
	if err := replicatedlog.DecodeMode.Unmarshal(body, &message); err != nil {
		return message, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if message.Version == 0 || len(message.Nodes) > MaxNodes || len(message.Caches) > maxServers*MaxCaches {
		return message, fmt.Errorf("%w: version %d, %d node reports (limit %d), %d cache reports (limit %d)",
			ErrMalformed, message.Version, len(message.Nodes), MaxNodes, len(message.Caches), maxServers*MaxCaches)
	}
	return message, nil
}
