// Package client asks a node as clients do: over connections that are kept, one request at a time on each, with a new
// one whenever all are busy. Whoever asks never waits.
package client

import (
	"bufio"
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"dahliapin/internal/emulator/checker"
)

const (
	connectWithin = time.Second
	beyond        = 300 * time.Millisecond // over its deadline that an answer is still looked for: a late one is to be seen
	mostIdle      = 512                    // connections kept for one node
	longOver      = 64 << 10               // bytes from which a node may pass a value on as it comes
	mostValue     = 4<<20 + 1<<10
)

// Ask is one try.
type Ask struct {
	ID, Key, Label, Grade string
	Write, Repeat         bool
	Value                 string
	Holds                 string        // by HTTP: the value that the client has, and asks whether it still holds
	Wait                  time.Duration // until the deadline
	Leaves                time.Duration // after which it goes without an answer; 0 for not
	OnlyOpen              bool          // no new connection is made for it
}

// Answer is what came of it.
type Answer struct {
	Final    checker.Final
	ComeBack time.Duration
	Value    string // or the receipt
	Wrong    string // what is not as it should be
	Silent   bool   // nothing came in time
	Left     bool   // it went before
	Nowhere  bool   // it was not sent, or not read: there was no open connection, or the close crossed it, and it may make no new one
	last     bool   // the node ends the connection
	Extra    bool   // its connection had brought something that nobody asked for
	Sent     time.Time
	Got      time.Time
}

// Pool holds the connections to one node.
type Pool struct {
	Addr   string
	HTTP   bool          // else by meta commands
	Beyond time.Duration // over its deadline that an answer is still looked for; 0 for a usual time
	mu     sync.Mutex
	idle   []*conn
	all    map[*conn]bool
	closed bool
	wg     sync.WaitGroup
}

type conn struct {
	net.Conn
	r    *bufio.Reader
	used bool // has carried an answer
}

// Ask sends a try and calls done with what came, from another goroutine.
func (p *Pool) Ask(a *Ask, done func(Answer)) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		go done(Answer{Final: checker.Cut, Sent: time.Now(), Got: time.Now()})
		return
	}
	var c *conn
	if n := len(p.idle); n > 0 {
		c, p.idle = p.idle[n-1], p.idle[:n-1]
	}
	if c == nil && a.OnlyOpen {
		p.mu.Unlock()
		go done(Answer{Final: checker.Cut, Nowhere: true, Sent: time.Now(), Got: time.Now()})
		return
	}
	p.wg.Add(1)
	p.mu.Unlock()
	go func() {
		defer p.wg.Done()
		sent := time.Now()
		answer, err := p.try(c, a)
		extra := answer.Extra
		crossed := err != nil && c != nil && c.used && !errors.Is(err, errSilent) && !errors.Is(err, errLeft) && !errors.Is(err, errUnanswered)
		if crossed && !a.OnlyOpen {
			answer, err = p.try(nil, a)
		}
		answer.Extra = answer.Extra || extra
		if answer.Sent, answer.Got = sent, time.Now(); err != nil {
			answer.Final, answer.Silent, answer.Left, answer.Nowhere = checker.Cut, errors.Is(err, errSilent), errors.Is(err, errLeft), crossed && a.OnlyOpen
		}
		done(answer)
	}()
}

var (
	errSilent = errors.New("nothing came in time")
	errLeft   = errors.New("did not wait")
	errExtra  = errors.New("something came that nobody asked for")

	errUnanswered = errors.New("it was read, and its connection ended without an answer")
)

// resetBy is how long after an orderly end a reset may take to come, which says that what was sent last had not been read.
const resetBy = 50 * time.Millisecond

// read tells, after the other side's orderly end, whether it had read what was sent before: if not, or if the end was sent before that came, the
// kernel over there answers with a reset.
func (c *conn) read() bool {
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	for by := time.Now().Add(resetBy); time.Now().Before(by); time.Sleep(resetBy / 10) {
		n, failed := 0, error(nil)
		if raw.Control(func(fd uintptr) {
			if n, failed = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR); failed == nil && n != 0 {
				return
			}
			_, _, failed = unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		}) != nil || n != 0 || failed != nil {
			return false
		}
	}
	return true
}

// unasked tells whether bytes have come on a connection between two tries.
func (c *conn) unasked() bool {
	if c.r.Buffered() > 0 {
		return true
	}
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	n, ahead := 0, [1]byte{}
	raw.Control(func(fd uintptr) {
		if n, _, err = unix.Recvfrom(int(fd), ahead[:], unix.MSG_PEEK|unix.MSG_DONTWAIT); err != nil {
			n = 0
		}
	})
	return n > 0
}

