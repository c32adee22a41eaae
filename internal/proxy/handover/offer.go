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

	"dahliapin/internal/proxy/requestids"
)

// Stage is the progress of the process that replaces this one.
type Stage int

// The stages, in their order.
const (
	SocketsSent      Stage = iota // the successor has received the sockets
	StateRequested                // the successor has requested the state; see SendState
	SuccessorServing              // the successor serves clients
	SuccessorGone                 // the successor has ended or returned the sockets; this process continues to serve
)

// Offer offers this process's listeners to a successor, one at a time.
type Offer struct {
	path      string
	socket    *net.UnixListener
	listeners []net.Listener
	onStage   func(Stage)

	mu        sync.Mutex
	successor *net.UnixConn // nil if there is none
	states    chan []byte   // the state that the successor is sent next; nil if it has not requested any
	channel   *os.File      // this process's end of the channel to the successor; nil if there is none, or it was taken
	closed    bool
}

// Open offers listeners on a Unix socket at path until Close. onStage is called with each stage that a successor
// reaches, from a goroutine of the Offer.
func Open(path string, listeners []net.Listener, onStage func(Stage)) (*Offer, error) {
	_ = os.Remove(path) // a socket that a killed process has left behind
	var socket *net.UnixListener
	err := withSocketName(path, func(name string) error {
		var err error
		socket, err = net.ListenUnix("unix", &net.UnixAddr{Name: name, Net: "unix"})
		return err
	})
	if err != nil {
		return nil, err
	}
	socket.SetUnlinkOnClose(false) // by then the path may belong to the successor
	_ = os.Chmod(path, socketMode)
	o := &Offer{path: path, socket: socket, listeners: listeners, onStage: onStage}
	go o.acceptSuccessors()
	return o, nil
}

// acceptSuccessors accepts connections until the socket is closed. It retries after other errors: otherwise a transient
// system error would prevent any later handover.
func (o *Offer) acceptSuccessors() {
	for {
		c, err := o.socket.AcceptUnix()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(transientErrorPause)
			continue
		}
		if o.admit(c) {
			go o.serveSuccessor(c)
		} else {
			_ = c.Close()
		}
	}
}

// admit makes the process at the other end of c the successor, unless there is one already, the Offer is closed or the
// process belongs to another user. It reports whether it did.
func (o *Offer) admit(c *net.UnixConn) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed || o.successor != nil || !isSameUser(c) {
		return false
	}
	o.successor = c
	return true
}

// serveSuccessor handles the connection of a successor until it ends.
func (o *Offer) serveSuccessor(c *net.UnixConn) {
	sent := o.runProtocol(c)
	_ = c.Close()
	o.mu.Lock()
	o.successor = nil
	if o.states != nil {
		close(o.states)
		o.states = nil
	}
	o.closeChannel()
	notify := sent && !o.closed
	o.mu.Unlock()
	if notify {
		o.onStage(SuccessorGone)
	}
}

// runProtocol runs the protocol with a successor until the connection ends, and reports whether the sockets were sent.
func (o *Offer) runProtocol(c *net.UnixConn) (sent bool) {
	// A process that connects and sends nothing must not block other successors for long.
	_ = c.SetDeadline(time.Now().Add(responseTimeout))
	reader := bufio.NewReaderSize(c, len(socketRequest))
	line, err := reader.ReadString('\n')
	if err != nil || line != socketRequest {
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
		switch line {
		case stateRequest:
			if o.sendChannel(c) == nil {
				o.startSendingStates(c)
				o.onStage(StateRequested)
			}
		case servingNotice:
			o.onStage(SuccessorServing)
		}
	}
}

// sendChannel creates a pair of descriptors and sends one of them to the successor.
func (o *Offer) sendChannel(c *net.UnixConn) error {
	local, remote, err := requestids.NewPair()
	if err != nil {
		return sendWithRights(c, channelMessage, nil)
	}
	err = sendWithRights(c, channelMessage, []int{remote})
	_ = unix.Close(remote)
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil || o.channel != nil {
		_ = local.Close()
		return err
	}
	o.channel = local
	return nil
}

// TakeChannel returns this process's end of the channel to the successor, which the caller then owns; nil if there is
// none.
func (o *Offer) TakeChannel() *os.File {
	o.mu.Lock()
	defer o.mu.Unlock()
	channel := o.channel
	o.channel = nil
	return channel
}

// closeChannel closes this process's end of the channel, unless it was taken. The caller holds the lock.
func (o *Offer) closeChannel() {
	if o.channel != nil {
		_ = o.channel.Close()
		o.channel = nil
	}
}

// startSendingStates starts a goroutine that sends the successor each state of SendState. It ends with the connection.
func (o *Offer) startSendingStates(c *net.UnixConn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.states != nil {
		return
	}
	states := make(chan []byte, 1)
	o.states = states
	go func() {
		for state := range states {
			if writeState(c, state) != nil {
				_ = c.Close() // the successor cannot know what it lacks
				return
			}
		}
	}()
}

// SendState sends the successor a state, which replaces one that waits to be sent. It does not block, and does nothing
// if there is no successor that has requested states.
func (o *Offer) SendState(state []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.states == nil {
		return
	}
	select {
	case <-o.states:
	default:
	}
	o.states <- state // cannot block: only this method sends, under the lock
}

// sendSockets sends the listeners' descriptors together with their addresses, one per line, and stateAnnouncement.
func (o *Offer) sendSockets(c *net.UnixConn) error {
	var addresses []string
	for _, listener := range o.listeners {
		addresses = append(addresses, listener.Addr().String())
	}
	text := strings.Join(addresses, "\n") + stateAnnouncement
	return withDescriptors(o.listeners, nil, func(fds []int) error { return sendWithRights(c, text, fds) })
}

// sendWithRights sends a text together with descriptors.
func sendWithRights(c *net.UnixConn, text string, fds []int) error {
	var rights []byte
	if len(fds) > 0 {
		rights = unix.UnixRights(fds...)
	}
	_, _, err := c.WriteMsgUnix([]byte(text), rights, nil)
	return err
}

// Close ends the offer. It removes the socket unless there is a successor, which may offer its sockets at the same
// path.
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
