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

// Verb is the verb of a command.
type Verb int

// The verbs that clients may send.
const (
	Unknown Verb = iota
	Get          // read a value
	Set          // write a value
	Ready        // ask whether the server serves requests
	Stats        // get the counters
)

// Command is a command of a client. It refers to the buffer that it was read from.
type Command struct {
	Verb  Verb
	Key   []byte // of Get and Set, as are the following fields
	Flags []byte // everything after the key and the length, as received
	ID    []byte
	Value []byte // of Set
}

// The responses to faults.
const (
	BadLine        = "CLIENT_ERROR bad command line\r\n"
	BadValue       = "CLIENT_ERROR bad data chunk\r\n"
	LongLine       = "CLIENT_ERROR line too long\r\n"
	LongValue      = "SERVER_ERROR object too large for cache\r\n"
	UnknownCommand = "ERROR\r\n"
)

// Fault is the reason why a command cannot be carried out.
type Fault struct {
	Response string // the line to respond with
	Close    bool   // the connection must be closed, as the beginning of the next command is unknown
}

// ReadCommand reads the first command in b. A size of 0 without a fault means that more bytes are needed. With a fault,
// the size is the number of bytes to skip.
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

// readSet reads the rest of the line of a write and the value in the bytes after the line. It returns the size of the
// value with its line end, or 0 while the value is incomplete. A fault closes the connection: without a valid length
// the end of the value is unknown.
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

// AppendCommand appends a command for a cache: the received command with its deadline replaced by deadlineMs, in
// milliseconds.
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
