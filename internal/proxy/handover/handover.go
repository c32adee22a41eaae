// Package handover passes a node's listening sockets from a process to the one that replaces it, over a Unix socket in a folder
// that both have. Both then hold the same sockets, so that no connection that waits in one is lost, whoever ends. The connection
// between the two stays open: its end is how each knows that the other has gone.
package handover

import (
	"bufio"
	"errors"
	"fmt"
	"io/fs"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"dahliapin/internal/keyhash"
)

const (
	hello       = "dahliapin handover 1\n" // what is asked, with the version of this way of asking
	serving     = "serving\n"
	within      = 500 * time.Millisecond // for the old process to answer: it does so beside its loop
	longestPath = 107                    // bytes that the name of a Unix socket may have
	mostSockets = 64                     // that may be passed: one, and those of an operator's file
	longestSaid = 8 << 10                // bytes of their addresses
)

// Path names the socket by which a node that listens there is replaced.
func Path(folder, listen string) string {
	return filepath.Join(folder, fmt.Sprintf("dahliapin-%016x.sock", keyhash.String(listen)))
}

// under calls f with a name for a path that a socket may have: a long one goes by its folder's descriptor.
func under(path string, f func(string) error) error {
	if len(path) <= longestPath {
		return f(path)
	}
	folder, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	defer folder.Close()
	return f(fmt.Sprintf("/proc/self/fd/%d/%s", folder.Fd(), filepath.Base(path)))
}

// Inherited is what a process got from the one that it replaces.
type Inherited struct {
	Listeners map[string]net.Listener // by address, as the old process listens on it
	conn      *net.UnixConn
}

