package handover

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"dahliapin/internal/keyhash"
)

// The messages that the successor sends. A process of an earlier version ignores all but the first and the last.
const (
	socketRequest = "dahliapin handover 1\n" // requests the sockets; the number is the version of the protocol
	stateRequest  = "state\n"                // requests the old process's state, now and after each change
	servingNotice = "serving\n"              // announces that the successor serves clients
)

// channelMessage is the answer to a stateRequest. A descriptor comes with it, over which the two processes exchange the
// ids of requests (package requestids), unless the old process could not create one.
const channelMessage = "channel\n"

// stateAnnouncement at the end of the list of addresses announces that the old process answers a stateRequest. A
// successor of an earlier version ignores it, since it splits the list at white space.
const stateAnnouncement = "\n"

const (
	// responseTimeout bounds the wait for the other process, which answers outside of its event loop.
	responseTimeout = 500 * time.Millisecond

	// transientErrorPause is the pause before a call that failed for lack of resources is repeated. It prevents a busy
	// loop.
	transientErrorPause = 5 * time.Millisecond

	maxPathSize    = 107     // maximum length of a Unix socket's path, in bytes
	maxSockets     = 64      // maximum number of sockets passed: the node's and those of the operator's file
	maxAddressSize = 8 << 10 // maximum size of the list of their addresses, in bytes
	maxStateSize   = 8 << 20 // maximum size of a state, in bytes
	socketMode     = 0o600
)

// writeState writes a state, preceded by a line with its size. A write that fails because the system lacks memory is
// repeated.
func writeState(w io.Writer, state []byte) error {
	left := append(fmt.Appendf(nil, "%d\n", len(state)), state...)
	for {
		n, err := w.Write(left)
		left = left[n:]
		if err == nil || !lacksMemory(err) {
			return err
		}
		time.Sleep(transientErrorPause)
	}
}

// lacksMemory reports whether a call failed because the system lacks memory, so that it may succeed later.
func lacksMemory(err error) bool {
	return errors.Is(err, syscall.ENOMEM) || errors.Is(err, syscall.ENOBUFS)
}

// readState reads what writeState has written.
func readState(r *bufio.Reader) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	if err != nil {
		return nil, err
	}
	size, err := strconv.Atoi(strings.TrimSuffix(string(line), "\n"))
	if err != nil || size < 0 || size > maxStateSize {
		return nil, errMalformedState
	}
	state := make([]byte, size)
	_, err = io.ReadFull(r, state)
	return state, err
}

// Path returns the path of the handover socket, in dir, of the node that listens on the address listen.
func Path(dir, listen string) string {
	return filepath.Join(dir, fmt.Sprintf("dahliapin-%016x.sock", keyhash.String(listen)))
}

// withSocketName calls f with a name for path that is short enough for a Unix socket. A path that is too long is named
// through a descriptor of its directory, which stays open until f returns.
func withSocketName(path string, f func(name string) error) error {
	if len(path) <= maxPathSize {
		return f(path)
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	defer dir.Close()
	return f(fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), filepath.Base(path)))
}

// withDescriptors calls f with fds and the descriptors of all listeners appended to it. It avoids their File methods,
// because the Fd method of such a file would put the shared socket into blocking mode.
func withDescriptors(listeners []net.Listener, fds []int, f func(fds []int) error) error {
	if len(listeners) == 0 {
		return f(fds)
	}
	conn, ok := listeners[0].(syscall.Conn)
	if !ok {
		return errors.New("listener exposes no file descriptor")
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	var inner error
	err = raw.Control(func(fd uintptr) { inner = withDescriptors(listeners[1:], append(fds, int(fd)), f) })
	if err != nil {
		return err
	}
	return inner
}

// isSameUser reports whether the process at the other end of a connection runs as the same user as this one.
func isSameUser(c *net.UnixConn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	same := false
	_ = raw.Control(func(fd uintptr) {
		peer, err := unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED)
		same = err == nil && int(peer.Uid) == os.Getuid()
	})
	return same
}
