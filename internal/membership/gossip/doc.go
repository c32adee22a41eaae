// Package gossip connects the membership detector of a node to those of the other nodes of its fleet: it keeps the
// sockets between nodes, has the gossip library (memberlist) carry the statements of processes, sends heartbeats, and
// publishes the detector's view as a copy that anybody may read.
//
// # Use
//
// [Open] joins over sockets of its own, [Join] over a given [Transport]. A [Node] runs beside the loop that serves
// clients, which never waits for it: [Node.LoopAdvanced], [Node.SetPresence] and [Node.View] may be called from
// anywhere and return at once. [Node.Close] ends it.
//
// # What decides, and what only carries
//
// All decisions about members are the detector's (package membership). The library joins, spreads statements and
// exchanges the full state of two nodes now and then; which members it takes for alive only decides with which it
// gossips. Its member names are the node's name and the process, so that a restarted node is another member to it.
//
// # Messages
//
// Datagrams and streams begin with a preface that names the protocol's version, the kind of message and the fleet
// (preface.go). What follows is a heartbeat or belongs to the library, which carries statements in it (wire.go): CBOR
// maps with numbered fields. Statements are passed on as they arrived, byte for byte.
//
// # Goroutines and state
//
// One goroutine ticks the detector each 50 ms and sends what that asks for, one joins by the seeds while nobody is
// known, one exchanges the full state with one node after the other; Close waits half a second for these. Two read the
// sockets and end when these are closed, as the library's own do. The detector and the statements as they arrived are
// under one mutex; the view is an atomic pointer.
package gossip
