package http1

import (
	"net/http"
	"strconv"
	"strings"
)

// NoBody is the size to pass to AppendResponseHead for a response without a body and without a Content-Length.
const NoBody = -1

const (
	unsafeInTarget = "\"#<>[\\]^{|}`"      // bytes to escape in a URL, besides space and control bytes
	unsafeInPath   = unsafeInTarget + "%?" // also the bytes with a special meaning in the path of a URL
	upperHexDigits = "0123456789ABCDEF"
)

// AppendRequest appends a request. The headers are complete lines with their line ends. A body always has a length: one
// without would be read as the next request on the connection. An empty one has a length if the method expects a body.
func AppendRequest(to []byte, method string, path []byte, host string, headers, body []byte) []byte {
	to = append(to, method...)
	to = append(to, ' ')
	to = append(to, path...)
	to = append(to, " HTTP/1.1\r\nHost: "...)
	to = append(to, host...)
	to = append(to, lineEnd...)
	to = append(to, headers...)
	if len(body) > 0 || method != http.MethodGet {
		to = appendLength(to, len(body))
	}
	to = append(to, lineEnd...)
	return append(to, body...)
}

// AppendPath appends a key as a single path segment.
func AppendPath(to, key []byte) []byte { return appendEscaped(to, key, unsafeInPath) }

// AppendTarget appends a key that is the part of a URL after its first slash: its query and its escape sequences are
// preserved.
func AppendTarget(to, key []byte) []byte { return appendEscaped(to, key, unsafeInTarget) }

func appendEscaped(to, key []byte, unsafe string) []byte {
	to = append(to, '/')
	for _, c := range key {
		if c <= ' ' || c >= asciiDEL || strings.IndexByte(unsafe, c) >= 0 {
			to = append(to, '%', upperHexDigits[c>>4], upperHexDigits[c&0xf])
		} else {
			to = append(to, c)
		}
	}
	return to
}

// AppendResponseHead appends the head of a response whose body has the given size in bytes, or NoBody. An empty date is
// omitted; isLast means that the connection ends after the response. The headers are lines without their line ends.
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