func (p *Pool) try(c *conn, a *Ask) (answer Answer, err error) {
	if c == nil {
		plain, err := net.DialTimeout("tcp", p.Addr, connectWithin)
		if err != nil {
			return answer, err
		}
		c = &conn{Conn: plain, r: bufio.NewReader(plain)}
		p.mu.Lock()
		if p.all == nil {
			p.all = map[*conn]bool{}
		}
		p.all[c] = true
		closed := p.closed
		p.mu.Unlock()
		if closed {
			p.drop(c)
			return answer, net.ErrClosed
		}
	}
	if c.unasked() {
		p.drop(c)
		return Answer{Extra: true}, errExtra
	}
	long := a.Wait + cmp.Or(p.Beyond, beyond)
	if a.Leaves > 0 {
		long = min(long, a.Leaves)
	}
	c.SetDeadline(time.Now().Add(long))
	says, reads := a.Line, read
	if p.HTTP {
		says, reads = a.request, readHTTP
	}
	if _, err = io.WriteString(c, says()); err == nil {
		answer, err = reads(c.r, a)
	}
	var late net.Error
	if errors.As(err, &late) && late.Timeout() {
		if err = errSilent; long == a.Leaves {
			err = errLeft
		}
	}
	if err != nil {
		if c.used && (errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)) && c.read() {
			err = errUnanswered
		}
		p.drop(c)
		return answer, err
	}
	c.used = true
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || answer.last || len(p.idle) >= mostIdle {
		delete(p.all, c)
		c.Close()
	} else {
		p.idle = append(p.idle, c)
	}
	return answer, nil
}

func (p *Pool) drop(c *conn) {
	c.Close()
	p.mu.Lock()
	delete(p.all, c)
	p.mu.Unlock()
}

// HasOpen tells whether a connection is open that nobody uses.
func (p *Pool) HasOpen() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle) > 0
}

// Close ends all connections and waits for those who ask.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	for c := range p.all {
		c.Close()
	}
	p.mu.Unlock()
	p.wg.Wait()
}

// Kept counts the connections that the node holds open. Of those that nobody uses the pool learns the end only now.
func (p *Pool) Kept() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.all {
		raw, err := c.Conn.(*net.TCPConn).SyscallConn()
		if err == nil {
			_ = raw.Control(func(fd uintptr) {
				_, _, err = unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
			})
		}
		if errors.Is(err, unix.EAGAIN) {
			n++
		}
	}
	return n
}

// Ready tells whether the node takes requests.
func (p *Pool) Ready() bool {
	c, err := net.DialTimeout("tcp", p.Addr, connectWithin)
	if err != nil {
		return false
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(connectWithin))
	if p.HTTP {
		io.WriteString(c, "GET "+ReadyPath+" HTTP/1.1\r\nHost: n\r\n\r\n")
		a, err := http.ReadResponse(bufio.NewReader(c), nil)
		return err == nil && a.StatusCode == http.StatusOK
	}
	io.WriteString(c, "mn\r\n")
	line, _ := bufio.NewReader(c).ReadString('\n')
	return line == "MN\r\n"
}

// Line is a try as it is sent.
func (a *Ask) Line() string {
	info := fmt.Sprintf("Pc=%s,d=%d", a.Grade, max(1, a.Wait.Milliseconds()))
	if a.Label != "" {
		info += ",k=" + a.Label
	}
	if a.Repeat {
		info += ",r=1"
	}
	if a.Write {
		return fmt.Sprintf("ms %s %d O%s %s\r\n%s\r\n", a.Key, len(a.Value), a.ID, info, a.Value)
	}
	return fmt.Sprintf("mg %s v O%s %s\r\n", a.Key, a.ID, info)
}

// read reads the answer to a try.
func read(r *bufio.Reader, a *Ask) (answer Answer, err error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return answer, err
	}
	words := strings.Fields(line)
	named := func() string {
		for _, w := range words[1:] {
			if w[0] == 'O' {
				return w[1:]
			}
		}
		return ""
	}
	switch {
	case len(words) >= 2 && words[0] == "VA" && !a.Write:
		n, bad := strconv.Atoi(words[1])
		if bad != nil || n < 0 || n > mostValue {
			return answer, errors.New("a value's length can't be read")
		}
		b := make([]byte, n+2)
		var late net.Error
		if _, err = io.ReadFull(r, b); err != nil && n > longOver && !(errors.As(err, &late) && late.Timeout()) {
			return Answer{Final: checker.Failed, last: true}, nil // begun and not whole, as its reader can tell
		} else if err != nil {
			return answer, err
		}
		if !bytes.HasSuffix(b, []byte("\r\n")) {
			answer.Wrong = "a value does not end where it should"
		}
		answer.Final, answer.Value = checker.Satisfied, string(b[:n])
	case len(words) >= 2 && words[0] == "HD" && a.Write:
		answer.Final = checker.Satisfied
		for _, w := range words[1:] {
			if w[0] == 'c' {
				answer.Value = w[1:]
			}
		}
	case len(words) >= 2 && words[0] == "SERVER_ERROR" && words[1] == "busy":
		answer.Final = checker.Rejected
		if len(words) > 2 {
			back, _ := strconv.Atoi(words[2])
			answer.ComeBack = time.Duration(back) * time.Millisecond
		}
		return answer, nil
	default:
		answer.Final = checker.Failed
		return answer, nil
	}
	if id := named(); id != a.ID {
		answer.Wrong = "the answer names request " + strconv.Quote(id)
	}
	return answer, nil
}
