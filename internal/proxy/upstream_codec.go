package proxy

import (
	"dahliapin/internal/wire/http1"
	"dahliapin/policy"
)

// upstreamCodec turns an attempt into bytes for an endpoint, and the endpoint's bytes into a result, with the proof of
// whether the request may have been carried out. It keeps nothing of a connection: one serves all attempts.
type upstreamCodec interface {
	// encodeRequest writes an attempt whose response the node awaits for so long.
	encodeRequest(request *clientRequest, host string, timeoutMs int64) []byte
	// identifiesRequest reports whether a response that serves a request says which request that is.
	identifiesRequest() bool
	// readResponse reads the response to a request. A size of 0 asks for more bytes, unless the response can't be read;
	// wants is how many bytes it has in all, if that is known. ended says that no more will come. Progress keeps what
	// was found before of the same response.
	readResponse(
		b []byte, request *clientRequest, ended bool, progress *http1.Progress,
	) (response upstreamResponse, size, wants int)
	// healthCheck writes a health check, and readHealthCheck reads the response to it.
	healthCheck(host string) []byte
	readHealthCheck(b []byte, ended bool) (healthy bool, size int, err error)
}

// upstreamResponse is what an endpoint's response means for its attempt.
type upstreamResponse struct {
	result     policy.Result // unreadableResponse if it can't be read, or is another request's
	body       []byte        // the value, or a write's receipt
	loadReport []byte
	closesConn bool   // its connection ends with it
	fromCache  bool   // an endpoint had it cached
	identified bool   // it says which request it answers
	status     int    // of HTTP; 0 for a value of another protocol
	headSize   int    // if more bytes are needed: those that stand before a value of known size that is still coming in
	valueSize  int    // that size
	headers    []byte // complete lines for a client of HTTP
}
