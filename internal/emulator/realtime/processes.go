package realtime

import (
	"bufio"
	"bytes"
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

// RehearsalEnv is the environment variable that is set for node processes of a rehearsal. It enables the signal that
// blocks the node's event loop.
const RehearsalEnv = "DAHLIAPIN_REHEARSED"

// Processes starts each node as a separate process. The program must support the command serve and its flags --config
// and --records, and those for further files: --operator, --fleet and --trace.
type Processes struct {
	Program string
	Dir     string // directory of configurations and logs; the caller removes it
	started atomic.Int64
}

// process is a node that runs as a separate process.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
	exit string // exit status and last log line; "" for a normal exit; written before done is closed
}

// Start starts a node's process and passes its records and trace lines to the callbacks of the spec as they arrive.
func (ps *Processes) Start(o NodeSpec) (Process, error) {
	base := filepath.Join(ps.Dir, fmt.Sprintf("%s-%d", o.Name, ps.started.Add(1)))
	args, err := writeFiles(base, o)
	if err != nil {
		return nil, err
	}
	log, err := os.Create(base + ".log")
	if err != nil {
		return nil, err
	}
	defer log.Close()
	var pipes pipes
	defer pipes.closeWriters()
	records, err := pipes.add()
	if err != nil {
		return nil, err
	}
	var trace *os.File
	if o.Fleet != nil {
		if trace, err = pipes.add(); err != nil {
			pipes.closeReaders()
			return nil, err
		}
	}
	cmd := exec.Command(ps.Program, args...)
	cmd.Env = append(os.Environ(), "TMPDIR="+ps.Dir, RehearsalEnv+"=1") // processes of a node share TMPDIR
	cmd.Stdout = log
	cmd.Stderr = log
	cmd.ExtraFiles = pipes.writers
	cmd.SysProcAttr = &syscall.SysProcAttr{
		Pdeathsig: syscall.SIGKILL,
		Setpgid:   true, // an interrupt from the terminal reaches this process only
	}
	if err := cmd.Start(); err != nil {
		pipes.closeReaders()
		return nil, err
	}
	if trace != nil {
		go readLines(trace, o.OnTrace)
	}
	go readLines(records, func(line []byte) {
		var e eventlog.Event
		if json.Unmarshal(line, &e) == nil {
			o.OnRecord(e, time.Unix(0, int64(e.At)))
		}
	})
	p := &process{cmd: cmd, done: make(chan struct{})}
	go p.wait(base + ".log")
	return p, nil
}

// writeFiles writes a node's configuration files and returns the arguments of its program. The program writes records
// to file descriptor 3 and a membership trace to 4.
func writeFiles(base string, o NodeSpec) ([]string, error) {
	args := []string{"serve", "--config", base + ".json", "--records", "/dev/fd/3"}
	if err := os.WriteFile(base+".json", o.Configuration, 0o600); err != nil {
		return nil, err
	}
	if o.Operator != nil {
		if err := os.WriteFile(base+".toml", o.Operator, 0o600); err != nil {
			return nil, err
		}
		args = append(args, "--operator", base+".toml")
	}
	if o.Fleet != nil {
		if err := os.WriteFile(base+"-fleet.toml", o.Fleet, 0o600); err != nil {
			return nil, err
		}
		args = append(args, "--fleet", base+"-fleet.toml", "--trace", "/dev/fd/4")
	}
	return args, nil
}

// pipes are the pipes to which a process writes records and trace lines.
type pipes struct {
	readers, writers []*os.File
}

// add opens a pipe and returns its read end.
func (p *pipes) add() (*os.File, error) {
	r, w, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	p.readers = append(p.readers, r)
	p.writers = append(p.writers, w)
	return r, nil
}

func (p *pipes) closeReaders() {
	for _, f := range p.readers {
		_ = f.Close()
	}
}

// closeWriters closes the write ends in this process, so that readers see end of file when the child process exits.
func (p *pipes) closeWriters() {
	for _, f := range p.writers {
		_ = f.Close()
	}
}

// readLines calls each with every line until end of file, and closes the file. Lines may have any length: if it stopped
// at a long one, the process would block as soon as the pipe is full.
func readLines(f *os.File, each func([]byte)) {
	defer f.Close()
	for lines := bufio.NewReader(f); ; {
		line, err := lines.ReadBytes('\n')
		if len(line) > 0 {
			each(bytes.TrimSuffix(line, []byte("\n")))
		}
		if err != nil {
			return
		}
	}
}

// wait waits for the process to exit, and adds the last line of its log to the exit status of a failure.
func (p *process) wait(logPath string) {
	defer close(p.done)
	err := p.cmd.Wait()
	if err == nil {
		return
	}
	text, logErr := os.ReadFile(logPath)
	if logErr != nil {
		p.exit = err.Error()
		return
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	p.exit = err.Error() + ": " + lines[len(lines)-1]
}

// Hang blocks the process's event loop or lets it continue. The signal toggles the state, hence the ignored argument;
// it has this effect in rehearsals only.
func (p *process) Hang(bool) { p.cmd.Process.Signal(syscall.SIGUSR2) }

// Pause stops the process or lets it continue.
func (p *process) Pause(stop bool) {
	if stop {
		p.cmd.Process.Signal(syscall.SIGSTOP)
		return
	}
	p.cmd.Process.Signal(syscall.SIGCONT)
}

// Reload tells the process to reload its configuration.
func (p *process) Reload() { p.cmd.Process.Signal(syscall.SIGHUP) }

func (p *process) End()                  { p.cmd.Process.Signal(syscall.SIGTERM) }
func (p *process) Kill()                 { p.cmd.Process.Kill() }
func (p *process) Done() <-chan struct{} { return p.done }
func (p *process) ExitReason() string    { return p.exit }
