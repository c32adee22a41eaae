//go:build review

package rig

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Call is a client's request and what became of it.
type Call struct {
	ID, Key, Grade string
	Write          bool
	Label          string
	Wait           time.Duration
	Sent           time.Time // when its last byte was written
	Answered       time.Time // when the last byte of its answer came
	Answer         string    // the first line, empty if there was none
	Value          []byte
	Err            error // of its connection, if there was no whole answer
}

// Outcome returns served, refused, failed or lost.
func (c *Call) Outcome() string {
	switch {
	case c.Answer == "" || c.Err != nil:
		return "lost"
	case strings.HasPrefix(c.Answer, "VA "), strings.HasPrefix(c.Answer, "HD "):
		return "served"
	case strings.HasPrefix(c.Answer, "SERVER_ERROR busy"):
		return "refused"
	}
	return "failed"
}

var lastID atomic.Uint64
var idBase = rand.Uint64()

// NewID returns an id that no other request has.
func NewID() string { return fmt.Sprintf("%016x", idBase+lastID.Add(1)*0x9e3779b97f4a7c15) }

// NewCall returns a request that has not been sent.
func NewCall(grade, key string, write bool, wait time.Duration) *Call {
	c := &Call{ID: NewID(), Key: key, Grade: grade, Write: write, Wait: wait}
	if write {
		c.Label = NewID()
	}
	return c
}

// Bytes returns the request as it is written.
func (c *Call) Bytes() []byte {
	items := fmt.Sprintf("Pc=%s,d=%d", c.Grade, c.Wait.Milliseconds())
	if c.Write {
		return []byte(fmt.Sprintf("ms %s 5 O%s %s,k=%s\r\nhello\r\n", c.Key, c.ID, items, c.Label))
	}
	return []byte(fmt.Sprintf("mg %s v O%s %s\r\n", c.Key, c.ID, items))
}

// Conn is a client's connection.
type Conn struct {
	net.Conn
	in   *bufio.Reader
	Used int
}

// Dial opens a connection to a node.
func Dial(addr string) (*Conn, error) {
	c, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: c, in: bufio.NewReaderSize(c, 1<<16)}, nil
}

// ReadAnswer reads the answer of a call.
func (c *Conn) ReadAnswer(call *Call) error {
	line, err := c.in.ReadString('\n')
	if err != nil {
		call.Err = err
		return err
	}
	call.Answer = strings.TrimRight(line, "\r\n")
	if strings.HasPrefix(line, "VA ") {
		f := strings.Fields(line)
		n, err := strconv.Atoi(f[1])
		if err != nil {
			call.Err = err
			return err
		}
		call.Value = make([]byte, n+2)
		if _, err := io.ReadFull(c.in, call.Value); err != nil {
			call.Err = err
			return err
		}
		call.Value = call.Value[:n]
	}
	call.Answered = time.Now()
	c.Used++
	return nil
}

// Do sends a call and reads its answer.
func (c *Conn) Do(call *Call) error {
	c.SetDeadline(time.Now().Add(call.Wait + 3*time.Second))
	if _, err := c.Write(call.Bytes()); err != nil {
		call.Err = err
		return err
	}
	call.Sent = time.Now()
	return c.ReadAnswer(call)
}

// Pool is a client's kept connections to one node.
type Pool struct {
	Addr string
	mu   sync.Mutex
	idle []*Conn
}

func (p *Pool) get() (*Conn, error) {
	p.mu.Lock()
	if n := len(p.idle); n > 0 {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		return c, nil
	}
	p.mu.Unlock()
	return Dial(p.Addr)
}

func (p *Pool) put(c *Conn) {
	p.mu.Lock()
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

// ErrNoNode is of a call whose connection could not be opened.
var ErrNoNode = errors.New("no connection")

// Do sends a call on a kept connection or a new one. If the connection was kept and has ended without a byte of an
// answer, the request has crossed its end and is sent once more on a new one.
func (p *Pool) Do(call *Call) {
	c, err := p.get()
	if err != nil {
		call.Err = ErrNoNode
		return
	}
	kept := c.Used > 0
	err = c.Do(call)
	if err != nil && kept && call.Answer == "" && !isTimeout(err) {
		c.Close()
		if c, err = Dial(p.Addr); err != nil {
			call.Err = ErrNoNode
			return
		}
		call.Err = nil
		err = c.Do(call)
	}
	if err != nil {
		c.Close()
		return
	}
	p.put(c)
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

// CloseIdle closes the kept connections.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		c.Close()
	}
	p.idle = nil
}
