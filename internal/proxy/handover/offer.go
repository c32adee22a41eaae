package handover

import (
	"bufio"
	"errors"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Stage is how far the process that replaces this one has come.
type Stage int

// The stages, in their order.
const (
	SocketsSent      Stage = iota // the successor has the sockets
	SuccessorServing              // it serves clients
	SuccessorGone                 // it has gone, and this process goes on as before
)

// Offer is a process's readiness to be replaced, by one other at a time.
type Offer struct {
	path      string
	socket    *net.UnixListener
	listeners []net.Listener
	onStage   func(Stage)

	mu        sync.Mutex
	successor *net.UnixConn // nil while there is none
	closed    bool
}

// Open offers listeners at a path until Close. onStage is called with each stage, from a goroutine of the offer's own.
func Open(path string, listeners []net.Listener, onStage func(Stage)) (*Offer, error) {
	_ = os.Remove(path) // that of a process that was killed, or has gone
	var socket *net.UnixListener
	err := withSocketName(path, func(name string) error {
		var err error
		socket, err = net.ListenUnix("unix", &net.UnixAddr{Name: name, Net: "unix"})
		return err
	})
	if err != nil {
		return nil, err
	}
	socket.SetUnlinkOnClose(false) // the path may be the successor's by then
	_ = os.Chmod(path, socketMode)
	o := &Offer{path: path, socket: socket, listeners: listeners, onStage: onStage}
	go o.acceptSuccessors()
	return o, nil
}

// acceptSuccessors runs until the socket is closed. Guards against a failure of the system, for a moment, after which
// no process could take this one's place any more.
func (o *Offer) acceptSuccessors() {
	for {
		c, err := o.socket.AcceptUnix()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryPause)
			continue
		}
		if o.admit(c) {
			go o.serveSuccessor(c)
		} else {
			_ = c.Close()
		}
	}
}

// admit makes a process the successor. While there is one, a third process gets nothing.
func (o *Offer) admit(c *net.UnixConn) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed || o.successor != nil || !isSameUser(c) {
		return false
	}
	o.successor = c
	return true
}

// serveSuccessor converses with a successor until it has gone.
func (o *Offer) serveSuccessor(c *net.UnixConn) {
	hadSockets := o.converse(c)
	_ = c.Close()
	o.mu.Lock()
	o.successor = nil
	notify := hadSockets && !o.closed
	o.mu.Unlock()
	if notify {
		o.onStage(SuccessorGone)
	}
}

// converse returns once the successor has gone, and tells whether it has had the sockets.
func (o *Offer) converse(c *net.UnixConn) (hadSockets bool) {
	// A process that sends nothing must not keep others out for long.
	_ = c.SetDeadline(time.Now().Add(conversationTimeout))
	reader := bufio.NewReaderSize(c, len(hello))
	line, err := reader.ReadString('\n')
	if err != nil || line != hello {
		return false
	}
	if err := o.sendSockets(c); err != nil {
		return false
	}
	_ = c.SetDeadline(time.Time{})
	o.onStage(SocketsSent)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return true
		}
		if line == serving {
			o.onStage(SuccessorServing)
		}
	}
}

// sendSockets sends the listeners' descriptors, and their addresses a line each.
func (o *Offer) sendSockets(c *net.UnixConn) error {
	var addresses []string
	for _, listener := range o.listeners {
		addresses = append(addresses, listener.Addr().String())
	}
	text := strings.Join(addresses, "\n")
	return withDescriptors(o.listeners, nil, func(fds []int) error {
		_, _, err := c.WriteMsgUnix([]byte(text), unix.UnixRights(fds...), nil)
		return err
	})
}

// Close ends the offer. The socket is removed, unless a successor has taken over and offers at the same path.
func (o *Offer) Close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
	_ = o.socket.Close()
	if o.successor != nil {
		_ = o.successor.Close()
		return
	}
	_ = os.Remove(o.path)
}
