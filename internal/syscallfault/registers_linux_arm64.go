package syscallfault

import (
	"unsafe"

	"golang.org/x/sys/unix"
)

// skippedCall is an invalid system call number, which makes the kernel skip the call.
const skippedCall = int32(-1)

// epollWaits lacks epoll_wait, which this architecture does not have.
var epollWaits = []uint64{unix.SYS_EPOLL_PWAIT, unix.SYS_EPOLL_PWAIT2}

// skipCall makes the kernel skip the call at whose entry a thread has stopped. The call's number is in a register set of
// its own.
func skipCall(thread int) {
	number := skippedCall
	vector := unix.Iovec{Base: (*byte)(unsafe.Pointer(&number))}
	vector.SetLen(int(unsafe.Sizeof(number)))
	// Fails if the thread was killed meanwhile.
	_, _, _ = unix.Syscall6(unix.SYS_PTRACE, unix.PTRACE_SETREGSET, uintptr(thread), unix.NT_ARM_SYSTEM_CALL,
		uintptr(unsafe.Pointer(&vector)), 0, 0)
}

// setReturnValue changes the result of the call at whose exit a thread has stopped.
func setReturnValue(thread int, value uint64) {
	changeRegisters(thread, func(r *unix.PtraceRegsArm64) { r.Regs[0] = value })
}

// setThirdArgument changes the third argument of the call at whose entry a thread has stopped.
func setThirdArgument(thread int, value uint64) {
	changeRegisters(thread, func(r *unix.PtraceRegsArm64) { r.Regs[2] = value })
}

// changeRegisters does nothing if the thread was killed meanwhile.
func changeRegisters(thread int, change func(*unix.PtraceRegsArm64)) {
	var registers unix.PtraceRegsArm64
	if unix.PtraceGetRegSetArm64(thread, unix.NT_PRSTATUS, &registers) == nil {
		change(&registers)
		_ = unix.PtraceSetRegSetArm64(thread, unix.NT_PRSTATUS, &registers)
	}
}
