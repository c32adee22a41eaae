package meta

import "strconv"

// FlushAll is the command that removes all values of a cache. FlushDone is the first word of the response.
const (
	FlushAll  = "flush_all" + LineEnd
	FlushDone = "OK"
)

// wordNotFound is the response to a deletion of a key that the cache does not have.
const wordNotFound = "NF"

// deleteIDBase is the number base of the id of a deletion.
const deleteIDBase = 16

// AppendDelete appends a deletion with a number as its id, which the response repeats.
func AppendDelete(to, key []byte, id uint64) []byte {
	to = append(to, verbDelete+" "...)
	to = append(to, key...)
	to = append(to, ' ', flagID)
	to = strconv.AppendUint(to, id, deleteIDBase)
	return append(to, LineEnd...)
}

// ReadDeleteResponse reads the response to a deletion, or that to FlushAll, which has no id. A size of 0 without an
// error means that more bytes are needed. An error is final, as the beginning of the next response is unknown.
func ReadDeleteResponse(b []byte) (id uint64, flushed bool, size int, err error) {
	text, size, tooLong := cutLine(b)
	if tooLong {
		return 0, false, 0, errTooLong
	}
	if size == 0 {
		if !isDeleteResponsePrefix(b) {
			return 0, false, 0, errUnknownResponse
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
	return 0, false, 0, errUnknownResponse
}

// isDeleteResponsePrefix reports whether the bytes received so far may be the beginning of the response to a deletion,
// for the same reason as isResponsePrefix.
func isDeleteResponsePrefix(b []byte) bool {
	for _, word := range []string{wordDone, wordNotFound, FlushDone} {
		n := min(len(b), len(word))
		if string(b[:n]) == word[:n] {
			return true
		}
	}
	return false
}
