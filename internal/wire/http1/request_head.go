package http1

import (
	"bytes"
	"net/http"
)

// The positions in a request's version: "HTTP/1.1".
const (
	requestVersionSize = 8
	majorVersionAt     = 5
	versionPointAt     = 6
	minorDigitAt       = 7
)

// readHead reads the request line and the headers. A size of 0 without a fault asks for more bytes.
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
	isOld := minorVersion == '0'
	connection := q.Header("Connection")
	q.Close = HasToken(connection, "close") || isOld && !HasToken(connection, "keep-alive")
	if hostLines != 1 && !isOld || hostLines > 1 {
		return 0, badRequest("no host, or several")
	}
	if isOld && q.Header("Transfer-Encoding") != nil { // its framing is faulty (RFC 9112, 6.1)
		return 0, badRequest("a transfer coding in HTTP/1.0")
	}
	return size, nil
}

// readRequestLine reads the first line: method, target and version, with one space between them.
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

// isTarget tells whether a text can be a target for every reader.
func isTarget(b []byte) bool {
	return len(b) > 0 && isValue(b) && bytes.IndexByte(b, ' ') < 0 && bytes.IndexByte(b, '\t') < 0
}

// readHeaders reads the header lines, which begin at a position, up to the empty line behind them. It returns how
// many of them are Host lines, and where the head ends, or 0 to ask for more bytes.
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
		// A folded line, and one with space before its colon, have no token for a name, and are refused here.
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
// 0 until the line has ended. A line feed without its carriage return, or the other way round, is refused: some
// readers take it for the end of a line, others for part of its text.
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
