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

// The lines that a successor sends.
const (
	hello   = "dahliapin handover 1\n" // asks for the sockets; the number is the version of the conversation
	serving = "serving\n"              // says that it serves clients
)

const (
	// conversationTimeout is for the other process to answer, which it does beside its event loop.
	conversationTimeout = 500 * time.Millisecond

	// acceptRetryPause is the pause after an accept that failed.
	acceptRetryPause = 5 * time.Millisecond

	maxPathSize    = 107     // bytes of the name that a Unix socket may have
	maxSockets     = 64      // that are passed: the node's and those of the operator's file
	maxAddressSize = 8 << 10 // bytes of their addresses
	socketMode     = 0o600
)

// Path returns the path of the socket by which a node that listens on an address is replaced.
func Path(folder, listen string) string {
	return filepath.Join(folder, fmt.Sprintf("dahliapin-%016x.sock", keyhash.String(listen)))
}

// withSocketName calls f with a name for a path that a Unix socket may have. A long path is named by the descriptor of
// its folder, which is open until f returns.
func withSocketName(path string, f func(name string) error) error {
	if len(path) <= maxPathSize {
		return f(path)
	}
	folder, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	defer folder.Close()
	return f(fmt.Sprintf("/proc/self/fd/%d/%s", folder.Fd(), filepath.Base(path)))
}

// withDescriptors calls f with the descriptors of all listeners, added to fds. It does without their File methods, as
// the Fd of such a file would make the shared socket blocking.
func withDescriptors(listeners []net.Listener, fds []int, f func(fds []int) error) error {
	if len(listeners) == 0 {
		return f(fds)
	}
	conn, ok := listeners[0].(syscall.Conn)
	if !ok {
		return errors.New("a listener without a descriptor")
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

// isSameUser tells whether the other side of a connection belongs to this process's user.
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
