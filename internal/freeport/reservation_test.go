package freeport

import (
	"errors"
	"net"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
)

// Guards against a server's port that goes to another process while the server is down: requests of one rig reached a
// server of another. The reserved port must refuse connections, be given to nobody else, and serve its owner again.
func TestReservedPortIsKeptWhileNobodyListens(t *testing.T) {
	r, err := Reserve()
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	for range 2 {
		if c, err := net.Dial("tcp", r.Addr()); !errors.Is(err, unix.ECONNREFUSED) {
			t.Errorf("nobody listens: %v, %v", c, err)
		}
		checkTaken(t, r.Addr())
		l, err := r.Listen()
		if err != nil {
			t.Fatal(err)
		}
		c, err := net.Dial("tcp", r.Addr())
		if err != nil {
			t.Fatal(err)
		}
		c.Close()
		l.Close()
	}
}

// checkTaken checks that a socket cannot be bound to an address as the kernel binds one to a free port: without the
// reuse of addresses.
func checkTaken(t *testing.T, addr string) {
	t.Helper()
	want, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	exclusive := net.Dialer{LocalAddr: want, Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEADDR, 0) })
	}}
	other, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	if c, err := exclusive.Dial("tcp", other.Addr().String()); !errors.Is(err, unix.EADDRINUSE) {
		t.Errorf("the reserved port is taken by %v, %v", c, err)
	}
}
