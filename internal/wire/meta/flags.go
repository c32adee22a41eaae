package meta

import (
	"bytes"
	"strconv"
)

// The letters of the flags that are read or written here.
const (
	flagID         = 'O' // of a command: its id, which the response repeats
	flagItems      = 'P' // of a command: comma-separated items, including the class, the tenant and the deadline
	flagLoadReport = 'L' // of a response: the load report of the cache, as items
	flagReceipt    = 'c' // of the response to a write: its receipt
)

// deadlineItem is the prefix of the item with the time for which the client waits, in milliseconds.
const deadlineItem = "d="

// Flag returns the value after the letter of a flag, and whether the flag is present.
func Flag(flags []byte, letter byte) (value []byte, ok bool) {
	for len(flags) > 0 {
		var flag []byte
		flag, flags = cutWord(flags)
		if len(flag) > 0 && flag[0] == letter {
			return flag[1:], true
		}
	}
	return nil, false
}

// Item returns the value of the item with a name in a list of items such as "c=read,d=480".
func Item(items []byte, name string) (value []byte, ok bool) {
	for len(items) > 0 {
		var item []byte
		item, items, _ = bytes.Cut(items, []byte(","))
		itemName, itemValue, found := bytes.Cut(item, []byte("="))
		if found && string(itemName) == name {
			return itemValue, true
		}
	}
	return nil, false
}

// AppendItems appends a list of items with its deadline replaced by deadlineMs, in milliseconds.
func AppendItems(to, items []byte, deadlineMs int64) []byte {
	for first := true; len(items) > 0; first = false {
		var item []byte
		item, items, _ = bytes.Cut(items, []byte(","))
		if !first {
			to = append(to, ',')
		}
		if !bytes.HasPrefix(item, []byte(deadlineItem)) {
			to = append(to, item...)
			continue
		}
		to = append(to, deadlineItem...)
		to = strconv.AppendInt(to, deadlineMs, 10)
	}
	return to
}

// appendFlags appends the flags of a command with the deadline in their items replaced.
func appendFlags(to, flags []byte, deadlineMs int64) []byte {
	for len(flags) > 0 {
		var flag []byte
		flag, flags = cutWord(flags)
		if len(flag) == 0 {
			continue
		}
		to = append(to, ' ')
		if flag[0] != flagItems {
			to = append(to, flag...)
			continue
		}
		to = append(to, flagItems)
		to = AppendItems(to, flag[1:], deadlineMs)
	}
	return to
}

// hasControlByte reports whether flags contain a byte that another parser may take for the end of the line.
func hasControlByte(flags []byte) bool {
	for _, c := range flags {
		if c < ' ' || c == asciiDEL {
			return true
		}
	}
	return false
}
