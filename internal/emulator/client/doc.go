// Package client sends requests to a node as clients do: over connections that are kept, one request at a time on each,
// with a new one whenever all are busy.
//
// Pool holds the connections to one node and sends Requests, by meta commands or by HTTP (meta.go, http.go); the caller
// never waits for a Response. conn.go finds out from the kernel what became of a connection: whether the node had read
// what was sent before it closed, and whether it sent something that nobody asked for.
package client
