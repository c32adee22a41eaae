package gossip

import (
	"errors"
	"net/netip"

	"github.com/fxamacker/cbor/v2"

	"dahliapin/internal/membership"
)

// Messages between nodes are CBOR (RFC 8949): maps with integer keys, of which key 0 is the version. Unknown fields are
// ignored, and statements are forwarded byte for byte, so that newer nodes can exchange new fields through older ones.
const (
	wireVersion = 1
	// maxStatements limits the statements in one exchange.
	maxStatements = 100_000
	// maxStatementBytes limits the size of one statement.
	maxStatementBytes = 4 << 10
)

// wireHeartbeat is the wire format of a membership.Heartbeat.
type wireHeartbeat struct {
	Version    uint32 `cbor:"0,keyasint"`
	Process    uint64 `cbor:"1,keyasint"`
	Revision   uint64 `cbor:"2,keyasint"`
	Digest     uint32 `cbor:"3,keyasint"` // lower 32 bits
	Addr       []byte `cbor:"4,keyasint"`
	Isolated   bool   `cbor:"5,keyasint,omitempty"`
	WantsReply bool   `cbor:"6,keyasint,omitempty"`
}

// wireStatement is the wire format of a membership.Statement.
type wireStatement struct {
	Version     uint32   `cbor:"0,keyasint"`
	Process     uint64   `cbor:"1,keyasint"`
	Node        string   `cbor:"2,keyasint"`
	Incarnation uint32   `cbor:"3,keyasint,omitempty"`
	Revision    uint64   `cbor:"4,keyasint"`
	Addr        []byte   `cbor:"5,keyasint"`
	Leaving     bool     `cbor:"6,keyasint,omitempty"`
	YieldsName  bool     `cbor:"7,keyasint,omitempty"`
	Isolated    bool     `cbor:"8,keyasint,omitempty"`
	Hears       []uint64 `cbor:"9,keyasint,omitempty"`
	Misses      []uint64 `cbor:"10,keyasint,omitempty"`
}

// wireState is the wire format of the full state: all statements that a node has.
type wireState struct {
	Version    uint32            `cbor:"0,keyasint"`
	Statements []cbor.RawMessage `cbor:"1,keyasint"`
}

// errInvalidMessage reports a message that decodes but is not valid.
var errInvalidMessage = errors.New("invalid message between nodes")

// decoder limits the resources that a malicious or damaged message can take.
var decoder = newDecoder()

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels:  4,
		MaxArrayElements: maxStatements,
		MaxMapPairs:      64,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}

// encodeAddr returns the binary form of an address and port, or nil if addr cannot be parsed.
func encodeAddr(addr string) []byte {
	parsed, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil
	}
	b, _ := parsed.MarshalBinary() // never fails
	return b
}

// decodeAddr returns the text form of an address and port, or "" if b is not valid.
func decodeAddr(b []byte) string {
	var addr netip.AddrPort
	if addr.UnmarshalBinary(b) != nil || !addr.IsValid() {
		return ""
	}
	return addr.String()
}

func encodeHeartbeat(h membership.Heartbeat) ([]byte, error) {
	return cbor.Marshal(wireHeartbeat{
		Version:    wireVersion,
		Process:    uint64(h.Process),
		Revision:   uint64(h.Revision),
		Digest:     uint32(h.Digest),
		Addr:       encodeAddr(h.Addr),
		Isolated:   h.Isolated,
		WantsReply: h.WantsReply,
	})
}

func decodeHeartbeat(message []byte) (membership.Heartbeat, error) {
	var w wireHeartbeat
	if err := decoder.Unmarshal(message, &w); err != nil {
		return membership.Heartbeat{}, err
	}
	h := membership.Heartbeat{
		Process:    membership.ProcessID(w.Process),
		Revision:   membership.Revision(w.Revision),
		Digest:     uint64(w.Digest),
		Addr:       decodeAddr(w.Addr),
		Isolated:   w.Isolated,
		WantsReply: w.WantsReply,
	}
	if w.Version == 0 || h.Process == 0 || h.Addr == "" {
		return membership.Heartbeat{}, errInvalidMessage
	}
	return h, nil
}

func encodeStatement(s membership.Statement) ([]byte, error) {
	return cbor.Marshal(wireStatement{
		Version:     wireVersion,
		Process:     uint64(s.Process),
		Node:        string(s.Node),
		Incarnation: uint32(s.Incarnation),
		Revision:    uint64(s.Revision),
		Addr:        encodeAddr(s.Addr),
		Leaving:     s.Leaving,
		YieldsName:  s.YieldsName,
		Isolated:    s.Isolated,
		Hears:       convertIDs[uint64](s.Hears),
		Misses:      convertIDs[uint64](s.Misses),
	})
}

// decodeStatement decodes a statement. The detector checks whether it is within the detector's limits.
func decodeStatement(message []byte) (membership.Statement, error) {
	if len(message) > maxStatementBytes {
		return membership.Statement{}, errInvalidMessage
	}
	var w wireStatement
	if err := decoder.Unmarshal(message, &w); err != nil {
		return membership.Statement{}, err
	}
	if w.Version == 0 ||
		len(w.Hears) > membership.MaxStatementNeighbours ||
		len(w.Misses) > membership.MaxStatementNeighbours {
		return membership.Statement{}, errInvalidMessage
	}
	return membership.Statement{
		Process:     membership.ProcessID(w.Process),
		Node:        membership.NodeName(w.Node),
		Incarnation: membership.Incarnation(w.Incarnation),
		Revision:    membership.Revision(w.Revision),
		Addr:        decodeAddr(w.Addr),
		Leaving:     w.Leaving,
		YieldsName:  w.YieldsName,
		Isolated:    w.Isolated,
		Hears:       convertIDs[membership.ProcessID](w.Hears),
		Misses:      convertIDs[membership.ProcessID](w.Misses),
	}, nil
}

func convertIDs[To, From ~uint64](from []From) []To {
	var to []To
	for _, id := range from {
		to = append(to, To(id))
	}
	return to
}

// encodeState encodes statements in their wire format as the full state.
func encodeState(statements [][]byte) ([]byte, error) {
	w := wireState{Version: wireVersion}
	for _, statement := range statements {
		w.Statements = append(w.Statements, statement)
	}
	return cbor.Marshal(w)
}

// decodeState returns the statements of an exchange, still encoded.
func decodeState(state []byte) ([]cbor.RawMessage, error) {
	var w wireState
	if err := decoder.Unmarshal(state, &w); err != nil {
		return nil, err
	}
	if w.Version == 0 {
		return nil, errInvalidMessage
	}
	return w.Statements, nil
}
