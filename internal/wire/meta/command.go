package meta

import "strconv"

// The verbs of commands.
const (
	verbGet    = "mg"
	verbSet    = "ms"
	verbDelete = "md"
	verbReady  = "mn"
	verbStats  = "stats"
)

// Verb is what a command asks for.
type Verb int

// The verbs that clients may send.
const (
	Unknown Verb = iota
	Get          // read a value
	Set          // write a value
	Ready        // tell that requests are served
	Stats        // tell the counters
)

// Command is a command of a client. Its parts lie in the buffer that it was read from.
type Command struct {
	Verb  Verb
	Key   []byte // of Get and Set, as are the following
	Flags []byte // all behind the key and the length, as it was received
	ID    []byte
	Value []byte // of Set
}

// The answers to faults.
const (
	BadLine        = "CLIENT_ERROR bad command line\r\n"
	BadValue       = "CLIENT_ERROR bad data chunk\r\n"
	LongLine       = "CLIENT_ERROR line too long\r\n"
	LongValue      = "SERVER_ERROR object too large for cache\r\n"
	UnknownCommand = "ERROR\r\n"
)

// Fault says why a command cannot be carried out.
type Fault struct {
	Response string // the line to answer
	Close    bool   // the connection has to end, as it cannot be known where the next command begins
}

// ReadCommand reads the first command in b. A size of 0 without a fault asks for more bytes. With a fault, the size
// is the number of bytes to skip.
func ReadCommand(b []byte) (c Command, size int, fault *Fault) {
	text, size, tooLong := cutLine(b)
	if tooLong {
		return c, len(b), &Fault{LongLine, true}
	}
	if size == 0 {
		return c, 0, nil
	}
	verb, rest := cutWord(text)
	switch string(verb) {
	case verbReady:
		c.Verb = Ready
		return c, size, nil
	case verbStats:
		c.Verb = Stats
		return c, size, nil
	case verbGet:
		c.Verb = Get
		c.Key, c.Flags = cutWord(rest)
	case verbSet:
		c.Verb = Set
		valueSize, fault := c.readSet(rest, b[size:])
		if fault != nil {
			return c, len(b), fault
		}
		if valueSize == 0 {
			return c, 0, nil
		}
		size += valueSize
	default:
		return c, size, &Fault{UnknownCommand, false}
	}
	c.ID, _ = Flag(c.Flags, flagID)
	if !IsKey(c.Key) || !IsWord(c.ID) || hasControlByte(c.Flags) {
		return c, size, &Fault{BadLine, false}
	}
	return c, size, nil
}

// readSet reads the rest of a write's line, and the value in the bytes behind the line. It returns the size of the
// value with its end, or 0 while that has not been received. A fault ends the connection: without a length it cannot
// be known where the value ends.
func (c *Command) readSet(rest, behind []byte) (size int, fault *Fault) {
	c.Key, rest = cutWord(rest)
	digits, flags := cutWord(rest)
	c.Flags = flags
	length, ok := parseLength(digits)
	if !ok {
		return 0, &Fault{BadLine, true}
	}
	if length > maxWriteSize {
		return 0, &Fault{LongValue, true}
	}
	value, complete, ok := cutValue(behind, length)
	if !complete {
		return 0, nil
	}
	if !ok {
		return 0, &Fault{BadValue, true}
	}
	c.Value = value
	return length + len(LineEnd), nil
}

// AppendCommand writes a command for a cache: as it was received, but for the time that the client waits, which is
// replaced by deadlineMs, in milliseconds.
func AppendCommand(to []byte, c *Command, deadlineMs int64) []byte {
	if c.Verb == Set {
		to = append(to, verbSet...)
	} else {
		to = append(to, verbGet...)
	}
	to = append(to, ' ')
	to = append(to, c.Key...)
	if c.Verb == Set {
		to = append(to, ' ')
		to = strconv.AppendInt(to, int64(len(c.Value)), 10)
	}
	to = appendFlags(to, c.Flags, deadlineMs)
	to = append(to, LineEnd...)
	if c.Verb == Set {
		to = append(to, c.Value...)
		to = append(to, LineEnd...)
	}
	return to
}
