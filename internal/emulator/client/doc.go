// Package client sends requests to a node as clients do: over persistent connections, with one request in flight on
// each, and a new connection whenever all others are busy.
//
// Pool holds the connections to one node and sends Requests as meta commands or by HTTP (meta.go, http.go). Sending is
// asynchronous: a callback receives the Response. conn.go inspects the state of a connection in the kernel: whether the
// node had read a request before it closed the connection, and whether it sent data without a request.
package client
