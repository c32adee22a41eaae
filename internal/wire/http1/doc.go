// Package http1 reads and writes HTTP/1.1 (RFC 9112): requests as a server reads them, and responses as a client with
// one request in flight on a connection reads them.
//
// Readers take the bytes received so far and return how many of them the first message has; 0 asks for more bytes.
// What they return lies in the bytes that were given, but for a body in chunks, which is joined in a buffer of its
// own. A reader of a message that is received in pieces keeps a Progress, so that each byte of a body in chunks is
// looked at once. Writers append to a buffer and return it.
//
// Requests are read strictly: every shape that two readers on the way may take differently is refused, as part of
// one client's request could else be read as another's (request smuggling). Responses are refused where their length
// is ambiguous.
package http1
