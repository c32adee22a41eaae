package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// TestProcessReplacedWithoutDiscoveryKeepsADrain guards against a process that takes over while discovery is down and
// sends new work to a cache that drains: it served by the list of its configuration and did not know what the process
// before it had been told. The process is replaced twice.
func TestProcessReplacedWithoutDiscoveryKeepsADrain(t *testing.T) {
	const requests = 100
	s := newUpgradeHarness(t)
	var steadyCalls, drainedCalls atomic.Int64
	steady := countingCache(t, &steadyCalls)
	drained := countingCache(t, &drainedCalls)
	list := func(version int, lifecycle string) string {
		return fmt.Sprintf(`{"generation":%d,"reset":true,"instances":[`+
			`{"instanceId":"s","hostPort":%q,"lifecycle":"in_service"},`+
			`{"instanceId":"d","hostPort":%q,"lifecycle":%q}]}`, version, steady, drained, lifecycle)
	}
	s.known = list(7, "in_service")
	var answered atomic.Bool
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if answered.Swap(true) {
			<-r.Context().Done() // it is down from then on
			return
		}
		fmt.Fprint(w, list(8, "terminating"))
	}))
	t.Cleanup(discovery.CloseClientConnections)
	s.discovery = strings.TrimPrefix(discovery.URL, "http://")
	now := s.start()
	s.waitForLine(now, "msg=serving")
	for by := time.Now().Add(10 * time.Second); !answered.Load(); time.Sleep(time.Millisecond) {
		if time.Now().After(by) {
			t.Fatal("discovery was not polled")
		}
	}
	for range 2 {
		next := s.start()
		s.waitForLine(next, "msg=serving")
		now.Process.Signal(syscall.SIGTERM)
		s.waitForLine(next, "predecessor process has exited")
		now = next
		c, r := s.connect()
		steadyCalls.Store(0)
		drainedCalls.Store(0)
		for range requests {
			if err := s.request(c, r); err != nil {
				t.Fatal(err)
			}
		}
		c.Close()
		if steadyCalls.Load() != requests || drainedCalls.Load() > 0 {
			t.Errorf("%d calls at the cache in service, %d at the one that drains", steadyCalls.Load(), drainedCalls.Load())
		}
	}
}

// countingCache starts a cache that counts its commands.
func countingCache(t *testing.T, calls *atomic.Int64) (addr string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				for r := bufio.NewReader(c); ; {
					line, err := r.ReadString('\n')
					if err != nil {
						return
					}
					calls.Add(1)
					fmt.Fprintf(c, "VA 5 %s\r\nhello\r\n", strings.Fields(line)[3])
				}
			}()
		}
	}()
	return l.Addr().String()
}
