package http1

import (
	"bytes"
	"fmt"
	"net/http"
)

// The limits of a request.
const (
	maxTargetSize      = 4 << 10 // bytes of the target
	maxRequestLineRest = 64      // bytes of the request line other than the target
	maxHeaderLines     = 100     // most clients send about a dozen
	maxTrailerSize     = 4 << 10 // bytes of a trailer, of the line of a chunk, and of empty lines before a request
)

// Request is a request. It refers to the buffer that it was read from, except for a chunked body.
type Request struct {
	Method  []byte
	Target  []byte
	Body    []byte
	Close   bool // the connection ends after the response
	headers []byte

	// These are set for an incomplete request.
	Continue  bool // the client waits for status 100 before it sends the body
	TotalSize int  // size of the complete request in bytes, if known
}

// Fault is the reason why a request cannot be served. The connection must be closed after the response: the beginning
// of the next request is unknown, and a server that guesses it may take part of one request for another (request
// smuggling).
type Fault struct {
	Status int
	Reason string
}

// Error returns the status and the reason.
func (f *Fault) Error() string { return fmt.Sprintf("%d %s", f.Status, f.Reason) }

func badRequest(reason string) *Fault { return &Fault{http.StatusBadRequest, reason} }

func bodyTooLong() *Fault { return &Fault{http.StatusRequestEntityTooLarge, "a body that is too long"} }

// Header returns the value of a header, or nil if it is absent. An empty value is not nil.
func (q *Request) Header(name string) []byte {
	value, _ := findHeader(q.headers, name)
	return value
}

// Each calls f for each header line, in order.
func (q *Request) Each(f func(name, value []byte)) { eachHeader(q.headers, f) }

// ReadRequest reads the first request in b, with a body of at most maxBody bytes. A size of 0 without a fault means
// that more bytes are needed. Lines must end with CR LF; empty lines before a request are skipped (RFC 9112, 2.2). To
// read a request that is received in pieces, use Progress.ReadRequest.
func ReadRequest(b []byte, maxBody int) (q Request, size int, fault *Fault) {
	var p Progress
	return p.ReadRequest(b, maxBody)
}

// ReadRequest is like the function ReadRequest, for a request that is received in pieces: b begins with the same bytes
// at each call until a size or a fault is returned. The Progress must then be reset for the next request.
func (p *Progress) ReadRequest(b []byte, maxBody int) (q Request, size int, fault *Fault) {
	skipped, fault := skipEmptyLines(b)
	if fault != nil {
		return q, 0, fault
	}
	b = b[skipped:]
	headSize, fault := q.readHead(b)
	if headSize == 0 || fault != nil {
		return q, 0, fault
	}
	length, chunked, fault := q.framing()
	if fault != nil {
		return q, 0, fault
	}
	expectation := q.Header("Expect")
	expectsContinue := bytes.EqualFold(expectation, []byte("100-continue"))
	if expectation != nil && !expectsContinue {
		return q, 0, &Fault{http.StatusExpectationFailed, "an expectation that is not known"}
	}
	bodyMissing := len(b) == headSize
	switch {
	case chunked:
		body, bodySize, fault := p.requestChunks(b[headSize:], maxBody)
		if bodySize == 0 || fault != nil {
			q.Continue = expectsContinue && bodyMissing
			return q, 0, fault
		}
		q.Body = body
		return q, skipped + headSize + bodySize, nil
	case length > int64(maxBody):
		return q, 0, bodyTooLong()
	}
	size = skipped + headSize + int(length)
	if int64(len(b)-headSize) < length {
		q.Continue = expectsContinue && bodyMissing
		q.TotalSize = size
		return q, 0, nil
	}
	q.Body = b[headSize : headSize+int(length)]
	return q, size, nil
}

func skipEmptyLines(b []byte) (size int, fault *Fault) {
	for bytes.HasPrefix(b[size:], crlf) {
		size += len(crlf)
		if size > maxTrailerSize {
			return 0, badRequest("empty lines without end")
		}
	}
	return size, nil
}
