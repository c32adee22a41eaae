package http1

import (
	"bytes"
	"strconv"
)

// responseVersion is the prefix of each status line.
const responseVersion = "HTTP/1."

// The positions in a status line: "HTTP/1.1 200 OK".
const (
	minorVersionAt = len(responseVersion)
	statusSpaceAt  = minorVersionAt + 1
	statusAt       = statusSpaceAt + 1
	statusEnd      = statusAt + 3
)

// readResponseHead reads a status line and headers of at most limit bytes. A size of 0 without an error means that more
// bytes are needed. The prefix of an incomplete status line is checked at once: a server that sends garbage may never
// end the line, and its attempt would otherwise wait until it times out.
func readResponseHead(b []byte, limit int) (r Response, size int, err error) {
	n := min(len(b), len(responseVersion))
	if string(b[:n]) != responseVersion[:n] {
		return r, 0, errHead
	}
	statusLine, headers, complete := bytes.Cut(b[:min(len(b), limit)], crlf)
	if !complete {
		return r, 0, incompleteHead(b, limit)
	}
	status, ok := parseStatus(statusLine)
	if !ok {
		return r, 0, errHead
	}
	r.Status = status
	rest := headers
	for {
		line, next, complete := bytes.Cut(rest, crlf)
		if !complete {
			return r, 0, incompleteHead(b, limit)
		}
		if len(line) == 0 {
			r.headers = headers[:len(headers)-len(rest)]
			size = len(statusLine) + len(crlf) + len(headers) - len(next)
			break
		}
		name, _, ok := bytes.Cut(line, []byte(":"))
		if !ok || len(name) == 0 || bytes.ContainsAny(name, " \t") {
			return r, 0, errHead
		}
		rest = next
	}
	if !r.hasOneLength() {
		return r, 0, errLength
	}
	isHTTP10 := statusLine[minorVersionAt] == '0'
	r.Close = isHTTP10 || bytes.EqualFold(r.Header("Connection"), []byte("close"))
	return r, size, nil
}

// incompleteHead returns an error if an incomplete head is already too long.
func incompleteHead(b []byte, limit int) error {
	if len(b) >= limit {
		return errHead
	}
	return nil
}

func parseStatus(statusLine []byte) (status int, ok bool) {
	if len(statusLine) < statusEnd || statusLine[statusSpaceAt] != ' ' {
		return 0, false
	}
	if len(statusLine) > statusEnd && statusLine[statusEnd] != ' ' {
		return 0, false
	}
	code, err := strconv.ParseUint(string(statusLine[statusAt:statusEnd]), 10, 16)
	return int(code), err == nil && code >= minStatus
}

// hasOneLength reports whether the headers for the length have a single value each. It guards against a response with
// two lengths, which would be truncated at the first and served as a complete value.
func (r *Response) hasOneLength() bool {
	_, lengthsAgree := findHeader(r.headers, "Content-Length")
	_, codingsAgree := findHeader(r.headers, "Transfer-Encoding")
	return lengthsAgree && codingsAgree
}
