package handover

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"net"
	"os"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"dahliapin/internal/proxy/requestids"
)

const descriptorSize = 4 // size of a descriptor in a control message, in bytes

// The errors of a handover that fails.
var (
	errOtherUser  = errors.New("handover socket belongs to a process of another user")
	errNoSockets  = errors.New("old process sent no sockets")
	errMismatched = errors.New("sockets do not match the addresses that the old process sent with them")

	errMalformedState = errors.New("old process sent a malformed state")
)

// Inherited holds the listeners received from the process that this one replaces, and the connection to it.
type Inherited struct {
	Listeners  map[string]net.Listener // by listening address; the caller removes those that it uses
	SendsState bool                    // the old process sends its state; one of an earlier version does not
	channel    *os.File                // to the old process, for package requestids; nil if there is none, or it was taken
	conn       *net.UnixConn
}

// Inherit receives the sockets that a process offers at path. It returns nil without an error if there is no such
// process. It waits no longer than responseTimeout to connect, and again for the sockets.
func Inherit(path string) (*Inherited, error) {
	var c net.Conn
	err := withSocketName(path, func(name string) error {
		var err error
		c, err = net.DialTimeout("unix", name, responseTimeout)
		return err
	})
	if errors.Is(err, fs.ErrNotExist) || errors.Is(err, syscall.ECONNREFUSED) {
		return nil, nil // no socket, or that of a process that was killed
	}
	if err != nil {
		return nil, err
	}
	i := &Inherited{Listeners: map[string]net.Listener{}, conn: c.(*net.UnixConn)}
	if err := i.receive(); err != nil {
		i.Close()
		return nil, err
	}
	return i, nil
}

// receive requests and receives the sockets.
func (i *Inherited) receive() error {
	_ = i.conn.SetDeadline(time.Now().Add(responseTimeout))
	if !isSameUser(i.conn) {
		return errOtherUser
	}
	if _, err := i.conn.Write([]byte(socketRequest)); err != nil {
		return err
	}
	addresses, fds, err := receiveWithRights(i.conn, maxAddressSize)
	if err != nil {
		return fmt.Errorf("cannot receive sockets from the old process: %w", err)
	}
	if len(fds) == 0 {
		return errNoSockets
	}
	if err := i.addListeners(fds, strings.Fields(addresses)); err != nil {
		return err
	}
	if strings.HasSuffix(addresses, stateAnnouncement) {
		// A failure is no reason not to take over: the node then has the state of its configuration only.
		i.SendsState = i.requestState() == nil
	}
	_ = i.conn.SetDeadline(time.Time{})
	return nil
}

// requestState requests the old process's state, and receives the channel.
func (i *Inherited) requestState() error {
	if _, err := i.conn.Write([]byte(stateRequest)); err != nil {
		return err
	}
	text, fds, err := receiveWithRights(i.conn, len(channelMessage))
	for lacksMemory(err) {
		time.Sleep(transientErrorPause)
		text, fds, err = receiveWithRights(i.conn, len(channelMessage))
	}
	for n, fd := range fds {
		if n > 0 || text != channelMessage || unix.SetNonblock(fd, true) != nil {
			_ = unix.Close(fd)
			continue
		}
		i.channel = requestids.NewFile(fd)
	}
	if err == nil && text != channelMessage {
		return errMalformedState
	}
	return err
}

// receiveWithRights receives a text of up to maxSize bytes and the descriptors that come with it.
func receiveWithRights(c *net.UnixConn, maxSize int) (text string, fds []int, err error) {
	buffer := make([]byte, maxSize)
	rights := make([]byte, unix.CmsgSpace(descriptorSize*maxSockets))
	textSize, rightsSize, _, _, err := c.ReadMsgUnix(buffer, rights)
	if err != nil {
		return "", nil, err
	}
	messages, err := unix.ParseSocketControlMessage(rights[:rightsSize])
	if err != nil {
		return "", nil, err
	}
	for n := range messages {
		received, err := unix.ParseUnixRights(&messages[n])
		if err != nil {
			return "", nil, err
		}
		fds = append(fds, received...)
	}
	return string(buffer[:textSize]), fds, nil
}

// addListeners turns descriptors into listeners and stores each under the address at the same position. If one listens
// on another address, all are still stored, so that Close closes them. Those without an address, or with one that
// another listener has already, are closed immediately.
func (i *Inherited) addListeners(fds []int, addresses []string) error {
	matched := len(fds) == len(addresses)
	for n, fd := range fds {
		file := os.NewFile(uintptr(fd), "listener")
		listener, err := net.FileListener(file)
		_ = file.Close()
		if err != nil {
			matched = false
			continue
		}
		if n >= len(addresses) || i.Listeners[addresses[n]] != nil {
			matched = false
			_ = listener.Close()
			continue
		}
		if listener.Addr().String() != addresses[n] {
			matched = false
		}
		i.Listeners[addresses[n]] = listener
	}
	if !matched {
		return errMismatched
	}
	return nil
}

// NotifyServing tells the old process that this one now serves clients.
func (i *Inherited) NotifyServing() error {
	_, err := i.conn.Write([]byte(servingNotice))
	return err
}

// Wait returns once the old process has ended or closed the connection. It calls onState with each state that the old
// process sends.
func (i *Inherited) Wait(onState func(state []byte)) {
	reader := bufio.NewReader(persistentReader{i.conn})
	for {
		state, err := readState(reader)
		if errors.Is(err, errMalformedState) || errors.Is(err, bufio.ErrBufferFull) {
			_, _ = io.Copy(io.Discard, reader) // its end still means that the old process has ended
			return
		}
		if err != nil {
			return
		}
		onState(state)
	}
}

// persistentReader repeats reads that fail because the system lacks memory. Such a failure does not mean that the other
// process has ended.
type persistentReader struct{ conn *net.UnixConn }

// Read reads from the connection.
func (r persistentReader) Read(b []byte) (int, error) {
	for {
		n, err := r.conn.Read(b)
		if n > 0 || !lacksMemory(err) {
			return n, err
		}
		time.Sleep(transientErrorPause)
	}
}

// TakeChannel returns the channel to the old process, which the caller then owns; nil if there is none.
func (i *Inherited) TakeChannel() *os.File {
	channel := i.channel
	i.channel = nil
	return channel
}

// Close closes the listeners and the channel, if they were not used, and the connection to the old process.
func (i *Inherited) Close() {
	for _, listener := range i.Listeners {
		_ = listener.Close()
	}
	if i.channel != nil {
		_ = i.channel.Close()
	}
	_ = i.conn.Close()
}
