package scale

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"
)

const (
	// shareCheckInterval is the interval at which the CPU time of a process is checked.
	shareCheckInterval = time.Millisecond
	// shareBurst is the initial CPU time allowance.
	shareBurst = 2 * time.Millisecond
	// maxSavedShare is the maximum CPU time allowance that accumulates while a process is idle.
	maxSavedShare = 5 * time.Millisecond
)

// LimitCPUShare limits a process to a share of a core until release is called, like a node that shares its host with
// others. It stops the process (SIGSTOP) when its allowance is used up and continues it (SIGCONT) when the allowance is
// no longer negative. release returns an error if a signal could not be sent, unless the process has exited.
func LimitCPUShare(pid int, share float64) (release func() error) {
	h := &shareLimiter{
		pid:     pid,
		share:   share,
		allowed: shareBurst,
		stop:    make(chan struct{}),
		ended:   make(chan struct{}),
	}
	go h.run()
	return func() error {
		close(h.stop)
		<-h.ended
		return h.err
	}
}

// shareLimiter limits a process to a share of a core.
type shareLimiter struct {
	pid     int
	share   float64       // of a core
	allowed time.Duration // remaining CPU time allowance; negative while the process is stopped
	stopped bool
	err     error
	stop    chan struct{}
	ended   chan struct{}
}

func (h *shareLimiter) run() {
	defer close(h.ended)
	defer h.signal(syscall.SIGCONT)
	last := time.Now()
	used, err := processorTime(h.pid)
	for ; err == nil; time.Sleep(shareCheckInterval) {
		select {
		case <-h.stop:
			return
		default:
		}
		now := time.Now()
		h.allowed = min(maxSavedShare, h.allowed+time.Duration(h.share*float64(now.Sub(last))))
		last = now
		var total time.Duration
		if total, err = processorTime(h.pid); err != nil { // the process has exited
			return
		}
		h.allowed -= total - used
		used = total
		h.stopOrContinue()
	}
}

func (h *shareLimiter) stopOrContinue() {
	exceeds := h.allowed < 0
	switch {
	case exceeds && !h.stopped:
		h.signal(syscall.SIGSTOP)
	case !exceeds && h.stopped:
		h.signal(syscall.SIGCONT)
	}
	h.stopped = exceeds
}

func (h *shareLimiter) signal(s syscall.Signal) {
	if err := syscall.Kill(h.pid, s); err != nil && !errors.Is(err, syscall.ESRCH) {
		h.err = fmt.Errorf("cannot signal process %d to limit its CPU share: %w", h.pid, err)
	}
}

// PeakResident returns the peak resident memory of a process since its start, in bytes.
func PeakResident(pid int) (uint64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(status)) {
		var kilobytes uint64
		if n, _ := fmt.Sscanf(line, "VmHWM: %d kB", &kilobytes); n == 1 {
			return kilobytes << 10, nil
		}
	}
	return 0, fmt.Errorf("no VmHWM line in the status of process %d", pid)
}

// OpenDescriptors returns the number of open file descriptors of a process.
func OpenDescriptors(pid int) (int, error) {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(entries), err
}
