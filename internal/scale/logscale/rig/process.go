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

// endBy is how long a process may take to write down what is left, before it is killed.
const endBy = 30 * time.Second

// process is a process that the run has started.
type process struct {
	*exec.Cmd
	in io.WriteCloser
}

// launch starts a process, its output in a file.
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

// end has all processes write down what is left.
func (r *run) end() error {
	var all sync.WaitGroup
	var mu sync.Mutex
	var fault error
	stop := func(p *process, how func()) {
		all.Go(func() {
			timer := time.AfterFunc(endBy, func() { _ = p.Process.Kill() })
			defer timer.Stop()
			how()
			if err := p.Wait(); err != nil {
				mu.Lock()
				defer mu.Unlock()
				fault = errors.Join(fault, fmt.Errorf("%s: %w", strings.Join(p.Args[1:], " "), err))
			}
		})
	}
	for _, p := range r.hollows {
		stop(p, func() { _ = p.in.Close() })
	}
	for _, p := range append(r.real, r.control[:]...) {
		stop(p, func() { _ = p.Process.Signal(syscall.SIGTERM) })
	}
	all.Wait()
	return fault
}

// kill ends what still runs: its own processes, by their handles.
func (r *run) kill() {
	for _, p := range append(append(append([]*process{}, r.hollows...), r.real...), r.control[:]...) {
		if p != nil && p.ProcessState == nil {
			_ = p.Process.Kill()
			_ = p.Wait()
		}
	}
}
