package meta

import (
	"errors"
	"strconv"
)

// The first words of answers.
const (
	wordValue  = "VA"
	wordDone   = "HD"
	wordMiss   = "EN"
	wordError  = "SERVER_ERROR"
	wordReady  = "MN"
	reasonBusy = "busy" // behind wordError
)

// ResponseKind is what an answer says.
type ResponseKind int

// The kinds of answers. Those up to Miss repeat the id of their command.
const (
	Value  ResponseKind = iota // the value that was read
	Done                       // the receipt of a write
	Miss                       // the cache has no value for the key
	Failed                     // the command failed, and may have run
	Busy                       // the command was rejected, and has not run
	Up                         // the cache serves requests: the answer to a health check
)

// Response is an answer of a cache. Its parts lie in the buffer that it was read from.
type Response struct {
	Kind       ResponseKind
	ID         []byte // id of the command
	Value      []byte // the value or the receipt
	LoadReport []byte // the load report, as items, or nil

	// Of a value that has not been received as a whole, in bytes. They are 0 with any other answer.
	HeadSize  int // size of the line before the value
	ValueSize int // size of the value
	TotalSize int // size of the whole answer
}

var (
	errTooLong       = errors.New("an answer is longer than the protocol allows")
	errValueEnd      = errors.New("a value does not end where it should")
	errUnknownAnswer = errors.New("an answer says nothing that the protocol knows")
)

var answerKinds = map[string]ResponseKind{
	wordValue: Value,
	wordDone:  Done,
	wordMiss:  Miss,
	wordError: Failed,
	wordReady: Up,
}

// mayBeAnswer tells whether the bytes received so far may be the beginning of an answer. It guards against a server
// that sends noise without a line end: its attempt would otherwise wait until it times out.
func mayBeAnswer(b []byte) bool {
	for word := range answerKinds {
		n := min(len(b), len(word))
		if string(b[:n]) == word[:n] {
			return true
		}
	}
	return false
}

// ReadResponse reads the first answer in b. A size of 0 without an error asks for more bytes. An error is final, as it
// cannot be known where the next answer begins. Flags that are not used here may hold anything.
func ReadResponse(b []byte) (a Response, size int, err error) {
	text, size, tooLong := cutLine(b)
	if tooLong {
		return a, 0, errTooLong
	}
	if !mayBeAnswer(b) {
		return a, 0, errUnknownAnswer
	}
	if size == 0 {
		return a, 0, nil
	}
	word, rest := cutWord(text)
	kind, known := answerKinds[string(word)]
	if !known {
		return a, 0, errUnknownAnswer
	}
	a.Kind = kind
	switch kind {
	case Value:
		valueSize, flags, err := a.readValue(rest, b, size)
		if err != nil || valueSize == 0 {
			return a, 0, err
		}
		rest = flags
		size += valueSize
	case Done:
		a.Value, _ = Flag(rest, flagReceipt)
		if !IsWord(a.Value) {
			return a, 0, errUnknownAnswer
		}
	case Failed:
		reason, flags := cutWord(rest)
		if string(reason) == reasonBusy {
			a.Kind = Busy
		}
		rest = flags
	}
	a.ID, _ = Flag(rest, flagID)
	if a.Kind <= Miss && len(a.ID) == 0 {
		return a, 0, errUnknownAnswer
	}
	a.LoadReport, _ = Flag(rest, flagLoadReport)
	return a, size, nil
}

// readValue reads the rest of a value's line, and the value behind the line, which ends at lineSize in b. It returns
// the size of the value with its end, or 0 while that has not been received.
func (a *Response) readValue(rest, b []byte, lineSize int) (size int, flags []byte, err error) {
	digits, flags := cutWord(rest)
	length, ok := parseLength(digits)
	if !ok || length > MaxValue {
		return 0, nil, errTooLong
	}
	value, complete, ok := cutValue(b[lineSize:], length)
	if !complete {
		a.ID, _ = Flag(flags, flagID)
		a.LoadReport, _ = Flag(flags, flagLoadReport)
		a.HeadSize = lineSize
		a.ValueSize = length
		a.TotalSize = lineSize + length + len(LineEnd)
		return 0, nil, nil
	}
	if !ok {
		return 0, nil, errValueEnd
	}
	a.Value = value
	return length + len(LineEnd), flags, nil
}

// AppendValue writes a value as the answer to a command with an id.
func AppendValue(to, id, value []byte) []byte {
	to = AppendHead(to, id, len(value))
	to = append(to, value...)
	return append(to, LineEnd...)
}

// AppendHead writes the line before a value of a size in bytes. End has to follow the value.
func AppendHead(to, id []byte, size int) []byte {
	to = append(to, wordValue+" "...)
	to = strconv.AppendInt(to, int64(size), 10)
	to = append(to, ' ', flagID)
	to = append(to, id...)
	return append(to, LineEnd...)
}

// AppendDone writes the receipt of a write.
func AppendDone(to, id, receipt []byte) []byte {
	to = append(to, wordDone+" "...)
	to = append(to, flagID)
	to = append(to, id...)
	to = append(to, ' ', flagReceipt)
	to = append(to, receipt...)
	return append(to, LineEnd...)
}

// AppendBusy writes a rejection, with the time after which to retry, in milliseconds, unless that is 0.
func AppendBusy(to []byte, retryAfterMs int64) []byte {
	to = append(to, wordError+" "+reasonBusy...)
	if retryAfterMs > 0 {
		to = append(to, ' ')
		to = strconv.AppendInt(to, retryAfterMs, 10)
	}
	return append(to, LineEnd...)
}

// AppendFailed writes that a command failed.
func AppendFailed(to []byte) []byte { return append(to, wordError+" failed"+LineEnd...) }
