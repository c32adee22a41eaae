package cachestub

import (
	"bytes"
	"fmt"
	"strings"
)

// Command is a deletion of one key or a flush of all keys.
type Command struct {
	Key   string
	ID    string // opaque token, which the answer repeats
	Flush bool
}

// ParseCommand parses the first command in b, and returns its size in bytes. The size is 0 if the command is incomplete
// or is neither a deletion nor a flush.
func ParseCommand(b []byte) (command Command, size int) {
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

// Answer returns the answer to the command. found states whether the key had a value.
func (c Command) Answer(found bool) []byte {
	switch {
	case c.Flush:
		return []byte("OK\r\n")
	case found:
		return fmt.Appendf(nil, "HD O%s\r\n", c.ID)
	}
	return fmt.Appendf(nil, "NF O%s\r\n", c.ID)
}
