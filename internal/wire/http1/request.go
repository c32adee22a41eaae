package http1

import (
	"bytes"
	"strconv"
)

const (
	maxTarget  = 4 << 10 // bytes of a request's target
	maxHeaders = 100     // header lines: a usual client sends a dozen
	maxTrailer = 4 << 10 // bytes of a trailer, and of each line that announces a chunk
)

// Request is one request. Its parts lie in the buffer it was read from, but for a body that came in chunks.
type Request struct {
	Method, Target []byte
	Body           []byte
	Close          bool // the connection ends with its answer
	Continue       bool // with a size of 0: the client waits for 100 before it sends the body
	TotalSize      int  // with a size of 0: how many bytes it will have in all, where that is known
	headers        []byte
}

// Fault is why a request can't be served. The connection ends with the answer that tells so: where the next request begins
// can't be known, and whoever guesses may take part of one for another (request smuggling).
type Fault struct {
	Status int
	Reason string
}

func (f *Fault) Error() string { return strconv.Itoa(f.Status) + " " + f.Reason }

func bad(reason string) *Fault { return &Fault{400, reason} }

// Header returns a header's value, or nil where it does not stand.
func (q *Request) Header(name string) []byte { return (&Response{headers: q.headers}).Header(name) }

// Each calls f for every header line, in order.
func (q *Request) Each(f func(name, value []byte)) { each(q.headers, f) }

// Each calls f for every header line, in order.
func (a *Response) Each(f func(name, value []byte)) { each(a.headers, f) }

func each(headers []byte, f func(name, value []byte)) {
	for rest := headers; len(rest) > 0; {
		var line []byte
		line, rest, _ = bytes.Cut(rest, crlf)
		name, value, _ := bytes.Cut(line, []byte(":"))
		f(name, bytes.Trim(value, " \t"))
	}
}

var crlf = []byte("\r\n")

// token are the bytes that may stand in a method or a field's name (RFC 9110, 5.6.2).
var token = func() (is [256]bool) {
	for _, c := range []byte("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") {
		is[c] = true
	}
	return is
}()

// IsField tells whether a name and a value can stand as a header's line for every reader.
func IsField(name, value []byte) bool { return isToken(name) && plainText(value, true) }

func isToken(b []byte) bool {
	for _, c := range b {
		if !token[c] {
			return false
		}
	}
	return len(b) > 0
}

// plainText tells whether a field's value, or a target, holds nothing that another reader may take for the end of a line.
func plainText(b []byte, spaces bool) bool {
	for _, c := range b {
		if c < ' ' && !(spaces && c == '\t') || c == 0x7f || c == ' ' && !spaces {
			return false
		}
	}
	return true
}

// ReadRequest reads the first request in b, with a body of at most so many bytes. A size of 0 asks for more bytes. Lines
// end by CR and LF only; empty ones before a request are passed over, as RFC 9112 (2.2) asks.
// Who reads a request as it comes keeps a Progress instead.
func ReadRequest(b []byte, maxBody int) (q Request, size int, fault *Fault) {
	var p Progress
	return p.ReadRequest(b, maxBody)
}

// ReadRequest is ReadRequest for a request that comes in pieces: b begins with the same bytes at each call, until a size or a fault is returned.
// After that the Progress is to be reset for the next request.
func (p *Progress) ReadRequest(b []byte, maxBody int) (q Request, size int, fault *Fault) {
	skipped := 0
	for bytes.HasPrefix(b[skipped:], crlf) {
		if skipped += 2; skipped > maxTrailer {
			return q, 0, bad("empty lines without end")
		}
	}
	b = b[skipped:]
	head, fault := readRequestHead(b, &q)
	if head == 0 || fault != nil {
		return q, 0, fault
	}
	length, chunked, fault := q.framing()
	if fault != nil {
		return q, 0, fault
	}
	expects := bytes.EqualFold(q.Header("Expect"), []byte("100-continue"))
	if q.Header("Expect") != nil && !expects {
		return q, 0, &Fault{417, "an expectation that is not known"}
	}
	switch {
	case chunked:
		body, n, fault := p.requestChunks(b[head:], maxBody)
		if n == 0 || fault != nil {
			q.Continue = expects && len(b) == head
			return q, 0, fault
		}
		q.Body = body
		return q, skipped + head + n, nil
	case length > int64(maxBody):
		return q, 0, &Fault{413, "a body that is too long"}
	case int64(len(b)-head) < length:
		q.Continue, q.TotalSize = expects && len(b) == head, skipped+head+int(length)
		return q, 0, nil
	}
	q.Body = b[head : head+int(length)]
	return q, skipped + head + int(length), nil
}

