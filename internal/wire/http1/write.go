package http1

import (
	"net/http"
	"strconv"
	"strings"
)

// NoBody is the size that AppendResponseHead takes for a response that never has a body, and states no length.
const NoBody = -1

const (
	unsafeInTarget = "\"#<>[\\]^{|}`"      // bytes that no URL has as they are, beside space and control bytes
	unsafeInPath   = unsafeInTarget + "%?" // and those that have a meaning of their own in a URL's path
	upperHexDigits = "0123456789ABCDEF"
)

// AppendRequest writes a request. The headers are whole lines with their ends.
func AppendRequest(to []byte, method string, path []byte, host string, headers, body []byte) []byte {
	to = append(to, method...)
	to = append(to, ' ')
	to = append(to, path...)
	to = append(to, " HTTP/1.1\r\nHost: "...)
	to = append(to, host...)
	to = append(to, lineEnd...)
	to = append(to, headers...)
	if method != http.MethodGet {
		to = appendLength(to, len(body))
	}
	to = append(to, lineEnd...)
	return append(to, body...)
}

// AppendPath writes a key as one segment of a path.
func AppendPath(to, key []byte) []byte { return appendEscaped(to, key, unsafeInPath) }

// AppendTarget writes a key that is what a URL has behind its first slash: its query stays a query, and what is
// escaped in it stays so.
func AppendTarget(to, key []byte) []byte { return appendEscaped(to, key, unsafeInTarget) }

func appendEscaped(to, key []byte, unsafe string) []byte {
	to = append(to, '/')
	for _, c := range key {
		if c <= ' ' || c >= deleteByte || strings.IndexByte(unsafe, c) >= 0 {
			to = append(to, '%', upperHexDigits[c>>4], upperHexDigits[c&0xf])
		} else {
			to = append(to, c)
		}
	}
	return to
}

// AppendResponseHead writes the head of a response with a body of a size in bytes, or NoBody. The date is left out
// where it is empty; isLast says that the connection ends with the response. The headers are lines without their ends.
func AppendResponseHead(to []byte, status int, date string, size int, isLast bool, headers ...string) []byte {
	to = append(to, "HTTP/1.1 "...)
	to = strconv.AppendInt(to, int64(status), 10)
	to = append(to, ' ')
	to = append(to, http.StatusText(status)...)
	to = append(to, lineEnd...)
	if date != "" {
		to = append(to, "Date: "...)
		to = append(to, date...)
		to = append(to, lineEnd...)
	}
	if size != NoBody {
		to = appendLength(to, size)
	}
	for _, header := range headers {
		to = append(to, header...)
		to = append(to, lineEnd...)
	}
	if isLast {
		to = append(to, "Connection: close\r\n"...)
	}
	return append(to, lineEnd...)
}

func appendLength(to []byte, size int) []byte {
	to = append(to, "Content-Length: "...)
	to = strconv.AppendInt(to, int64(size), 10)
	return append(to, lineEnd...)
}
