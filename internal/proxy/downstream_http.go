package proxy

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"dahliapin/internal/buffer"
	"dahliapin/internal/config/listeners"
	"dahliapin/internal/config/settings"
	"dahliapin/internal/proxy/metrics"
	"dahliapin/internal/wire/http1"
	"dahliapin/policy"
)

const (
	maxBodyBytes         = 64 << 10 // of a value that a client writes, same as for meta commands
	maxIDBytes           = 128      // of an id or an Idempotency-Key, several times the size of a UUID
	idempotencyKeyHeader = "Idempotency-Key"
)

// httpDownstream speaks HTTP/1.1 to clients. The key is the part of the URL after the route's path. A read is answered
// with its value, a write with its receipt. downstream_http_route.go converts HTTP requests to requests of the node.
type httpDownstream struct {
	listener        *listeners.Listener
	names           *settings.NameTable
	needsKey        map[string]bool          // service classes that are idempotent by key
	deadlines       map[string]time.Duration // time from arrival to deadline, by service class
	forwardsHeaders bool                     // some endpoints speak HTTP and get the client's headers
	idPrefix        string                   // of generated ids, unique to this listener and this start of the node
	idsIssued       uint64
	date            string // Date header of responses
	dateUnix        int64  // when date was formatted, in Unix seconds
}

func newHTTPDownstream(listener *listeners.Listener, number int, p *Proxy) *httpDownstream {
	h := &httpDownstream{
		listener:        listener,
		names:           &p.config.Settings.Names,
		needsKey:        map[string]bool{},
		deadlines:       map[string]time.Duration{},
		forwardsHeaders: len(p.config.Listeners.HTTPCaches.HTTPKinds) > 0,
		idPrefix:        fmt.Sprintf("h%x-%x-%d-", p.clock.startedAt.UnixNano(), uint64(p.config.Seed), number),
	}
	for name, class := range p.config.Settings.Names.Classes() {
		h.needsKey[name] = p.config.Settings.Policy.Classes[class].Idempotency == policy.IdempotentByKey
		h.deadlines[name] = p.config.Settings.Deadlines[class]
	}
	return h
}

func (h *httpDownstream) readRequest(b []byte, parsed *parsedRequest, progress *http1.Progress) (size int) {
	*parsed = parsedRequest{}
	request, size, fault := progress.ReadRequest(b, maxBodyBytes)
	if size == 0 && fault == nil && !request.Continue {
		return 0
	}
	parsed.headOnly = string(request.Method) == http.MethodHead
	// A client that waits for "100 Continue" may or may not send the body of a request that is rejected.
	parsed.closesConn = fault != nil || request.Close || size == 0
	if fault != nil {
		h.reject(parsed, &httpRejection{status: fault.Status, reason: fault.Reason})
		return 0
	}
	parsed.stopReading = parsed.closesConn
	if rejection := h.route(&request, parsed); rejection != nil {
		h.reject(parsed, rejection)
		return size
	}
	if size == 0 {
		*parsed = parsedRequest{intent: intentContinue, response: []byte("HTTP/1.1 100 Continue\r\n\r\n")}
	}
	return size
}

// httpRejection is the reason why a request can't be served, as stated in its response.
type httpRejection struct {
	status  int
	reason  string
	headers []string
}

// reject answers a request that can't be served.
func (h *httpDownstream) reject(parsed *parsedRequest, rejection *httpRejection) {
	parsed.intent = intentInvalid
	parsed.stopReading = parsed.closesConn
	parsed.response = h.textResponse(&parsed.clientRequest, rejection.status, rejection.reason, rejection.headers...)
}

// beginResponse encodes the head of a response with a body of size bytes.
func (h *httpDownstream) beginResponse(status int, size int, closesConn bool, headers ...string) []byte {
	if now := time.Now(); now.Unix() != h.dateUnix {
		h.dateUnix = now.Unix()
		h.date = now.UTC().Format(http.TimeFormat)
	}
	return http1.AppendResponseHead(nil, status, h.date, size, closesConn, headers...)
}

