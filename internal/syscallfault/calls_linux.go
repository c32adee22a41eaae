package syscallfault

import "golang.org/x/sys/unix"

// Call describes a system call that can be made to fail.
type Call struct {
	Name       string
	numbers    []uint64 // system call numbers of its variants
	descriptor int      // index of the descriptor argument; noDescriptor if there is none
	size       int      // index of the buffer size argument; noBuffer if there is none
}

const (
	noDescriptor = -1
	noBuffer     = 0 // a buffer is never the first argument
)

// The system calls that can be made to fail.
var (
	Accept         = Call{Name: "accept", numbers: []uint64{unix.SYS_ACCEPT, unix.SYS_ACCEPT4}}
	NewSocket      = Call{Name: "socket", numbers: []uint64{unix.SYS_SOCKET}, descriptor: noDescriptor}
	Connect        = Call{Name: "connect", numbers: []uint64{unix.SYS_CONNECT}}
	Duplicate      = Call{Name: "dup", numbers: []uint64{unix.SYS_DUP, unix.SYS_DUP3}}
	EpollWait      = Call{Name: "epoll_wait", numbers: epollWaits, descriptor: noDescriptor}
	EpollAdd       = Call{Name: "epoll_ctl", numbers: []uint64{unix.SYS_EPOLL_CTL}, descriptor: 2}
	Read           = Call{Name: "read", numbers: []uint64{unix.SYS_READ}, size: 2}
	Write          = Call{Name: "write", numbers: []uint64{unix.SYS_WRITE}, size: 2}
	Receive        = Call{Name: "recvfrom", numbers: []uint64{unix.SYS_RECVFROM}, size: 2}
	Send           = Call{Name: "sendto", numbers: []uint64{unix.SYS_SENDTO}, size: 2}
	SendMessage    = Call{Name: "sendmsg", numbers: []uint64{unix.SYS_SENDMSG}}
	ReceiveMessage = Call{Name: "recvmsg", numbers: []uint64{unix.SYS_RECVMSG}}
	SetOption      = Call{Name: "setsockopt", numbers: []uint64{unix.SYS_SETSOCKOPT}}
	GetOption      = Call{Name: "getsockopt", numbers: []uint64{unix.SYS_GETSOCKOPT}}
	LocalName      = Call{Name: "getsockname", numbers: []uint64{unix.SYS_GETSOCKNAME}}
	RemoteName     = Call{Name: "getpeername", numbers: []uint64{unix.SYS_GETPEERNAME}}
)

// hasNumber reports whether number is one of the call's system call numbers.
func (c *Call) hasNumber(number uint64) bool {
	for _, n := range c.numbers {
		if n == number {
			return true
		}
	}
	return false
}

// applies reports whether a rule for the call applies to these arguments. Of epoll_ctl only EPOLL_CTL_ADD can fail.
func (c *Call) applies(arguments [6]uint64) bool {
	return c.numbers[0] != unix.SYS_EPOLL_CTL || arguments[1] == unix.EPOLL_CTL_ADD
}
