package meta

import (
	"bytes"
	"strconv"
)

// LineEnd terminates each line and each value.
const LineEnd = "\r\n"

const (
	maxLineSize  = 2048     // bytes of a line: several times the size of a key, an id and a dozen items
	maxKeySize   = 250      // bytes of a key: the limit of the protocol
	maxWriteSize = 64 << 10 // bytes of a value that a client writes: the limit of this protocol variant
)

// MaxValue limits the size of a value in a response, in bytes. Some caches hold far larger values than clients write.
const MaxValue = 4 << 20

const (
	maxLengthDigits = 9 // of the length of a value, so that it fits an int
	asciiDEL        = 0x7f
)

// cutLine cuts the first line off b. The size is 0 while the line is incomplete; tooLong means that it exceeds the
// limit.
func cutLine(b []byte) (text []byte, size int, tooLong bool) {
	end := bytes.IndexByte(b[:min(len(b), maxLineSize)], '\n')
	if end < 0 {
		return nil, 0, len(b) >= maxLineSize
	}
	return bytes.TrimSuffix(b[:end], []byte("\r")), end + 1, false
}

// cutWord cuts off the first space-separated word of a line.
func cutWord(line []byte) (word, rest []byte) {
	line = bytes.TrimLeft(line, " ")
	if i := bytes.IndexByte(line, ' '); i >= 0 {
		return line[:i], line[i+1:]
	}
	return line, nil
}

// parseLength parses the length of a value in bytes, which may contain digits only.
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

// cutValue cuts a value of a given length off the bytes after its line. While complete is false, more bytes are needed;
// ok reports whether the value is followed by a line end.
func cutValue(b []byte, length int) (value []byte, complete, ok bool) {
	if len(b) < length+len(LineEnd) {
		return nil, false, false
	}
	if string(b[length:length+len(LineEnd)]) != LineEnd {
		return nil, true, false
	}
	return b[:length], true, true
}

// ParseDecimal parses a number that consists of digits and an optional decimal point.
func ParseDecimal(b []byte) (float64, bool) {
	for _, c := range b {
		if (c < '0' || c > '9') && c != '.' {
			return 0, false
		}
	}
	x, err := strconv.ParseFloat(string(b), 64)
	return x, err == nil
}

// IsWord reports whether b can be a word of a line: it is not empty and has no space or control byte.
func IsWord(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c == asciiDEL {
			return false
		}
	}
	return len(b) > 0
}

// IsKey reports whether b is a valid key.
func IsKey(b []byte) bool { return IsWord(b) && len(b) <= maxKeySize }
