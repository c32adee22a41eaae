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
	// shareCheckInterval is the time between two looks at what a process has used.
	shareCheckInterval = time.Millisecond
	// shareBurst is the processor time that a process may use at once when its limit begins.
	shareBurst = 2 * time.Millisecond
	// maxSavedShare is the processor time that a process may save up while it is idle.
	maxSavedShare = 5 * time.Millisecond
)

// LimitCPUShare limits a process to a share of a core, as a node has beside others, until the returned function is
// called: it is stopped once it has used more, and continued when its share has caught up. release returns an error if
// a signal could not be sent to the process, and nil if the process has ended meanwhile.
func LimitCPUShare(pid int, share float64) (release func() error) {
	h := &shareHolder{pid: pid, share: share, allowed: shareBurst, over: make(chan struct{}), ended: make(chan struct{})}
	go h.run()
	return func() error {
		close(h.over)
		<-h.ended
		return h.err
	}
}

// shareHolder stops and continues one process.
type shareHolder struct {
	pid     int
	share   float64       // of a core
	allowed time.Duration // processor time that it may use now; negative while it is stopped
	stopped bool
	err     error
	over    chan struct{}
	ended   chan struct{}
}

func (h *shareHolder) run() {
	defer close(h.ended)
	defer h.signal(syscall.SIGCONT)
	last := time.Now()
	used, err := processorTime(h.pid)
	for ; err == nil; time.Sleep(shareCheckInterval) {
		select {
		case <-h.over:
			return
		default:
		}
		now := time.Now()
		h.allowed = min(maxSavedShare, h.allowed+time.Duration(h.share*float64(now.Sub(last))))
		last = now
		var total time.Duration
		if total, err = processorTime(h.pid); err != nil { // it has ended
			return
		}
		h.allowed -= total - used
		used = total
		h.stopOrContinue()
	}
}

func (h *shareHolder) stopOrContinue() {
	exceeds := h.allowed < 0
	switch {
	case exceeds && !h.stopped:
		h.signal(syscall.SIGSTOP)
	case !exceeds && h.stopped:
		h.signal(syscall.SIGCONT)
	}
	h.stopped = exceeds
}

func (h *shareHolder) signal(s syscall.Signal) {
	if err := syscall.Kill(h.pid, s); err != nil && !errors.Is(err, syscall.ESRCH) {
		h.err = fmt.Errorf("process %d cannot be held to its share: %w", h.pid, err)
	}
}

// PeakResident returns how many bytes of a process's memory were resident at most since its start.
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
	return 0, fmt.Errorf("the system does not tell the peak of the memory of process %d", pid)
}

// OpenDescriptors returns how many descriptors a process has open.
func OpenDescriptors(pid int) (int, error) {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(entries), err
}
