package meta

import (
	"errors"
	"strconv"
)

// The first words of responses.
const (
	wordValue  = "VA"
	wordDone   = "HD"
	wordMiss   = "EN"
	wordError  = "SERVER_ERROR"
	wordReady  = "MN"
	reasonBusy = "busy" // follows wordError
)

// ResponseKind is the kind of a response.
type ResponseKind int

// The kinds of responses. Those up to Miss repeat the id of their command.
const (
	Value   ResponseKind = iota // a value was read
	Receipt                     // the receipt of a write
	Miss                        // the cache has no value for the key
	Failed                      // the command failed and may have run
	Busy                        // the command was rejected and has not run
	Up                          // the cache serves requests: the response to a health check
)

// Response is a response of a cache. It refers to the buffer that it was read from.
type Response struct {
	Kind       ResponseKind
	ID         []byte // id of the command
	Value      []byte // the value, or the receipt of a write
	LoadReport []byte // the load report as a list of items, or nil

	// Sizes in bytes for a value that is incomplete. They are 0 for any other response.
	HeadSize  int // size of the line before the value
	ValueSize int // size of the value
	TotalSize int // size of the whole response
}

var (
	errTooLong         = errors.New("an answer is longer than the protocol allows")
	errValueEnd        = errors.New("response value is not followed by CR LF at its stated length")
	errUnknownResponse = errors.New("an answer says nothing that the protocol knows")
)

var responseKinds = map[string]ResponseKind{
	wordValue: Value,
	wordDone:  Receipt,
	wordMiss:  Miss,
	wordError: Failed,
	wordReady: Up,
}

// isResponsePrefix reports whether the bytes received so far may be the beginning of a response. It guards against a
// server that sends garbage without a line end: its attempt would otherwise wait until it times out.
func isResponsePrefix(b []byte) bool {
	for word := range responseKinds {
		n := min(len(b), len(word))
		if string(b[:n]) == word[:n] {
			return true
		}
	}
	return false
}

// ReadResponse reads the first response in b. A size of 0 without an error means that more bytes are needed. An error
// is final, as the beginning of the next response is unknown. Flags that are not used here may have any value.
func ReadResponse(b []byte) (a Response, size int, err error) {
	text, size, tooLong := cutLine(b)
	if tooLong {
		return a, 0, errTooLong
	}
	if !isResponsePrefix(b) {
		return a, 0, errUnknownResponse
	}
	if size == 0 {
		return a, 0, nil
	}
	word, rest := cutWord(text)
	kind, known := responseKinds[string(word)]
	if !known {
		return a, 0, errUnknownResponse
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
	case Receipt:
		a.Value, _ = Flag(rest, flagReceipt)
		if !IsWord(a.Value) {
			return a, 0, errUnknownResponse
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
		return a, 0, errUnknownResponse
	}
	a.LoadReport, _ = Flag(rest, flagLoadReport)
	return a, size, nil
}

// readValue reads the rest of the line of a value, which ends at lineSize in b, and the value after the line. It
// returns the size of the value with its line end, or 0 while the value is incomplete.
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

// AppendValue appends a value as the response to the command with the given id.
func AppendValue(to, id, value []byte) []byte {
	to = AppendHead(to, id, len(value))
	to = append(to, value...)
	return append(to, LineEnd...)
}

// AppendHead appends the line before a value of the given size in bytes. LineEnd has to follow the value.
func AppendHead(to, id []byte, size int) []byte {
	to = append(to, wordValue+" "...)
	to = strconv.AppendInt(to, int64(size), 10)
	to = append(to, ' ', flagID)
	to = append(to, id...)
	return append(to, LineEnd...)
}

// AppendReceipt appends the receipt of a write.
func AppendReceipt(to, id, receipt []byte) []byte {
	to = append(to, wordDone+" "...)
	to = append(to, flagID)
	to = append(to, id...)
	to = append(to, ' ', flagReceipt)
	to = append(to, receipt...)
	return append(to, LineEnd...)
}

// AppendBusy appends a rejection with the time after which to retry, in milliseconds, unless that is 0.
func AppendBusy(to []byte, retryAfterMs int64) []byte {
	to = append(to, wordError+" "+reasonBusy...)
	if retryAfterMs > 0 {
		to = append(to, ' ')
		to = strconv.AppendInt(to, retryAfterMs, 10)
	}
	return append(to, LineEnd...)
}

// AppendFailed appends the response to a command that failed.
func AppendFailed(to []byte) []byte { return append(to, wordError+" failed"+LineEnd...) }
