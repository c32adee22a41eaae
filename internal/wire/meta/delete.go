package meta

import "strconv"

// FlushAll has all of a cache go; Flushed is its answer.
const (
	FlushAll = "flush_all\r\n"
	Flushed  = "OK"
)

// AppendDelete writes a deletion with a number for its id, which comes back with HD, or with NF where the key was not there.
func AppendDelete(to, key []byte, id uint64) []byte {
	to = append(append(append(to, "md "...), key...), " O"...)
	return append(strconv.AppendUint(to, id, 16), crlf...)
}

// ReadDeleted reads the answer to a deletion, or to FlushAll, of which there is no id. A size of 0 asks for more bytes. An error is final:
// nothing that follows can be told apart any more.
func ReadDeleted(b []byte) (id uint64, flushed bool, size int, err error) {
	text, size, long := line(b)
	if long {
		return 0, false, 0, errLong
	}
	if size == 0 {
		if n := min(len(b), 2); n > 0 && string(b[:n]) != "HD"[:n] && string(b[:n]) != "NF"[:n] && string(b[:n]) != Flushed[:n] {
			return 0, false, 0, errOdd
		}
		return 0, false, 0, nil
	}
	first, flags := word(text)
	switch string(first) {
	case Flushed:
		return 0, true, size, nil
	case "HD", "NF":
		digits, _ := Flag(flags, 'O')
		if id, err = strconv.ParseUint(string(digits), 16, 64); err == nil {
			return id, false, size, nil
		}
	}
	return 0, false, 0, errOdd
}
