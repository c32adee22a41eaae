package controlwire

import "time"

// Intervals and timeouts that both ends of a stream rely on.
const (
	// HeartbeatInterval is how often a control server sends a heartbeat to a node if it has nothing else to send.
	// Nodes leave a server that sends nothing for several intervals.
	HeartbeatInterval = 500 * time.Millisecond
	// ProgressInterval is how often a node checks whether it has progress to report.
	ProgressInterval = 250 * time.Millisecond
	// NodeTimeout is the time without a message after which a control server closes a node's stream, and after which
	// a node or control server is shown as silent.
	NodeTimeout = 5 * time.Second
	// OrderTimeout is how long a control server waits for proposals to be ordered before it answers that the outcome
	// is unknown.
	OrderTimeout = 10 * time.Second
	// HandshakeTimeout bounds the preface, and separately the first message, of a stream.
	HandshakeTimeout = 3 * time.Second
	// WriteTimeout bounds the write of a frame.
	WriteTimeout = 5 * time.Second
	// SnapshotTimeout bounds the transfer of a frame of more than MaxFrameBytes, which holds a snapshot.
	SnapshotTimeout = 30 * time.Second

	dialTimeout = 1500 * time.Millisecond
)

const (
	maxReconnectDelay = 2 * time.Second // bounds the time until a restarted server is found
	maxDoublings      = 8               // of first; more could overflow, and the maximum is reached before
)

// ReconnectDelay returns the delay before a stream is dialled again: exponential backoff with full jitter, so that the
// peers of a failed server do not all reconnect at once. The ceiling of the delay is first, doubled for each attempt,
// up to two seconds: twice first after one failure. attempt counts consecutive failures; random is between 0 and 1.
func ReconnectDelay(first time.Duration, attempt int, random float64) time.Duration {
	ceiling := min(maxReconnectDelay, first<<min(attempt, maxDoublings))
	return time.Duration(random * float64(ceiling))
}
