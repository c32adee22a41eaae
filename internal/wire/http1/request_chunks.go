package http1

import "bytes"

const (
	hexDigits          = "0123456789abcdef"
	maxChunkSizeDigits = 8
	lowerCaseBit       = 0x20 // setting it lower-cases a letter and leaves a digit unchanged
)

// requestChunks reads the chunked body of a request and joins its chunks. The size is 0 while the body or its trailer
// is incomplete. It is stricter than the reader of responses.
func (p *Progress) requestChunks(b []byte, maxBody int) (body []byte, size int, fault *Fault) {
	for !p.inTrailer {
		complete, fault := p.requestChunk(b, maxBody)
		if !complete || fault != nil {
			return nil, 0, fault
		}
	}
	end, fault := p.requestTrailer(b)
	if end == 0 || fault != nil {
		return nil, 0, fault
	}
	body = joinChunks(b, p.length)
	if body == nil {
		body = []byte{}
	}
	return body, end, nil
}

// requestChunk reads one chunk if it is complete.
func (p *Progress) requestChunk(b []byte, maxBody int) (complete bool, fault *Fault) {
	tooLong := badRequest("a chunk's line that is too long")
	line, begin, fault := cutRequestLine(b, p.next, maxTrailerSize, tooLong)
	if begin == 0 || fault != nil {
		return false, fault
	}
	size, ok := parseRequestChunkSize(line)
	if !ok {
		return false, badRequest("a chunk's length that can't be read")
	}
	if p.length+size > maxBody {
		return false, bodyTooLong()
	}
	if size == 0 {
		p.next = begin
		p.trailerAt = begin
		p.inTrailer = true
		return true, nil
	}
	end := begin + size
	if len(b) > end && b[end] != '\r' || len(b) > end+1 && b[end+1] != '\n' {
		return false, badRequest("a chunk that does not end where it should")
	}
	next := end + len(lineEnd)
	if len(b) < next {
		return false, nil
	}
	p.next = next
	p.length += size
	return true, nil
}

// parseRequestChunkSize parses the line of a chunk. It rejects spaces, a sign and 0x, on which parsers differ.
func parseRequestChunkSize(line []byte) (size int, ok bool) {
	digits, _, _ := bytes.Cut(line, []byte(";"))
	if len(digits) == 0 || len(digits) > maxChunkSizeDigits {
		return 0, false
	}
	for _, c := range digits {
		digit := bytes.IndexByte([]byte(hexDigits), c|lowerCaseBit)
		if digit < 0 || c < '0' { // setting the bit turns some control bytes into digits
			return 0, false
		}
		size = size*len(hexDigits) + digit
	}
	return size, true
}

// requestTrailer reads a trailer and the empty line after it. It returns the end of that line, or 0 while it is
// incomplete.
func (p *Progress) requestTrailer(b []byte) (end int, fault *Fault) {
	for {
		tooLong := badRequest("a trailer that is too long")
		line, next, fault := cutRequestLine(b, p.next, maxTrailerSize, tooLong)
		switch {
		case fault != nil || next == 0:
			return 0, fault
		case next-p.trailerAt > maxTrailerSize:
			return 0, tooLong
		case len(line) == 0:
			return next, nil
		}
		name, _, ok := bytes.Cut(line, []byte(":"))
		if !ok || !isToken(name) {
			return 0, badRequest("a trailer that can't be read")
		}
		p.next = next
	}
}
