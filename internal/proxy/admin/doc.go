// Package admin provides the HTTP server for operators. It serves HTTP/1.1 with one request per connection, on its own
// goroutines.
//
// Listen opens the listener, Server.Serve starts to answer requests, and Server.Close ends all of them. Metrics are
// read from the latest Snapshot that the proxy's event loop has published, so these requests never wait for the loop. A
// command waits for the loop for a bounded time. The paths and response texts are documented for operators and are
// defined in handler.go.
package admin
