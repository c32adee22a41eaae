// Package http1 reads and writes HTTP/1.1 messages (RFC 9112): requests for a server, and responses for a client with
// one request in flight per connection.
//
// Readers take the bytes received so far and return the size of the first message in them; 0 means that more bytes are
// needed. Results refer to the given bytes, except for a chunked body, which is copied into a buffer of its own. To
// read a message that is received in pieces, keep a Progress, so that each byte of a chunked body is parsed once.
// Writers append to a buffer and return it.
//
// Requests are parsed strictly: any form that two parsers on the path may interpret differently is rejected, as
// otherwise part of one client's request could be taken for another's (request smuggling). Responses of ambiguous
// length are rejected.
package http1
