package diskfault

import (
	"errors"
	"fmt"
	"os"
	"runtime"
	"strings"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Operation is the effect of a system call on a file.
type Operation int

// The operations.
const (
	Create Operation = iota // open with O_CREAT
	Write
	Sync // of a file's content, or of the folder's entries
	Truncate
	Link
	Rename
	Remove
)

// Call is a system call that is about to change a file or to make changes durable.
type Call struct {
	Operation Operation
	Path      string
	NewPath   string // of Link and Rename
	Offset    int64  // of Write
	Data      []byte // of Write
	Size      int64  // of Truncate
}

// FailingSizes returns the numbers of bytes that a failing call may have written, as a test has to cover: none, and
// half of the data of a Write.
func (c *Call) FailingSizes() []int {
	if len(c.Data) < 2 {
		return []int{0}
	}
	return []int{0, len(c.Data) / 2}
}

// Action is the decision on a call. The zero value lets it proceed.
type Action struct {
	Errno   unix.Errno // error that the call fails with; 0 lets it proceed
	Written int        // bytes that a failing Write still writes; if there are any, it returns their number, not Errno
	Skip    bool       // the call returns success without being executed; for a Sync, whose effect only a crash shows
}

// Offsets in struct seccomp_data, as a filter reads it: of the system call number, and of the lower half of the third
// argument.
const (
	numberOffset        = 0
	thirdArgumentOffset = 16 + 2*8
)

// pollerWakeBytes is the size of the write by which the Go runtime wakes its network poller. The filter must not
// intercept it, as the runtime cannot preempt the thread while it waits for the decision.
const pollerWakeBytes = 8

// notification mirrors the kernel's struct seccomp_notif.
type notification struct {
	id              uint64
	pid             uint32
	flags           uint32
	syscall         int32
	architecture    uint32
	instructionAddr uint64
	arguments       [6]uint64
}

// response mirrors the kernel's struct seccomp_notif_resp.
type response struct {
	id    uint64
	value int64
	error int32
	flags uint32
}

// Run runs body on its own thread and applies the result of decide to each of its calls that changes a file in dir.
// decide must not use files itself. Run returns an error if the filter cannot be installed or its notifications cannot
// be received.
func Run(dir string, decide func(Call) Action, body func()) error {
	listening := make(chan int)
	failed := make(chan error, 1)
	ended := make(chan struct{})
	go onOwnThread(func() {
		defer close(ended)
		listener, err := installFilter()
		if err != nil {
			failed <- err
			return
		}
		listening <- listener
		body()
	})
	select {
	case err := <-failed:
		return err
	case listener := <-listening:
		err := supervise(listener, ended, dir, decide)
		<-ended
		return err
	}
}

// onOwnThread runs a function on a thread that ends with the function, since a filter stays on its thread for good. The
// main thread is not used, because it never ends.
func onOwnThread(f func()) {
	runtime.LockOSThread() // never unlocked, so that the thread ends with the goroutine
	if unix.Gettid() != unix.Getpid() {
		f()
		return
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		onOwnThread(f)
	}()
	<-done // the main thread stays locked meanwhile, so that f is not scheduled on it again
	runtime.UnlockOSThread()
}

// instruction returns a filter instruction without a jump.
func instruction(code uint16, operand uint32) unix.SockFilter {
	return unix.SockFilter{Code: code, K: operand}
}

// jump returns a conditional filter instruction. It skips ifTrue or ifFalse instructions.
func jump(code uint16, operand uint32, ifTrue, ifFalse uint8) unix.SockFilter {
	return unix.SockFilter{Code: code, Jt: ifTrue, Jf: ifFalse, K: operand}
}

// filterProgram returns the filter, which sends notifications of calls that change files and allows all others.
func filterProgram() []unix.SockFilter {
	const (
		load    = unix.BPF_LD | unix.BPF_W | unix.BPF_ABS
		equal   = unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K
		anyBit  = unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K
		verdict = unix.BPF_RET | unix.BPF_K
	)
	notify := instruction(verdict, unix.SECCOMP_RET_USER_NOTIF)
	allow := instruction(verdict, unix.SECCOMP_RET_ALLOW)
	program := []unix.SockFilter{instruction(load, numberOffset)}
	for _, number := range []uint32{
		unix.SYS_PWRITE64, unix.SYS_FSYNC, unix.SYS_FDATASYNC, unix.SYS_FTRUNCATE,
		unix.SYS_RENAMEAT, unix.SYS_LINKAT, unix.SYS_UNLINKAT,
	} {
		program = append(program, jump(equal, number, 0, 1), notify)
	}
	return append(program,
		jump(equal, unix.SYS_WRITE, 0, 4),
		instruction(load, thirdArgumentOffset),
		jump(equal, pollerWakeBytes, 0, 1),
		allow,
		notify,
		jump(equal, unix.SYS_OPENAT, 0, 3),
		instruction(load, thirdArgumentOffset),
		jump(anyBit, unix.O_CREAT, 0, 1),
		notify,
		allow,
	)
}

// installFilter installs the filter on the current thread and returns the descriptor for its notifications.
func installFilter() (listener int, err error) {
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return 0, fmt.Errorf("cannot set no_new_privs: %w", err)
	}
	instructions := filterProgram()
	program := unix.SockFprog{Len: uint16(len(instructions)), Filter: &instructions[0]}
	// Only fatal signals may interrupt a call that waits for its decision: any other would restart it, and it would be
	// reported twice.
	flags := uintptr(unix.SECCOMP_FILTER_FLAG_NEW_LISTENER | unix.SECCOMP_FILTER_FLAG_WAIT_KILLABLE_RECV)
	address := uintptr(unsafe.Pointer(&program))
	descriptor, _, errno := unix.Syscall(unix.SYS_SECCOMP, unix.SECCOMP_SET_MODE_FILTER, flags, address)
	runtime.KeepAlive(&program)
	if errno != 0 {
		return 0, fmt.Errorf("cannot install the seccomp filter: %w", errno)
	}
	return int(descriptor), nil
}

