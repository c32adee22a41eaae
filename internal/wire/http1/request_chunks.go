package http1

import "bytes"

const hexDigits, mostHexDigits = "0123456789abcdef", 8

// requestChunks joins a request's body sent in chunks, of which b holds what has come; n is 0 until it has ended, trailer and all. It is stricter
// than what reads answers: every shape that two readers might take differently is refused.
func (p *Progress) requestChunks(b []byte, maxBody int) (body []byte, n int, fault *Fault) {
	for !p.trailer {
		whole, fault := p.requestChunk(b, maxBody)
		if !whole || fault != nil {
			return nil, 0, fault
		}
	}
	end, fault := p.requestTrailer(b)
	if end == 0 || fault != nil {
		return nil, 0, fault
	}
	if body = join(b, p.length); body == nil {
		body = []byte{}
	}
	return body, end, nil
}

// requestChunk passes over one chunk, if it has come whole.
func (p *Progress) requestChunk(b []byte, maxBody int) (whole bool, fault *Fault) {
	line, begins, fault := requestLine(b, p.next, maxTrailer, bad("a chunk's line that is too long"))
	if begins == 0 || fault != nil {
		return false, fault
	}
	size, ok := requestChunkSize(line)
	if !ok {
		return false, bad("a chunk's length that can't be read")
	}
	if p.length+size > maxBody {
		return false, &Fault{413, "a body that is too long"}
	}
	if size == 0 {
		p.next, p.trailerAt, p.trailer = begins, begins, true
		return true, nil
	}
	ends := begins + size
	if len(b) > ends && b[ends] != '\r' || len(b) > ends+1 && b[ends+1] != '\n' {
		return false, bad("a chunk that does not end where it should")
	}
	if len(b) < ends+len(lineEnd) {
		return false, nil
	}
	p.next, p.length = ends+len(lineEnd), p.length+size
	return true, nil
}

// requestChunkSize reads a chunk's line: no spaces, no sign, no 0x, which others read differently.
func requestChunkSize(line []byte) (size int, ok bool) {
	digits, _, _ := bytes.Cut(line, []byte(";"))
	if len(digits) == 0 || len(digits) > mostHexDigits {
		return 0, false
	}
	for _, c := range digits {
		v := bytes.IndexByte([]byte(hexDigits), c|0x20)
		if v < 0 || c < '0' {
			return 0, false
		}
		size = size*16 + v
	}
	return size, true
}

// requestTrailer passes over a trailer and the empty line behind it, and tells where that ends; 0 until it has come.
func (p *Progress) requestTrailer(b []byte) (end int, fault *Fault) {
	for {
		line, next, fault := requestLine(b, p.next, maxTrailer, bad("a trailer that is too long"))
		switch {
		case fault != nil || next == 0:
			return 0, fault
		case next-p.trailerAt > maxTrailer:
			return 0, bad("a trailer that is too long")
		case len(line) == 0:
			return next, nil
		}
		if name, _, ok := bytes.Cut(line, []byte(":")); !ok || !isToken(name) {
			return 0, bad("a trailer that can't be read")
		}
		p.next = next
	}
}
