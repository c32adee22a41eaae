package cachestub

import (
	"bytes"
	"fmt"
	"strings"
)

// Command is a deletion of a key's value, or a flush of all.
type Command struct {
	Key   string
	ID    string // by which the answer names the command
	Flush bool
}

// ParseCommand reads the first command in b if it is a deletion or a flush. A size of 0 says that it is neither, or is not
// complete.
func ParseCommand(b []byte) (order Command, size int) {
	end := bytes.IndexByte(b, '\n')
	if end < 0 {
		return Command{}, 0
	}
	size = end + 1
	words := strings.Fields(string(b[:end]))
	switch {
	case len(words) == 1 && words[0] == "flush_all":
		return Command{Flush: true}, size
	case len(words) >= 2 && words[0] == "md":
		return Command{Key: words[1], ID: opaqueOf(words[2:])}, size
	}
	return Command{}, 0
}

// opaqueOf returns the last opaque token among a command's flags.
func opaqueOf(flags []string) string {
	id := ""
	for _, flag := range flags {
		if flag[0] == 'O' {
			id = flag[1:]
		}
	}
	return id
}

// Answer returns the answer to an order; found says whether there was a value to delete.
func (o Command) Answer(found bool) []byte {
	switch {
	case o.Flush:
		return []byte("OK\r\n")
	case found:
		return fmt.Appendf(nil, "HD O%s\r\n", o.ID)
	}
	return fmt.Appendf(nil, "NF O%s\r\n", o.ID)
}
