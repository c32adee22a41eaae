package scale

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// stopTimeout is the time after a stop request in which a process must exit; then it is killed.
const stopTimeout = 5 * time.Second

// Child is a child process whose standard error goes to a log file.
type Child struct {
	cmd  *exec.Cmd
	done chan struct{} // closed when the process has exited
	log  string        // path of its standard error
}

// StartChild starts a process that is killed when this one exits. Its standard error goes to the file log.
func StartChild(cmd *exec.Cmd, log string) (*Child, error) {
	f, err := os.Create(log)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	cmd.Stderr = f
	// The child has its own process group, so that an interrupt from the terminal reaches only the rig, which then
	// stops its processes in an orderly way.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	c := &Child{cmd: cmd, done: make(chan struct{}), log: log}
	go func() {
		_ = cmd.Wait()
		close(c.done)
	}()
	return c, nil
}

// PID returns the process ID.
func (c *Child) PID() int { return c.cmd.Process.Pid }

// HasExited reports whether the process has exited.
func (c *Child) HasExited() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// LastLogLine returns the last line that the process wrote to its standard error.
func (c *Child) LastLogLine() string {
	text, _ := os.ReadFile(c.log)
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return lines[len(lines)-1]
}

// Stop calls ask to request an orderly exit, and waits for the process to exit. It kills the process after stopTimeout.
func (c *Child) Stop(ask func()) {
	ask()
	select {
	case <-c.done:
	case <-time.After(stopTimeout):
		_ = c.cmd.Process.Kill()
		<-c.done
	}
}

// Cost is the resource usage of a process since its start.
type Cost struct {
	Processor time.Duration // CPU time of all threads
	Waited    time.Duration // total time in which threads were runnable but waited for a core
	Resident  uint64        // current resident memory in bytes
}

// Cost reads the current resource usage of the process.
func (c *Child) Cost() (Cost, error) {
	pid := c.cmd.Process.Pid
	var cost Cost
	var err error
	if cost.Processor, err = processorTime(pid); err != nil {
		return cost, err
	}
	if cost.Resident, err = residentBytes(pid); err != nil {
		return cost, err
	}
	cost.Waited, err = waitedForCore(pid)
	return cost, err
}

// processorTime reads the CPU-time clock of a process. The clock ID is derived from the PID as in
// clock_getcpuclockid(3).
func processorTime(pid int) (time.Duration, error) {
	const schedulerClock = 2 // CPUCLOCK_SCHED
	var t unix.Timespec
	if err := unix.ClockGettime(int32(^pid<<3|schedulerClock), &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}

// residentBytes reads the resident memory of a process.
func residentBytes(pid int) (uint64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	var size, resident uint64 // pages
	if _, err := fmt.Sscan(string(text), &size, &resident); err != nil {
		return 0, err
	}
	return resident * uint64(os.Getpagesize()), nil
}

// waitedForCore returns the sum of the run-queue waits of all current threads. It skips threads that exit meanwhile.
func waitedForCore(pid int) (time.Duration, error) {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	sum := time.Duration(0)
	for _, path := range threads {
		text, readErr := os.ReadFile(path)
		if readErr != nil {
			continue
		}
		var ran, waited uint64 // nanoseconds
		if _, scanErr := fmt.Sscan(string(text), &ran, &waited); scanErr == nil {
			sum += time.Duration(waited)
		}
	}
	return sum, err
}