// valueHead encodes the head of a response that carries an endpoint's value, with the endpoint's headers if it speaks
// HTTP.
func (h *httpDownstream) valueHead(request *clientRequest, response *upstreamResponse, valueSize int) []byte {
	cacheStatus := "Cache-Status: dahliapin; fwd=miss"
	if response.fromCache {
		cacheStatus = "Cache-Status: dahliapin; hit"
	}
	if response.status == 0 {
		return h.beginResponse(200, valueSize, request.closesConn, cacheStatus)
	}
	if response.status == 304 || response.status == 204 {
		valueSize = http1.NoBody
	}
	headers := string(response.headers) + cacheStatus
	return http1.AppendResponseHead(nil, response.status, "", valueSize, request.closesConn, headers)
}

func (h *httpDownstream) value(request *clientRequest, response *upstreamResponse) (head, value []byte) {
	head = h.valueHead(request, response, len(response.body))
	switch {
	case request.headOnly:
		return head, nil
	case len(response.body) <= buffer.MaxEmptyCapacity:
		return append(head, response.body...), nil
	}
	return head, response.body
}

func (h *httpDownstream) valueTrailer() string { return "" }

func (h *httpDownstream) writeReceipt(request *clientRequest, response *upstreamResponse) []byte {
	return append(h.valueHead(request, response, len(response.body)), response.body...)
}

// textResponse encodes a response with a line of text. The text is omitted if the response must have no body.
func (h *httpDownstream) textResponse(request *clientRequest, status int, text string, headers ...string) []byte {
	headers = append(headers, "Content-Type: text/plain; charset=utf-8")
	response := h.beginResponse(status, len(text)+1, request.closesConn, headers...)
	if request.headOnly {
		return response
	}
	response = append(response, text...)
	return append(response, '\n')
}

func (h *httpDownstream) rejected(request *clientRequest, retryAfter time.Duration) []byte {
	if retryAfter <= 0 {
		return h.textResponse(request, 503, "busy")
	}
	seconds := int((retryAfter + time.Second - 1) / time.Second)
	return h.textResponse(request, 503, "busy", "Retry-After: "+strconv.Itoa(seconds))
}

func (h *httpDownstream) failed(request *clientRequest, timedOut bool) []byte {
	if timedOut {
		return h.textResponse(request, 504, "upstream timed out")
	}
	return h.textResponse(request, 502, "failed")
}

func (h *httpDownstream) refusal(reason refusalReason, headOnly bool) []byte {
	switch reason {
	case refusedTimeout:
		return h.textResponse(&clientRequest{closesConn: true}, 408, "request timed out")
	case refusedDuplicateID:
		return h.textResponse(&clientRequest{headOnly: headOnly}, 409, "request id is in use")
	case refusedMalformed:
		return h.textResponse(&clientRequest{headOnly: headOnly}, 400, "missing deadline or unknown service class")
	}
	return h.textResponse(&clientRequest{closesConn: true}, 503, "overloaded")
}

func (h *httpDownstream) readiness(request *clientRequest, phase Phase) []byte {
	if phase == Serving {
		return h.textResponse(request, 200, phase.String())
	}
	return h.textResponse(request, 503, phase.String())
}

func (h *httpDownstream) counters(request *clientRequest, counters *metrics.Counters) []byte {
	var text strings.Builder
	counters.Each(func(name string, count uint64) { fmt.Fprintf(&text, "%s %d\n", name, count) })
	return h.textResponse(request, 200, strings.TrimSuffix(text.String(), "\n"))
}

// announceClose adds the header to the head of a response. The end of a streamed response has no head: that was written
// before.
func (h *httpDownstream) announceClose(response []byte) ([]byte, bool) {
	endOfHead := []byte("\r\n\r\n")
	closing := []byte("\r\nConnection: close\r\n\r\n")
	if !bytes.Contains(response, endOfHead) {
		return response, false
	}
	return bytes.Replace(response, endOfHead, closing, 1), true
}
