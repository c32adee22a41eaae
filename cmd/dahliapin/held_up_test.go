package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// suspendProcess sends SIGSTOP to a process, and waits until all of its threads have stopped.
func suspendProcess(t *testing.T, pid int) {
	t.Helper()
	if err := syscall.Kill(pid, syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	tasks := fmt.Sprintf("/proc/%d/task", pid)
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		threads, err := os.ReadDir(tasks)
		if err != nil {
			t.Fatal(err)
		}
		stopped := 0
		for _, thread := range threads {
			stat, _ := os.ReadFile(tasks + "/" + thread.Name() + "/stat")
			if _, state, ok := strings.Cut(string(stat), ") "); ok && strings.HasPrefix(state, "T") {
				stopped++
			}
		}
		if stopped == len(threads) {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("only %d of %d threads have stopped", stopped, len(threads))
		}
	}
}

// TestSuspendedProcessRoutesByNewestList suspends a node for longer than the drain grace period. When it resumes,
// requests and an update of the endpoint list are pending together and may be delivered in any order; it must not send
// requests to a cache that the list says is draining.
func TestSuspendedProcessRoutesByNewestList(t *testing.T) {
	const (
		suspendTime = 700 * time.Millisecond // longer than the drain grace period
		updateDelay = 50 * time.Millisecond  // from the requests to the update of the list, both while suspended
		connections = 40
		keys        = 40
	)
	var late atomic.Int64
	var drains atomic.Bool
	cache := func(leaves bool) string {
		return startCache(t, func(to net.Conn, line string) error {
			f := strings.Fields(line)
			if len(f) < 4 {
				return io.EOF
			}
			if leaves && drains.Load() {
				late.Add(1)
			}
			_, err := fmt.Fprintf(to, "VA 5 %s\r\nhello\r\n", f[3])
			return err
		})
	}
	leaving, staying, update := cache(true), cache(false), make(chan bool)
	const row = `{"instanceId":%q,"hostPort":%q,"lifecycle":%q,"zone":"z"}`
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Query().Get("since") {
		case "":
			fmt.Fprintf(w, `{"generation":1,"reset":true,"instances":[`+row+`,`+row+`]}`,
				"a", leaving, "in_service", "b", staying, "in_service")
		case "1":
			select {
			case <-update:
				fmt.Fprintf(w, `{"generation":2,"reset":false,"instances":[`+row+`]}`, "a", leaving, "terminating")
			case <-time.After(3 * time.Second):
				io.WriteString(w, `{"generation":1,"reset":false,"instances":[]}`)
			case <-r.Context().Done():
			}
		default:
			<-r.Context().Done()
		}
	}))
	t.Cleanup(s.CloseClientConnections)
	node := startNode(t, t.TempDir(), s.Listener.Addr().String(), `"seed":"1","settings":{
"service_grades":[{"name":"read","effect":"idempotent","group":"all","benefit":1,"soft_limit_s":1,"hard_stop_s":3}],
"zone":"z","n_instances":1,"bounds":{"most_legs":3,"conn_idle_s":15},"family_info":{"mode":"through"}}`)
	listen := node.waitForListen(t)
	for deadline := time.Now().Add(20 * time.Second); !isReady(listen); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("the node is not ready; its log:\n%s", node.logTail())
		}
	}
	var clients []net.Conn
	for range connections {
		c, err := net.Dial("tcp", listen)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		clients = append(clients, c)
	}
	ask := func(round int) { // one request on each connection
		for i, c := range clients {
			fmt.Fprintf(c, "mg k%d v O%d-%d Pc=read,d=3000\r\n", i%keys, round, i)
		}
	}
	answered := func() {
		var all sync.WaitGroup
		for _, c := range clients {
			all.Add(1)
			go func() {
				defer all.Done()
				c.SetReadDeadline(time.Now().Add(5 * time.Second))
				if n, err := c.Read(make([]byte, 99)); n == 0 {
					t.Errorf("no answer: %v", err)
				}
			}()
		}
		all.Wait()
	}
	ask(0) // so that connections to both caches are open
	answered()
	suspendProcess(t, node.Process.Pid)
	ask(1)
	time.Sleep(updateDelay)
	close(update)
	time.Sleep(suspendTime - updateDelay)
	drains.Store(true) // the update was sent longer ago than the grace period
	node.Process.Signal(syscall.SIGCONT)
	answered()
	if n := late.Load(); n > 0 {
		t.Errorf("%d of %d requests went to the draining cache, %v after the update was sent",
			n, connections, suspendTime-updateDelay)
	}
}
