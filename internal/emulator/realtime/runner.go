package realtime

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"dahliapin/internal/proxy/eventlog"
)

// Rehearsed is set in the environment of a node process that is part of a rehearsal: its loop can be made to hang there.
const Rehearsed = "DAHLIAPIN_REHEARSED"

// Processes runs each node as a process of its own, by a program that takes serve, --config and --records.
type Processes struct {
	Program string
	Dir     string // for configurations and logs; the caller's to remove
	started atomic.Int64
}

type process struct {
	cmd  *exec.Cmd
	done chan struct{}
	how  string
}

// Start starts one.
func (ps *Processes) Start(o Order) (Process, error) {
	base := filepath.Join(ps.Dir, fmt.Sprintf("%s-%d", o.Name, ps.started.Add(1)))
	if err := os.WriteFile(base+".json", o.Configuration, 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(base + ".log")
	if err != nil {
		return nil, err
	}
	defer log.Close()
	from, to, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(ps.Program, "serve", "--config", base+".json", "--records", "/dev/fd/3")
	if o.Operator != nil {
		if err := os.WriteFile(base+".toml", o.Operator, 0o600); err != nil {
			return nil, err
		}
		cmd.Args = append(cmd.Args, "--operator", base+".toml")
	}
	var traced *os.File
	passed := []*os.File{to}
	if o.Charter != nil {
		if err := os.WriteFile(base+"-fleet.toml", o.Charter, 0o600); err != nil {
			return nil, err
		}
		cmd.Args = append(cmd.Args, "--fleet", base+"-fleet.toml", "--trace", "/dev/fd/4")
		r, w, err := os.Pipe()
		if err != nil {
			return nil, err
		}
		traced, passed = r, append(passed, w)
	}
	cmd.Env = append(os.Environ(), "TMPDIR="+ps.Dir, Rehearsed+"=1") // common to the processes of a node, and gone with the run
	cmd.Stdout, cmd.Stderr, cmd.ExtraFiles = log, log, passed
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true} // Ctrl-C is the rig's to hear
	err = cmd.Start()
	for _, f := range passed {
		f.Close()
	}
	if err != nil {
		from.Close()
		if traced != nil {
			traced.Close()
		}
		return nil, err
	}
	if traced != nil {
		go func() {
			defer traced.Close()
			for lines := bufio.NewScanner(traced); lines.Scan(); {
				o.Trace(lines.Bytes())
			}
		}()
	}
	p := &process{cmd: cmd, done: make(chan struct{})}
	go func() {
		defer from.Close()
		for lines := bufio.NewScanner(from); lines.Scan(); {
			var e eventlog.Event
			if json.Unmarshal(lines.Bytes(), &e) == nil {
				o.Note(e, time.Unix(0, int64(e.At)))
			}
		}
	}()
	go func() {
		if err := cmd.Wait(); err != nil {
			p.how = err.Error()
			if text, bad := os.ReadFile(base + ".log"); bad == nil {
				lines := strings.Split(strings.TrimSpace(string(text)), "\n")
				p.how += ": " + lines[len(lines)-1]
			}
		}
		close(p.done)
	}()
	return p, nil
}

// Hang has its loop stand still, or go on: a switch that only processes of a rehearsal have.
func (p *process) Hang(bool) { p.cmd.Process.Signal(syscall.SIGUSR2) }

// Pause stops it, or has it go on.
func (p *process) Pause(stop bool) {
	if stop {
		p.cmd.Process.Signal(syscall.SIGSTOP)
		return
	}
	p.cmd.Process.Signal(syscall.SIGCONT)
}

// Reload has it read its configuration again.
func (p *process) Reload() { p.cmd.Process.Signal(syscall.SIGHUP) }

func (p *process) End()                  { p.cmd.Process.Signal(syscall.SIGTERM) }
func (p *process) Kill()                 { p.cmd.Process.Kill() }
func (p *process) Done() <-chan struct{} { return p.done }
func (p *process) Ended() string         { return p.how }
