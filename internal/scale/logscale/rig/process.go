package rig

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

// stopTimeout is the time in which a process must flush its records and exit; then it is killed.
const stopTimeout = 30 * time.Second

// process is a process that the run has started.
type process struct {
	*exec.Cmd
	in io.WriteCloser // standard input, whose end stops a process of simulated nodes
}

// launch starts a process whose output goes to a log file.
func (r *run) launch(name string, args ...string) (*process, error) {
	c := exec.Command(r.Program, args...)
	out, err := os.OpenFile(r.path("%s.log", name), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	c.Stdout, c.Stderr = out, out
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	in, err := c.StdinPipe()
	if err != nil {
		return nil, err
	}
	if err := c.Start(); err != nil {
		return nil, err
	}
	return &process{c, in}, nil
}

// stopAll stops all processes in an orderly way, so that they flush their records.
func (r *run) stopAll() error {
	var all sync.WaitGroup
	var mu sync.Mutex
	var errs error
	stop := func(p *process, how func()) {
		all.Go(func() {
			timer := time.AfterFunc(stopTimeout, func() { _ = p.Process.Kill() })
			defer timer.Stop()
			how()
			if err := p.Wait(); err != nil {
				mu.Lock()
				defer mu.Unlock()
				errs = errors.Join(errs, fmt.Errorf("%s: %w", strings.Join(p.Args[1:], " "), err))
			}
		})
	}
	for _, p := range r.simulated {
		stop(p, func() { _ = p.in.Close() })
	}
	for _, p := range append(r.real, r.control[:]...) {
		stop(p, func() { _ = p.Process.Signal(syscall.SIGTERM) })
	}
	all.Wait()
	return errs
}

// killAll kills the processes of the run that have not exited, by their handles.
func (r *run) killAll() {
	for _, p := range append(append(append([]*process{}, r.simulated...), r.real...), r.control[:]...) {
		if p != nil && p.ProcessState == nil {
			_ = p.Process.Kill()
			_ = p.Wait()
		}
	}
}
