package http1

import (
	"bytes"
	"fmt"
	"net/http"
)

// The limits of what a request may have.
const (
	maxTargetSize      = 4 << 10 // bytes of the target
	maxRequestLineRest = 64      // bytes of the request line beside the target
	maxHeaderLines     = 100     // a usual client sends a dozen
	maxTrailerSize     = 4 << 10 // bytes of a trailer, of each chunk's line, and of empty lines before a request
)

// Request is a request. Its parts lie in the buffer that it was read from, but for a body in chunks.
type Request struct {
	Method  []byte
	Target  []byte
	Body    []byte
	Close   bool // the connection ends with its response
	headers []byte

	// Of a request that has not been received as a whole.
	Continue  bool // the client waits for the status 100 before it sends the body
	TotalSize int  // size of the whole request, in bytes, where that is known
}

// Fault says why a request cannot be served. The connection ends with the response that tells so: it cannot be known
// where the next request begins, and a server that guesses may take part of one for another (request smuggling).
type Fault struct {
	Status int
	Reason string
}

// Error returns the status and the reason.
func (f *Fault) Error() string { return fmt.Sprintf("%d %s", f.Status, f.Reason) }

func badRequest(reason string) *Fault { return &Fault{http.StatusBadRequest, reason} }

func bodyTooLong() *Fault { return &Fault{http.StatusRequestEntityTooLarge, "a body that is too long"} }

// Header returns a header's value, or nil where it is absent. One that is empty is not nil.
func (q *Request) Header(name string) []byte {
	value, _ := findHeader(q.headers, name)
	return value
}

// Each calls f for every header line, in order.
func (q *Request) Each(f func(name, value []byte)) { eachHeader(q.headers, f) }

// ReadRequest reads the first request in b, with a body of at most maxBody bytes. A size of 0 without a fault asks for
// more bytes. Lines end with CR and LF only; empty ones before a request are skipped (RFC 9112, 2.2). A request that
// is received in pieces is read with a Progress instead.
func ReadRequest(b []byte, maxBody int) (q Request, size int, fault *Fault) {
	var p Progress
	return p.ReadRequest(b, maxBody)
}

// ReadRequest does as the function of its name for a request that is received in pieces: b begins with the same bytes
// at each call, until a size or a fault is returned. After that the Progress is to be reset for the next one.
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
