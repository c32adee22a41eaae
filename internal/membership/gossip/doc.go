// Package gossip connects the membership detector of a node to those of the other nodes of its fleet. It keeps the
// sockets between nodes, spreads the statements of processes with the gossip library (memberlist), sends heartbeats,
// and publishes the detector's view as an immutable copy.
//
// # Use
//
// [Open] joins over sockets that it opens, [Join] over a given [Transport]. A [Node] runs beside the event loop that
// serves clients and never blocks it: [Node.LoopAdvanced], [Node.SetPresence] and [Node.View] may be called from any
// goroutine and return at once. [Node.Close] ends the node.
//
// # Detector and library
//
// The detector (package membership) makes all decisions about members. The library joins nodes, spreads statements and
// periodically exchanges the full state of two nodes; the members that it considers alive only determine with which
// ones it gossips. The name of a library member consists of the node's name and the process, so that a restarted node
// is a new member to the library.
//
// # Messages
//
// Datagrams and streams begin with a preface that contains the protocol version, the kind of message and a checksum of
// the fleet's label (preface.go). It is followed by a heartbeat or by a message of the library, which carries
// statements (wire.go): CBOR maps with integer keys. Statements are forwarded byte for byte.
//
// # Goroutines and state
//
// One goroutine ticks the detector each 50 ms and sends the resulting messages, one joins via the seeds while no other
// node is known, and one exchanges the full state with one node at a time. Close waits up to half a second for these.
// Two goroutines read the sockets and end when these are closed, as the library's own do. A mutex guards the detector
// and the encoded statements; the view is an atomic pointer.
package gossip
