package freeport

import (
	"fmt"
	"net"

	"golang.org/x/sys/unix"
)

// Reservation keeps a loopback address for a server that stops listening and listens again. Connections to the address
// are refused while nobody listens. Without it another process may be given the port meanwhile, and then gets what is
// meant for the server.
type Reservation struct {
	addr   string
	socket int // a bound TCP socket that never listens
}

// Reserve reserves a free port. The caller must call Close.
func Reserve() (*Reservation, error) {
	socket, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("no socket to reserve a port: %w", err)
	}
	port, err := bindAnyPort(socket)
	if err != nil {
		_ = unix.Close(socket)
		return nil, fmt.Errorf("no port to reserve: %w", err)
	}
	return &Reservation{addr: fmt.Sprintf("127.0.0.1:%d", port), socket: socket}, nil
}

// bindAnyPort binds a socket to a free port of the loopback address, so that sockets which allow the reuse of addresses
// may listen there, as those of package net do.
func bindAnyPort(socket int) (port int, err error) {
	if err := unix.SetsockoptInt(socket, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return 0, err
	}
	if err := unix.Bind(socket, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return 0, err
	}
	name, err := unix.Getsockname(socket)
	if err != nil {
		return 0, err
	}
	return name.(*unix.SockaddrInet4).Port, nil
}

// Addr returns the reserved address.
func (r *Reservation) Addr() string { return r.addr }

// Listen listens at the reserved address. The previous listener must have been closed.
func (r *Reservation) Listen() (net.Listener, error) { return net.Listen("tcp", r.addr) }

// Close ends the reservation. A listener at the address remains open.
func (r *Reservation) Close() { _ = unix.Close(r.socket) }
