// Package jsonsplit cuts one long array out of a JSON object without building a tree of it, so that its elements can be parsed one by one.
// Parsed as a whole, a list of thousands of caches takes twenty times its own size.
package jsonstream

import "bytes"

// Member cuts a member out of an object: it returns the object's text with null in its place, and its value's text. It reads no more than it has
// to: both are to be parsed, which tells what is malformed within them. It returns false where there is no such member, more than one, or a shape
// that it does not know; the object is to be parsed as a whole then.
func Member(object []byte, name string) (rest, value []byte, ok bool) {
	from, to, ok := find(object, name)
	if !ok {
		return nil, nil, false
	}
	return replaced(object, from, to, "null"), object[from:to], true
}

// Array cuts an array of objects out of an object: it returns the object's text with an empty array in its place, and the texts of the elements.
// For the rest it is as Member.
func Array(object []byte, name string) (rest []byte, elements [][]byte, ok bool) {
	from, to, ok := find(object, name)
	if !ok {
		return nil, nil, false
	}
	c := cursor{text: object[from:to]}
	if elements, ok = c.array(); !ok || !c.ended() {
		return nil, nil, false
	}
	return replaced(object, from, to, "[]"), elements, true
}

func replaced(text []byte, from, to int, by string) []byte {
	b := make([]byte, 0, len(text)-(to-from)+len(by))
	return append(append(append(b, text[:from]...), by...), text[to:]...)
}

// find tells where the value of an object's member stands.
func find(object []byte, name string) (from, to int, found bool) {
	c := cursor{text: object}
	if !c.take('{') {
		return 0, 0, false
	}
	for {
		key, whole := c.stringText()
		if !whole || !c.take(':') || bytes.IndexByte(key, '\\') >= 0 { // it may be the name, written otherwise
			return 0, 0, false
		}
		c.peek()
		begins := c.at
		if !c.value() {
			return 0, 0, false
		}
		if string(key) == name {
			if found {
				return 0, 0, false
			}
			from, to, found = begins, begins+len(trimmed(object[begins:c.at])), true
		}
		if !c.take(',') {
			break
		}
	}
	return from, to, found && c.take('}') && c.ended()
}

// cursor goes over a text.
type cursor struct {
	text []byte
	at   int
}

// peek passes over space, and tells which byte is next; 0 at the end.
func (c *cursor) peek() byte {
	for ; c.at < len(c.text); c.at++ {
		switch b := c.text[c.at]; b {
		case ' ', '\t', '\r', '\n':
		default:
			return b
		}
	}
	return 0
}

// ended passes over space, and tells whether nothing is left.
func (c *cursor) ended() bool {
	c.peek()
	return c.at == len(c.text)
}

// take passes over a byte, if it is the next one.
func (c *cursor) take(b byte) bool {
	if c.peek() != b {
		return false
	}
	c.at++
	return true
}

// stringText passes over a string, and returns what stands between its quotes.
func (c *cursor) stringText() (text []byte, whole bool) {
	if !c.take('"') {
		return nil, false
	}
	from := c.at
	for ; c.at < len(c.text); c.at++ {
		switch c.text[c.at] {
		case '\\':
			c.at++
		case '"':
			c.at++
			return c.text[from : c.at-1], true
		}
	}
	return nil, false
}

// value passes over a value of any kind: up to the comma or bracket that ends it.
func (c *cursor) value() bool {
	c.peek()
	from := c.at
	for depth := 0; c.at < len(c.text); {
		switch c.text[c.at] {
		case '"':
			if _, whole := c.stringText(); !whole {
				return false
			}
			continue
		case '{', '[':
			depth++
		case '}', ']':
			if depth == 0 {
				return c.at > from
			}
			depth--
		case ',':
			if depth == 0 {
				return c.at > from
			}
		}
		c.at++
	}
	return false
}

// trimmed leaves out the space behind a value.
func trimmed(value []byte) []byte { return bytes.TrimRight(value, " \t\r\n") }

// array passes over an array of objects, and returns its elements' texts.
func (c *cursor) array() (elements [][]byte, whole bool) {
	if !c.take('[') {
		return nil, false
	}
	if c.take(']') {
		return nil, true
	}
	for {
		if c.peek() != '{' {
			return nil, false
		}
		from := c.at
		if !c.value() {
			return nil, false
		}
		elements = append(elements, trimmed(c.text[from:c.at]))
		if c.take(']') {
			return elements, true
		}
		if !c.take(',') {
			return nil, false
		}
	}
}
