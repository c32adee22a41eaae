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

// longValue is a value of the maximum size.
var longValue = bytes.Repeat([]byte("v"), 4<<20)

// startEchoCache starts a cache that has a value for every key, at almost no cost, and returns its address.
func startEchoCache(b *testing.B) string {
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
			go serveEcho(c)
		}
	}()
	return l.Addr().String()
}

// serveEcho answers the commands on a connection until it is closed.
func serveEcho(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		_, id, isGet := strings.Cut(line, " O")
		id, _, _ = strings.Cut(id, " ")
		switch {
		case !isGet:
			io.WriteString(c, "MN\r\n")
		case strings.HasPrefix(line, "mg long "):
			fmt.Fprintf(c, "VA %d O%s\r\n", len(longValue), id)
			c.Write(longValue)
			io.WriteString(c, "\r\n")
		default:
			io.WriteString(c, "VA 5 O"+id+"\r\nhello\r\n")
		}
	}
}

// benchmarkGets sends b.N requests over a number of connections, each with one request in flight.
func benchmarkGets(b *testing.B, addr string, connections int, get getter) {
	b.ReportAllocs()
	var wg sync.WaitGroup
	var failed atomic.Int64
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
			reader := bufio.NewReader(c)
			for i := range each {
				ok, err := get(c, reader, n, i)
				if err != nil {
					b.Error(err)
					return
				}
				if !ok {
					failed.Add(1)
				}
			}
		}()
	}
	wg.Wait()
	b.ReportMetric(float64(failed.Load())/float64(b.N), "vain/op")
	if failed.Load() > int64(b.N/100+10) {
		b.Errorf("%d of %d were not satisfied", failed.Load(), b.N)
	}
}

// getter gets a value and reports whether it succeeded. A few requests may fail, as a pause of the machine makes
// attempts late.
type getter func(c net.Conn, reader *bufio.Reader, connection, number int) (ok bool, err error)

func getByHTTP(c net.Conn, reader *bufio.Reader, _, number int) (ok bool, err error) {
	fmt.Fprintf(c, "GET /p/k%d HTTP/1.1\r\nHost: n\r\n\r\n", number%1000)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return false, err
	}
	io.Copy(io.Discard, response.Body)
	return response.StatusCode == http.StatusOK, nil
}

func getByMeta(c net.Conn, reader *bufio.Reader, connection, number int) (ok bool, err error) {
	fmt.Fprintf(c, "mg k%d v O%d-%d Pc=read,d=900\r\n", number%1000, connection, number)
	head, err := reader.ReadString('\n')
	if err != nil || !strings.HasPrefix(head, "VA") {
		return false, err
	}
	_, err = reader.ReadString('\n')
	return true, err
}

// benchmarkLongGets gets long values over a number of connections and reads them with a pause between pieces. It
// reports the maximum growth of the heap, most of which is the node's: the cache has one copy, and clients keep
// nothing.
func benchmarkLongGets(b *testing.B, addr string, connections int, pause time.Duration) {
	b.SetBytes(int64(len(longValue)))
	runtime.GC()
	idle := heapInUse()
	stop := make(chan struct{})
	most := make(chan uint64)
	go func() { most <- maxHeap(stop) }()
	b.ResetTimer()
	var wg sync.WaitGroup
	for n := range connections {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if err := getLong(addr, n, (b.N+connections-1)/connections, pause); err != nil {
				b.Error(err)
			}
		}()
	}
	wg.Wait()
	b.StopTimer()
	close(stop)
	b.ReportMetric(float64(max(<-most, idle)-idle)/(1<<20), "heap-MB")
}

func heapInUse() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse
}

// maxHeap returns the largest heap in use until stop is closed.
func maxHeap(stop chan struct{}) (most uint64) {
	for {
		select {
		case <-stop:
			return most
		case <-time.After(10 * time.Millisecond):
			most = max(most, heapInUse())
		}
	}
}

