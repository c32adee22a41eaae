// Package controlwire implements the protocol between control servers, the nodes that follow the replicated log, and
// operators' clients: packages controlserver, logfollower and controlclient.
//
// # Streams
//
// Each session uses a TCP connection of its own. The dialling side writes a preface of eight bytes (see Preface): a
// magic number, the version of the protocol, the kind of the stream, and a checksum of the fleet's label.
// AcceptPreface rejects everything else, so that a port scanner, or a node of another fleet that was configured with
// a wrong address, is dropped before any of its data is decoded.
//
// After the preface the stream consists of frames: a length of four bytes (big endian) and a Message in CBOR with
// numbered fields. Unknown fields are skipped, so that a later version can add fields.
//
//	stream          dialled by      messages to the server      messages from the server
//	StreamPeer      control server  Hello, Raft, StatusTable    none
//	StreamFollower  node            Hello, Progress             Start, Entries
//	StreamClient    operator        Publish, StatusRequest      Ordered or Rejected; StatusTable
//
// # Bounds
//
// A frame holds at most MaxFrameBytes, or MaxPeerFrameBytes between control servers. Memory for a long frame grows only
// as its bytes arrive, so a peer that announces a long frame and sends nothing costs no memory. Stream.Receive also
// rejects a message with too many node or cache reports. Control servers check the lengths of the names and reasons
// that they receive. All other fields are bounded only by the size of the frame.
//
// # Concurrency
//
// A Stream may be read by one goroutine and written by another one. Close may be called from any goroutine; it
// unblocks both.
package controlwire