// readRequestHead reads the request line and the headers; a size of 0 asks for more.
func readRequestHead(b []byte, q *Request) (size int, fault *Fault) {
	text, at, fault := requestLine(b, 0, maxTarget+64, &Fault{414, "a target that is too long"})
	if at == 0 || fault != nil {
		return 0, fault
	}
	method, rest, spaced := bytes.Cut(text, []byte(" "))
	target, version, again := bytes.Cut(rest, []byte(" "))
	switch {
	case !spaced || !again || !isToken(method) || len(target) == 0 || !plainText(target, false):
		return 0, bad("a request line that can't be read")
	case len(version) != 8 || string(version[:5]) != "HTTP/" || version[6] != '.':
		return 0, bad("a version that can't be read")
	case version[5] != '1':
		return 0, &Fault{505, "a version that is not spoken here"}
	}
	q.Method, q.Target = method, target
	old := version[7] == '0'
	from, hosts := at, 0
	for n := 0; ; n++ {
		line, next, fault := requestLine(b, at, maxHead, &Fault{431, "a header that is too long"})
		switch {
		case fault != nil:
			return 0, fault
		case next == 0:
			if len(b)-from > maxHead {
				return 0, &Fault{431, "headers that are too long"}
			}
			return 0, nil
		case n > maxHeaders || next-from > maxHead:
			return 0, &Fault{431, "too many headers"}
		}
		if len(line) == 0 {
			q.headers = b[from:at]
			connection := q.Header("Connection")
			q.Close = HasToken(connection, "close") || old && !HasToken(connection, "keep-alive")
			if hosts != 1 && !old || hosts > 1 {
				return 0, bad("no host, or several")
			}
			if old && q.Header("Transfer-Encoding") != nil { // RFC 9112, 6.1: its framing is faulty
				return 0, bad("a transfer coding in HTTP/1.0")
			}
			return next, nil
		}
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || !isToken(name) || !plainText(value, true) { // spaces before the colon and folded lines are such
			return 0, bad("a header that can't be read")
		}
		if bytes.EqualFold(name, []byte("Host")) {
			hosts++
		}
		at = next
	}
}

// requestLine cuts off the line that starts at n; next is 0 until it has ended. A line feed without its carriage return, or
// the other way round, ends no line and is none of its text.
func requestLine(b []byte, n, most int, long *Fault) (text []byte, next int, fault *Fault) {
	end := bytes.IndexAny(b[n:], "\r\n")
	switch {
	case end > most || end < 0 && len(b)-n > most:
		return nil, 0, long
	case end < 0, b[n+end] == '\r' && n+end+1 == len(b):
		return nil, 0, nil
	case b[n+end] == '\n' || b[n+end+1] != '\n':
		return nil, 0, bad("a line that does not end by CR and LF")
	}
	return b[n : n+end], n + end + 2, nil
}

// Has tells whether a list of tokens has one, whatever its case.
func HasToken(list []byte, name string) bool {
	for len(list) > 0 {
		var item []byte
		item, list, _ = bytes.Cut(list, []byte(","))
		if bytes.EqualFold(bytes.TrimSpace(item), []byte(name)) {
			return true
		}
	}
	return false
}

// framing tells how long the body is. Every shape that two readers might take differently is refused: both lengths, two
// lengths (even if alike), a list, a sign, another coding than chunked.
func (q *Request) framing() (length int64, chunked bool, fault *Fault) {
	lengths, codings := 0, 0
	var said, coding []byte
	q.Each(func(name, value []byte) {
		switch {
		case bytes.EqualFold(name, []byte("Content-Length")):
			lengths, said = lengths+1, value
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			codings, coding = codings+1, value
		}
	})
	switch {
	case lengths > 0 && codings > 0 || lengths > 1 || codings > 1:
		return 0, false, bad("a body with two lengths")
	case codings == 1 && !bytes.EqualFold(coding, []byte("chunked")):
		return 0, false, &Fault{501, "a transfer coding that is not known"}
	case codings == 1:
		return 0, true, nil
	case lengths == 0:
		return 0, false, nil
	}
	if len(said) == 0 || len(said) > 18 {
		return 0, false, bad("a length that can't be read")
	}
	for _, c := range said {
		if c < '0' || c > '9' {
			return 0, false, bad("a length that can't be read")
		}
		length = length*10 + int64(c-'0')
	}
	return length, false, nil
}
