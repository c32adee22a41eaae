package proxy

import (
	"time"

	"dahliapin/internal/freshness"
	"dahliapin/internal/proxy/metrics"
	"dahliapin/internal/wire/http1"
)

// downstreamCodec decodes a client's data to commands, and encodes the answers. It keeps no state of a client: one
// codec serves all clients of a listener.
type downstreamCodec interface {
	// readRequest parses a client's next command. A size of 0 asks for more bytes, unless the intent requires that the
	// command is answered at once. progress keeps what has been parsed of the same command.
	readRequest(b []byte, parsed *parsedRequest, progress *http1.Progress) (size int)
	// value encodes the answer that carries a value. A long value is not copied: it is written after the head, and
	// valueTrailer after it.
	value(request *clientRequest, response *upstreamResponse) (head, value []byte)
	// valueHead encodes what precedes a streamed value of valueSize bytes.
	valueHead(request *clientRequest, response *upstreamResponse, valueSize int) []byte
	// valueTrailer returns what follows a value.
	valueTrailer() string
	// writeReceipt encodes the answer to a write that was executed.
	writeReceipt(request *clientRequest, response *upstreamResponse) []byte
	// rejected encodes that a request may be retried safely, after retryAfter unless that is 0: it was not executed, or
	// repeating it is harmless.
	rejected(request *clientRequest, retryAfter time.Duration) []byte
	// failed encodes that a request may have been executed. timedOut reports that the last endpoint did not respond in
	// time, rather than with an error.
	failed(request *clientRequest, timedOut bool) []byte
	// refusal encodes why a command was not accepted.
	refusal(reason refusalReason, headOnly bool) []byte
	readiness(request *clientRequest, phase Phase) []byte
	counters(request *clientRequest, counters *metrics.Counters) []byte
	// announceClose makes an answer announce that its connection closes after it, if the protocol supports that.
	announceClose(response []byte) (closing []byte, supported bool)
}

// requestIntent is what a client asks of the node.
type requestIntent int

const (
	intentIncomplete requestIntent = iota // the command is incomplete
	intentRequest                         // a request for an endpoint
	intentReadiness                       // whether the node serves requests
	intentCounters                        // the node's counters
	intentContinue                        // "100 Continue", before the client sends the body
	intentInvalid                         // a command that the node cannot serve
)

// parsedRequest is a client's parsed command.
type parsedRequest struct {
	clientRequest
	intent      requestIntent
	response    []byte // for intentContinue and intentInvalid
	stopReading bool   // nothing more is read on the connection
}

// mustAnswerNow reports whether a command is answered before it is complete.
func (r *parsedRequest) mustAnswerNow(continueSent bool) bool {
	return r.intent == intentInvalid || r.intent == intentContinue && !continueSent
}

// clientRequest is a request as its client has sent it.
type clientRequest struct {
	id            []byte
	key           []byte
	value         []byte // of a write
	flags         []byte // passed on to endpoints, in meta command syntax
	class         []byte // the name of its service class
	tenant        []byte // the name of its tenant, or empty
	write         bool
	headOnly      bool                // the answer must have no body
	closesConn    bool                // the connection closes after the answer
	idempotent    bool                // according to its service class
	timeout       time.Duration       // from its arrival until its deadline
	attemptSentAt time.Time           // of the attempt whose response is being read
	http          *httpRequestDetails // nil for meta commands, and if no endpoint speaks HTTP
}

// httpRequestDetails are the parts of an HTTP request that matter only to endpoints that speak HTTP.
type httpRequestDetails struct {
	headers     []byte            // complete header lines
	freshness   freshness.Request // how old a response it accepts
	conditional bool              // it asks to validate the client's own copy
	isPost      bool              // a write by POST
}

var noHTTPDetails httpRequestDetails

// httpDetails returns the HTTP details of a request, which are empty for meta commands.
func (r *clientRequest) httpDetails() *httpRequestDetails {
	if r.http == nil {
		return &noHTTPDetails
	}
	return r.http
}

// refusalReason is the reason why a command was not accepted.
type refusalReason int

const (
	refusedMemoryLimit    refusalReason = iota // incomplete commands take too much memory
	refusedTooManyPending                      // too many commands are pending on the connection
	refusedTimeout                             // the command was not completed in time
	refusedDuplicateID                         // another request in flight has its id
	refusedMalformed                           // no deadline, or an unknown service class
)
