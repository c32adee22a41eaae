package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"dahliapin/internal/scale"
)

const (
	slowClients     = 450
	slowClientTime  = 3 * time.Second // that slow clients take, at most
	peakMemoryLimit = 32              // in MB, the least that a deployment gives
	longValueSize   = 4 << 20
)

// memoryNode is a node of the program itself, with a cache and discovery that are stubs of the test. The program of the
// other tests is the test's own, whose size in memory is another.
type memoryNode struct {
	t       *testing.T
	process *exec.Cmd
	log     bytes.Buffer
	meta    string
	http    string
}

func startMemoryNode(t *testing.T, memoryMB int) *memoryNode {
	t.Helper()
	n := &memoryNode{t: t}
	dir := t.TempDir()
	program := filepath.Join(dir, "dahliapin")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	ports := freePorts(t, 2)
	n.meta = ports[0]
	n.http = ports[1]
	config := fmt.Sprintf(`{"name":"n","listen":%q,"discovery":%q,"limits":{"memory_mb":%d,"sockets":1200},
"settings":{"service_grades":[{"name":"read","benefit":1,"effect":"idempotent","soft_limit_s":2,"hard_stop_s":3},
{"name":"put","benefit":1,"effect":"irreversible","soft_limit_s":2,"hard_stop_s":3}],
"bounds":{"most_legs":3,"conn_idle_s":15}}}`, n.meta, startMemoryDiscovery(t), memoryMB)
	operator := fmt.Sprintf("[[listener]]\nlisten = %q\nprotocol = \"http\"\nready_path = \"/ready\"\n"+
		"[[listener.route]]\npath = \"/r/\"\nmethods = [\"GET\"]\ngrade = \"read\"\n"+
		"[[listener.route]]\npath = \"/w/\"\nmethods = [\"PUT\"]\ngrade = \"put\"\n", n.http)
	for name, text := range map[string]string{"config.json": config, "operator.toml": operator} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	n.process = exec.Command(program, "serve", "--config", filepath.Join(dir, "config.json"),
		"--operator", filepath.Join(dir, "operator.toml"))
	n.process.Stderr = &n.log
	n.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.process.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		n.process.Process.Kill()
		n.process.Wait()
	})
	for by := time.Now().Add(20 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		answer, err := http.Get("http://" + n.http + "/ready")
		if err == nil {
			answer.Body.Close()
			if answer.StatusCode == http.StatusOK {
				return n
			}
		}
		if time.Now().After(by) {
			n.process.Process.Kill()
			n.process.Wait()
			t.Fatalf("the node does not serve: %v\n%s", err, n.log.String())
		}
	}
}

// startMemoryDiscovery starts discovery, whose list has one cache. The cache answers each read of a key that begins
// with "long" with a value of longValueSize, and any other command with a short answer.
func startMemoryDiscovery(t *testing.T) (addr string) {
	t.Helper()
	cache, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cache.Close() })
	long := bytes.Repeat([]byte("v"), longValueSize)
	go func() {
		for {
			c, err := cache.Accept()
			if err != nil {
				return
			}
			go serveMemoryCache(c, long)
		}
	}()
	list := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery != "" {
			<-r.Context().Done()
			return
		}
		fmt.Fprintf(w, `{"generation":7,"reset":true,"instances":[`+
			`{"instanceId":"c","hostPort":%q,"lifecycle":"in_service"}]}`, cache.Addr())
	}))
	t.Cleanup(list.CloseClientConnections)
	return strings.TrimPrefix(list.URL, "http://")
}

func serveMemoryCache(c net.Conn, long []byte) {
	defer c.Close()
	for r := bufio.NewReader(c); ; {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		command := strings.Fields(line)
		id := ""
		for _, flag := range command[2:] {
			if flag[0] == 'O' {
				id = flag
			}
		}
		switch {
		case command[0] == "ms":
			var size int64
			fmt.Sscan(command[2], &size)
			io.CopyN(io.Discard, r, size+2)
			fmt.Fprintf(c, "HD %s c1\r\n", id)
		case strings.HasPrefix(command[1], "long"):
			fmt.Fprintf(c, "VA %d %s\r\n", len(long), id)
			c.Write(long)
			io.WriteString(c, "\r\n")
		default:
			fmt.Fprintf(c, "VA 5 %s\r\nhello\r\n", id)
		}
	}
}

// slowForm is what each of the slow clients does on its connection. It returns once its time is over.
type slowForm struct {
	name string
	http bool
	run  func(c net.Conn, n int, until time.Time)
}

// sendSlowly sends a text in pieces.
func sendSlowly(c net.Conn, text []byte, piece int, until time.Time) {
	pause := time.Until(until) / time.Duration(len(text)/piece+1)
	for len(text) > 0 && time.Now().Before(until) {
		size := min(piece, len(text))
		if _, err := c.Write(text[:size]); err != nil {
			return
		}
		text = text[size:]
		time.Sleep(pause)
	}
}

// sendAndStop sends a text and waits.
func sendAndStop(c net.Conn, text []byte, until time.Time) {
	c.Write(text)
	time.Sleep(time.Until(until))
}

