package syscallfault

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

const (
	traceOptions = unix.PTRACE_O_TRACESYSGOOD | unix.PTRACE_O_TRACECLONE

	// syscallStop is the stop signal at a system call under PTRACE_O_TRACESYSGOOD.
	syscallStop = unix.SIGTRAP | 0x80

	// shortBufferSize is the size, in bytes, to which the buffer of a shortened call is reduced.
	shortBufferSize = 1
)

// ErrNotPermitted reports that the system does not permit tracing another process.
var ErrNotPermitted = errors.New("tracing another process is not permitted on this system")

// Tracer traces a process until that process ends.
type Tracer struct {
	pid     int
	pidfd   int
	calls   atomic.Int64
	skipped map[int]unix.Errno // error for a thread's skipped call, by thread ID; used by the tracing thread only

	mu        sync.Mutex
	injection *Injection
}

// Attach starts tracing a process, which must be the leader of its own process group.
func Attach(pid int) (*Tracer, error) {
	pidfd, err := unix.PidfdOpen(pid, 0)
	if err != nil {
		return nil, fmt.Errorf("cannot open process %d: %w", pid, err)
	}
	t := &Tracer{pid: pid, pidfd: pidfd, skipped: map[int]unix.Errno{}}
	attached := make(chan error)
	go t.run(attached)
	if err := <-attached; err != nil {
		_ = unix.Close(pidfd)
		return nil, err
	}
	return t, nil
}

// Inject activates a rule, replacing the previous one. It panics if the rule shortens the buffer of a call without one.
func (t *Tracer) Inject(rule Rule) *Injection {
	rule.checkBuffer()
	i := &Injection{rule: rule, now: time.Now}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.injection = i
	return i
}

// Clear deactivates the current rule.
func (t *Tracer) Clear() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.injection = nil
}

// Calls returns the number of system calls that the process has made while being traced.
func (t *Tracer) Calls() int64 { return t.calls.Load() }

// run is the tracing loop. ptrace requires all requests to come from the OS thread that attached.
func (t *Tracer) run(attached chan<- error) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	err := t.attachThreads()
	attached <- err
	if err != nil {
		return
	}
	defer unix.Close(t.pidfd)
	for {
		var status unix.WaitStatus
		thread, err := unix.Wait4(-t.pid, &status, unix.WALL, nil)
		switch {
		case errors.Is(err, unix.EINTR):
		case err != nil: // the process has ended
			return
		case status.Stopped():
			t.resume(thread, status)
		default:
			delete(t.skipped, thread)
		}
	}
}

// attachThreads attaches to all threads of the process. It repeats until it finds no new ones, because only threads
// that are started by an attached thread are attached automatically.
func (t *Tracer) attachThreads() error {
	seen := map[int]bool{}
	for found := true; found; {
		found = false
		entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/task", t.pid))
		if err != nil {
			return err
		}
		for _, entry := range entries {
			thread, err := strconv.Atoi(entry.Name())
			if err != nil || seen[thread] {
				continue
			}
			seen[thread], found = true, true
			if err := seize(thread); err != nil {
				return err
			}
		}
	}
	return nil
}

// seize attaches to a thread and interrupts it, so that it can be resumed until its next system call.
func seize(thread int) error {
	_, _, errno := unix.Syscall6(unix.SYS_PTRACE, unix.PTRACE_SEIZE, uintptr(thread), 0, traceOptions, 0, 0)
	switch errno {
	case 0:
		return unix.PtraceInterrupt(thread)
	case unix.ESRCH: // the thread has ended
		return nil
	case unix.EPERM:
		if isTraced(thread) { // attached automatically through its parent thread
			return nil
		}
		return ErrNotPermitted
	}
	return fmt.Errorf("cannot trace thread %d: %w", thread, errno)
}

// isTraced reports whether a thread is being traced or has ended.
func isTraced(thread int) bool {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", thread))
	if err != nil {
		return true // the thread has ended
	}
	return !bytes.Contains(status, []byte("TracerPid:\t0\n"))
}

// resume handles a thread's stop and resumes the thread.
func (t *Tracer) resume(thread int, status unix.WaitStatus) {
	const eventStop, eventShift = 128, 16
	signal := 0
	switch event := uint32(status) >> eventShift; {
	case event == eventStop && status.StopSignal() != unix.SIGTRAP: // a signal stopped the whole process
		_, _, _ = unix.Syscall6(unix.SYS_PTRACE, unix.PTRACE_LISTEN, uintptr(thread), 0, 0, 0, 0)
		return
	case event != 0: // a new thread, or a requested interrupt
	case status.StopSignal() == syscallStop:
		t.atSyscall(thread)
	default:
		signal = int(status.StopSignal())
	}
	_ = unix.PtraceSyscall(thread, signal) // fails if the thread was killed meanwhile
}

// syscallInfo mirrors the kernel's struct ptrace_syscall_info.
type syscallInfo struct {
	op        uint8
	_         [3]uint8
	arch      uint32
	_         [2]uint64 // instruction and stack pointer
	number    uint64    // valid at entry
	arguments [6]uint64
	_         [2]uint64
}

const (
	atEntry = 1
	atExit  = 2
)

// atSyscall handles a thread's stop at the entry or the exit of a system call.
func (t *Tracer) atSyscall(thread int) {
	var info syscallInfo
	_, _, errno := unix.Syscall6(unix.SYS_PTRACE, unix.PTRACE_GET_SYSCALL_INFO, uintptr(thread),
		unsafe.Sizeof(info), uintptr(unsafe.Pointer(&info)), 0, 0)
	if errno != 0 {
		return
	}
	switch info.op {
	case atEntry:
		t.calls.Add(1)
		t.atEntry(thread, &info)
	case atExit:
		if errno, ok := t.skipped[thread]; ok {
			delete(t.skipped, thread)
			setReturnValue(thread, -uint64(errno))
		}
	}
}

// atEntry makes a call fail if the active rule selects it.
func (t *Tracer) atEntry(thread int, info *syscallInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	i := t.injection
	if i == nil || !i.rule.Call.hasNumber(info.number) || !i.rule.Call.applies(info.arguments) {
		return
	}
	if i.rule.Match != nil {
		socket, ok := t.socketOf(&i.rule.Call, info.arguments)
		if !ok || !i.rule.Match(socket) {
			return
		}
	}
	if !i.due() {
		return
	}
	if i.rule.Errno == 0 {
		setThirdArgument(thread, min(info.arguments[2], shortBufferSize))
		return
	}
	t.skipped[thread] = i.rule.Errno
	skipCall(thread)
}
