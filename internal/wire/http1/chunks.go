package http1

import (
	"bytes"
	"strconv"
)

// Progress is how far a body in chunks has been read. It guards against a body that is received in many pieces and
// would be read anew with each: a response of 1 MB took seconds of processor time. The zero Progress is that of a
// message of which nothing has been received. Positions count from the beginning of the body, in bytes.
type Progress struct {
	next      int  // where the next chunk's line, or line of the trailer, begins
	length    int  // size of the data in the chunks before
	inTrailer bool // the last chunk has been read
	trailerAt int  // where the trailer begins
}

// chunks reads a response's body in chunks and joins it. The size is 0 until it has been received as a whole.
func (p *Progress) chunks(b []byte, maxBody int) (body []byte, size int, err error) {
	for !p.inTrailer {
		complete, err := p.chunk(b, maxBody)
		if !complete || err != nil {
			return nil, 0, err
		}
	}
	for {
		line, next, err := cutLine(b, p.next)
		if next == 0 {
			return nil, 0, err
		}
		if len(line) == 0 {
			return joinChunks(b, p.length), next, nil
		}
		p.next = next
	}
}

// chunk reads one chunk if it has been received as a whole.
func (p *Progress) chunk(b []byte, maxBody int) (complete bool, err error) {
	line, begin, err := cutLine(b, p.next)
	if begin == 0 {
		return false, err
	}
	size, err := parseChunkSize(line)
	if err != nil || p.length+size > maxBody {
		return false, errLength
	}
	if size == 0 {
		p.next = begin
		p.inTrailer = true
		return true, nil
	}
	end := begin + size
	next := end + len(lineEnd)
	if len(b) < next {
		return false, nil
	}
	if string(b[end:next]) != lineEnd {
		return false, errLength
	}
	p.next = next
	p.length += size
	return true, nil
}

// parseChunkSize parses a chunk's line: its size in hexadecimal digits, and extensions that have no meaning here.
func parseChunkSize(line []byte) (int, error) {
	digits, _, _ := bytes.Cut(line, []byte(";"))
	size, err := strconv.ParseUint(string(bytes.TrimSpace(digits)), 16, 32)
	return int(size), err
}

// joinChunks joins the data, of length bytes in all, of chunks that have been read before and are well formed.
func joinChunks(b []byte, length int) []byte {
	if length == 0 {
		return nil
	}
	body := make([]byte, 0, length)
	for at := 0; len(body) < length; {
		line, begin, _ := cutLine(b, at)
		size, _ := parseChunkSize(line)
		end := begin + size
		body = append(body, b[begin:end]...)
		at = end + len(lineEnd)
	}
	return body
}

// cutLine cuts off the line that begins at a position. The position of the next line is 0 until the line has ended.
func cutLine(b []byte, at int) (line []byte, next int, err error) {
	size := bytes.Index(b[at:], crlf)
	if size >= 0 {
		return b[at : at+size], at + size + len(lineEnd), nil
	}
	if len(b)-at > maxHeadSize {
		return nil, 0, errHead
	}
	return nil, 0, nil
}
