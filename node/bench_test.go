package node_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"dahliapin/node"
)

var long = bytes.Repeat([]byte("v"), 4<<20)

// echo is a cache with a value for every key, which costs next to nothing.
func echo(b *testing.B) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for r := bufio.NewReader(c); ; {
					line, err := r.ReadString('\n')
					if err != nil {
						return
					}
					if _, id, ok := strings.Cut(line, " O"); ok {
						id, _, _ = strings.Cut(id, " ")
						if strings.HasPrefix(line, "mg long ") {
							fmt.Fprintf(c, "VA %d O%s\r\n", len(long), id)
							c.Write(long)
							io.WriteString(c, "\r\n")
							continue
						}
						io.WriteString(c, "VA 5 O"+id+"\r\nhello\r\n")
					} else {
						io.WriteString(c, "MN\r\n")
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

// ask asks over so many connections, each with one request at a time.
func ask(b *testing.B, addr string, connections int, web bool) {
	var wg sync.WaitGroup
	var vain atomic.Int64
	each := (b.N + connections - 1) / connections
	for n := range connections {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			b.Fatal(err)
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer c.Close()
			r := bufio.NewReader(c)
			for i := range each {
				if web {
					fmt.Fprintf(c, "GET /p/k%d HTTP/1.1\r\nHost: n\r\n\r\n", i%1000)
					a, err := http.ReadResponse(r, nil)
					if err != nil {
						b.Error(err)
						return
					}
					if io.Copy(io.Discard, a.Body); a.StatusCode != http.StatusOK {
						vain.Add(1)
					}
					continue
				}
				fmt.Fprintf(c, "mg k%d v O%d-%d Pc=read,d=900\r\n", i%1000, n, i)
				head, err := r.ReadString('\n')
				if err != nil {
					b.Error(err)
					return
				}
				if !strings.HasPrefix(head, "VA") { // a pause of this machine is a late leg to the node
					vain.Add(1)
					continue
				}
				r.ReadString('\n')
			}
		}()
	}
	wg.Wait()
	b.ReportMetric(float64(vain.Load())/float64(b.N), "vain/op")
	if vain.Load() > int64(b.N/100+10) {
		b.Errorf("%d of %d were not satisfied", vain.Load(), b.N)
	}
}

// askLong asks for long values, so many at a time, and reads them with a pause between pieces. It tells the most that the heap of all
// took over what it had at first: mostly the node's, as the cache has one copy and clients throw theirs away.
func askLong(b *testing.B, addr string, connections int, pause time.Duration) {
	b.SetBytes(int64(len(long)))
	var wg sync.WaitGroup
	var stat runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stat)
	idle, most, over := stat.HeapInuse, uint64(0), make(chan bool)
	go func() {
		for {
			select {
			case <-over:
				return
			case <-time.After(10 * time.Millisecond):
				var stat runtime.MemStats
				runtime.ReadMemStats(&stat)
				most = max(most, stat.HeapInuse)
			}
		}
	}()
	b.ResetTimer()
	for n := range connections {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c, err := net.Dial("tcp", addr)
			if err != nil {
				b.Error(err)
				return
			}
			defer c.Close()
			piece := make([]byte, 64<<10)
			for i := range (b.N + connections - 1) / connections {
				fmt.Fprintf(c, "mg long v O%d-%d Pc=read,d=900\r\n", n, i)
				for left := len(fmt.Sprintf("VA %d O%d-%d\r\n", len(long), n, i)) + len(long) + 2; left > 0; {
					k, err := c.Read(piece[:min(left, len(piece))])
					if err != nil {
						b.Error(err)
						return
					}
					left -= k
					time.Sleep(pause)
				}
			}
		}()
	}
	wg.Wait()
	b.StopTimer()
	over <- true
	b.ReportMetric(float64(max(most, idle)-idle)/(1<<20), "heap-MB")
}

// One request through a node by either protocol, and straight to a cache, in one run: what the node adds. Clients and caches are in the
// same process, so allocations are of all three; the difference is the node's.
func BenchmarkRequest(b *testing.B) {
	var rows []map[string]any
	for n := range 12 {
		rows = append(rows, map[string]any{"instanceId": fmt.Sprint("c", n), "hostPort": echo(b), "lifecycle": "in_service", "zone": "z"})
	}
	over := make(chan bool)
	list := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery != "" {
			select {
			case <-over:
			case <-r.Context().Done():
			}
			return
		}
		json.NewEncoder(w).Encode(map[string]any{"generation": 1, "reset": true, "instances": rows})
	}))
	b.Cleanup(func() { close(over); list.Close() })
	p, err := node.ParseConfig(fmt.Appendf(nil, `{"name":"n","listen":"127.0.0.1:0","discovery":%q,"seed":"1","settings":{
"service_grades":[{"name":"read","effect":"idempotent","benefit":1,"soft_limit_s":0.5,"hard_stop_s":1}],"zone":"z","n_instances":1,
"round_s":0.005,"bounds":{"most_legs":3,"conn_idle_s":15},"family_info":{"mode":"through"}}}`, list.Listener.Addr()))
	if err != nil {
		b.Fatal(err)
	}
	if err := p.ParseListeners("o", []byte("[[listener]]\nlisten='127.0.0.1:0'\nprotocol='http'\n[[listener.route]]\npath='/p/'\nmethods=['GET']\ngrade='read'\n")); err != nil {
		b.Fatal(err)
	}
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	n, err := node.New(p, quiet)
	if err != nil {
		b.Fatal(err)
	}
	done := make(chan bool)
	go func() { n.Serve(); close(done) }()
	b.Cleanup(func() { n.Shutdown(); <-done })
	for n.Phase() != node.Serving {
		time.Sleep(time.Millisecond)
	}
	for name, addr := range map[string]string{"straight": rows[0]["hostPort"].(string), "node": n.Addr()} {
		b.Run("long-"+name, func(b *testing.B) { askLong(b, addr, 32, 0) })
		b.Run("long-slow-"+name, func(b *testing.B) { askLong(b, addr, 32, 5*time.Millisecond) })
	}
	for _, connections := range []int{1, 64} {
		for name, addr := range map[string]string{"straight": rows[0]["hostPort"].(string), "node": n.Addr(), "http": n.ListenerAddr(0)} {
			b.Run(fmt.Sprintf("%s-%d", name, connections), func(b *testing.B) {
				b.ReportAllocs()
				ask(b, addr, connections, name == "http")
			})
		}
	}
}
