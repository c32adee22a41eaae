package requestids

import (
	"errors"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// The kinds of message. A message is a packet with the byte of its kind, followed by digests.
const (
	claimMessage    = 'c' // this process attempts requests with these ids, or may have executed them
	releaseMessage  = 'r' // the request with this id has ended and was not executed
	startMessage    = 's' // this process is about to accept requests, and needs the ids that the other one has used
	completeMessage = 'd' // the answer to a startMessage: claims of all ids used before precede it
)

const (
	maxDigestsPerMessage = 256
	maxMessageSize       = 1 + maxDigestsPerMessage*digestSize
	// retryPause is the pause before a call is repeated that failed for lack of memory or of space in a socket.
	retryPause = 5 * time.Millisecond
	// maxReadErrors is how many reads in a row may fail. A process that ends with messages unread causes one error, and
	// what it has sent before can be read after that.
	maxReadErrors = 3
)

// ErrUnavailable means that an id could not be claimed: the other process does not read, or the connection is broken
// although that process may still run.
var ErrUnavailable = errors.New("other process of the node cannot be told of the request id")

// NewPair returns two connected descriptors, for the Exchanges of two processes. The caller sends the remote one to the
// other process and then closes it.
func NewPair() (local *os.File, remote int, err error) {
	const flags = unix.SOCK_SEQPACKET | unix.SOCK_NONBLOCK | unix.SOCK_CLOEXEC
	fds, err := unix.Socketpair(unix.AF_UNIX, flags, 0)
	if err != nil {
		return nil, 0, err
	}
	return NewFile(fds[0]), fds[1], nil
}

// NewFile returns the file of a descriptor of a pair.
func NewFile(fd int) *os.File { return os.NewFile(uintptr(fd), "request ids") }

// Exchange makes sure that two processes of a node do not both attempt a request that is not idempotent. Before a
// process attempts one, it claims its id: it sends the id to the other process, and then reads all that the other one
// has sent. As a message is in the other process's socket once it is sent, at least one of two processes that claim an
// id at the same time finds the claim of the other. Neither waits for the other, so one that is suspended holds up
// nothing but further claims, once its socket is full.
//
// Claim, Release and Merge are called by the owner of the Exchange. A goroutine reads what the other process sends.
type Exchange struct {
	file    *os.File
	raw     syscall.RawConn
	onStart func() // called by the goroutine for a startMessage
	onEnd   func() // called by the goroutine once the other process has closed its end

	mu          sync.Mutex
	others      *Recent // the ids that the other process has claimed
	complete    bool    // a completeMessage has been received
	starts      int     // startMessages for which onStart has not been called yet
	ended       bool    // the other process has closed its descriptor, and all its messages have been read
	broken      bool    // reading fails, although the other process may still run
	lacksMemory bool    // the last read failed for lack of memory
	failedReads int     // in a row
}

// NewExchange starts an Exchange on one descriptor of a pair, which it owns from then on. It takes about memory bytes
// at most. onStart is called when the other process is about to accept requests; the caller then calls SendUsed. onEnd
// is called when the other process has closed its descriptor, or cannot be read any more.
func NewExchange(file *os.File, memory int64, onStart, onEnd func()) (*Exchange, error) {
	raw, err := file.SyscallConn()
	if err != nil {
		_ = file.Close()
		return nil, err
	}
	x := &Exchange{file: file, raw: raw, others: NewRecent(memory), onStart: onStart, onEnd: onEnd}
	go x.readMessages()
	return x, nil
}

// readMessages reads until the connection ends.
func (x *Exchange) readMessages() {
	for {
		starts, isOver, mustPause := 0, false, false
		err := x.raw.Read(func(fd uintptr) bool {
			x.mu.Lock()
			defer x.mu.Unlock()
			x.readPending(int(fd))
			starts = x.starts
			x.starts = 0
			isOver = x.ended || x.broken
			mustPause = x.lacksMemory
			return isOver || mustPause || starts > 0
		})
		for range starts {
			x.onStart()
		}
		if err != nil { // closed by this process
			return
		}
		if isOver {
			x.onEnd()
			return
		}
		if mustPause {
			time.Sleep(retryPause)
		}
	}
}

// readPending reads the messages that have arrived. The caller holds the lock.
func (x *Exchange) readPending(fd int) {
	var message [maxMessageSize]byte
	x.lacksMemory = false
	for !x.ended && !x.broken {
		n, err := unix.Read(fd, message[:])
		switch {
		case errors.Is(err, unix.EINTR):
		case errors.Is(err, unix.EAGAIN):
			return
		case errors.Is(err, unix.ENOMEM), errors.Is(err, unix.ENOBUFS):
			x.lacksMemory = true
			return
		case err != nil:
			x.failedReads++
			x.broken = x.failedReads >= maxReadErrors
		case n == 0:
			x.ended = true
		default:
			x.failedReads = 0
			x.handle(message[0], message[1:n])
		}
	}
}

// update reads the messages that have arrived, and calls f under the lock.
func (x *Exchange) update(f func()) error {
	return x.raw.Control(func(fd uintptr) {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.readPending(int(fd))
		f()
	})
}

// handle handles a message. The caller holds the lock.
func (x *Exchange) handle(kind byte, digests []byte) {
	now := time.Now()
	switch kind {
	case startMessage:
		x.starts++
	case completeMessage:
		x.complete = true
	}
	for ; len(digests) >= digestSize; digests = digests[digestSize:] {
		id := Digest(digests[:digestSize])
		switch kind {
		case claimMessage:
			x.others.Add(id, now)
		case releaseMessage:
			x.others.Remove(id)
		}
	}
}

// Claim claims an id. It reports whether the other process has claimed it, and returns ErrUnavailable if it cannot
// tell.
func (x *Exchange) Claim(id Digest) (claimedByOther bool, err error) {
	sendErr := x.send(claimMessage, id)
	isKnown := false
	err = x.update(func() {
		claimedByOther = x.others.Contains(id, time.Now())
		isKnown = x.ended || sendErr == nil && !x.broken && !x.lacksMemory
	})
	if err != nil || !isKnown {
		return false, ErrUnavailable
	}
	return claimedByOther, nil
}

// Release makes an id that was claimed available to the other process. A failure is ignored: the id then stays claimed.
func (x *Exchange) Release(id Digest) { _ = x.send(releaseMessage, id) }

// Start asks the other process for the ids that it has used. They have been received once IsComplete returns true.
// It does not wait.
func (x *Exchange) Start() { go x.sendPatiently(startMessage) }

// HasEnded reports whether the other process has closed its descriptor, and all that it has sent has been read.
func (x *Exchange) HasEnded() (ended bool) {
	_ = x.update(func() { ended = x.ended })
	return ended
}

// IsComplete reports whether all ids have been received that the other process had used before it received the message
// of Start.
func (x *Exchange) IsComplete() (complete bool) {
	_ = x.update(func() { complete = x.complete || x.ended })
	return complete
}

// SendUsed sends the ids that this process has used, and then tells the other process that these were all. It waits
// while the other process does not read, so it must be called from a goroutine of its own. Claims may be sent
// meanwhile.
func (x *Exchange) SendUsed(ids []Digest) {
	for len(ids) > 0 {
		batch := ids[:min(len(ids), maxDigestsPerMessage)]
		if !x.sendPatiently(claimMessage, batch...) {
			return
		}
		ids = ids[len(batch):]
	}
	x.sendPatiently(completeMessage)
}

// sendPatiently sends a message once the other process has read enough, and reports whether it could.
func (x *Exchange) sendPatiently(kind byte, ids ...Digest) bool {
	for {
		err := x.send(kind, ids...)
		if err == nil {
			return true
		}
		if !errors.Is(err, unix.EAGAIN) && !errors.Is(err, unix.ENOMEM) && !errors.Is(err, unix.ENOBUFS) {
			return false
		}
		time.Sleep(retryPause)
	}
}

// send sends a message, unless that would block.
func (x *Exchange) send(kind byte, ids ...Digest) error {
	message := append(make([]byte, 0, 1+len(ids)*digestSize), kind)
	for _, id := range ids {
		message = append(message, id[:]...)
	}
	var err error
	controlErr := x.raw.Control(func(fd uintptr) {
		for err = unix.EINTR; errors.Is(err, unix.EINTR); {
			err = unix.Send(int(fd), message, unix.MSG_DONTWAIT|unix.MSG_NOSIGNAL)
		}
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}

// Merge adds the ids that the other process has claimed to a set. It is called when that process has ended.
func (x *Exchange) Merge(into *Recent) {
	now := time.Now()
	_ = x.update(func() {
		x.others.Each(func(id Digest, _ time.Time) { into.Add(id, now) })
	})
}

// Close closes the descriptor.
func (x *Exchange) Close() { _ = x.file.Close() }
