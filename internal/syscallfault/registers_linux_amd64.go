package syscallfault

import "golang.org/x/sys/unix"

// skippedCall is an invalid system call number, which makes the kernel skip the call.
const skippedCall = ^uint64(0)

var epollWaits = []uint64{unix.SYS_EPOLL_WAIT, unix.SYS_EPOLL_PWAIT, unix.SYS_EPOLL_PWAIT2}

// skipCall makes the kernel skip the call at whose entry a thread has stopped.
func skipCall(thread int) {
	changeRegisters(thread, func(r *unix.PtraceRegs) { r.Orig_rax = skippedCall })
}

// setReturnValue changes the result of the call at whose exit a thread has stopped.
func setReturnValue(thread int, value uint64) {
	changeRegisters(thread, func(r *unix.PtraceRegs) { r.Rax = value })
}

// setThirdArgument changes the third argument of the call at whose entry a thread has stopped.
func setThirdArgument(thread int, value uint64) {
	changeRegisters(thread, func(r *unix.PtraceRegs) { r.Rdx = value })
}

// changeRegisters does nothing if the thread was killed meanwhile.
func changeRegisters(thread int, change func(*unix.PtraceRegs)) {
	var registers unix.PtraceRegs
	if unix.PtraceGetRegs(thread, &registers) == nil {
		change(&registers)
		_ = unix.PtraceSetRegs(thread, &registers)
	}
}