// getLong gets a long value a number of times over one connection.
func getLong(addr string, connection, times int, pause time.Duration) error {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return err
	}
	defer c.Close()
	piece := make([]byte, 64<<10)
	for i := range times {
		fmt.Fprintf(c, "mg long v O%d-%d Pc=read,d=900\r\n", connection, i)
		head := fmt.Sprintf("VA %d O%d-%d\r\n", len(longValue), connection, i)
		for left := len(head) + len(longValue) + len("\r\n"); left > 0; {
			n, err := c.Read(piece[:min(left, len(piece))])
			if err != nil {
				return err
			}
			left -= n
			time.Sleep(pause)
		}
	}
	return nil
}

const benchListeners = "[[listener]]\nlisten='127.0.0.1:0'\nprotocol='http'\n" +
	"[[listener.route]]\npath='/p/'\nmethods=['GET']\ngrade='read'\n"

// benchConfig has one argument, the address of discovery.
const benchConfig = `{"name":"n","listen":"127.0.0.1:0","discovery":%q,"seed":"1","settings":{
"service_grades":[{"name":"read","effect":"idempotent","benefit":1,"soft_limit_s":0.5,"hard_stop_s":1}],
"zone":"z","n_instances":1,"round_s":0.005,"bounds":{"most_legs":3,"conn_idle_s":15},
"family_info":{"mode":"through"}}}`

// startDiscovery starts a discovery service with a list that never changes.
func startDiscovery(b *testing.B, caches []string) string {
	var entries []map[string]any
	for n, addr := range caches {
		entries = append(entries, map[string]any{
			"instanceId": fmt.Sprint("c", n), "hostPort": addr, "lifecycle": "in_service", "zone": "z",
		})
	}
	stop := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery != "" { // a poll for changes
			select {
			case <-stop:
			case <-r.Context().Done():
			}
			return
		}
		json.NewEncoder(w).Encode(map[string]any{"generation": 1, "reset": true, "instances": entries})
	}))
	b.Cleanup(func() {
		close(stop)
		server.Close()
	})
	return server.Listener.Addr().String()
}

// startNode starts a node with an HTTP listener and waits until it serves.
func startNode(b *testing.B, discovery string) *node.Node {
	config, err := node.ParseConfig(fmt.Appendf(nil, benchConfig, discovery))
	if err != nil {
		b.Fatal(err)
	}
	if err := config.ParseListeners("o", []byte(benchListeners)); err != nil {
		b.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	n, err := node.New(config, log)
	if err != nil {
		b.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		n.Serve()
		close(done)
	}()
	b.Cleanup(func() {
		n.Shutdown()
		<-done
	})
	for n.Phase() != node.Serving {
		time.Sleep(time.Millisecond)
	}
	return n
}

// BenchmarkRequest compares requests through a node, by either protocol, with requests sent directly to a cache.
// Clients and caches run in the same process, so allocations are the sum of all three; the difference is due to the
// node.
func BenchmarkRequest(b *testing.B) {
	var caches []string
	for range 12 {
		caches = append(caches, startEchoCache(b))
	}
	n := startNode(b, startDiscovery(b, caches))
	for name, addr := range map[string]string{"straight": caches[0], "node": n.Addr()} {
		b.Run("long-"+name, func(b *testing.B) { benchmarkLongGets(b, addr, 32, 0) })
		b.Run("long-slow-"+name, func(b *testing.B) { benchmarkLongGets(b, addr, 32, 5*time.Millisecond) })
	}
	for _, connections := range []int{1, 64} {
		run := func(name, addr string, get getter) {
			b.Run(fmt.Sprintf("%s-%d", name, connections), func(b *testing.B) {
				benchmarkGets(b, addr, connections, get)
			})
		}
		run("straight", caches[0], getByMeta)
		run("node", n.Addr(), getByMeta)
		run("http", n.ListenerAddr(0), getByHTTP)
	}
}
