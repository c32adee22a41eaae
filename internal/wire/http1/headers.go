package http1

import "bytes"

const lineEnd = "\r\n"

var crlf = []byte(lineEnd)

const asciiDEL = 0x7f

// tokenBytes are the bytes allowed in a token, such as a method or a header name (RFC 9110, 5.6.2).
const tokenBytes = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"

var isTokenByte = makeByteSet(tokenBytes)

func makeByteSet(bytes string) [256]bool {
	var set [256]bool
	for _, c := range []byte(bytes) {
		set[c] = true
	}
	return set
}

func isToken(b []byte) bool {
	for _, c := range b {
		if !isTokenByte[c] {
			return false
		}
	}
	return len(b) > 0
}

// isValue reports whether a header value is free of bytes that another parser may take for the end of its line.
func isValue(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == asciiDEL {
			return false
		}
	}
	return true
}

// IsField reports whether a name and a value form a header line that every parser accepts.
func IsField(name, value []byte) bool { return isToken(name) && isValue(value) }

// HasToken reports whether a comma-separated list has a token, ignoring case.
func HasToken(list []byte, token string) bool {
	for len(list) > 0 {
		var item []byte
		item, list, _ = bytes.Cut(list, []byte(","))
		if bytes.EqualFold(bytes.TrimSpace(item), []byte(token)) {
			return true
		}
	}
	return false
}

// findHeader returns the first value of a header, or nil if the header is absent, and whether all its values are equal.
func findHeader(headers []byte, name string) (value []byte, agree bool) {
	agree = true
	for rest := headers; len(rest) > 0; {
		var line []byte
		line, rest, _ = bytes.Cut(rest, crlf)
		lineName, lineValue, ok := bytes.Cut(line, []byte(":"))
		if !ok || !bytes.EqualFold(lineName, []byte(name)) {
			continue
		}
		lineValue = bytes.TrimSpace(lineValue)
		if lineValue == nil {
			lineValue = line[:0] // present but empty: not nil
		}
		if value == nil {
			value = lineValue
		}
		agree = agree && bytes.Equal(lineValue, value)
	}
	return value, agree
}

func eachHeader(headers []byte, f func(name, value []byte)) {
	for rest := headers; len(rest) > 0; {
		var line []byte
		line, rest, _ = bytes.Cut(rest, crlf)
		name, value, _ := bytes.Cut(line, []byte(":"))
		f(name, bytes.Trim(value, " \t"))
	}
}
