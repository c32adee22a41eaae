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

	// syscallStop is the signal of a stop at a system call, with PTRACE_O_TRACESYSGOOD.
	syscallStop = unix.SIGTRAP | 0x80

	// skippedCall is the number of a call that the kernel does not make.
	skippedCall = ^uint64(0)

	// oneByte is the size of the buffer of a short call.
	oneByte = 1
)

// ErrNotPermitted says that the kernel lets no process trace another here.
var ErrNotPermitted = errors.New("this system does not let a process trace another")

// Tracer traces a process until that ends.
type Tracer struct {
	pid     int
	pidfd   int
	calls   atomic.Int64
	skipped map[int]unix.Errno // by thread, the error of the call that it is in; the tracing thread's

	mu        sync.Mutex
	injection *Injection
}

// Attach begins to trace a process, which has to lead a process group of its own.
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

// Inject puts a rule into force, in the place of the one before.
func (t *Tracer) Inject(rule Rule) *Injection {
	i := &Injection{rule: rule, now: time.Now}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.injection = i
	return i
}

// Clear ends the injection.
func (t *Tracer) Clear() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.injection = nil
}

// Calls returns how many system calls the process has made since it is traced.
func (t *Tracer) Calls() int64 { return t.calls.Load() }

// run traces. All of it has to be done by one thread of the system.
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
		case err != nil: // the process is gone
			return
		case status.Stopped():
			t.resume(thread, status)
		default:
			delete(t.skipped, thread)
		}
	}
}

// attachThreads attaches to all threads there are. It looks until it finds none that is new: those that a thread
// starts are attached by themselves only once it is.
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

// seize attaches to a thread and stops it, so that it can be continued to its next system call.
func seize(thread int) error {
	_, _, errno := unix.Syscall6(unix.SYS_PTRACE, unix.PTRACE_SEIZE, uintptr(thread), 0, traceOptions, 0, 0)
	switch errno {
	case 0:
		return unix.PtraceInterrupt(thread)
	case unix.ESRCH: // it has ended
		return nil
	case unix.EPERM:
		if isTraced(thread) { // by the thread that has started it
			return nil
		}
		return ErrNotPermitted
	}
	return fmt.Errorf("cannot trace thread %d: %w", thread, errno)
}

// isTraced tells whether a thread is traced.
func isTraced(thread int) bool {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", thread))
	if err != nil {
		return true // it has ended
	}
	return !bytes.Contains(status, []byte("TracerPid:\t0\n"))
}

// resume handles a thread's stop and lets it go on.
func (t *Tracer) resume(thread int, status unix.WaitStatus) {
	const eventStop, eventShift = 128, 16
	signal := 0
	switch event := uint32(status) >> eventShift; {
	case event == eventStop && status.StopSignal() != unix.SIGTRAP: // the process is stopped by a signal
		_, _, _ = unix.Syscall6(unix.SYS_PTRACE, unix.PTRACE_LISTEN, uintptr(thread), 0, 0, 0, 0)
		return
	case event != 0: // a new thread, or a stop that was asked for
	case status.StopSignal() == syscallStop:
		t.atSyscall(thread)
	default:
		signal = int(status.StopSignal())
	}
	_ = unix.PtraceSyscall(thread, signal) // it may have been killed meanwhile
}

// syscallInfo is the kernel's struct ptrace_syscall_info.
type syscallInfo struct {
	op        uint8
	_         [3]uint8
	arch      uint32
	_         [2]uint64 // instruction and stack pointer
	number    uint64    // at the entry
	arguments [6]uint64
	_         [2]uint64
}

const (
	atEntry = 1
	atExit  = 2
)

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
			changeRegisters(thread, func(r *unix.PtraceRegs) { r.Rax = -uint64(errno) })
		}
	}
}

// atEntry makes a call fail if the injection is due.
func (t *Tracer) atEntry(thread int, info *syscallInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	i := t.injection
	if i == nil || !i.rule.Call.isNumber(info.number) || !i.rule.Call.applies(info.arguments) {
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
		changeRegisters(thread, func(r *unix.PtraceRegs) { r.Rdx = min(r.Rdx, oneByte) })
		return
	}
	t.skipped[thread] = i.rule.Errno
	changeRegisters(thread, func(r *unix.PtraceRegs) { r.Orig_rax = skippedCall })
}

func changeRegisters(thread int, change func(*unix.PtraceRegs)) {
	var registers unix.PtraceRegs
	if unix.PtraceGetRegs(thread, &registers) == nil {
		change(&registers)
		_ = unix.PtraceSetRegs(thread, &registers)
	}
}
