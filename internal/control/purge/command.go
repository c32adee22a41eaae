package purge

import (
	"dahliapin/internal/control/replicatedlog"
	"dahliapin/internal/monotime"
)

// CommandKind is the effect of a command at the cache.
type CommandKind uint8

// The kinds of commands. Flush and the kinds after it empty the whole cache.
const (
	QuickDelete      CommandKind = iota + 1 // deletes a key at once
	ConfirmingDelete                        // deletes a key again, once fills that began before the purge are over
	Flush                                   // empties the cache at once, because the keys are not known
	ConfirmingFlush                         // empties it again, once fills that began before the first flush are over
)

// Command is a command to a cache.
type Command struct {
	Kind  CommandKind
	Index replicatedlog.Index // index of the purge; for a flush, the newest entry that it covers
	Key   []byte              // key of a delete
}

// inFlightCommand is a command that the cache has not answered yet.
type inFlightCommand struct {
	Command
	logID  replicatedlog.LogID // the log that the indexes belong to
	upTo   replicatedlog.Index // the answer covers the purge, and later entries up to here that need no command
	sentAt monotime.Instant
}

// deletable reports whether an entry is a purge that can be sent to a cache. A space or a control character in a key,
// such as a line end, would end the command and begin another one. No cache holds such a key, so the entry counts as
// done.
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
