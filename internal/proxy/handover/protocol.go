package handover

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"dahliapin/internal/keyhash"
)

// The messages that the successor sends.
const (
	socketRequest = "dahliapin handover 1\n" // requests the sockets; the number is the version of the protocol
	servingNotice = "serving\n"              // announces that the successor serves clients
)

const (
	// responseTimeout bounds the wait for the other process, which answers outside of its event loop.
	responseTimeout = 500 * time.Millisecond

	// transientErrorPause is the pause before a call that failed for lack of resources is repeated. It prevents a busy
	// loop.
	transientErrorPause = 5 * time.Millisecond

	maxPathSize    = 107     // maximum length of a Unix socket's path, in bytes
	maxSockets     = 64      // maximum number of sockets passed: the node's and those of the operator's file
	maxAddressSize = 8 << 10 // maximum size of the list of their addresses, in bytes
	socketMode     = 0o600
)

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
