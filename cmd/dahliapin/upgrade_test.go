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
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// upgradeHarness runs processes of one node that replace each other under load: with a cache, discovery, and clients
// that keep connections or open a new one for each request.
type upgradeHarness struct {
	t             testing.TB
	dir, listen   string
	discovery     string
	known         string                             // the list in the configuration; empty for none
	softLimit     float64                            // latency objective in seconds
	hardStop      float64                            // longest deadline in seconds
	sockets       int                                // the node's limit
	memoryMB      int                                // the node's limit
	serveCache    func(c net.Conn, command []string) // answers a command at the cache
	answered      atomic.Int64
	lost          atomic.Int64
	first         atomic.Value // error of the first lost request
	done          chan bool
	clients       sync.WaitGroup
	asked, starts atomic.Int64
}

func newUpgradeHarness(t testing.TB) *upgradeHarness {
	s := &upgradeHarness{t: t, dir: t.TempDir(), done: make(chan bool)}
	s.softLimit, s.hardStop = 2, 3
	s.sockets, s.memoryMB = 384, 64
	s.serveCache = serveHello
	cache, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cache.Close() })
	go func() {
		for {
			c, err := cache.Accept()
			if err != nil {
				return
			}
			go func() {
				for r := bufio.NewReader(c); ; {
					line, err := r.ReadString('\n')
					if err != nil {
						return
					}
					s.serveCache(c, strings.Fields(line))
				}
			}()
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
	s.discovery = strings.TrimPrefix(list.URL, "http://")
	s.listen = freePorts(t, 1)[0]
	return s
}

// serveHello takes some time, so that some requests are in flight whenever a process exits.
func serveHello(c net.Conn, command []string) {
	time.Sleep(5 * time.Millisecond)
	fmt.Fprintf(c, "VA 5 %s\r\nhello\r\n", command[3])
}

// harnessProcess is one process of the node.
type harnessProcess struct {
	*exec.Cmd
	logged chan string
	seen   []string // the lines that hasLogged has taken from logged
}

func (s *upgradeHarness) start() *harnessProcess {
	s.t.Helper()
	p, release := s.startHeld()
	release()
	return p
}

// startHeld starts a process that waits for its configuration until release is called.
func (s *upgradeHarness) startHeld() (p *harnessProcess, release func()) {
	s.t.Helper()
	file := fmt.Sprintf("%s/%d.json", s.dir, s.starts.Add(1))
	known := ""
	if s.known != "" {
		known = `"known":` + s.known + ","
	}
	text := fmt.Sprintf(`{"name":"n","listen":%[1]q,"ops":"127.0.0.1:0","discovery":%[2]q,`+known+`
"limits":{"memory_mb":%[6]d,"sockets":%[5]d},"settings":{"service_grades":[
{"name":"read","benefit":1,"effect":"idempotent","soft_limit_s":%[3]v,"hard_stop_s":%[4]v}],
"bounds":{"most_legs":3,"conn_idle_s":15}}}`, s.listen, s.discovery, s.softLimit, s.hardStop, s.sockets, s.memoryMB)
	if err := syscall.Mkfifo(file, 0o600); err != nil {
		s.t.Fatal(err)
	}
	release = func() {
		s.t.Helper()
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil { // opens the FIFO once the process does
			s.t.Fatal(err)
		}
	}
	p = &harnessProcess{Cmd: exec.Command(os.Args[0], "serve", "--config", file), logged: make(chan string, 999)}
	p.Env = append(os.Environ(), runAsProgramEnv+"=1", "TMPDIR="+s.dir)
	p.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true} // a process group, for tracing
	out, err := p.StderrPipe()
	if err == nil {
		err = p.Start()
	}
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { p.Process.Kill() })
	go func() {
		for l := bufio.NewScanner(out); l.Scan(); {
			p.logged <- l.Text()
		}
		close(p.logged)
	}()
	return p, release
}

func (s *upgradeHarness) waitForLine(p *harnessProcess, want string) {
	s.t.Helper()
	for timeout := time.After(20 * time.Second); ; {
		select {
		case line, ok := <-p.logged:
			if strings.Contains(line, want) {
				return
			}
			if !ok {
				s.t.Fatalf("the process exited before logging: %s", want)
			}
		case <-timeout:
			s.t.Fatalf("no log line contains: %s", want)
		}
	}
}

