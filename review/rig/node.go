//go:build review

package rig

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync"
	"syscall"
	"time"
)

// Node is one process of the project, started by the deploy file's run command.
type Node struct {
	Name    string
	Listen  string
	Dir     string // its private folder, which is also its TMPDIR
	Config  map[string]any
	cmd     *exec.Cmd
	mu      sync.Mutex
	ended   chan struct{}
	Err     error
	EndedAt time.Time
	root    string
	run     string
}

// Root returns the repository's root: the current folder or the nearest above it with a deploy file.
func Root() (string, error) {
	dir, err := os.Getwd()
	if err != nil {
		return "", err
	}
	for ; ; dir = filepath.Dir(dir) {
		if _, err := os.Stat(filepath.Join(dir, "deploy", "balancer.toml")); err == nil {
			return dir, nil
		}
		if dir == filepath.Dir(dir) {
			return "", errors.New("no deploy/balancer.toml here or above")
		}
	}
}

// ExtraArgs is added to the run command of nodes that are started, as operators do for a file of theirs.
var ExtraArgs string

var runLine = regexp.MustCompile(`(?m)^run = "(.*)"`)

// RunCommand returns the run command of the deploy file.
func RunCommand(root string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	m := runLine.FindSubmatch(text)
	if m == nil {
		return "", errors.New("the deploy file has no run")
	}
	return string(m[1]), nil
}

// FreeAddr returns a loopback address with a port that is free now.
func FreeAddr() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "127.0.0.1:0"
	}
	defer l.Close()
	return l.Addr().String()
}

// StartNode writes a configuration and starts a node with it. Its log goes to a file in dir.
func StartNode(name, dir, discovery string, settings map[string]any, memoryMB, sockets int, known []byte) (*Node, error) {
	root, err := Root()
	if err != nil {
		return nil, err
	}
	run, err := RunCommand(root)
	if err != nil {
		return nil, err
	}
	n := &Node{Name: name, Listen: FreeAddr(), Dir: dir, root: root, run: run + ExtraArgs}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	n.Config = map[string]any{"name": name, "listen": n.Listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": sockets}, "settings": settings}
	if known != nil {
		n.Config["known"] = json.RawMessage(known)
	}
	if err := n.WriteConfig(); err != nil {
		return nil, err
	}
	return n, n.Start()
}

// WriteConfig replaces the file of the configuration.
func (n *Node) WriteConfig() error {
	text, err := json.Marshal(n.Config)
	if err != nil {
		return err
	}
	path := filepath.Join(n.Dir, "config.json")
	if err := os.WriteFile(path+".new", text, 0o644); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// Start starts the process.
func (n *Node) Start() error {
	cmd := exec.Command("/bin/sh", "-c", n.run)
	cmd.Dir = n.root
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+filepath.Join(n.Dir, "config.json"), "RELAY_NAME="+n.Name,
		"RELAY_LISTEN="+n.Listen, "RELAY_DISCOVERY="+n.Config["discovery"].(string), "TMPDIR="+n.Dir)
	log, err := os.OpenFile(filepath.Join(n.Dir, "node.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.ended = cmd, ended
	n.mu.Unlock()
	started.mu.Lock()
	started.nodes = append(started.nodes, n)
	started.mu.Unlock()
	go func() {
		err := cmd.Wait()
		n.mu.Lock()
		n.Err, n.EndedAt = err, time.Now()
		n.mu.Unlock()
		log.Close()
		close(ended)
	}()
	return nil
}

// Signal sends a signal to the process.
func (n *Node) Signal(s syscall.Signal) { n.cmd.Process.Signal(s) }

// Ended returns a channel that is closed when the process has ended.
func (n *Node) Ended() <-chan struct{} { return n.ended }

// HasEnded reports whether the process has ended.
func (n *Node) HasEnded() bool {
	select {
	case <-n.ended:
		return true
	default:
		return false
	}
}

// Kill kills the process and waits for its end.
func (n *Node) Kill() {
	if n.cmd != nil {
		n.cmd.Process.Kill()
		<-n.ended
	}
}

// AwaitReady waits until the node answers mn with MN.
func (n *Node) AwaitReady(timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) {
		if n.HasEnded() {
			return fmt.Errorf("node %s has ended: %v", n.Name, n.Err)
		}
		if Ready(n.Listen) {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("node %s is not ready after %v", n.Name, timeout)
}

// Ready asks an address for mn once.
func Ready(addr string) bool {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Second))
	io.WriteString(c, "mn\r\n")
	line, _ := bufio.NewReader(c).ReadString('\n')
	return line == "MN\r\n"
}
