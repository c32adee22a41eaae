// Package meta reads and writes the meta commands of the memcache text protocol, as clients and caches speak
// them. It knows the form, not what is done about it.
package meta

import (
	"bytes"
	"strconv"
)

const (
	maxLine  = 2048     // bytes of a line: a key, an id and a dozen names with values fit several times
	maxKey   = 250      // bytes of a key: the protocol's own limit
	maxWrite = 64 << 10 // bytes of a value that a client writes: the protocol's limit here
	MaxValue = 4 << 20  // bytes of a value that comes back: some keep far larger ones than clients write
)

// Verb is what a command asks.
type Verb int

const (
	Unknown Verb = iota
	Get
	Set
	Ready
	Stats
)

// Command is one command of a client. Its parts lie in the buffer it was read from.
type Command struct {
	Verb  Verb
	Key   []byte
	Flags []byte // all behind the key and length, as they came
	ID    []byte
	Value []byte
}

// Fault is what is wrong with a command: the line to answer, and whether what follows can't be told apart.
type Fault struct {
	Answer string
	Close  bool
}

const (
	BadLine   = "CLIENT_ERROR bad command line\r\n"
	BadValue  = "CLIENT_ERROR bad data chunk\r\n"
	LongLine  = "CLIENT_ERROR line too long\r\n"
	LongValue = "SERVER_ERROR object too large for cache\r\n"
	NoSuch    = "ERROR\r\n"
)

var crlf = []byte(End)

// line cuts the first line off b; size is 0 if it has not ended, and long if it never may.
func line(b []byte) (text []byte, size int, long bool) {
	end := bytes.IndexByte(b[:min(len(b), maxLine)], '\n')
	if end < 0 {
		return nil, 0, len(b) >= maxLine
	}
	return bytes.TrimSuffix(b[:end], crlf[:1]), end + 1, false
}

func word(b []byte) (first, rest []byte) {
	b = bytes.TrimLeft(b, " ")
	if i := bytes.IndexByte(b, ' '); i >= 0 {
		return b[:i], b[i+1:]
	}
	return b, nil
}

func length(b []byte) (int, bool) {
	if len(b) == 0 || len(b) > 9 {
		return 0, false
	}
	n := 0
	for _, c := range b {
		if c < '0' || c > '9' {
			return 0, false
		}
		n = n*10 + int(c-'0')
	}
	return n, true
}

// Decimal reads a number as it is written by hand: digits, perhaps with a point among them.
func Decimal(b []byte) (float64, bool) {
	for _, c := range b {
		if (c < '0' || c > '9') && c != '.' {
			return 0, false
		}
	}
	x, err := strconv.ParseFloat(string(b), 64)
	return x, err == nil
}

// Plain tells whether something can stand as one word of a line.
func Plain(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c == 0x7f {
			return false
		}
	}
	return len(b) > 0
}

// IsKey tells whether something can be a key.
func IsKey(b []byte) bool { return Plain(b) && len(b) <= maxKey }

// Flag returns what stands behind a flag's letter.
func Flag(flags []byte, letter byte) (value []byte, ok bool) {
	for len(flags) > 0 {
		var f []byte
		if f, flags = word(flags); len(f) > 0 && f[0] == letter {
			return f[1:], true
		}
	}
	return nil, false
}

// Item returns the value of a name in a list of names and values.
func Item(list []byte, name string) (value []byte, ok bool) {
	for len(list) > 0 {
		var item []byte
		item, list, _ = bytes.Cut(list, []byte(","))
		if n, v, found := bytes.Cut(item, []byte("=")); found && string(n) == name {
			return v, true
		}
	}
	return nil, false
}

// ReadCommand reads the first command in b. A size of 0 asks for more bytes; with a fault, size says how many to
// pass over.
func ReadCommand(b []byte) (c Command, size int, fault *Fault) {
	text, size, long := line(b)
	if long {
		return c, len(b), &Fault{LongLine, true}
	}
	if size == 0 {
		return c, 0, nil
	}
	verb, rest := word(text)
	switch string(verb) {
	case "mn":
		c.Verb = Ready
		return c, size, nil
	case "stats":
		c.Verb = Stats
		return c, size, nil
	case "mg":
		c.Verb = Get
		c.Key, c.Flags = word(rest)
	case "ms":
		c.Verb = Set
		c.Key, rest = word(rest)
		var digits []byte
		digits, c.Flags = word(rest)
		n, ok := length(digits)
		switch {
		case !ok: // nobody can tell where the value ends
			return c, len(b), &Fault{BadLine, true}
		case n > maxWrite:
			return c, len(b), &Fault{LongValue, true}
		case len(b) < size+n+2:
			return c, 0, nil
		case !bytes.Equal(b[size+n:size+n+2], crlf):
			return c, len(b), &Fault{BadValue, true}
		}
		c.Value = b[size : size+n]
		size += n + 2
	default:
		return c, size, &Fault{NoSuch, false}
	}
	c.ID, _ = Flag(c.Flags, 'O')
	if !IsKey(c.Key) || !Plain(c.ID) || !printable(c.Flags) {
		return c, size, &Fault{BadLine, false}
	}
	return c, size, nil
}

// printable tells whether flags hold nothing that a reader further on may take for the end of a line.
func printable(flags []byte) bool {
	for _, f := range flags {
		if f < ' ' || f == 0x7f {
			return false
		}
	}
	return true
}

// AppendCommand writes a request for a cache: all as it came but for how long, in whole milliseconds, the
// asker waits, which stands under the name d in the flag P.
func AppendCommand(to []byte, c *Command, waitMs int64) []byte {
	if c.Verb == Set {
		to = append(append(append(to, "ms "...), c.Key...), ' ')
		to = strconv.AppendInt(to, int64(len(c.Value)), 10)
	} else {
		to = append(append(to, "mg "...), c.Key...)
	}
	for flags := c.Flags; len(flags) > 0; {
		var f []byte
		if f, flags = word(flags); len(f) == 0 {
			continue
		}
		to = append(to, ' ')
		if f[0] == 'P' {
			to = AppendItems(append(to, 'P'), f[1:], waitMs)
		} else {
			to = append(to, f...)
		}
	}
	to = append(to, crlf...)
	if c.Verb == Set {
		to = append(append(to, c.Value...), crlf...)
	}
	return to
}

// AppendItems writes a list of names and values with d replaced.
func AppendItems(to, list []byte, waitMs int64) []byte {
	for first := true; len(list) > 0; first = false {
		var item []byte
		item, list, _ = bytes.Cut(list, []byte(","))
		if !first {
			to = append(to, ',')
		}
		if bytes.HasPrefix(item, []byte("d=")) {
			to = strconv.AppendInt(append(to, "d="...), waitMs, 10)
		} else {
			to = append(to, item...)
		}
	}
	return to
}