// supervise responds to notifications until the filtered function has ended.
func supervise(listener int, ended <-chan struct{}, dir string, decide func(Call) Action) error {
	defer unix.Close(listener)
	wakeRead, wakeWrite, err := os.Pipe()
	if err != nil {
		return err
	}
	defer wakeRead.Close()
	go func() {
		<-ended
		_ = wakeWrite.Close()
	}()
	memory, err := unix.Open("/proc/self/mem", unix.O_RDONLY|unix.O_CLOEXEC, 0)
	if err != nil {
		return err
	}
	defer unix.Close(memory)
	s := supervisor{listener: uintptr(listener), dir: dir, decide: decide, memory: memory}
	descriptors := []unix.PollFd{
		{Fd: int32(listener), Events: unix.POLLIN},
		{Fd: int32(wakeRead.Fd()), Events: unix.POLLIN},
	}
	for {
		_, err := unix.Poll(descriptors, -1)
		if errors.Is(err, unix.EINTR) { // descriptors may still hold the events of the previous call
			continue
		}
		if err != nil {
			return err
		}
		if descriptors[0].Revents&unix.POLLIN != 0 {
			s.respondOne()
			continue
		}
		if descriptors[1].Revents != 0 {
			return nil
		}
	}
}

// supervisor responds to the notifications of one filter. It uses package unix instead of package os, which in tests
// logs each file name under a lock. The thread that waits for the response may hold that lock.
type supervisor struct {
	listener uintptr // descriptor for notifications
	dir      string
	decide   func(Call) Action
	memory   int // descriptor of /proc/self/mem
}

// respondOne receives one notification and responds to it.
func (s *supervisor) respondOne() {
	var n notification
	_, _, errno := unix.Syscall(unix.SYS_IOCTL, s.listener, unix.SECCOMP_IOCTL_NOTIF_RECV, uintptr(unsafe.Pointer(&n)))
	if errno != 0 {
		return
	}
	r := response{id: n.id, flags: unix.SECCOMP_USER_NOTIF_FLAG_CONTINUE}
	if call, watched := s.decode(&n); watched {
		action := s.decide(call)
		written := min(action.Written, len(call.Data))
		switch {
		case action.Skip:
			r = response{id: n.id}
		case action.Errno == 0:
		case written > 0:
			_, _ = unix.Pwrite(int(n.arguments[0]), call.Data[:written], call.Offset)
			r = response{id: n.id, value: int64(written)}
		default:
			r = response{id: n.id, error: -int32(action.Errno)}
		}
	}
	for errno = unix.EINTR; errno == unix.EINTR; { // without a response the call would block forever
		_, _, errno = unix.Syscall(
			unix.SYS_IOCTL, s.listener, unix.SECCOMP_IOCTL_NOTIF_SEND, uintptr(unsafe.Pointer(&r)))
	}
}

// decode returns the call that a notification describes, and whether it concerns the watched folder.
func (s *supervisor) decode(n *notification) (call Call, watched bool) {
	arguments := n.arguments
	switch n.syscall {
	case unix.SYS_OPENAT:
		call = Call{Operation: Create, Path: s.readString(arguments[1])}
	case unix.SYS_UNLINKAT:
		call = Call{Operation: Remove, Path: s.readString(arguments[1])}
	case unix.SYS_RENAMEAT:
		call = Call{Operation: Rename, Path: s.readString(arguments[1]), NewPath: s.readString(arguments[3])}
	case unix.SYS_LINKAT:
		call = Call{Operation: Link, Path: s.readString(arguments[1]), NewPath: s.readString(arguments[3])}
	default:
		call = s.decodeDescriptorCall(n)
	}
	return call, call.Path == s.dir || strings.HasPrefix(call.Path, s.dir+"/")
}

// decodeDescriptorCall decodes a notification of a call whose first argument is a file descriptor.
func (s *supervisor) decodeDescriptorCall(n *notification) Call {
	name := make([]byte, unix.PathMax)
	size, _ := unix.Readlink(fmt.Sprintf("/proc/self/fd/%d", n.arguments[0]), name)
	call := Call{Path: string(name[:max(0, size)])}
	switch n.syscall {
	case unix.SYS_FSYNC, unix.SYS_FDATASYNC:
		call.Operation = Sync
	case unix.SYS_FTRUNCATE:
		call.Operation = Truncate
		call.Size = int64(n.arguments[1])
	case unix.SYS_PWRITE64:
		call.Operation = Write
		call.Offset = int64(n.arguments[3])
		call.Data = s.readBytes(n.arguments[1], n.arguments[2])
	case unix.SYS_WRITE: // assumes a file opened with O_APPEND
		call.Operation = Write
		var info unix.Stat_t
		if unix.Fstat(int(n.arguments[0]), &info) == nil {
			call.Offset = info.Size
		}
		call.Data = s.readBytes(n.arguments[1], n.arguments[2])
	}
	return call
}

// readBytes copies a range of this process's memory.
func (s *supervisor) readBytes(address, size uint64) []byte {
	data := make([]byte, size)
	n, _ := unix.Pread(s.memory, data, int64(address))
	return data[:max(0, n)]
}

// readString copies a NUL-terminated string from this process's memory.
func (s *supervisor) readString(address uint64) string {
	data := make([]byte, unix.PathMax)
	n, _ := unix.Pread(s.memory, data, int64(address))
	text, _, _ := strings.Cut(string(data[:max(0, n)]), "\x00")
	return text
}
