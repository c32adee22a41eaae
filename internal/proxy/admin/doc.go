// Package admin is the server that operators call: HTTP/1.1 with one request to a connection, on goroutines of its
// own.
//
// Open listens, Serve starts to answer, and Close ends all calls. The metrics that it shows are the Snapshot that the
// proxy's event loop handed out last, so that no request waits for the loop; a command waits for the loop for a bounded
// time. The paths and their words are those of the operators' pages and stand in handler.go.
package admin
