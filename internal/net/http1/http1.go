// Package http1 writes requests and reads answers of HTTP/1.1, as far as one asker with one request out on a
// connection needs it.
package http1

import (
	"bytes"
	"errors"
	"strconv"
)

const maxHead = 16 << 10 // bytes of a status line and headers: far above any honest one

// Answer is one answer. Its parts lie in the buffer it was read from, but for a body that came in chunks.
type Answer struct {
	Status  int
	Body    []byte
	Last    bool // the connection ends with it
	headers []byte
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
func AppendPath(to, key []byte) []byte {
	const hex = "0123456789ABCDEF"
	to = append(to, '/')
	for _, c := range key {
		if c <= ' ' || c >= 0x7f || bytes.IndexByte([]byte(`"#%<>?[\]^{|}`+"`"), c) >= 0 {
			to = append(to, '%', hex[c>>4], hex[c&15])
		} else {
			to = append(to, c)
		}
	}
	return to
}

// Header returns a header's value, or nil.
func (a *Answer) Header(name string) []byte {
	for rest := a.headers; len(rest) > 0; {
		var row []byte
		row, rest, _ = bytes.Cut(rest, []byte("\r\n"))
		if n, v, ok := bytes.Cut(row, []byte(":")); ok && bytes.EqualFold(n, []byte(name)) {
			return bytes.TrimSpace(v)
		}
	}
	return nil
}

// ReadAnswer reads the first answer in b, with a body of at most so many bytes. A size of 0 asks for more; ended
// says that no more will come.
func ReadAnswer(b []byte, maxBody int, ended bool) (a Answer, size int, err error) {
	head := bytes.Index(b[:min(len(b), maxHead)], []byte("\r\n\r\n"))
	if head < 0 {
		if len(b) >= maxHead {
			return a, 0, errHead
		}
		return a, 0, nil
	}
	status, headers, _ := bytes.Cut(b[:head+2], []byte("\r\n"))
	a.headers = headers
	if len(status) < 12 || !bytes.HasPrefix(status, []byte("HTTP/1.")) || status[8] != ' ' {
		return a, 0, errHead
	}
	if a.Status, err = strconv.Atoi(string(status[9:12])); err != nil || a.Status < 100 {
		return a, 0, errHead
	}
	a.Last = status[7] == '0' || bytes.EqualFold(a.Header("Connection"), []byte("close"))
	size = head + 4
	switch declared := a.Header("Content-Length"); {
	case a.Status < 200: // an interim answer says nothing; the real one follows
		rest, n, err := ReadAnswer(b[size:], maxBody, ended)
		if n > 0 {
			n += size
		}
		return rest, n, err
	case a.Status == 204 || a.Status == 304:
		return a, size, nil
	case bytes.EqualFold(a.Header("Transfer-Encoding"), []byte("chunked")):
		n := 0
		if a.Body, n, err = chunks(b[size:], maxBody); n == 0 {
			return a, 0, err
		}
		return a, size + n, nil
	case declared != nil:
		n, bad := strconv.Atoi(string(declared))
		if bad != nil || n < 0 || n > maxBody {
			return a, 0, errLength
		}
		if len(b) < size+n {
			return a, 0, nil
		}
		a.Body = b[size : size+n]
		return a, size + n, nil
	case len(b)-size > maxBody:
		return a, 0, errLength
	case !ended:
		return a, 0, nil
	}
	a.Body, a.Last = b[size:], true
	return a, len(b), nil
}

// row cuts off the line that starts at n; next is 0 until it has ended.
func row(b []byte, n int) (text []byte, next int, err error) {
	end := bytes.Index(b[n:], []byte("\r\n"))
	if end < 0 && len(b)-n > maxHead {
		return nil, 0, errHead
	}
	if end < 0 {
		return nil, 0, nil
	}
	return b[n : n+end], n + end + 2, nil
}

// chunks joins a body sent in chunks; n is 0 until it has ended.
func chunks(b []byte, maxBody int) (body []byte, n int, err error) {
	for {
		text, next, err := row(b, n)
		if next == 0 {
			return nil, 0, err
		}
		digits, _, _ := bytes.Cut(text, []byte(";"))
		long, bad := strconv.ParseUint(string(bytes.TrimSpace(digits)), 16, 32)
		if bad != nil || len(body)+int(long) > maxBody {
			return nil, 0, errLength
		}
		if n = next; long == 0 {
			break
		}
		if len(b) < n+int(long)+2 {
			return nil, 0, nil
		}
		body = append(body, b[n:n+int(long)]...)
		if n += int(long); b[n] != '\r' || b[n+1] != '\n' {
			return nil, 0, errLength
		}
		n += 2
	}
	for { // a trailer, and the empty line behind it
		text, next, err := row(b, n)
		if next == 0 || len(text) == 0 {
			return body, next, err
		}
		n = next
	}
}