// Inherit asks whoever offers there. Without anybody it returns nil and no error.
func Inherit(path string) (*Inherited, error) {
	var c net.Conn
	err := under(path, func(name string) (err error) {
		c, err = net.DialTimeout("unix", name, within)
		return err
	})
	if errors.Is(err, fs.ErrNotExist) || errors.Is(err, syscall.ECONNREFUSED) { // nobody, or the rubbish of one who was killed
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	t := &Inherited{Listeners: map[string]net.Listener{}, conn: c.(*net.UnixConn)}
	if err := t.take(); err != nil {
		t.Close()
		return nil, err
	}
	return t, nil
}

func (t *Inherited) take() error {
	_ = t.conn.SetDeadline(time.Now().Add(within))
	if !ours(t.conn) {
		return errors.New("who offers its sockets is not of this user")
	}
	if _, err := t.conn.Write([]byte(hello)); err != nil {
		return err
	}
	text, rights := make([]byte, longestSaid), make([]byte, unix.CmsgSpace(4*mostSockets))
	n, k, _, _, err := t.conn.ReadMsgUnix(text, rights)
	if err != nil {
		return fmt.Errorf("nothing was handed over: %w", err)
	}
	messages, err := unix.ParseSocketControlMessage(rights[:k])
	if err != nil || len(messages) != 1 {
		return errors.New("no sockets were handed over")
	}
	fds, err := unix.ParseUnixRights(&messages[0])
	if err != nil {
		return err
	}
	addrs := strings.Fields(string(text[:n]))
	for i, fd := range fds {
		f := os.NewFile(uintptr(fd), "listener")
		l, wrong := net.FileListener(f)
		_ = f.Close()
		if wrong != nil || i >= len(addrs) || l.Addr().String() != addrs[i] {
			err = errors.New("what was handed over is not what was said")
		}
		if wrong == nil && i < len(addrs) {
			t.Listeners[addrs[i]] = l
		}
	}
	if len(fds) != len(addrs) {
		err = errors.New("what was handed over is not what was said")
	}
	_ = t.conn.SetDeadline(time.Time{})
	return err
}

// Serving tells the old process that clients are taken here from now on.
func (t *Inherited) Serving() error {
	_, err := t.conn.Write([]byte(serving))
	return err
}

// Wait returns once the old process has gone.
func (t *Inherited) Wait() {
	for b := make([]byte, 64); ; {
		if _, err := t.conn.Read(b); err != nil {
			return
		}
	}
}

// Close gives back what was not used.
func (t *Inherited) Close() {
	for _, l := range t.Listeners {
		_ = l.Close()
	}
	_ = t.conn.Close()
}

// Stage is how far the process that replaces this one has come.
type Stage int

const (
	SocketsSent      Stage = iota // it has the sockets
	SuccessorServing              // it takes clients
	SuccessorGone                 // it has gone: this one goes on as before
)

// Offer is a process's readiness to be replaced, by one other at a time.
type Offer struct {
	path      string
	l         *net.UnixListener
	listeners []net.Listener
	heard     func(Stage)
	mu        sync.Mutex
	heir      *net.UnixConn
	closed    bool
}

// Open offers the listeners there; heard is told of each stage, from a goroutine of the offer's own.
func Open(path string, listeners []net.Listener, heard func(Stage)) (*Offer, error) {
	_ = os.Remove(path) // of one who was killed, or has gone
	var l *net.UnixListener
	err := under(path, func(name string) (err error) {
		l, err = net.ListenUnix("unix", &net.UnixAddr{Name: name, Net: "unix"})
		return err
	})
	if err != nil {
		return nil, err
	}
	l.SetUnlinkOnClose(false) // it may be the next one's by then
	_ = os.Chmod(path, 0o600)
	o := &Offer{path: path, l: l, listeners: listeners, heard: heard}
	go o.serve()
	return o, nil
}

func (o *Offer) serve() {
	for {
		c, err := o.l.AcceptUnix()
		if err != nil {
			return
		}
		o.mu.Lock()
		if o.closed || o.heir != nil || !ours(c) { // a third while the second takes over gets nothing
			o.mu.Unlock()
			_ = c.Close()
			continue
		}
		o.heir = c
		o.mu.Unlock()
		go func() {
			came := o.hand(c)
			_ = c.Close()
			o.mu.Lock()
			o.heir = nil
			tell := came && !o.closed
			o.mu.Unlock()
			if tell {
				o.heard(SuccessorGone)
			}
		}()
	}
}

// hand serves one successor until it has gone, and tells whether it came as far as to have the sockets.
func (o *Offer) hand(c *net.UnixConn) (came bool) {
	_ = c.SetDeadline(time.Now().Add(within)) // who says nothing keeps nobody else out for long
	r := bufio.NewReaderSize(c, len(hello))
	if line, err := r.ReadString('\n'); err != nil || line != hello {
		return false
	}
	var addrs []string
	for _, l := range o.listeners {
		addrs = append(addrs, l.Addr().String())
	}
	if err := withFiles(o.listeners, nil, func(fds []int) error {
		_, _, err := c.WriteMsgUnix([]byte(strings.Join(addrs, "\n")), unix.UnixRights(fds...), nil)
		return err
	}); err != nil {
		return false
	}
	_ = c.SetDeadline(time.Time{})
	o.heard(SocketsSent)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return true
		}
		if line == serving {
			o.heard(SuccessorServing)
		}
	}
}

// withFiles calls f with the descriptors of all listeners. Not by their File, whose Fd would make the shared socket blocking.
func withFiles(ls []net.Listener, fds []int, f func([]int) error) (err error) {
	if len(ls) == 0 {
		return f(fds)
	}
	c, is := ls[0].(syscall.Conn)
	if !is {
		return errors.New("a listener without a descriptor")
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	if wrong := raw.Control(func(fd uintptr) { err = withFiles(ls[1:], append(fds, int(fd)), f) }); wrong != nil {
		return wrong
	}
	return err
}

// ours tells whether the other side of a connection is of this process's user.
func ours(c *net.UnixConn) (is bool) {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	_ = raw.Control(func(fd uintptr) {
		who, err := unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED)
		is = err == nil && int(who.Uid) == os.Getuid()
	})
	return is
}

// Close ends the offer. Where nobody has taken over, its socket goes, too.
func (o *Offer) Close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
	_ = o.l.Close()
	if o.heir != nil {
		_ = o.heir.Close()
		return
	}
	_ = os.Remove(o.path)
}
