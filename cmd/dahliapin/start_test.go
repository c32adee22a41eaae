package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// concurrentNodes returns how many nodes are started together: fewer under the race detector, which is some ten times
// slower.
func concurrentNodes() int {
	if testing.Short() {
		return 6
	}
	return 30
}

// nodeProcess is a node process and the last lines of its log.
type nodeProcess struct {
	*exec.Cmd
	listening chan bool // closed once it listens, or has exited before that
	listen    string    // address; empty if it exited before. Like ops, read it only after listening is closed
	ops       string    // admin address, if any
	mu        sync.Mutex
	logged    []string
}

// logTail returns the last lines of the log.
func (p *nodeProcess) logTail() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.logged, "\n")
}

// waitForListen waits until the node listens, and returns its address.
func (p *nodeProcess) waitForListen(t testing.TB) string {
	t.Helper()
	select {
	case <-p.listening:
	case <-time.After(20 * time.Second):
		t.Fatalf("the node does not listen; its log:\n%s", p.logTail())
	}
	if p.listen == "" {
		t.Fatalf("the node exited before it listened; its log:\n%s", p.logTail())
	}
	return p.listen
}

// The addresses in the log line of a node that listens.
var (
	listenPattern = regexp.MustCompile(`msg=listening .*listen="([^"]+)"`)
	opsPattern    = regexp.MustCompile(`ops="([^"]+)"`)
)

// startNode starts a node process with additional configuration fields, and kills it at the end of the test. The kernel
// chooses its ports when it listens: a port that was free a moment before may be in use by then, as tests open and
// close thousands of connections.
func startNode(t testing.TB, dir, discovery, more string, env ...string) *nodeProcess {
	t.Helper()
	return startFleetNode(t, dir, "", discovery, more, env...)
}

// startFleetNode starts a node process, like startNode, that joins the fleet of a file; an empty name stands for none.
func startFleetNode(t testing.TB, dir, fleet, discovery, more string, env ...string) *nodeProcess {
	t.Helper()
	file := dir + "/config.json"
	text := fmt.Sprintf(`{"name":"n","listen":"127.0.0.1:0","discovery":%q,%s}`, discovery, more)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	p := &nodeProcess{Cmd: exec.Command(os.Args[0], "serve", "--config", file, "--fleet", fleet), listening: make(chan bool)}
	p.Env = append(append(os.Environ(), runAsProgramEnv+"=1", "TMPDIR="+dir), env...)
	p.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true} // a process group, for tracing
	out, err := p.StderrPipe()
	if err == nil {
		err = p.Start()
	}
	if err != nil {
		t.Fatal(err)
	}
	read := make(chan bool)
	go func() {
		defer close(read)
		listens := false
		for l := bufio.NewScanner(out); l.Scan(); {
			line := l.Text()
			p.mu.Lock()
			p.logged = append(p.logged[max(0, len(p.logged)-99):], line)
			p.mu.Unlock()
			if at := listenPattern.FindStringSubmatch(line); at != nil && !listens {
				p.listen, listens = at[1], true
				if at = opsPattern.FindStringSubmatch(line); at != nil {
					p.ops = at[1]
				}
				close(p.listening)
			}
		}
		if !listens {
			close(p.listening)
		}
	}()
	t.Cleanup(func() { p.Process.Kill(); <-read; p.Wait() })
	return p
}

// isReady reports whether a node answers that it accepts clients.
func isReady(listen string) bool {
	c, err := net.DialTimeout("tcp", listen, time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Second))
	io.WriteString(c, "mn\r\n")
	answer, _ := bufio.NewReader(c).ReadString('\n')
	return strings.TrimSpace(answer) == "MN"
}

// TestNodesAreReadyWithin10sOfRestart checks that nine in ten restarted nodes serve clients within 10 s, whatever
// discovery does meanwhile and whether or not they have an earlier list. It guards against a node never receiving a
// list that discovery took longer to send than the timeout of the first poll.
func TestNodesAreReadyWithin10sOfRestart(t *testing.T) {
	const readyIn, failsFor, slowBy = 10 * time.Second, 5 * time.Second, 2 * time.Second
	const list = `{"generation":7,"reset":true,` +
		`"instances":[{"instanceId":"c","hostPort":"127.0.0.1:1","lifecycle":"in_service"}]}`
	for _, how := range []string{"slow", "refuses", "silent"} {
		t.Run(how, func(t *testing.T) {
			if testing.Short() { // few enough nodes to run the subtests in parallel
				t.Parallel()
			}
			nodes, began := concurrentNodes(), time.Now()
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				fails := time.Since(began) < failsFor
				switch {
				case how == "slow":
					time.Sleep(slowBy)
				case how == "refuses" && fails:
					w.WriteHeader(http.StatusServiceUnavailable)
					return
				case how == "silent" && fails:
					<-r.Context().Done()
					return
				}
				if r.URL.RawQuery != "" && how != "slow" {
					<-r.Context().Done() // a long poll without an update
					return
				}
				io.WriteString(w, list)
			}))
			t.Cleanup(s.CloseClientConnections)
			took := make(chan time.Duration, nodes)
			for n := range nodes {
				more := fmt.Sprintf(`"seed":"%d","limits":{"memory_mb":64,"sockets":128},`+
					`"settings":{"n_instances":%d,"service_grades":[{}]}`, n+1, nodes)
				if n%2 == 0 {
					more += `,"known":` + list
				}
				start := time.Now()
				p := startNode(t, t.TempDir(), strings.TrimPrefix(s.URL, "http://"), more)
				go func() {
					for <-p.listening; !isReady(p.listen) && time.Since(start) < 2*readyIn; {
						time.Sleep(20 * time.Millisecond)
					}
					took <- time.Since(start)
				}()
			}
			var all []time.Duration
			for range nodes {
				all = append(all, <-took)
			}
			slices.Sort(all)
			nine := all[nodes*9/10-1]
			t.Logf("of %d nodes the first was ready in %v, half in %v, nine in ten in %v, all in %v",
				nodes, all[0], all[nodes/2], nine, all[nodes-1])
			if nine > readyIn {
				t.Errorf("nine in ten are ready only in %v", nine)
			}
		})
	}
}
