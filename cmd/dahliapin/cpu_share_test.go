package main

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const (
	shareLook  = time.Millisecond     // between looks at what a process has taken
	shareBurst = 2 * time.Millisecond // of processor time that it may take at once
	shareSaved = 5 * time.Millisecond // of processor time that it may save up while it has nothing to do
)

// processorTime tells what processor time a process has taken since its start, by the kernel's clock of that process.
func processorTime(pid int) (time.Duration, error) {
	const scheduled = 2 // the clock counts time on a core, as clock_getcpuclockid makes it
	var at unix.Timespec
	if err := unix.ClockGettime(int32(^pid)<<3|scheduled, &at); err != nil {
		return 0, err
	}
	return time.Duration(at.Nano()), nil
}

// mostResident tells how many bytes of a process's memory were resident at most since its start.
func mostResident(tb testing.TB, pid int) float64 {
	tb.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		tb.Fatal(err)
	}
	for line := range strings.Lines(string(status)) {
		var kilobytes float64
		if n, _ := fmt.Sscanf(line, "VmHWM: %f kB", &kilobytes); n == 1 {
			return kilobytes * 1024
		}
	}
	tb.Fatal("the system does not tell the peak of a process's memory")
	return 0
}

// holdToShare limits a process to a share of a core, as a node has beside others, until the returned function is
// called: it is stopped once it has used more, and continued when its share has caught up.
func holdToShare(t testing.TB, pid int, share float64) (release func()) {
	t.Helper()
	over, ended := make(chan bool), make(chan bool)
	signal := func(s syscall.Signal) {
		if err := syscall.Kill(pid, s); err != nil && !errors.Is(err, syscall.ESRCH) {
			t.Errorf("the process can't be held to its share: %v", err)
		}
	}
	go func() {
		defer close(ended)
		defer signal(syscall.SIGCONT)
		allowed, last := shareBurst, time.Now()
		taken, err := processorTime(pid)
		stopped := false
		for ; err == nil; time.Sleep(shareLook) {
			select {
			case <-over:
				return
			default:
			}
			now := time.Now()
			allowed, last = min(shareSaved, allowed+time.Duration(share*float64(now.Sub(last)))), now
			var all time.Duration
			if all, err = processorTime(pid); err != nil { // it has ended
				return
			}
			allowed, taken = allowed-(all-taken), all
			exceeds := allowed < 0
			switch {
			case exceeds && !stopped:
				signal(syscall.SIGSTOP)
			case !exceeds && stopped:
				signal(syscall.SIGCONT)
			}
			stopped = exceeds
		}
	}()
	return func() {
		close(over)
		<-ended
	}
}
