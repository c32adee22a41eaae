package gossip

import (
	"errors"
	"net/netip"

	"github.com/fxamacker/cbor/v2"

	"dahliapin/internal/membership"
)

// What goes between nodes is CBOR (RFC 8949), a map of numbered fields with the version first. Fields that are not known are passed
// over, and what was received goes on as it came, so that newer nodes understand one another through older ones.
const (
	wireVersion = 1
	mostStates  = 100_000 // statements in one exchange
	longestWord = 4 << 10 // bytes of one statement
)

type wireHello struct {
	Version  uint32 `cbor:"0,keyasint"`
	Process  uint64 `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"`
	Sum      uint32 `cbor:"3,keyasint"`
	Addr     []byte `cbor:"4,keyasint"`
	Doubts   bool   `cbor:"5,keyasint,omitempty"`
	Asks     bool   `cbor:"6,keyasint,omitempty"`
}

type wireStatement struct {
	Version  uint32   `cbor:"0,keyasint"`
	Process  uint64   `cbor:"1,keyasint"`
	Node     string   `cbor:"2,keyasint"`
	Life     uint32   `cbor:"3,keyasint,omitempty"`
	Revision uint64   `cbor:"4,keyasint"`
	Addr     []byte   `cbor:"5,keyasint"`
	Leaves   bool     `cbor:"6,keyasint,omitempty"`
	Yields   bool     `cbor:"7,keyasint,omitempty"`
	Doubts   bool     `cbor:"8,keyasint,omitempty"`
	Hears    []uint64 `cbor:"9,keyasint,omitempty"`
	Misses   []uint64 `cbor:"10,keyasint,omitempty"`
}

type wireState struct {
	Version    uint32            `cbor:"0,keyasint"`
	Statements []cbor.RawMessage `cbor:"1,keyasint"`
}

var errWire = errors.New("not a message between nodes")

// Guards against messages that would cost more to read than they could be worth.
var reading = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxNestedLevels: 4, MaxArrayElements: mostStates, MaxMapPairs: 64, DupMapKey: cbor.DupMapKeyEnforcedAPF,
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

func packAddr(addr string) []byte {
	at, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil
	}
	b, _ := at.MarshalBinary() // never fails
	return b
}

func unpackAddr(b []byte) string {
	var at netip.AddrPort
	if at.UnmarshalBinary(b) != nil || !at.IsValid() {
		return ""
	}
	return at.String()
}

func encodeHello(h membership.Heartbeat) ([]byte, error) {
	return cbor.Marshal(wireHello{wireVersion, uint64(h.Process), uint64(h.Revision), uint32(h.Digest), packAddr(h.Addr), h.SelfDoubt, h.WantsReply})
}

func decodeHello(b []byte) (membership.Heartbeat, error) {
	var w wireHello
	if err := reading.Unmarshal(b, &w); err != nil {
		return membership.Heartbeat{}, err
	}
	h := membership.Heartbeat{Process: membership.ProcessID(w.Process), Revision: membership.Revision(w.Revision), Digest: uint64(w.Sum),
		Addr: unpackAddr(w.Addr), SelfDoubt: w.Doubts, WantsReply: w.Asks}
	if w.Version == 0 || h.Process == 0 || h.Addr == "" {
		return membership.Heartbeat{}, errWire
	}
	return h, nil
}

func ids[To, From ~uint64](from []From) (to []To) {
	for _, id := range from {
		to = append(to, To(id))
	}
	return to
}

func encodeStatement(s membership.Statement) ([]byte, error) {
	return cbor.Marshal(wireStatement{wireVersion, uint64(s.Process), string(s.Node), uint32(s.Incarnation), uint64(s.Revision), packAddr(s.Addr),
		s.Leaving, s.YieldsName, s.SelfDoubt, ids[uint64](s.Hears), ids[uint64](s.Misses)})
}

func decodeStatement(b []byte) (membership.Statement, error) {
	var w wireStatement
	if len(b) > longestWord {
		return membership.Statement{}, errWire
	}
	if err := reading.Unmarshal(b, &w); err != nil {
		return membership.Statement{}, err
	}
	if w.Version == 0 || len(w.Hears) > membership.MaxNeighbours || len(w.Misses) > membership.MaxNeighbours {
		return membership.Statement{}, errWire
	}
	return membership.Statement{Process: membership.ProcessID(w.Process), Node: membership.NodeName(w.Node), Incarnation: membership.Incarnation(w.Life),
		Revision: membership.Revision(w.Revision), Addr: unpackAddr(w.Addr), Leaving: w.Leaves, YieldsName: w.Yields, SelfDoubt: w.Doubts,
		Hears: ids[membership.ProcessID](w.Hears), Misses: ids[membership.ProcessID](w.Misses)}, nil
}

func encodeState(raw [][]byte) ([]byte, error) {
	w := wireState{Version: wireVersion}
	for _, r := range raw {
		w.Statements = append(w.Statements, r)
	}
	return cbor.Marshal(w)
}

func decodeState(b []byte) (raw []cbor.RawMessage, err error) {
	var w wireState
	if err := reading.Unmarshal(b, &w); err != nil {
		return nil, err
	}
	if w.Version == 0 {
		return nil, errWire
	}
	return w.Statements, nil
}
