package handover

import (
	"errors"
	"fmt"
	"io/fs"
	"net"
	"os"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const descriptorSize = 4 // bytes of a descriptor in a message

// The errors of a conversation that ends without the sockets.
var (
	errOtherUser  = errors.New("who offers its sockets is not of this user")
	errNoSockets  = errors.New("no sockets were handed over")
	errMismatched = errors.New("what was handed over is not what was said")
)

// Inherited is what a process has got from the one that it replaces.
type Inherited struct {
	Listeners map[string]net.Listener // by address, as the old process listens on it; those used are taken out
	conn      *net.UnixConn
}

// Inherit asks the process that offers its sockets at a path for them. Without one it returns nil and no error. It
// waits for a bounded time.
func Inherit(path string) (*Inherited, error) {
	var c net.Conn
	err := withSocketName(path, func(name string) error {
		var err error
		c, err = net.DialTimeout("unix", name, conversationTimeout)
		return err
	})
	if errors.Is(err, fs.ErrNotExist) || errors.Is(err, syscall.ECONNREFUSED) {
		return nil, nil // there is none, or the socket is that of a process that was killed
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

// receive asks for the sockets and receives them.
func (i *Inherited) receive() error {
	_ = i.conn.SetDeadline(time.Now().Add(conversationTimeout))
	if !isSameUser(i.conn) {
		return errOtherUser
	}
	if _, err := i.conn.Write([]byte(hello)); err != nil {
		return err
	}
	text := make([]byte, maxAddressSize)
	rights := make([]byte, unix.CmsgSpace(descriptorSize*maxSockets))
	textSize, rightsSize, _, _, err := i.conn.ReadMsgUnix(text, rights)
	if err != nil {
		return fmt.Errorf("nothing was handed over: %w", err)
	}
	messages, err := unix.ParseSocketControlMessage(rights[:rightsSize])
	if err != nil || len(messages) != 1 {
		return errNoSockets
	}
	fds, err := unix.ParseUnixRights(&messages[0])
	if err != nil {
		return err
	}
	err = i.addListeners(fds, strings.Fields(string(text[:textSize])))
	_ = i.conn.SetDeadline(time.Time{})
	return err
}

// addListeners makes listeners of descriptors, each with the address of its position. They are kept even where one is
// not at its address, so that Close closes them. Those without an address of their own are closed at once.
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

// NotifyServing tells the old process that this one serves clients from now on.
func (i *Inherited) NotifyServing() error {
	_, err := i.conn.Write([]byte(serving))
	return err
}

// Wait returns once the old process has gone.
func (i *Inherited) Wait() {
	buffer := make([]byte, len(hello))
	for {
		if _, err := i.conn.Read(buffer); err != nil {
			return
		}
	}
}

// Close closes the listeners that were not used, and ends the conversation.
func (i *Inherited) Close() {
	for _, listener := range i.Listeners {
		_ = listener.Close()
	}
	_ = i.conn.Close()
}
