package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// clockTick is the unit of CPU times in /proc, which Linux reports in the same unit on every machine.
const clockTick = 10 * time.Millisecond

// processUsage returns the CPU time that a process has used and its resident memory in bytes.
func processUsage(tb testing.TB, pid int) (cpu time.Duration, resident float64) {
	tb.Helper()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		tb.Fatal(err)
	}
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+2:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	pages, _ := strconv.Atoi(fields[21])
	return time.Duration(user+system) * clockTick, float64(pages * os.Getpagesize())
}

// startValueCache starts a cache that answers each request with a value of size bytes, and returns its address.
func startValueCache(tb testing.TB, size int) string {
	value := append(bytes.Repeat([]byte("v"), size), '\r', '\n')
	return startCache(tb, func(to net.Conn, line string) error {
		_, id, _ := strings.Cut(line, " O")
		id, _, _ = strings.Cut(id, " ")
		_, err := fmt.Fprintf(to, "VA %d O%s\r\n", size, id)
		if err == nil {
			_, err = to.Write(value)
		}
		return err
	})
}

// BenchmarkNodeProcess measures the data-path slopes in docs/CAPACITY.md: the CPU time of the node process alone by the
// size of a value, and its resident memory by the number of idle client connections.
func BenchmarkNodeProcess(b *testing.B) {
	for _, size := range []int{500, 64 << 10, 673_000, 4_000_000} {
		b.Run(fmt.Sprint(size, "-bytes"), func(b *testing.B) {
			pid, addr := startSingleNode(b, size)
			const connections = 32
			before, _ := processUsage(b, pid)
			b.ResetTimer()
			var all sync.WaitGroup
			for n := range connections {
				all.Add(1)
				go func() {
					defer all.Done()
					c, err := net.Dial("tcp", addr)
					if err != nil {
						b.Error(err)
						return
					}
					defer c.Close()
					r := bufio.NewReaderSize(c, 64<<10)
					for i := range (b.N + connections - 1) / connections {
						fmt.Fprintf(c, "mg k%d v O%d-%d Pc=read,d=9000\r\n", i%1000, n, i)
						if head, err := r.ReadString('\n'); err != nil || !strings.HasPrefix(head, "VA") {
							b.Error(head, err)
							return
						}
						if _, err := r.Discard(size + 2); err != nil {
							b.Error(err)
							return
						}
					}
				}()
			}
			all.Wait()
			b.StopTimer()
			after, resident := processUsage(b, pid)
			requests := float64((b.N + connections - 1) / connections * connections)
			b.ReportMetric((after-before).Seconds()*1e6/requests, "cpu-us/request")
			b.ReportMetric((after-before).Seconds()*1e3/(requests*float64(size)*8/1e9), "cpu-ms/Gbit")
			b.ReportMetric(requests*float64(size)*8/1e9/b.Elapsed().Seconds(), "Gbit/s")
			b.ReportMetric(resident/1e6, "resident-MB")
		})
	}
	for _, clients := range []int{0, 250, 500, 1000} {
		b.Run(fmt.Sprint(clients, "-clients"), func(b *testing.B) {
			pid, addr := startSingleNode(b, 500)
			for i := range clients {
				c, err := net.Dial("tcp", addr)
				if err != nil {
					b.Fatal(err)
				}
				defer c.Close()
				fmt.Fprintf(c, "mg k%d v Oc%d Pc=read,d=9000\r\n", i, i)
				if head, err := bufio.NewReader(c).ReadString('\n'); err != nil || !strings.HasPrefix(head, "VA") {
					b.Fatal(head, err)
				}
			}
			_, resident := processUsage(b, pid)
			b.ReportMetric(resident/1e6, "resident-MB")
		})
	}
}

// startSingleNode starts a node process in front of one cache whose values have the given size.
func startSingleNode(b *testing.B, size int) (pid int, addr string) {
	over := make(chan bool)
	list := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery != "" {
			select {
			case <-over:
			case <-r.Context().Done():
			}
			return
		}
		fmt.Fprintf(w, `{"generation":1,"reset":true,"instances":[`+
			`{"instanceId":"c","hostPort":%q,"lifecycle":"in_service","zone":"z"}]}`, startValueCache(b, size))
	}))
	b.Cleanup(func() { close(over); list.Close() })
	p := startNode(b, b.TempDir(), list.Listener.Addr().String(), `"seed":"1",
"limits":{"memory_mb":512,"sockets":4096},"settings":{
"service_grades":[{"name":"read","effect":"idempotent","benefit":1,"soft_limit_s":5,"hard_stop_s":9}],
"zone":"z","n_instances":1,
"round_s":0.005,"bounds":{"most_legs":3,"conn_idle_s":60},"family_info":{"mode":"through"}}`)
	addr = p.waitForListen(b)
	for deadline := time.Now().Add(10 * time.Second); !isReady(addr); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			b.Fatal("the node is not ready")
		}
	}
	return p.Process.Pid, addr
}
