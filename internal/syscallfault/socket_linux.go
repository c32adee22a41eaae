package syscallfault

import (
	"encoding/binary"
	"unsafe"

	"golang.org/x/sys/unix"
)

// sockaddrBytes is the size of the largest IP socket address.
const sockaddrBytes = unix.SizeofSockaddrInet6

// socketOf describes the socket in a call's descriptor argument. It returns false if that is neither a stream socket nor
// a datagram socket, and the zero Socket for a call without a descriptor.
func (t *Tracer) socketOf(call *Call, arguments [6]uint64) (Socket, bool) {
	if call.descriptor == noDescriptor {
		return Socket{}, true
	}
	fd, err := unix.PidfdGetfd(t.pidfd, int(arguments[call.descriptor]), 0)
	if err != nil {
		return Socket{}, false
	}
	defer unix.Close(fd)
	kind, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_TYPE)
	if err != nil || kind != unix.SOCK_STREAM && kind != unix.SOCK_DGRAM {
		return Socket{}, false
	}
	listening, _ := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ACCEPTCONN)
	socket := Socket{Listening: listening != 0, Datagram: kind == unix.SOCK_DGRAM}
	if local, err := unix.Getsockname(fd); err == nil {
		socket.LocalPort = portOf(local)
		_, socket.Unix = local.(*unix.SockaddrUnix)
	}
	if call.numbers[0] == unix.SYS_CONNECT {
		socket.PeerPort = t.portAt(uintptr(arguments[1]))
	} else if peer, err := unix.Getpeername(fd); err == nil {
		socket.PeerPort = portOf(peer)
	}
	return socket, true
}

func portOf(address unix.Sockaddr) int {
	switch a := address.(type) {
	case *unix.SockaddrInet4:
		return a.Port
	case *unix.SockaddrInet6:
		return a.Port
	}
	return 0
}

// portAt reads the port of the socket address at an address in the traced process. It returns 0 if that fails.
func (t *Tracer) portAt(at uintptr) int {
	var raw [sockaddrBytes]byte
	local := []unix.Iovec{{Base: (*byte)(unsafe.Pointer(&raw)), Len: 4}}
	remote := []unix.RemoteIovec{{Base: at, Len: 4}}
	if _, err := unix.ProcessVMReadv(t.pid, local, remote, 0); err != nil {
		return 0
	}
	return int(binary.BigEndian.Uint16(raw[2:]))
}
