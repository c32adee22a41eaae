// Package poller reads and writes TCP sockets without blocking. One goroutine waits with epoll for the events of all
// sockets of a Poller and calls their handlers.
//
// The kernel reports events in batches. A socket may be closed after a batch with an event of it was fetched, and a new
// socket may then get its descriptor. So events are matched to sockets by a number that is never reused, and not by
// descriptor: an event of a closed socket matches none.
//
// Locking: a Poller's mutex guards its table of sockets, a Socket's mutex its descriptor and its unsent bytes. The
// mutex of a socket is locked before that of its poller.
package poller

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"

	"golang.org/x/sys/unix"
)

const (
	// maxBatchEvents is the largest number of events that are fetched at once.
	maxBatchEvents = 1024

	// wakeNumber stands for the descriptor that stops the poller, in place of the number of a socket.
	wakeNumber = 0

	// socketEvents are the events that a socket is registered for. Polling is edge-triggered: an event is reported once,
	// when it occurs.
	socketEvents = unix.EPOLLIN | unix.EPOLLPRI | unix.EPOLLOUT | unix.EPOLLRDHUP | unix.EPOLLET

	readEvents  = unix.EPOLLIN | unix.EPOLLPRI
	closeEvents = unix.EPOLLERR | unix.EPOLLHUP | unix.EPOLLRDHUP
)

// Poller waits for the events of its sockets.
type Poller struct {
	epoll      int    // descriptor
	wake       int    // descriptor of an eventfd, which is written to stop the poller
	maxUnsent  int    // bytes
	readBuffer []byte // passed to the handlers
	stopped    chan struct{}

	mu         sync.Mutex
	sockets    map[uint64]*Socket // the open and registered ones, by number
	lastNumber uint64
	closed     bool
}

// Start returns a running Poller. It passes a buffer of readBufferSize bytes to the handlers. A socket with more than
// maxUnsent bytes that the kernel has not accepted yet is closed.
func Start(readBufferSize, maxUnsent int) (*Poller, error) {
	p := &Poller{
		maxUnsent:  maxUnsent,
		readBuffer: make([]byte, readBufferSize),
		stopped:    make(chan struct{}),
		sockets:    map[uint64]*Socket{},
	}
	var err error
	if p.epoll, err = unix.EpollCreate1(unix.EPOLL_CLOEXEC); err != nil {
		return nil, os.NewSyscallError("epoll_create1", err)
	}
	if p.wake, err = unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC); err != nil {
		_ = unix.Close(p.epoll)
		return nil, os.NewSyscallError("eventfd", err)
	}
	if err = p.control(unix.EPOLL_CTL_ADD, p.wake, wakeNumber, unix.EPOLLIN); err != nil {
		_ = unix.Close(p.wake)
		_ = unix.Close(p.epoll)
		return nil, err
	}
	go p.run()
	return p, nil
}

// Close stops the poller, waits until it calls no handler any more, and closes its sockets.
func (p *Poller) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.wakeUp()
	<-p.stopped
	for _, s := range p.openSockets() {
		s.Close()
	}
	_ = unix.Close(p.wake)
	_ = unix.Close(p.epoll)
}

// wakeUp makes run return.
func (p *Poller) wakeUp() {
	one := [8]byte{1}
	for {
		if _, err := unix.Write(p.wake, one[:]); !errors.Is(err, unix.EINTR) {
			return
		}
	}
}

func (p *Poller) openSockets() []*Socket {
	p.mu.Lock()
	defer p.mu.Unlock()
	open := make([]*Socket, 0, len(p.sockets))
	for _, s := range p.sockets {
		open = append(open, s)
	}
	return open
}

// run handles events until the poller is stopped.
func (p *Poller) run() {
	defer close(p.stopped)
	events := make([]unix.EpollEvent, maxBatchEvents)
	for {
		n, err := unix.EpollWait(p.epoll, events, -1)
		if err != nil && !errors.Is(err, unix.EINTR) {
			panic(os.NewSyscallError("epoll_wait", err)) // only invalid arguments cause another error
		}
		for i := range max(n, 0) {
			number := eventNumber(&events[i])
			if number == wakeNumber {
				return
			}
			if s := p.socket(number); s != nil {
				s.handle(events[i].Events, p.readBuffer)
			}
		}
	}
}

// socket returns the open socket with a number, or nil.
func (p *Poller) socket(number uint64) *Socket {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sockets[number]
}

// register starts polling a socket, whose mutex the caller holds, and sets its number.
func (p *Poller) register(s *Socket) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return net.ErrClosed
	}
	p.lastNumber++
	s.number = p.lastNumber
	p.sockets[s.number] = s
	return p.control(unix.EPOLL_CTL_ADD, s.descriptor, s.number, socketEvents)
}

// unregister removes a socket from the table. The kernel stops polling its descriptor when that is closed.
func (p *Poller) unregister(s *Socket) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.sockets, s.number)
}

// rearm makes the kernel report again those events of a registered socket that hold now.
func (p *Poller) rearm(s *Socket) error {
	return p.control(unix.EPOLL_CTL_MOD, s.descriptor, s.number, socketEvents)
}

// control calls epoll_ctl with an event that carries the number.
func (p *Poller) control(operation, descriptor int, number uint64, events uint32) error {
	event := unix.EpollEvent{Events: events, Fd: int32(uint32(number)), Pad: int32(uint32(number >> 32))}
	if err := unix.EpollCtl(p.epoll, operation, descriptor, &event); err != nil {
		return fmt.Errorf("cannot poll a socket: %w", os.NewSyscallError("epoll_ctl", err))
	}
	return nil
}

// eventNumber returns the number that control has stored in an event.
func eventNumber(event *unix.EpollEvent) uint64 {
	return uint64(uint32(event.Fd)) | uint64(uint32(event.Pad))<<32
}
