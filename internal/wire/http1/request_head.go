package http1

import (
	"bytes"
	"net/http"
)

// The positions in the version of a request: "HTTP/1.1".
const (
	requestVersionSize = 8
	majorVersionAt     = 5
	versionPointAt     = 6
	minorDigitAt       = 7
)

// readHead reads the request line and the headers. A size of 0 without a fault means that more bytes are needed.
func (q *Request) readHead(b []byte) (size int, fault *Fault) {
	tooLong := &Fault{http.StatusRequestURITooLong, "a target that is too long"}
	line, headersAt, fault := cutRequestLine(b, 0, maxTargetSize+maxRequestLineRest, tooLong)
	if headersAt == 0 || fault != nil {
		return 0, fault
	}
	minorVersion, fault := q.readRequestLine(line)
	if fault != nil {
		return 0, fault
	}
	hostLines, size, fault := q.readHeaders(b, headersAt)
	if size == 0 || fault != nil {
		return 0, fault
	}
	isHTTP10 := minorVersion == '0'
	connection := q.Header("Connection")
	q.Close = HasToken(connection, "close") || isHTTP10 && !HasToken(connection, "keep-alive")
	if hostLines != 1 && !isHTTP10 || hostLines > 1 {
		return 0, badRequest("no host, or several")
	}
	if isHTTP10 && q.Header("Transfer-Encoding") != nil { // invalid framing (RFC 9112, 6.1)
		return 0, badRequest("a transfer coding in HTTP/1.0")
	}
	return size, nil
}

// readRequestLine parses the request line: method, target and version, separated by single spaces.
func (q *Request) readRequestLine(line []byte) (minorVersion byte, fault *Fault) {
	method, rest, hasTarget := bytes.Cut(line, []byte(" "))
	target, version, hasVersion := bytes.Cut(rest, []byte(" "))
	if !hasTarget || !hasVersion || !isToken(method) || !isTarget(target) {
		return 0, badRequest("a request line that can't be read")
	}
	isVersion := len(version) == requestVersionSize && string(version[:majorVersionAt]) == "HTTP/" &&
		version[versionPointAt] == '.'
	if !isVersion {
		return 0, badRequest("a version that can't be read")
	}
	if version[majorVersionAt] != '1' {
		return 0, &Fault{http.StatusHTTPVersionNotSupported, "a version that is not spoken here"}
	}
	q.Method = method
	q.Target = target
	return version[minorDigitAt], nil
}

// isTarget reports whether b is a target that every parser accepts.
func isTarget(b []byte) bool {
	return len(b) > 0 && isValue(b) && bytes.IndexByte(b, ' ') < 0 && bytes.IndexByte(b, '\t') < 0
}

// readHeaders reads the header lines from a position to the empty line after them. It returns the number of Host lines
// and the end of the head, which is 0 if more bytes are needed.
func (q *Request) readHeaders(b []byte, begin int) (hostLines, end int, fault *Fault) {
	at := begin
	for count := 0; ; count++ {
		tooLong := &Fault{http.StatusRequestHeaderFieldsTooLarge, "a header that is too long"}
		line, next, fault := cutRequestLine(b, at, maxHeadSize, tooLong)
		switch {
		case fault != nil:
			return 0, 0, fault
		case next == 0 && len(b)-begin > maxHeadSize:
			return 0, 0, &Fault{http.StatusRequestHeaderFieldsTooLarge, "headers that are too long"}
		case next == 0:
			return 0, 0, nil
		case count > maxHeaderLines || next-begin > maxHeadSize:
			return 0, 0, &Fault{http.StatusRequestHeaderFieldsTooLarge, "too many headers"}
		case len(line) == 0:
			q.headers = b[begin:at]
			return hostLines, next, nil
		}
		// The name of a folded line or of one with a space before the colon is not a token, so these are rejected here.
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || !IsField(name, value) {
			return 0, 0, badRequest("a header that can't be read")
		}
		if bytes.EqualFold(name, []byte("Host")) {
			hostLines++
		}
		at = next
	}
}

// cutRequestLine cuts off the line that begins at a position, of at most limit bytes. The position of the next line is
// 0 while the line is incomplete. A bare line feed or carriage return is rejected: some parsers take it for the end of
// the line, others for part of its text.
func cutRequestLine(b []byte, at, limit int, tooLong *Fault) (line []byte, next int, fault *Fault) {
	size := bytes.IndexAny(b[at:], "\r\n")
	if size > limit || size < 0 && len(b)-at > limit {
		return nil, 0, tooLong
	}
	if size < 0 {
		return nil, 0, nil
	}
	end := at + size
	isLastByte := end+1 == len(b)
	switch {
	case b[end] == '\r' && isLastByte:
		return nil, 0, nil
	case b[end] == '\n' || b[end+1] != '\n':
		return nil, 0, badRequest("a line that does not end by CR and LF")
	}
	return b[at:end], end + len(lineEnd), nil
}
