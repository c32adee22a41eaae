package poller

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"

	"dahliapin/internal/buffer"
)

// ErrTooManyUnsent is returned by Socket.Write if the peer reads too slowly.
var ErrTooManyUnsent = errors.New("too many unsent bytes")

// Handler is notified of the events of a Socket.
type Handler interface {
	// OnReadable is called by the poller's goroutine when there may be bytes, or the end of the stream, to read. It must
	// read until the socket has nothing more: the same bytes are not reported again. It may use the buffer until it
	// returns.
	OnReadable(buffer []byte)

	// OnWritten is called when the kernel has accepted n more bytes. The socket is locked during the call.
	OnWritten(n int)

	// OnClosed is called once, by the goroutine that closed the socket, and after it has been closed.
	OnClosed()
}

// Socket is a non-blocking TCP socket. Its methods may be called from any goroutine.
type Socket struct {
	handler Handler
	poller  *Poller

	mu         sync.Mutex
	descriptor int // open until closed is set
	number     uint64
	unsent     buffer.Buffer // written bytes that the kernel has not accepted yet
	registered bool          // the poller reports events of the socket
	closed     bool
}

// NewSocket takes over a connection, and returns its socket, which is polled from the call of Poll on. It uses a second
// descriptor for a moment. On an error the connection stays open and is still the caller's.
func (p *Poller) NewSocket(conn net.Conn, handler Handler) (*Socket, error) {
	owner, ok := conn.(syscall.Conn)
	if !ok {
		return nil, fmt.Errorf("a %T has no descriptor", conn)
	}
	raw, err := owner.SyscallConn()
	if err != nil {
		return nil, err
	}
	s := &Socket{handler: handler, poller: p}
	var dupErr error
	if err := raw.Control(func(fd uintptr) { s.descriptor, dupErr = unix.Dup(int(fd)) }); err != nil {
		return nil, err
	}
	if dupErr != nil {
		return nil, os.NewSyscallError("dup", dupErr)
	}
	_ = conn.Close()
	return s, nil
}

// Poll starts to report the events of the socket. It closes the socket if that fails.
func (s *Socket) Poll() error {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return net.ErrClosed
	}
	err := s.poller.register(s)
	s.registered = err == nil
	s.mu.Unlock()
	if err != nil {
		s.Close()
	}
	return err
}

// handle processes an event of the socket.
func (s *Socket) handle(events uint32, readBuffer []byte) {
	if events&unix.EPOLLOUT != 0 {
		s.flush()
	}
	if events&readEvents != 0 {
		s.handler.OnReadable(readBuffer)
	}
	if events&closeEvents != 0 {
		s.Close()
	}
}

// Read reads into b. It returns 0 and no error at the end of the stream, unix.EAGAIN if there is nothing to read now,
// and net.ErrClosed after Close.
func (s *Socket) Read(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return 0, net.ErrClosed
	}
	return unix.Read(s.descriptor, b)
}

// Write writes b. Bytes that the kernel does not accept immediately are copied and written later. After an error the
// socket is closed.
func (s *Socket) Write(b []byte) error {
	s.mu.Lock()
	err := s.writeLocked(b)
	s.mu.Unlock()
	if err != nil {
		s.Close()
	}
	return err
}

func (s *Socket) writeLocked(b []byte) error {
	waiting := len(s.unsent.Unread())
	switch {
	case s.closed:
		return net.ErrClosed
	case waiting+len(b) > s.poller.maxUnsent:
		return ErrTooManyUnsent
	case waiting > 0:
		s.unsent.Append(b)
		return nil
	}
	n, err := s.send(b)
	if err != nil && !isTransient(err) {
		return err
	}
	if n == len(b) {
		return nil
	}
	s.unsent.Append(b[n:])
	if s.registered && !errors.Is(err, unix.EAGAIN) {
		// The kernel reports free space only after a write has failed for lack of it. This one was interrupted or cut
		// short.
		return s.poller.rearm(s)
	}
	return nil
}

// flush writes the unsent bytes until the kernel accepts no more.
func (s *Socket) flush() {
	s.mu.Lock()
	err := s.flushLocked()
	s.mu.Unlock()
	if err != nil {
		s.Close()
	}
}

func (s *Socket) flushLocked() error {
	for !s.closed && len(s.unsent.Unread()) > 0 {
		n, err := s.send(s.unsent.Unread())
		s.unsent.Consume(n)
		if errors.Is(err, unix.EAGAIN) {
			return nil
		}
		if err != nil && !isTransient(err) {
			return err
		}
	}
	s.unsent = buffer.Buffer{} // most sockets never need one again
	return nil
}

// send writes to the kernel and reports the accepted bytes to the handler.
func (s *Socket) send(b []byte) (int, error) {
	n, err := unix.Write(s.descriptor, b)
	if n <= 0 {
		return 0, err
	}
	s.handler.OnWritten(n)
	return n, err
}

// isTransient reports whether a write that failed with the error may succeed later.
func isTransient(err error) bool { return errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR) }

// Control calls f with the descriptor, which stays open during the call. It returns net.ErrClosed after Close.
func (s *Socket) Control(f func(descriptor int)) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return net.ErrClosed
	}
	f(s.descriptor)
	return nil
}

// Close closes the socket and discards the unsent bytes. Further calls have no effect.
func (s *Socket) Close() {
	if s.release() {
		s.handler.OnClosed()
	}
}

// release closes the descriptor. It reports whether it was open.
func (s *Socket) release() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.closed = true
	s.unsent = buffer.Buffer{}
	s.poller.unregister(s)
	_ = unix.Close(s.descriptor)
	return true
}
