package gossip

import (
	"encoding/binary"
	"hash/crc32"
)

// A preface starts each datagram and stream: two magic bytes, the protocol version, the kind of message, and a checksum
// of the fleet's label. It protects a fleet from nodes of another fleet that took over one of its addresses: they may
// have the same names, and would force the nodes of this fleet to exit. Messages with another preface are counted as
// foreign and ignored.
const (
	magic0          = 0xda
	magic1          = 0x17
	protocolVersion = 1
	prefaceBytes    = 8
)

// The kinds of messages.
const (
	kindLibrary   = 'g' // of the gossip library
	kindHeartbeat = 'h'
)

// fleetID is the checksum of a fleet's label.
type fleetID uint32

func fleetIDOf(label string) fleetID { return fleetID(crc32.ChecksumIEEE([]byte(label))) }

// preface returns the preface of a message.
func (f fleetID) preface(kind byte) []byte {
	return binary.BigEndian.AppendUint32([]byte{magic0, magic1, protocolVersion, kind}, uint32(f))
}

// readPreface returns the kind of a message, and whether it has this fleet's preface.
func (f fleetID) readPreface(message []byte) (kind byte, ok bool) {
	if len(message) < prefaceBytes {
		return 0, false
	}
	if message[0] != magic0 || message[1] != magic1 || message[2] != protocolVersion {
		return 0, false
	}
	if binary.BigEndian.Uint32(message[4:]) != uint32(f) {
		return 0, false
	}
	return message[3], true
}
