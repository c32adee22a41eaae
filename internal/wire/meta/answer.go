package meta

import (
	"bytes"
	"errors"
	"strconv"
)

// Said is what an answer says.
type AnswerKind int

const (
	Value  AnswerKind = iota // a value
	Done                     // a receipt for a write
	Miss                     // nothing is kept under the key
	Failed                   // it may have run
	Busy                     // it never ran
	Up                       // the answer to mn
)

// Answer is one answer of a cache. Its parts lie in the buffer it was read from.
type Answer struct {
	Kind       AnswerKind
	ID         []byte
	Value      []byte // the value or the receipt
	LoadReport []byte // the load report, as names and values, or nil
	HeadSize   int    // with a size of 0: how many bytes stand before a value that has not come whole
	ValueSize  int    // and how many it has
	TotalSize  int    // with a size of 0: how many bytes it will have in all, where that is known
}

var (
	errLong  = errors.New("an answer is longer than the protocol allows")
	errValue = errors.New("a value does not end where it should")
	errOdd   = errors.New("an answer says nothing that the protocol knows")
)

var said = map[string]AnswerKind{"VA": Value, "HD": Done, "EN": Miss, "SERVER_ERROR": Failed, "MN": Up}

// begins tells whether what has come of a line may be the beginning of an answer. Who sends noise may never end it.
func begins(b []byte) bool {
	for word := range said {
		if n := min(len(b), len(word)); string(b[:n]) == word[:n] {
			return true
		}
	}
	return false
}

// ReadAnswer reads the first answer in b. A size of 0 asks for more bytes. An error is final: nothing that follows
// can be told apart any more. Flags that nothing here needs may hold anything.
func ReadAnswer(b []byte) (a Answer, size int, err error) {
	text, size, long := line(b)
	if long {
		return a, 0, errLong
	}
	if !begins(b) {
		return a, 0, errOdd
	}
	if size == 0 {
		return a, 0, nil
	}
	first, rest := word(text)
	known := false
	if a.Kind, known = said[string(first)]; !known {
		return a, 0, errOdd
	}
	switch a.Kind {
	case Value:
		digits, flags := word(rest)
		n, ok := length(digits)
		if !ok || n > MaxValue {
			return a, 0, errLong
		}
		if len(b) < size+n+2 {
			a.ID, _ = Flag(flags, 'O')
			a.LoadReport, _ = Flag(flags, 'L')
			a.TotalSize, a.HeadSize, a.ValueSize = size+n+2, size, n
			return a, 0, nil
		}
		if !bytes.Equal(b[size+n:size+n+2], crlf) {
			return a, 0, errValue
		}
		a.Value = b[size : size+n]
		rest = flags
		size += n + 2
	case Done:
		if a.Value, _ = Flag(rest, 'c'); !Plain(a.Value) {
			return a, 0, errOdd
		}
	case Failed:
		var reason []byte
		if reason, rest = word(rest); string(reason) == "busy" {
			a.Kind = Busy
		}
	}
	if a.ID, _ = Flag(rest, 'O'); a.Kind <= Miss && len(a.ID) == 0 {
		return a, 0, errOdd
	}
	a.LoadReport, _ = Flag(rest, 'L')
	return a, size, nil
}

// AppendValue writes a value.
func AppendValue(to, id, value []byte) []byte {
	return append(append(AppendHead(to, id, len(value)), value...), End...)
}

// End is what a value ends with.
const End = "\r\n"

// AppendHead writes what stands before a value.
func AppendHead(to, id []byte, long int) []byte {
	to = strconv.AppendInt(append(to, "VA "...), int64(long), 10)
	return append(append(append(to, " O"...), id...), crlf...)
}

// AppendDone writes a receipt.
func AppendDone(to, id, receipt []byte) []byte {
	to = append(append(append(to, "HD O"...), id...), " c"...)
	return append(append(to, receipt...), crlf...)
}

// AppendBusy writes a rejection, with the time to come back after unless that is 0.
func AppendBusy(to []byte, comeBackMs int64) []byte {
	to = append(to, "SERVER_ERROR busy"...)
	if comeBackMs > 0 {
		to = strconv.AppendInt(append(to, ' '), comeBackMs, 10)
	}
	return append(to, crlf...)
}

// AppendFailed writes a failure.
func AppendFailed(to []byte) []byte { return append(to, "SERVER_ERROR failed\r\n"...) }
