package http1

import (
	"bytes"
	"errors"
	"net/http"
	"strconv"
)

// The statuses of rejections: the server was at capacity and did not run the request.
const (
	TooManyRequests    = http.StatusTooManyRequests
	ServiceUnavailable = http.StatusServiceUnavailable
)

// maxHeadSize limits the total size, in bytes, of the heads of a message, including those of interim responses. It is
// far above what usual peers send.
const maxHeadSize = 16 << 10

const (
	firstFinalStatus = 200 // statuses below are interim responses
	minStatus        = 100
)

var (
	errHead   = errors.New("the head of an answer is malformed or too long")
	errLength = errors.New("the length of an answer is malformed or too great")
)

// Response is a response. It refers to the buffer that it was read from, except for a chunked body.
type Response struct {
	Status  int
	Body    []byte
	Close   bool // the connection ends after the response
	headers []byte

	// Sizes in bytes of an incomplete response with a Content-Length. They are 0 for any other response.
	TotalSize int // size of the whole response
	HeadSize  int // size of everything before the body
	BodySize  int // size of the body
}

// Header returns the value of a header, or nil if it is absent. An empty value is not nil.
func (r *Response) Header(name string) []byte {
	value, _ := findHeader(r.headers, name)
	return value
}

// Each calls f for each header line, in order.
func (r *Response) Each(f func(name, value []byte)) { eachHeader(r.headers, f) }

// ReadResponse reads the first response in b, with a body of at most maxBody bytes. A size of 0 without an error means
// that more bytes are needed; ended means that no more will be received. To read a response that is received in pieces,
// use Progress.ReadResponse.
func ReadResponse(b []byte, maxBody int, ended bool) (r Response, size int, err error) {
	var p Progress
	return p.ReadResponse(b, maxBody, ended)
}

// ReadResponse is like the function ReadResponse, for a response that is received in pieces: b begins with the same
// bytes at each call until a size or an error is returned. The Progress must then be reset for the next response.
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

// readChunkedBody reads a chunked body after the head and returns the size of the response.
func (p *Progress) readChunkedBody(r *Response, b []byte, headSize, maxBody int) (size int, err error) {
	body, bodySize, err := p.chunks(b[headSize:], maxBody)
	r.Body = body
	if bodySize > 0 {
		return headSize + bodySize, nil
	}
	// Guards against an endless trailer and a body in chunks of single bytes: either would use unbounded memory while
	// the body itself is within its limit.
	if err == nil && len(b) > headSize+2*maxBody+maxHeadSize {
		err = errLength
	}
	return 0, err
}

// readBody reads a body with a Content-Length after the head and returns the size of the response.
func (r *Response) readBody(b []byte, headSize int, length []byte, maxBody int) (size int, err error) {
	bodySize, err := strconv.ParseUint(string(length), 10, 32) // unsigned, as a sign is invalid
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

// readBodyToEnd reads a body that ends with the connection and returns the size of the response.
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
