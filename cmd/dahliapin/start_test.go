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
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"
)

// nodesAtOnce are started together; under the race detector, which is some ten times slower, fewer.
func nodesAtOnce() int {
	if testing.Short() {
		return 6
	}
	return 30
}

// serving starts a process of a node with a configuration's further parts, and returns where it listens. It ends with the test.
func serving(t testing.TB, dir, discovery, more string, env ...string) (p *exec.Cmd, listen string) {
	t.Helper()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listen = free.Addr().String()
	free.Close()
	file := fmt.Sprintf("%s/%s.json", dir, strings.ReplaceAll(listen, ":", "-"))
	text := fmt.Sprintf(`{"name":"n","listen":%q,"discovery":%q,%s}`, listen, discovery, more)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	p = exec.Command(os.Args[0], "serve", "--config", file)
	p.Env = append(append(os.Environ(), asProgram+"=1", "TMPDIR="+dir), env...)
	p.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.Process.Kill(); p.Wait() })
	return p, listen
}

// ready tells whether a node says that it takes clients.
func ready(listen string) bool {
	c, err := net.DialTimeout("tcp", listen, time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Second))
	io.WriteString(c, "mn\r\n")
	said, _ := bufio.NewReader(c).ReadString('\n')
	return strings.TrimSpace(said) == "MN"
}

// Nine in ten of the nodes that are restarted are to take clients within 10 s, whatever discovery does meanwhile and whether or not they have
// a last list. A list that took discovery longer than the first call may was given up each time, without end.
func TestNodesAreReadySoonAfterARestart(t *testing.T) {
	const readyIn, failsFor, slowBy = 10 * time.Second, 5 * time.Second, 2 * time.Second
	const list = `{"generation":7,"reset":true,"instances":[{"instanceId":"c","hostPort":"127.0.0.1:1","lifecycle":"in_service"}]}`
	for _, how := range []string{"slow", "refuses", "silent"} {
		t.Run(how, func(t *testing.T) {
			nodes, began := nodesAtOnce(), time.Now()
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
					<-r.Context().Done() // a watch without news
					return
				}
				io.WriteString(w, list)
			}))
			t.Cleanup(s.CloseClientConnections)
			took := make(chan time.Duration, nodes)
			for n := range nodes {
				more := fmt.Sprintf(`"seed":"%d","limits":{"memory_mb":64,"sockets":128},"settings":{"n_instances":%d,"service_grades":[{}]}`, n+1, nodes)
				if n%2 == 0 {
					more += `,"known":` + list
				}
				start := time.Now()
				_, listen := serving(t, t.TempDir(), strings.TrimPrefix(s.URL, "http://"), more)
				go func() {
					for !ready(listen) && time.Since(start) < 2*readyIn {
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
			if t.Logf("of %d nodes the first was ready in %v, half in %v, nine in ten in %v, all in %v", nodes, all[0], all[nodes/2], nine, all[nodes-1]); nine > readyIn {
				t.Errorf("nine in ten are ready only in %v", nine)
			}
		})
	}
}
