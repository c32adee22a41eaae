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

// endsBy is how long a process may take to end after it was asked to, before it is killed.
const endsBy = 5 * time.Second

// Child is a process that this one started.
type Child struct {
	cmd  *exec.Cmd
	done chan struct{} // closed once the process has ended
	log  string        // path of its standard error
}

// StartChild starts a process that ends with this one; its standard error goes to the file log.
func StartChild(cmd *exec.Cmd, log string) (*Child, error) {
	f, err := os.Create(log)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	cmd.Stderr = f
	// A process group of its own: an interrupt from the terminal reaches the rig only, which then ends its processes
	// in order.
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

// PID returns the process's number.
func (c *Child) PID() int { return c.cmd.Process.Pid }

// HasExited reports whether the process has ended.
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

// Stop ends the process and waits for that: it calls ask, which is to request an orderly end, and kills the process
// after endsBy.
func (c *Child) Stop(ask func()) {
	ask()
	select {
	case <-c.done:
	case <-time.After(endsBy):
		_ = c.cmd.Process.Kill()
		<-c.done
	}
}

// Cost is what a process has used since its start.
type Cost struct {
	Processor time.Duration // processor time of all threads
	Waited    time.Duration // time that its threads were ready to run and waited for a core, summed up
	Resident  uint64        // bytes of resident memory, now
}

// Cost reads what the process has used until now.
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

// processorTime reads the processor clock of a process, whose number is made of the pid as clock_getcpuclockid(3) has
// it.
func processorTime(pid int) (time.Duration, error) {
	const schedulerClock = 2 // CPUCLOCK_SCHED
	var t unix.Timespec
	if err := unix.ClockGettime(int32(^pid<<3|schedulerClock), &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}

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

// waitedForCore sums up over the threads that run now. A thread may end while they are read; it is left out.
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
