package controlwire

import "time"

// Times that both ends of a stream count on.
const (
	// HeartbeatInterval is how often a control server sends a heartbeat to a node where it has nothing else to send.
	// Nodes leave a server that sends nothing for a few of them.
	HeartbeatInterval = 500 * time.Millisecond
	// ProgressInterval is how often a node checks whether it has progress to report.
	ProgressInterval = 250 * time.Millisecond
	// NodeTimeout is the silence after which a control server closes a node's stream, and after which a node or
	// control server is shown as silent.
	NodeTimeout = 5 * time.Second
	// OrderTimeout is how long a control server waits for proposals to be ordered before it answers that this is not
	// known.
	OrderTimeout = 10 * time.Second
	// HandshakeTimeout is for the preface and the first message of a stream.
	HandshakeTimeout = 3 * time.Second
	// WriteTimeout is for a frame to be taken by the other end.
	WriteTimeout = 5 * time.Second
	// SnapshotTimeout is the same for a frame of more than MaxFrameBytes, which holds a snapshot.
	SnapshotTimeout = 30 * time.Second

	dialTimeout = 1500 * time.Millisecond
)

const (
	maxReconnectDelay = 2 * time.Second // a server that is back is found within it
	maxDoublings      = 8               // of the first delay: more would overflow, and the maximum is reached before
)

// ReconnectDelay is the pause before a stream is dialled again: exponential backoff from a first delay to two
// seconds, with full jitter, so that the streams of a server that went away do not all come back at once. Attempt
// counts failures in a row; random is from 0 up to 1.
func ReconnectDelay(first time.Duration, attempt int, random float64) time.Duration {
	ceiling := min(maxReconnectDelay, first<<min(attempt, maxDoublings))
	return time.Duration(random * float64(ceiling))
}
