package proxy

import (
	"dahliapin/internal/wire/http1"
	"dahliapin/policy"
)

// upstreamCodec encodes attempts for an endpoint, and decodes its responses to results that also tell whether the
// request may have been executed. It keeps no state of a connection: one codec serves all attempts.
type upstreamCodec interface {
	// encodeRequest encodes an attempt whose response the node awaits for timeoutMs.
	encodeRequest(request *clientRequest, host string, timeoutMs int64) []byte
	// canAttributeResponses reports whether each response that serves a request can be attributed to that request, by
	// an id in the response or by the order of responses.
	canAttributeResponses() bool
	// readResponse parses the response to a request. A size of 0 asks for more bytes, unless the result is
	// unreadableResponse; totalSize is the size of the whole response, if that is known. ended reports that no more
	// bytes follow. progress keeps what has been parsed of the same response.
	readResponse(
		b []byte, request *clientRequest, ended bool, progress *http1.Progress,
	) (response upstreamResponse, size, totalSize int)
	// healthCheck encodes a health check, and readHealthCheck parses the response to it.
	healthCheck(host string) []byte
	readHealthCheck(b []byte, ended bool) (healthy bool, size int, err error)
}

// upstreamResponse is the meaning of an endpoint's response for its attempt.
type upstreamResponse struct {
	result     policy.Result // unreadableResponse if it cannot be parsed, or answers another request
	body       []byte        // the value, or a write's receipt
	loadReport []byte
	closesConn bool   // the connection closes after it
	fromCache  bool   // the endpoint had it cached
	identified bool   // it says which request it answers
	status     int    // HTTP status; 0 for a value of another protocol
	headSize   int    // if incomplete: bytes before a value of known size
	valueSize  int    // size of that value
	headers    []byte // complete header lines for HTTP clients
}
