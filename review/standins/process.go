//go:build review

package standins

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Must ends a case that cannot run.
func Must(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		KillAll()
		os.Exit(NotRun)
	}
}

// Trouble reports whether the case is to have its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Record is the case's record.txt.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// OpenRecord opens record.txt in the case's folder, which RECORD names.
func OpenRecord() *Record {
	file, err := os.Create(os.Getenv("RECORD"))
	Must(err)
	signal.Ignore(syscall.SIGPIPE) // a reader of the output that leaves must not leave processes behind
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	go func() { // the case took too long
		<-ended
		KillAll()
		os.Exit(NotRun)
	}()
	return &Record{file: file, start: time.Now()}
}

// Line writes a line with the time since the start.
func (r *Record) Line(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.4f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, a...))
}

// Say writes a line to the record and to standard output.
func (r *Record) Say(format string, a ...any) {
	r.Line(format, a...)
	fmt.Printf(format+"\n", a...)
}

// FreePort returns a loopback address whose port is free now.
func FreePort() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Must(err)
	defer listener.Close()
	return listener.Addr().String()
}

var (
	processesMu sync.Mutex
	processes   []*Process
	ending      bool // no process is started any more
	folders     []string
)

// Process is one of the project's programs.
type Process struct {
	Cmd  *exec.Cmd
	Done chan struct{}
	Err  error
}

// Start starts a shell command from the root of the repository, with its output in a log file.
func Start(command, logPath string, env ...string) *Process {
	log, err := os.Create(logPath)
	Must(err)
	c := exec.Command("/bin/sh", "-c", command)
	c.Env = append(os.Environ(), env...)
	c.Stdout = log
	c.Stderr = log
	p := &Process{Cmd: c, Done: make(chan struct{})}
	// Under the lock: KillAll must see each process that has been started.
	processesMu.Lock()
	if ending {
		processesMu.Unlock()
		select {} // the case is being ended
	}
	if err = c.Start(); err == nil {
		processes = append(processes, p)
	}
	processesMu.Unlock()
	Must(err)
	go func() {
		p.Err = c.Wait()
		_ = log.Close()
		close(p.Done)
	}()
	return p
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) { _ = p.Cmd.Process.Signal(s) }

// Alive reports whether the process has not ended.
func (p *Process) Alive() bool {
	select {
	case <-p.Done:
		return false
	default:
		return true
	}
}

// Output runs one of the project's commands to its end and returns what it wrote and whether it exited with 0.
func Output(dir, command string) (text string, ok bool) {
	log, err := os.CreateTemp(dir, "output-")
	Must(err)
	_ = log.Close()
	p := Start("exec "+command, log.Name())
	<-p.Done
	b, _ := os.ReadFile(log.Name())
	return string(b), p.Err == nil
}

// Folder returns a new temporary folder, which KillAll removes.
func Folder() string {
	dir, err := os.MkdirTemp("", "case-")
	Must(err)
	processesMu.Lock()
	folders = append(folders, dir)
	processesMu.Unlock()
	return dir
}

// KillAll ends all processes that the case has started, and removes its folders.
func KillAll() {
	processesMu.Lock()
	defer processesMu.Unlock()
	ending = true
	defer func() {
		for _, dir := range folders {
			_ = os.RemoveAll(dir)
		}
	}()
	for _, p := range processes {
		if p.Alive() {
			p.Signal(syscall.SIGCONT)
			p.Signal(syscall.SIGKILL)
			<-p.Done
		}
	}
}

// RunCommand returns the deploy file's command for one node.
func RunCommand() string {
	text, err := os.ReadFile("deploy/balancer.toml")
	Must(err)
	found := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(text)
	if found == nil {
		Must(fmt.Errorf("deploy/balancer.toml has no run"))
	}
	return strings.ReplaceAll(string(found[1]), `\"`, `"`)
}

// NodeConfig is the configuration of a node, as DEPLOY.md has it.
type NodeConfig struct {
	Name      string         `json:"name"`
	Listen    string         `json:"listen"`
	Discovery string         `json:"discovery"`
	Ops       string         `json:"ops,omitempty"`
	Seed      string         `json:"seed"`
	Limits    map[string]any `json:"limits"`
	Known     *List          `json:"known,omitempty"`
	Settings  map[string]any `json:"settings"`
}

// Write writes the configuration to a file in a folder and returns its path.
func (c *NodeConfig) Write(dir string) string {
	text, err := json.MarshalIndent(c, "", " ")
	Must(err)
	path := filepath.Join(dir, c.Name+".json")
	Must(os.WriteFile(path+".new", text, 0o644))
	Must(os.Rename(path+".new", path))
	return path
}

// StartNode starts a node by the deploy file's command and waits until it answers mn with MN.
func StartNode(c *NodeConfig, dir string) *Process {
	p := StartProcess(c, dir, c.Name+".log", c.Ops)
	WaitReady(c.Listen)
	return p
}

// StartProcess starts a process of a node with an address for operators, and does not wait. All processes of a node
// have one TMPDIR.
func StartProcess(c *NodeConfig, dir, log, ops string) *Process {
	path := c.Write(dir)
	tmp := filepath.Join(dir, "tmp-"+c.Name)
	Must(os.MkdirAll(tmp, 0o755))
	return Start(RunCommand(), filepath.Join(dir, log), "RELAY_CONFIG="+path, "RELAY_NAME="+c.Name,
		"RELAY_LISTEN="+c.Listen, "RELAY_DISCOVERY="+c.Discovery, "RELAY_OPS="+ops, "TMPDIR="+tmp)
}

// SaysYes asks a process for its status and reports whether it takes clients.
func SaysYes(ops string) bool {
	client := http.Client{Timeout: time.Second}
	answer, err := client.Get("http://" + ops + "/status")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// WaitReady waits until a node answers mn with MN.
func WaitReady(addr string) {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		conn, err := net.DialTimeout("tcp", addr, time.Second)
		if err != nil {
			continue
		}
		_ = conn.SetDeadline(time.Now().Add(time.Second))
		_, _ = conn.Write([]byte("mn\r\n"))
		b := make([]byte, 64)
		n, _ := conn.Read(b)
		_ = conn.Close()
		if string(b[:n]) == "MN\r\n" {
			return
		}
	}
	Must(fmt.Errorf("the node at %s is not ready", addr))
}
