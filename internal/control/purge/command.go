package purge

import (
	"dahliapin/internal/control/replicatedlog"
	"dahliapin/internal/monotime"
)

// CommandKind is what a command does at the cache.
type CommandKind uint8

// The kinds of commands. Those from Flush on empty the whole cache.
const (
	QuickDelete      CommandKind = iota + 1 // deletes a key at once
	ConfirmingDelete                        // deletes it once fills from before the purge are over
	Flush                                   // empties the cache at once: the keys are not known
	ConfirmingFlush                         // empties it once fills from before the first flush are over
)

// Command is a command to a cache.
type Command struct {
	Kind  CommandKind
	Index replicatedlog.Index // of the purge; of a flush, the newest entry that it covers
	Key   []byte              // of a delete
}

// inFlightCommand is a command that the cache has not answered yet.
type inFlightCommand struct {
	Command
	upTo   replicatedlog.Index // the answer covers the purge, and entries behind it that are no purges
	sentAt monotime.Instant
}

// deletable says whether an entry is a purge that caches can be told of. A key with a space or a control character,
// as an end of line, would end the command and begin another one; no cache holds such a key, and so the entry counts
// as done.
func deletable(e replicatedlog.Entry) bool {
	if e.Kind != replicatedlog.Purge || len(e.Body) == 0 || len(e.Body) > replicatedlog.MaxKeyBytes {
		return false
	}
	for _, b := range e.Body {
		if b <= ' ' || b == 0x7f {
			return false
		}
	}
	return true
}
