//go:build review

package standins

import (
	"bufio"
	"fmt"
	"io"
	"math/rand"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Answer is what a client has got for a request.
type Answer struct {
	Line  string
	Value string
	Took  time.Duration
	Err   error // no whole answer
}

// Kind tells what an answer means: served, refused, failed or none.
func (a Answer) Kind() string {
	switch {
	case a.Err != nil:
		return "none"
	case strings.HasPrefix(a.Line, "VA "), strings.HasPrefix(a.Line, "HD "):
		return "served"
	case strings.HasPrefix(a.Line, "SERVER_ERROR busy"):
		return "refused"
	}
	return "failed"
}

// Pool is the connections of clients to one node. A connection carries one request at a time.
type Pool struct {
	Addr string

	mu   sync.Mutex
	idle []net.Conn
}

// NewID returns a new request id.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Read sends mg.
func (p *Pool) Read(key, id, class string, wait time.Duration) Answer {
	line := fmt.Sprintf("mg %s v O%s Pc=%s,d=%d\r\n", key, id, class, wait.Milliseconds())
	return p.ask(line, wait)
}

// Write sends ms. An empty mark sends none.
func (p *Pool) Write(key, id, class, mark, value string, wait time.Duration) Answer {
	if mark != "" {
		mark = ",k=" + mark
	}
	line := fmt.Sprintf("ms %s %d O%s Pc=%s,d=%d%s\r\n%s\r\n", key, len(value), id, class, wait.Milliseconds(), mark, value)
	return p.ask(line, wait)
}

// ask sends a command and waits for its answer, for a second longer than its time. A request that crosses the node's
// close of a resting connection is sent once more on a new one.
func (p *Pool) ask(command string, wait time.Duration) Answer {
	for {
		conn, reused := p.take()
		if conn == nil {
			return Answer{Err: fmt.Errorf("no connection")}
		}
		a := exchange(conn, command, wait)
		if a.Err == nil {
			p.mu.Lock()
			p.idle = append(p.idle, conn)
			p.mu.Unlock()
			return a
		}
		_ = conn.Close()
		if !reused || !strings.Contains(a.Err.Error(), "reset") && !strings.Contains(a.Err.Error(), "broken pipe") {
			return a
		}
	}
}

func (p *Pool) take() (conn net.Conn, reused bool) {
	p.mu.Lock()
	if n := len(p.idle); n > 0 {
		conn = p.idle[n-1]
		p.idle = p.idle[:n-1]
	}
	p.mu.Unlock()
	if conn != nil {
		return conn, true
	}
	conn, err := net.DialTimeout("tcp", p.Addr, time.Second)
	if err != nil {
		return nil, false
	}
	return conn, false
}

func exchange(conn net.Conn, command string, wait time.Duration) Answer {
	sent := time.Now()
	_ = conn.SetDeadline(sent.Add(wait + time.Second))
	if _, err := conn.Write([]byte(command)); err != nil {
		return Answer{Err: err}
	}
	in := bufio.NewReader(conn)
	line, err := in.ReadString('\n')
	if err != nil {
		return Answer{Err: err, Took: time.Since(sent)}
	}
	a := Answer{Line: strings.TrimSpace(line)}
	if words := strings.Fields(line); len(words) > 1 && words[0] == "VA" {
		n, _ := strconv.Atoi(words[1])
		value := make([]byte, n+2)
		if _, err := io.ReadFull(in, value); err != nil {
			return Answer{Err: err, Took: time.Since(sent)}
		}
		a.Value = string(value[:n])
	}
	a.Took = time.Since(sent)
	return a
}
