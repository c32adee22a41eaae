package proxy

import (
	"time"

	"dahliapin/internal/freshness"
	"dahliapin/internal/proxy/metrics"
	"dahliapin/internal/wire/http1"
)

// downstreamCodec turns a client's bytes into commands, and answers into bytes for it. It keeps nothing of a client:
// one serves all clients of a listener.
type downstreamCodec interface {
	// readRequest reads a client's next command. A size of 0 asks for more bytes, unless the intent says that the
	// command is to be answered at once. Progress keeps what was found before of the same command.
	readRequest(b []byte, parsed *parsedRequest, progress *http1.Progress) (size int)
	// value writes the answer that serves a value. A long value is not copied: it follows the head, and valueTrailer
	// follows that.
	value(request *clientRequest, response *upstreamResponse) (head, value []byte)
	// valueHead writes what stands before a value of so many bytes that is streamed.
	valueHead(request *clientRequest, response *upstreamResponse, valueSize int) []byte
	// valueTrailer is what stands behind a value.
	valueTrailer() string
	// writeReceipt writes the answer to a write that was carried out.
	writeReceipt(request *clientRequest, response *upstreamResponse) []byte
	// rejected writes that a request was not carried out and may be sent again; a retryAfter of 0 is not stated.
	rejected(request *clientRequest, retryAfter time.Duration) []byte
	// failed writes that a request may have been carried out; timedOut tells that the last endpoint has not responded,
	// rather than amiss.
	failed(request *clientRequest, timedOut bool) []byte
	// refusal writes why a command was not accepted.
	refusal(reason refusalReason, headOnly bool) []byte
	readiness(request *clientRequest, phase Phase) []byte
	counters(request *clientRequest, counters *metrics.Counters) []byte
	// announceClose has an answer say that its connection ends with it, if the protocol can say that.
	announceClose(response []byte) (closing []byte, can bool)
}

// requestIntent is what a client wants of the node.
type requestIntent int

const (
	intentIncomplete requestIntent = iota // the command has not come complete
	intentRequest                         // a request for an endpoint
	intentReadiness                       // whether the node serves requests
	intentCounters                        // the node's counters
	intentContinue                        // "100 Continue", before it sends a request's body
	intentUnserved                        // something that can't be served
)

// parsedRequest is a client's command.
type parsedRequest struct {
	clientRequest
	intent      requestIntent
	response    []byte // of intentContinue and intentUnserved
	stopReading bool   // nothing more is read on the connection
}

// mustAnswerNow reports whether a command is answered although it has not come complete.
func (r *parsedRequest) mustAnswerNow(continueSent bool) bool {
	return r.intent == intentUnserved || r.intent == intentContinue && !continueSent
}

// clientRequest is a request as its client has sent it.
type clientRequest struct {
	id            []byte
	key           []byte
	value         []byte // of a write
	flags         []byte // passed on to endpoints, in the form of meta commands
	class         []byte // the name of its service class
	tenant        []byte // the name of its tenant, or empty
	write         bool
	headOnly      bool                // the answer must have no body
	closesConn    bool                // the connection ends with the answer
	idempotent    bool                // by its service class
	timeout       time.Duration       // from its arrival until its deadline
	attemptSentAt time.Time           // of the attempt whose response is being read
	http          *httpRequestDetails // nil for a client of meta commands, and where no endpoint speaks HTTP
}

// httpRequestDetails is what a client of HTTP has sent beside its request, for endpoints that speak HTTP.
type httpRequestDetails struct {
	headers     []byte            // complete lines
	freshness   freshness.Request // the age of the response that it takes
	conditional bool              // it asks whether its own copy is still valid
	isPost      bool              // a write by POST
}

var noHTTPDetails httpRequestDetails

// httpDetails returns what the client has sent beside its request: nothing by meta commands.
func (r *clientRequest) httpDetails() *httpRequestDetails {
	if r.http == nil {
		return &noHTTPDetails
	}
	return r.http
}

// refusalReason is why a command was not accepted.
type refusalReason int

const (
	refusedForMemory   refusalReason = iota // incomplete commands take too much memory
	refusedTooMany                          // too many commands wait on the connection
	refusedTooLate                          // the command has not come complete in time
	refusedDuplicateID                      // another request in flight has its id
	refusedMalformed                        // no deadline, or an unknown service class
)
