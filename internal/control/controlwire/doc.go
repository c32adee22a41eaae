// Package controlwire is the protocol that control servers speak with each other, with the nodes that follow the
// replicated log, and with operators' clients. It is imported by controlserver, logfollower and controlclient, which
// share nothing else.
//
// # Streams
//
// Each conversation is a TCP stream of its own. The side that dials writes a preface of eight bytes (see Preface): a
// magic number, the version of the protocol, the kind of the stream, and a checksum of the fleet's label.
// AcceptPreface rejects everything else, so that a port scanner, or a node of another fleet that was configured with
// a wrong address, is dropped before anything of it is decoded.
//
// After the preface the stream consists of frames: a length of four bytes (big endian) and a Message in CBOR with
// numbered fields. Unknown fields are skipped, so that a later version may add some.
//
//	stream          dialled by      messages to the server      messages from the server
//	StreamPeer      control server  Hello, Raft, StatusTable    none
//	StreamFollower  node            Hello, Progress             Start, Entries
//	StreamClient    operator        Publish, StatusRequest      Ordered or Rejected; StatusTable
//
// # Bounds
//
// A frame is at most MaxFrameBytes long, between control servers MaxPeerFrameBytes, and a long frame is read into
// memory only as its bytes arrive: a peer that announces a long frame and sends nothing costs nothing. Names, reasons
// and tables are bounded as well.
//
// # Ownership
//
// A Stream may be read by one goroutine and written by one other. Close may be called from anywhere, and ends both.
package controlwire