func slowForms() []slowForm {
	value := bytes.Repeat([]byte("w"), 64<<10)
	metaWrite := func(n int) []byte {
		return append(fmt.Appendf(nil, "ms k%d %d Ow%d Pc=put,d=2500\r\n", n, len(value), n), value...)
	}
	httpWrite := func(n int) []byte {
		head := fmt.Appendf(nil, "PUT /w/k%d HTTP/1.1\r\nHost: n\r\nContent-Length: %d\r\n\r\n", n, len(value))
		return append(head, value[:len(value)-1]...)
	}
	names := append([]byte("mg k v Ox Pc=read,d=900"), bytes.Repeat([]byte(" a"), 30_000)...)
	fields := append([]byte("GET /r/k HTTP/1.1\r\nHost: n\r\n"), bytes.Repeat([]byte("a: b\r\n"), 5000)...)
	chunks := append([]byte("PUT /w/k HTTP/1.1\r\nHost: n\r\nTransfer-Encoding: chunked\r\n\r\n"),
		bytes.Repeat([]byte("1\r\nx\r\n"), 10_000)...)
	return []slowForm{
		{"writes stopped before their end", false, func(c net.Conn, n int, until time.Time) {
			sendAndStop(c, metaWrite(n), until)
		}},
		{"writes stopped before their end", true, func(c net.Conn, n int, until time.Time) {
			sendAndStop(c, httpWrite(n), until)
		}},
		{"writes sent slowly", false, func(c net.Conn, n int, until time.Time) {
			sendSlowly(c, metaWrite(n), 4<<10, until)
		}},
		{"writes sent slowly", true, func(c net.Conn, n int, until time.Time) {
			sendSlowly(c, httpWrite(n), 4<<10, until)
		}},
		{"lines of short names", false, func(c net.Conn, _ int, until time.Time) {
			sendAndStop(c, names, until)
		}},
		{"heads of many fields", true, func(c net.Conn, _ int, until time.Time) {
			sendSlowly(c, fields, 8<<10, until)
		}},
		{"chunks of one byte", true, func(c net.Conn, _ int, until time.Time) {
			sendSlowly(c, chunks, 16<<10, until)
		}},
		{"long values read slowly", false, func(c net.Conn, n int, until time.Time) {
			for i := range 10 {
				fmt.Fprintf(c, "mg long%d v Ol%d.%d Pc=read,d=2500\r\n", i, n, i)
			}
			readSlowly(c, until)
		}},
		{"long values read slowly", true, func(c net.Conn, n int, until time.Time) {
			for i := range 10 {
				fmt.Fprintf(c, "GET /r/long%d.%d HTTP/1.1\r\nHost: n\r\n\r\n", n, i)
			}
			readSlowly(c, until)
		}},
	}
}

func readSlowly(c net.Conn, until time.Time) {
	for b := make([]byte, 2000); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		if _, err := c.Read(b); err != nil {
			return
		}
	}
}

// Guards against hundreds of slow clients that take a node over its memory limit, so that it is killed. What counts is
// the resident memory, with the program and the runtime in it: limits on the bytes that are buffered added up to all of
// the limit. Other clients must be answered in time.
func TestPeakMemoryStaysWithinLimitWithSlowClients(t *testing.T) {
	for _, form := range slowForms() {
		name := form.name + ", meta"
		if form.http {
			name = form.name + ", HTTP"
		}
		t.Run(name, func(t *testing.T) {
			n := startMemoryNode(t, peakMemoryLimit)
			until := time.Now().Add(slowClientTime)
			var clients sync.WaitGroup
			for i := range slowClients {
				clients.Go(func() {
					addr := n.meta
					if form.http {
						addr = n.http
					}
					c, err := net.Dial("tcp", addr)
					if err != nil {
						return
					}
					defer c.Close()
					c.SetDeadline(until)
					form.run(c, i, until)
				})
			}
			slowest := n.askUntil(until)
			clients.Wait()
			peak, err := scale.PeakResident(n.process.Process.Pid)
			if err != nil {
				t.Fatalf("%v\n%s", err, n.log.String())
			}
			t.Logf("peak %.1f MB, slowest answer %v", float64(peak)/(1<<20), slowest)
			if peak > peakMemoryLimit<<20 {
				t.Errorf("peak memory %.1f MB, the limit is %d MB", float64(peak)/(1<<20), peakMemoryLimit)
			}
		})
	}
}

// askUntil sends short reads, each on a new connection, and returns the longest time that one took. The node may reject
// some.
func (n *memoryNode) askUntil(until time.Time) (slowest time.Duration) {
	n.t.Helper()
	for i := 0; time.Now().Before(until); i++ {
		began := time.Now()
		c, err := net.Dial("tcp", n.meta)
		if err != nil {
			n.t.Fatal(err)
		}
		c.SetDeadline(time.Now().Add(5 * time.Second))
		fmt.Fprintf(c, "mg k v Oa%d Pc=read,d=2500\r\n", i)
		line, err := bufio.NewReader(c).ReadString('\n')
		c.Close()
		if err != nil || !strings.HasPrefix(line, "VA 5") && !strings.HasPrefix(line, "SERVER_ERROR") {
			n.t.Errorf("answer %q, %v", line, err)
		}
		slowest = max(slowest, time.Since(began))
		time.Sleep(20 * time.Millisecond)
	}
	return slowest
}
