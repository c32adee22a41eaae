package http1

import (
	"bytes"
	"strconv"
)

// Progress is how far the chunks of one body have been looked at, so that each byte of a request or an answer that comes in many pieces is
// looked at once, and not again with each piece. The zero Progress is that of a message of which nothing has come.
type Progress struct {
	next      int  // where the next chunk's line, or line of the trailer, begins in the body
	length    int  // bytes of the chunks before
	trailer   bool // the last chunk has come
	trailerAt int  // where the trailer begins
}

// chunks joins a body sent in chunks, of which b holds what has come; n is 0 until it has ended.
func (p *Progress) chunks(b []byte, maxBody int) (body []byte, n int, err error) {
	for !p.trailer {
		whole, err := p.chunk(b, maxBody)
		if !whole || err != nil {
			return nil, 0, err
		}
	}
	for { // a trailer, and the empty line behind it
		text, next, err := row(b, p.next)
		if next == 0 {
			return nil, 0, err
		}
		if len(text) == 0 {
			return join(b, p.length), next, nil
		}
		p.next = next
	}
}

// chunk passes over one chunk, if it has come whole.
func (p *Progress) chunk(b []byte, maxBody int) (whole bool, err error) {
	line, begins, err := row(b, p.next)
	if begins == 0 {
		return false, err
	}
	size, err := chunkSize(line)
	if err != nil || p.length+size > maxBody {
		return false, errLength
	}
	if size == 0 {
		p.next, p.trailer = begins, true
		return true, nil
	}
	ends := begins + size
	if len(b) < ends+len(lineEnd) {
		return false, nil
	}
	if string(b[ends:ends+len(lineEnd)]) != lineEnd {
		return false, errLength
	}
	p.next, p.length = ends+len(lineEnd), p.length+size
	return true, nil
}

const lineEnd = "\r\n"

// chunkSize reads a chunk's line: its size in hexadecimal digits, and extensions that say nothing here.
func chunkSize(line []byte) (int, error) {
	digits, _, _ := bytes.Cut(line, []byte(";"))
	size, err := strconv.ParseUint(string(bytes.TrimSpace(digits)), 16, 32)
	return int(size), err
}

// join puts together the data of chunks that were found whole and well formed, of so many bytes in all.
func join(b []byte, length int) (body []byte) {
	if length == 0 {
		return nil
	}
	body = make([]byte, 0, length)
	for n := 0; len(body) < length; {
		line, begins, _ := row(b, n)
		size, _ := chunkSize(line)
		body = append(body, b[begins:begins+size]...)
		n = begins + size + len(lineEnd)
	}
	return body
}

// row cuts off the line that starts at n; next is 0 until it has ended.
func row(b []byte, n int) (text []byte, next int, err error) {
	end := bytes.Index(b[n:], []byte(lineEnd))
	if end < 0 && len(b)-n > maxHead {
		return nil, 0, errHead
	}
	if end < 0 {
		return nil, 0, nil
	}
	return b[n : n+end], n + end + len(lineEnd), nil
}
