package meta

import (
	"bytes"
	"strconv"
)

// LineEnd is what each line, and each value, ends with.
const LineEnd = "\r\n"

const (
	maxLineSize  = 2048     // bytes of a line: a key, an id and a dozen items fit several times
	maxKeySize   = 250      // bytes of a key: the protocol's own limit
	maxWriteSize = 64 << 10 // bytes of a value that a client writes: the protocol's limit here
)

// MaxValue is the limit, in bytes, of a value in an answer. Some caches keep far larger ones than clients write.
const MaxValue = 4 << 20

const (
	maxLengthDigits = 9 // of a value's stated length, which so fits an int
	deleteByte      = 0x7f
)

// cutLine cuts the first line off b. The size is 0 while the line has not ended; tooLong says that it is not to end.
func cutLine(b []byte) (text []byte, size int, tooLong bool) {
	end := bytes.IndexByte(b[:min(len(b), maxLineSize)], '\n')
	if end < 0 {
		return nil, 0, len(b) >= maxLineSize
	}
	return bytes.TrimSuffix(b[:end], []byte("\r")), end + 1, false
}

// cutWord cuts off the first word of a line, which spaces separate.
func cutWord(line []byte) (word, rest []byte) {
	line = bytes.TrimLeft(line, " ")
	if i := bytes.IndexByte(line, ' '); i >= 0 {
		return line[:i], line[i+1:]
	}
	return line, nil
}

// parseLength parses the stated length of a value, in bytes: digits only.
func parseLength(digits []byte) (int, bool) {
	if len(digits) == 0 || len(digits) > maxLengthDigits {
		return 0, false
	}
	length := 0
	for _, c := range digits {
		if c < '0' || c > '9' {
			return 0, false
		}
		length = length*10 + int(c-'0')
	}
	return length, true
}

// cutValue cuts a value of a stated length off the bytes behind its line. It needs more bytes while complete is
// false; ok says that the value ends where it should.
func cutValue(b []byte, length int) (value []byte, complete, ok bool) {
	if len(b) < length+len(LineEnd) {
		return nil, false, false
	}
	if string(b[length:length+len(LineEnd)]) != LineEnd {
		return nil, true, false
	}
	return b[:length], true, true
}

// ParseDecimal parses a number written with digits and perhaps a point.
func ParseDecimal(b []byte) (float64, bool) {
	for _, c := range b {
		if (c < '0' || c > '9') && c != '.' {
			return 0, false
		}
	}
	x, err := strconv.ParseFloat(string(b), 64)
	return x, err == nil
}

// IsWord tells whether a text can stand as one word of a line: it is not empty, and has no space or control byte.
func IsWord(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c == deleteByte {
			return false
		}
	}
	return len(b) > 0
}

// IsKey tells whether a text can be a key.
func IsKey(b []byte) bool { return IsWord(b) && len(b) <= maxKeySize }
