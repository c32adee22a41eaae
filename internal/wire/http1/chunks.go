package http1

import (
	"bytes"
	"strconv"
)

// Progress is the state of reading a chunked body. It avoids parsing the body again for each of the pieces in which it
// is received, which took seconds of CPU time for a response of 1 MB. The zero Progress is for a new message. Positions
// are byte offsets from the beginning of the body.
type Progress struct {
	next      int  // where the line of the next chunk or trailer field begins
	length    int  // size of the data in the chunks read so far
	inTrailer bool // the last chunk has been read
	trailerAt int  // where the trailer begins
}

// chunks reads the chunked body of a response and joins its chunks. The size is 0 while the body is incomplete.
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

// chunk reads one chunk if it is complete.
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

// parseChunkSize parses the line of a chunk: its hexadecimal size and extensions, which are ignored.
func parseChunkSize(line []byte) (int, error) {
	digits, _, _ := bytes.Cut(line, []byte(";"))
	size, err := strconv.ParseUint(string(bytes.TrimSpace(digits)), 16, 32)
	return int(size), err
}

// joinChunks joins the data, of length bytes in total, of chunks that have already been validated.
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

// cutLine cuts off the line that begins at a position. The position of the next line is 0 while the line is
// incomplete.
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
