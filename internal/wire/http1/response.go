// Package http1 writes requests and reads answers of HTTP/1.1, as far as one asker with one request out on a
// connection needs it.
package http1

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
)

// The statuses of answers that refuse for having too much to do, and say nothing of what was asked.
const (
	TooMany     = 429
	Unavailable = 503
)

const maxHead = 16 << 10 // bytes of the heads of an answer, interim ones among them: far above any honest ones

// Answer is one answer. Its parts lie in the buffer it was read from, but for a body that came in chunks.
type Response struct {
	Status    int
	Body      []byte
	Close     bool // the connection ends with it
	TotalSize int  // with a size of 0: how many bytes it will have in all, where that is known
	HeadSize  int  // and how many bytes stand before its body
	BodySize  int  // and the body has
	headers   []byte
}

var (
	errHead   = errors.New("the head of an answer is malformed or too long")
	errLength = errors.New("the length of an answer is malformed or too great")
)

// AppendRequest writes a request; headers are whole lines with their ends.
func AppendRequest(to []byte, method string, path []byte, host string, headers, body []byte) []byte {
	to = append(append(append(append(to, method...), ' '), path...), " HTTP/1.1\r\nHost: "...)
	to = append(append(append(to, host...), "\r\n"...), headers...)
	if method != "GET" {
		to = strconv.AppendInt(append(to, "Content-Length: "...), int64(len(body)), 10)
		to = append(to, "\r\n"...)
	}
	return append(append(to, "\r\n"...), body...)
}

// AppendPath writes a key as one segment of a path.
func AppendPath(to, key []byte) []byte { return appendKey(to, key, "%?") }

// AppendTarget writes a key that is what a URL has behind its first slash: its query stays one, and what it has encoded stays so.
func AppendTarget(to, key []byte) []byte { return appendKey(to, key, "") }

func appendKey(to, key []byte, also string) []byte {
	const hex = "0123456789ABCDEF"
	to = append(to, '/')
	for _, c := range key {
		if c <= ' ' || c >= 0x7f || strings.IndexByte(`"#<>[\]^{|}`+"`"+also, c) >= 0 {
			to = append(to, '%', hex[c>>4], hex[c&15])
		} else {
			to = append(to, c)
		}
	}
	return to
}

// Header returns a header's value, or nil where it does not stand.
func (a *Response) Header(name string) []byte {
	value, _ := a.header(name)
	return value
}

// header also tells whether the header says the same each time it stands.
func (a *Response) header(name string) (value []byte, agreed bool) {
	agreed = true
	for rest := a.headers; len(rest) > 0; {
		var row []byte
		row, rest, _ = bytes.Cut(rest, []byte("\r\n"))
		if n, v, ok := bytes.Cut(row, []byte(":")); ok && bytes.EqualFold(n, []byte(name)) {
			if v = bytes.TrimSpace(v); v == nil {
				v = row[:0] // it stands, and says nothing
			}
			if value == nil {
				value = v
			}
			agreed = agreed && bytes.Equal(v, value)
		}
	}
	return value, agreed
}

// ReadAnswer reads the first answer in b, with a body of at most so many bytes. A size of 0 asks for more; ended
// says that no more will come. Who reads an answer as it comes keeps a Progress instead.
func ReadResponse(b []byte, maxBody int, ended bool) (a Response, size int, err error) {
	var p Progress
	return p.ReadResponse(b, maxBody, ended)
}

// ReadAnswer is ReadAnswer for an answer that comes in pieces: b begins with the same bytes at each call, until a size or an error is returned.
// After that the Progress is to be reset for the next answer.
func (p *Progress) ReadResponse(b []byte, maxBody int, ended bool) (a Response, size int, err error) {
	for a.Status < 200 { // interim ones say nothing; the real one follows
		n := 0
		if a, n, err = readHead(b[size:], maxHead-size); n == 0 {
			return a, 0, err
		}
		size += n
	}
	declared, coded := a.Header("Content-Length"), a.Header("Transfer-Encoding")
	switch {
	case coded != nil && (declared != nil || !bytes.EqualFold(coded, []byte("chunked"))):
		return a, 0, errLength
	case a.Status == 204 || a.Status == 304:
		return a, size, nil
	case coded != nil:
		n := 0
		if a.Body, n, err = p.chunks(b[size:], maxBody); n == 0 {
			if err == nil && len(b) > size+2*maxBody+maxHead {
				err = errLength // a trailer without end, or a body in single bytes
			}
			return a, 0, err
		}
		return a, size + n, nil
	case declared != nil:
		n, bad := strconv.ParseUint(string(declared), 10, 32) // not signed: no sign is taken
		if bad != nil || n > uint64(maxBody) {
			return a, 0, errLength
		}
		if uint64(len(b)-size) < n {
			a.TotalSize, a.HeadSize, a.BodySize = size+int(n), size, int(n)
			return a, 0, nil
		}
		a.Body = b[size : size+int(n)]
		return a, size + int(n), nil
	case len(b)-size > maxBody:
		return a, 0, errLength
	case !ended:
		return a, 0, nil
	}
	a.Body, a.Close = b[size:], true
	return a, len(b), nil
}

// readHead reads a status line and headers of at most so many bytes. What has come of one that has not ended is
// looked at as well: who sends noise may never end it.
func readHead(b []byte, most int) (a Response, size int, err error) {
	const version, ends = "HTTP/1.", "\r\n"
	if n := min(len(b), len(version)); string(b[:n]) != version[:n] {
		return a, 0, errHead
	}
	status, headers, whole := bytes.Cut(b[:min(len(b), most)], []byte(ends))
	if !whole {
		if len(b) >= most {
			return a, 0, errHead
		}
		return a, 0, nil
	}
	if len(status) < 12 || status[8] != ' ' || len(status) > 12 && status[12] != ' ' {
		return a, 0, errHead
	}
	code, bad := strconv.ParseUint(string(status[9:12]), 10, 16)
	if bad != nil || code < 100 {
		return a, 0, errHead
	}
	a.Status = int(code)
	for rest := headers; ; {
		row, next, whole := bytes.Cut(rest, []byte(ends))
		switch name, _, named := bytes.Cut(row, []byte(":")); {
		case !whole && len(b) >= most:
			return a, 0, errHead
		case !whole:
			return a, 0, nil
		case len(row) == 0:
			a.headers = headers[:len(headers)-len(rest)]
			for _, once := range []string{"Content-Length", "Transfer-Encoding"} { // two that differ tell nothing
				if _, agreed := a.header(once); !agreed {
					return a, 0, errLength
				}
			}
			a.Close = status[7] == '0' || bytes.EqualFold(a.Header("Connection"), []byte("close"))
			return a, len(status) + len(ends) + len(headers) - len(next), nil
		case !named || len(name) == 0 || bytes.ContainsAny(name, " \t"):
			return a, 0, errHead
		}
		rest = next
	}
}
