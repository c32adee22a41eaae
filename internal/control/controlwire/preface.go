package controlwire

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"
	"time"
)

const (
	magicByte0      = 0xda // no other protocol in use begins with these two bytes
	magicByte1      = 0x18
	protocolVersion = 1
	prefaceBytes    = 8
)

// StreamKind is the purpose of a stream. It is the fourth byte of the preface.
type StreamKind byte

// The kinds of streams.
const (
	StreamPeer     StreamKind = 'r' // raft messages and status, from one control server to another
	StreamFollower StreamKind = 'f' // a node that follows the replicated log
	StreamClient   StreamKind = 'o' // an operator's client that publishes or requests the status
)

// Preface returns the bytes that the dialling side writes first: magic number, protocol version, stream kind, and
// checksum of the fleet's label.
func Preface(kind StreamKind, label string) []byte {
	preface := []byte{magicByte0, magicByte1, protocolVersion, byte(kind)}
	return binary.BigEndian.AppendUint32(preface, crc32.ChecksumIEEE([]byte(label)))
}

// AcceptPreface reads the preface of an accepted stream and returns its kind, which the caller has to check. The error
// wraps ErrMalformed for another protocol, another version or another fleet's label; it is the network's error if no
// preface arrives within HandshakeTimeout.
func (s *Stream) AcceptPreface(label string) (StreamKind, error) {
	var preface [prefaceBytes]byte
	_ = s.SetReadDeadline(time.Now().Add(HandshakeTimeout))
	if _, err := io.ReadFull(s.reader, preface[:]); err != nil {
		return 0, err
	}
	ours := preface[0] == magicByte0 && preface[1] == magicByte1 && preface[2] == protocolVersion
	if !ours || binary.BigEndian.Uint32(preface[4:]) != crc32.ChecksumIEEE([]byte(label)) {
		return 0, fmt.Errorf("%w: unexpected preface % x", ErrMalformed, preface)
	}
	return StreamKind(preface[3]), nil
}
