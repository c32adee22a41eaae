package cachegrowth

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"dahliapin/internal/freeport"
	"dahliapin/internal/scale"
)

const (
	cacheMachine  = "cache"
	originMachine = "origin"

	nodeMemoryMB     = 192
	nodeSockets      = 1024
	readyTimeout     = 10 * time.Second      // time in which a node must become ready
	readyInterval    = 10 * time.Millisecond // interval at which readiness is checked
	observerInterval = 20 * time.Millisecond // interval at which open descriptors are counted
)

// nodeSettings are the settings of a deployment with one class of idempotent reads, caches that start cold, and an
// origin. Its argument is the number of nodes.
const nodeSettings = `{"service_grades":[{"name":"read","effect":"idempotent","group":"all","benefit":1,` +
	`"soft_limit_s":0.4,"hard_stop_s":1.2}],"zone":"zone-0","n_instances":%d,"kinds":["cache","origin"],` +
	`"round_s":0.005,"bounds":{"most_legs":3,"conn_idle_s":15,"connect_timeout_s":0.25,"cancel":true},` +
	`"family_info":{"mode":"aside","origin_kind":1},"rules":{"cold_from":0.3,"cold_s":5,"overload_factor":3,` +
	`"overload_for_s":1}}`

// nodeProcess is the measured node. A restart starts a new process at the same address. Figures are the sum over both
// processes, or the maximum of both.
type nodeProcess struct {
	program      string
	folder       string
	share        float64 // share of a core that the node gets
	listen       string
	child        *scale.Child
	releaseLimit func() error  // ends the limit of CPU time
	stop         chan struct{} // closed to stop the observer
	stopped      chan struct{} // closed when the observer has stopped
	figures      Figures       // of the processes that have ended, and the observed peak of descriptors
}

// configure chooses the node's listen address and writes its configuration file.
func (n *nodeProcess) configure(discovery string, nodes int) error {
	listen, err := freeport.Free()
	if err != nil {
		return err
	}
	n.listen = listen
	text, err := json.Marshal(map[string]any{
		"name":      "measured",
		"listen":    n.listen,
		"discovery": discovery,
		"seed":      "1",
		"limits":    map[string]int{"memory_mb": nodeMemoryMB, "sockets": nodeSockets},
		"settings":  json.RawMessage(fmt.Sprintf(nodeSettings, nodes)),
	})
	if err != nil {
		return err
	}
	return os.WriteFile(n.configPath(), text, 0o600)
}

func (n *nodeProcess) configPath() string { return filepath.Join(n.folder, "node.json") }

// start starts a process, limits its CPU share at once, and returns when it is ready.
func (n *nodeProcess) start() error {
	cmd := exec.Command(n.program, "serve", "--config", n.configPath())
	cmd.Env = append(os.Environ(), "TMPDIR="+n.folder)
	child, err := scale.StartChild(cmd, filepath.Join(n.folder, "node.log"))
	if err != nil {
		return err
	}
	n.child = child
	n.releaseLimit = scale.LimitCPUShare(child.PID(), n.share)
	n.stop = make(chan struct{})
	n.stopped = make(chan struct{})
	go n.observe(child.PID())
	for deadline := time.Now().Add(readyTimeout); !isReady(n.listen); time.Sleep(readyInterval) {
		if child.HasExited() {
			return fmt.Errorf("the node exited during its start: %s", child.LastLogLine())
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("the node did not become ready within %v: %s", readyTimeout, child.LastLogLine())
		}
	}
	return nil
}

// isReady reports whether a node accepts clients.
func isReady(address string) bool {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	if c.SetDeadline(time.Now().Add(time.Second)) != nil {
		return false
	}
	if _, err := io.WriteString(c, "mn\r\n"); err != nil {
		return false
	}
	answer, _ := bufio.NewReader(c).ReadString('\n')
	return strings.TrimSpace(answer) == "MN"
}

// observe records the peak number of open descriptors of the process until stop is closed.
func (n *nodeProcess) observe(pid int) {
	defer close(n.stopped)
	for {
		if count, err := scale.OpenDescriptors(pid); err == nil {
			n.figures[Descriptors] = max(n.figures[Descriptors], float64(count))
		}
		select {
		case <-n.stop:
			return
		case <-time.After(observerInterval):
		}
	}
}

// stopAndMeasure records the usage of the process and stops it with SIGTERM. It does nothing if the node does not run.
func (n *nodeProcess) stopAndMeasure() error {
	if n.child == nil {
		return nil
	}
	child := n.child
	n.child = nil
	close(n.stop)
	<-n.stopped
	err := n.addUsage(child)
	child.Stop(func() { _ = syscall.Kill(child.PID(), syscall.SIGTERM) })
	if releaseErr := n.releaseLimit(); err == nil {
		err = releaseErr
	}
	return err
}

// addUsage adds the usage of a process to the figures.
func (n *nodeProcess) addUsage(child *scale.Child) error {
	if child.HasExited() {
		return fmt.Errorf("the node exited before its usage was read: %s", child.LastLogLine())
	}
	cost, err := child.Cost()
	if err != nil {
		return err
	}
	peak, err := scale.PeakResident(child.PID())
	if err != nil {
		return err
	}
	n.figures[ProcessorSeconds] += cost.Processor.Seconds()
	n.figures[PeakMemory] = max(n.figures[PeakMemory], float64(peak)/1e6)
	return nil
}
