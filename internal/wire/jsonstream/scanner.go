package jsonstream

// scanner scans a JSON text.
type scanner struct {
	text []byte
	at   int // position of the next byte
}

// peek skips whitespace and returns the next byte, or 0 at the end.
func (s *scanner) peek() byte {
	for ; s.at < len(s.text); s.at++ {
		switch b := s.text[s.at]; b {
		case ' ', '\t', '\r', '\n':
		default:
			return b
		}
	}
	return 0
}

// atEnd skips whitespace and reports whether the text has ended.
func (s *scanner) atEnd() bool {
	s.peek()
	return s.at == len(s.text)
}

// skip skips whitespace and then b if it is the next byte, and reports whether it was.
func (s *scanner) skip(b byte) bool {
	if s.peek() != b {
		return false
	}
	s.at++
	return true
}

// stringText skips a string and returns the text between its quotes. It returns false if there is no string or if it is
// incomplete.
func (s *scanner) stringText() (text []byte, ok bool) {
	if !s.skip('"') {
		return nil, false
	}
	begin := s.at
	for ; s.at < len(s.text); s.at++ {
		switch s.text[s.at] {
		case '\\':
			s.at++
		case '"':
			s.at++
			return s.text[begin : s.at-1], true
		}
	}
	return nil, false
}

// skipValue skips a value of any type, up to the comma or bracket that ends it, and reports whether it found one.
func (s *scanner) skipValue() bool {
	s.peek()
	begin := s.at
	depth := 0
	for s.at < len(s.text) {
		switch s.text[s.at] {
		case '"':
			if _, ok := s.stringText(); !ok {
				return false
			}
			continue
		case '{', '[':
			depth++
		case '}', ']':
			if depth == 0 {
				return s.at > begin
			}
			depth--
		case ',':
			if depth == 0 {
				return s.at > begin
			}
		}
		s.at++
	}
	return false
}

// objects skips an array of objects and returns the texts of its elements.
func (s *scanner) objects() (texts [][]byte, ok bool) {
	if !s.skip('[') {
		return nil, false
	}
	if s.skip(']') {
		return nil, true
	}
	for {
		if s.peek() != '{' {
			return nil, false
		}
		begin := s.at
		if !s.skipValue() {
			return nil, false
		}
		texts = append(texts, trimSpace(s.text[begin:s.at]))
		if s.skip(']') {
			return texts, true
		}
		if !s.skip(',') {
			return nil, false
		}
	}
}
