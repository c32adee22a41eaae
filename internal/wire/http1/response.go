package http1

import (
	"bytes"
	"errors"
	"net/http"
	"strconv"
)

// The statuses of rejections: the server was at capacity, and the request has not run.
const (
	TooManyRequests    = http.StatusTooManyRequests
	ServiceUnavailable = http.StatusServiceUnavailable
)

// maxHeadSize is the limit, in bytes, of the heads of a message, those of interim responses among them. It is far
// above any that a usual peer sends.
const maxHeadSize = 16 << 10

const (
	firstFinalStatus = 200 // statuses below are those of interim responses
	leastStatus      = 100
)

var (
	errHead   = errors.New("the head of an answer is malformed or too long")
	errLength = errors.New("the length of an answer is malformed or too great")
)

// Response is a response. Its parts lie in the buffer that it was read from, but for a body in chunks.
type Response struct {
	Status  int
	Body    []byte
	Close   bool // the connection ends with it
	headers []byte

	// Of a response of stated length that has not been received as a whole, in bytes. They are 0 with any other.
	TotalSize int // size of the whole response
	HeadSize  int // size of what stands before its body
	BodySize  int // size of the body
}

// Header returns a header's value, or nil where it is absent. One that is empty is not nil.
func (r *Response) Header(name string) []byte {
	value, _ := findHeader(r.headers, name)
	return value
}

// Each calls f for every header line, in order.
func (r *Response) Each(f func(name, value []byte)) { eachHeader(r.headers, f) }

// ReadResponse reads the first response in b, with a body of at most maxBody bytes. A size of 0 without an error asks
// for more bytes; ended says that no more will be received. A response that is received in pieces is read with a
// Progress instead.
func ReadResponse(b []byte, maxBody int, ended bool) (r Response, size int, err error) {
	var p Progress
	return p.ReadResponse(b, maxBody, ended)
}

// ReadResponse does as the function of its name for a response that is received in pieces: b begins with the same
// bytes at each call, until a size or an error is returned. After that the Progress is to be reset for the next one.
func (p *Progress) ReadResponse(b []byte, maxBody int, ended bool) (r Response, size int, err error) {
	for r.Status < firstFinalStatus {
		headSize := 0
		r, headSize, err = readResponseHead(b[size:], maxHeadSize-size)
		if headSize == 0 {
			return r, 0, err
		}
		size += headSize
	}
	length := r.Header("Content-Length")
	coding := r.Header("Transfer-Encoding")
	switch {
	case coding != nil && (length != nil || !bytes.EqualFold(coding, []byte("chunked"))):
		return r, 0, errLength
	case r.Status == http.StatusNoContent || r.Status == http.StatusNotModified:
		return r, size, nil
	case coding != nil:
		size, err = p.readChunkedBody(&r, b, size, maxBody)
	case length != nil:
		size, err = r.readBody(b, size, length, maxBody)
	default:
		size, err = r.readBodyToEnd(b, size, maxBody, ended)
	}
	return r, size, err
}

// readChunkedBody reads a body in chunks behind a head, and returns the size of the response.
func (p *Progress) readChunkedBody(r *Response, b []byte, headSize, maxBody int) (size int, err error) {
	body, bodySize, err := p.chunks(b[headSize:], maxBody)
	r.Body = body
	if bodySize > 0 {
		return headSize + bodySize, nil
	}
	// Guards against a trailer without end, and a body in chunks of single bytes: either would take memory without
	// end while the body is still short.
	if err == nil && len(b) > headSize+2*maxBody+maxHeadSize {
		err = errLength
	}
	return 0, err
}

// readBody reads a body of stated length behind a head, and returns the size of the response.
func (r *Response) readBody(b []byte, headSize int, length []byte, maxBody int) (size int, err error) {
	bodySize, err := strconv.ParseUint(string(length), 10, 32) // unsigned, as a sign is malformed
	if err != nil || bodySize > uint64(maxBody) {
		return 0, errLength
	}
	size = headSize + int(bodySize)
	if len(b) < size {
		r.TotalSize = size
		r.HeadSize = headSize
		r.BodySize = int(bodySize)
		return 0, nil
	}
	r.Body = b[headSize:size]
	return size, nil
}

// readBodyToEnd reads a body that ends with its connection, and returns the size of the response.
func (r *Response) readBodyToEnd(b []byte, headSize, maxBody int, ended bool) (size int, err error) {
	if len(b)-headSize > maxBody {
		return 0, errLength
	}
	if !ended {
		return 0, nil
	}
	r.Body = b[headSize:]
	r.Close = true
	return len(b), nil
}
