package meta

import "strconv"

// FlushAll removes all values of a cache. FlushDone begins its answer.
const (
	FlushAll  = "flush_all" + LineEnd
	FlushDone = "OK"
)

// wordNotFound answers a deletion of a key that the cache does not have.
const wordNotFound = "NF"

// deleteIDBase is the base in which the id of a deletion is written.
const deleteIDBase = 16

// AppendDelete writes a deletion with a number for its id, which the answer repeats.
func AppendDelete(to, key []byte, id uint64) []byte {
	to = append(to, verbDelete+" "...)
	to = append(to, key...)
	to = append(to, ' ', flagID)
	to = strconv.AppendUint(to, id, deleteIDBase)
	return append(to, LineEnd...)
}

// ReadDeleteResponse reads the answer to a deletion, or the one to FlushAll, which has no id. A size of 0 without an error
// asks for more bytes. An error is final, as it cannot be known where the next answer begins.
func ReadDeleteResponse(b []byte) (id uint64, flushed bool, size int, err error) {
	text, size, tooLong := cutLine(b)
	if tooLong {
		return 0, false, 0, errTooLong
	}
	if size == 0 {
		if !mayBeDeleted(b) {
			return 0, false, 0, errUnknownAnswer
		}
		return 0, false, 0, nil
	}
	word, flags := cutWord(text)
	switch string(word) {
	case FlushDone:
		return 0, true, size, nil
	case wordDone, wordNotFound:
		digits, _ := Flag(flags, flagID)
		id, err := strconv.ParseUint(string(digits), deleteIDBase, 64)
		if err == nil {
			return id, false, size, nil
		}
	}
	return 0, false, 0, errUnknownAnswer
}

// mayBeDeleted tells whether the bytes received so far may be the beginning of the answer to a deletion, as
// mayBeAnswer does.
func mayBeDeleted(b []byte) bool {
	for _, word := range []string{wordDone, wordNotFound, FlushDone} {
		n := min(len(b), len(word))
		if string(b[:n]) == word[:n] {
			return true
		}
	}
	return false
}
