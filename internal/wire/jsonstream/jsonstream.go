package jsonstream

import (
	"bytes"
	"slices"
)

// CutMember cuts a member out of an object. It returns the text of the object with the value replaced by null, and the
// text of the value. It returns false if the member is absent or occurs twice, or if the text has an unsupported form.
func CutMember(object []byte, name string) (rest, value []byte, ok bool) {
	from, to, ok := findMember(object, name)
	if !ok {
		return nil, nil, false
	}
	return replace(object, from, to, "null"), object[from:to], true
}

// CutArray cuts an array of objects out of an object. It returns the object's text with an empty array in its place,
// and the texts of the elements. It returns false in the same cases as CutMember.
func CutArray(object []byte, name string) (rest []byte, elements [][]byte, ok bool) {
	from, to, ok := findMember(object, name)
	if !ok {
		return nil, nil, false
	}
	s := scanner{text: object[from:to]}
	elements, ok = s.objects()
	if !ok || !s.atEnd() {
		return nil, nil, false
	}
	return replace(object, from, to, "[]"), elements, true
}

// replace returns a copy of a text with the part between two positions replaced.
func replace(text []byte, from, to int, with string) []byte {
	return slices.Concat(text[:from], []byte(with), text[to:])
}

// findMember returns the start and end of the value of an object's member.
func findMember(object []byte, name string) (from, to int, ok bool) {
	s := scanner{text: object}
	if !s.skip('{') {
		return 0, 0, false
	}
	found := false
	for {
		key, ok := s.stringText()
		isEscaped := bytes.IndexByte(key, '\\') >= 0 // it may be the same name with escapes
		if !ok || !s.skip(':') || isEscaped {
			return 0, 0, false
		}
		s.peek()
		begin := s.at
		if !s.skipValue() {
			return 0, 0, false
		}
		if string(key) == name {
			if found {
				return 0, 0, false
			}
			found = true
			from = begin
			to = begin + len(trimSpace(object[begin:s.at]))
		}
		if !s.skip(',') {
			break
		}
	}
	return from, to, found && s.skip('}') && s.atEnd()
}

// trimSpace removes the whitespace after a value.
func trimSpace(value []byte) []byte { return bytes.TrimRight(value, " \t\r\n") }