// startClients starts clients that send requests until done is closed. A client whose kept connection was reset sends
// the request once more on a new one, as the protocol permits.
func (s *upgradeHarness) startClients(clients int) {
	for n := range clients {
		s.clients.Add(1)
		go func() {
			defer s.clients.Done()
			var c net.Conn
			var r *bufio.Reader
			for {
				select {
				case <-s.done:
					return
				default:
				}
				err := io.EOF
				if c != nil {
					err = s.request(c, r)
				}
				if err != nil {
					if c, err = net.Dial("tcp", s.listen); err == nil {
						r = bufio.NewReader(c)
						err = s.request(c, r)
					}
				}
				if err != nil {
					s.lost.Add(1)
					s.first.CompareAndSwap(nil, err.Error())
					c = nil
				} else if s.answered.Add(1); n%2 == 0 { // these open a connection for each request
					c.Close()
					c = nil
				}
			}
		}()
	}
}

func (s *upgradeHarness) request(c net.Conn, r *bufio.Reader) error {
	id := fmt.Sprintf("Oq%d", s.asked.Add(1))
	c.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := fmt.Fprintf(c, "mg k v %s Pc=read,d=3000\r\n", id); err != nil {
		return err
	}
	for _, want := range []string{"VA 5 " + id, "hello"} {
		got, err := r.ReadString('\n')
		if err != nil {
			return err
		}
		if strings.TrimSpace(got) != want {
			return fmt.Errorf("got %q, want %q", got, want)
		}
	}
	return nil
}

// TestProcessesReplaceEachOtherUnderLoad guards against two failures of a replacement: the second process exited with 1
// because the address was in use, and with SO_REUSEPORT the connections waiting in the old process's queue were reset.
// Whichever process is killed, and at whatever point, the other one must go on; only requests that a killed process had
// in flight may be lost.
func TestProcessesReplaceEachOtherUnderLoad(t *testing.T) {
	s := newUpgradeHarness(t)
	now := s.start()
	s.waitForLine(now, "msg=serving")
	s.startClients(8)
	for step, how := range []string{
		"", "successor killed", "", "predecessor ended before successor served", "successor ended", "",
		"predecessor killed", "",
	} {
		before := s.answered.Load()
		next := s.start()
		switch how {
		case "successor killed": // after it has received the sockets
			s.waitForLine(next, "taking over from the running process")
			next.Process.Kill()
			s.waitForLine(now, "successor process has exited")
			next = now
		case "successor ended": // back to the old process
			s.waitForLine(next, "msg=serving")
			s.waitForLine(now, "successor process is serving")
			next.Process.Signal(syscall.SIGTERM)
			s.waitForLine(next, "counters, stopped")
			s.waitForLine(now, "successor process has exited")
			next = now
		case "predecessor ended before successor served":
			s.waitForLine(next, "taking over from the running process")
			now.Process.Signal(syscall.SIGTERM)
			s.waitForLine(now, "counters, stopped")
			s.waitForLine(next, "predecessor process has exited")
		case "predecessor killed":
			s.waitForLine(next, "msg=serving")
			now.Process.Kill()
			s.waitForLine(next, "predecessor process has exited")
		default:
			s.waitForLine(next, "msg=serving")
			now.Process.Signal(syscall.SIGTERM)
			s.waitForLine(now, "counters, stopped")
			s.waitForLine(next, "predecessor process has exited")
		}
		now = next
		if how == "predecessor killed" {
			time.Sleep(20 * time.Millisecond) // for clients to notice that their answers are lost
			s.lost.Store(0)
		}
		for deadline := time.Now().Add(20 * time.Second); s.answered.Load() < before+50; time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("step %d, %q: no client is answered any more", step, how)
			}
		}
		if n := s.lost.Load(); n > 0 {
			t.Fatalf("step %d, %q: %d requests lost, the first: %v", step, how, n, s.first.Load())
		}
	}
	close(s.done)
	s.clients.Wait()
	now.Process.Signal(syscall.SIGTERM)
	s.waitForLine(now, "counters, stopped")
}
