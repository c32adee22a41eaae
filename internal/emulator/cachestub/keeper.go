// Package keeper is a stand-in for a cache server as purges find it: it keeps which version of a value it has under each key, and speaks the
// deletions of the memcache text protocol. What it did is told, for a judge.
package cachestub

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"dahliapin/internal/emulator/logtrace"
	"dahliapin/policy"
)

const mostLine = 2048 // bytes of a command

// Order is a deletion, or a flush where it has no key.
type Order struct {
	Key, ID string
	Flush   bool
}

// ReadOrder reads the first command in b if it is a deletion or a flush. A size of 0 says that it is neither, or has not come whole.
func ReadOrder(b []byte) (o Order, size int) {
	end := bytes.IndexByte(b, '\n')
	if end < 0 {
		return o, 0
	}
	words := strings.Fields(string(b[:end]))
	switch {
	case len(words) == 1 && words[0] == "flush_all":
		return Order{Flush: true}, end + 1
	case len(words) >= 2 && words[0] == "md":
		o.Key = words[1]
		for _, w := range words[2:] {
			if w[0] == 'O' {
				o.ID = w[1:]
			}
		}
		return o, end + 1
	}
	return o, 0
}

// Answer is what is said to an order.
func (o Order) Answer(was bool) []byte {
	switch {
	case o.Flush:
		return []byte("OK\r\n")
	case was:
		return fmt.Appendf(nil, "HD O%s\r\n", o.ID)
	}
	return fmt.Appendf(nil, "NF O%s\r\n", o.ID)
}

// Fault is what goes wrong with its connections.
type Fault int

// The faults.
const (
	None    Fault = iota
	Silent        // it reads nothing and answers nothing, as one that hangs or is cut off
	Refuse        // connections are closed at once
	Garbage       // it answers what is no answer, and does nothing
	Busy          // it says that it has too much to do, and does nothing
	Ends          // it ends the connection with each command, which it has carried out
)

// Cache is one cache server.
type Cache struct {
	name  string
	now   func() policy.Instant
	tell  func(logtrace.Cached)
	at    net.Listener
	mu    sync.Mutex
	holds map[string]uint64
	fault Fault
	late  time.Duration // before each answer
	conns map[net.Conn]bool
	woken chan struct{}
	done  sync.WaitGroup
}

// Open has a cache server listen. It tells what it does.
func Open(name string, now func() policy.Instant, tell func(logtrace.Cached)) (*Cache, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &Cache{name: name, now: now, tell: tell, at: l, holds: map[string]uint64{}, conns: map[net.Conn]bool{}, woken: make(chan struct{})}
	c.done.Go(c.accept)
	return c, nil
}

// Name and Addr are what it is called, and where it is heard.
func (c *Cache) Name() string { return c.name }
func (c *Cache) Addr() string { return c.at.Addr().String() }

// Fill puts a version of a key's value in.
func (c *Cache) Fill(key string, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holds[key] = version
}

// Serve tells which version a reader gets; false for a miss.
func (c *Cache) Serve(key string) (uint64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	v, is := c.holds[key]
	if is {
		c.says(logtrace.Cached{What: logtrace.Served, Key: key, Version: v})
	}
	return v, is
}

// Restart empties it and ends its connections, as a process that begins anew.
func (c *Cache) Restart() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.holds)
	c.says(logtrace.Cached{What: logtrace.Emptied})
	c.endAll()
}

// Break sets what goes wrong, and how late each answer is.
func (c *Cache) Break(how Fault, late time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fault, c.late = how, late
	close(c.woken)
	if c.woken = make(chan struct{}); how == Refuse {
		c.endAll()
	}
}

// Close ends it.
func (c *Cache) Close() {
	_ = c.at.Close()
	c.Break(Refuse, 0)
	c.done.Wait()
}

func (c *Cache) endAll() {
	for conn := range c.conns {
		_ = conn.Close()
	}
}

func (c *Cache) says(r logtrace.Cached) {
	if r.Cache, r.At = c.name, c.now(); c.tell != nil {
		c.tell(r)
	}
}

func (c *Cache) accept() {
	for {
		conn, err := c.at.Accept()
		if err != nil {
			return
		}
		c.mu.Lock()
		if c.fault == Refuse {
			_ = conn.Close()
		} else {
			c.conns[conn] = true
			c.done.Go(func() { c.serve(conn) })
		}
		c.mu.Unlock()
	}
}

func (c *Cache) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		c.mu.Lock()
		delete(c.conns, conn)
		c.mu.Unlock()
	}()
	in := bufio.NewReaderSize(conn, mostLine)
	for {
		line, err := in.ReadSlice('\n')
		if err != nil {
			return
		}
		o, size := ReadOrder(line)
		c.mu.Lock()
		for c.fault == Silent && c.conns[conn] {
			woken := c.woken
			c.mu.Unlock()
			<-woken
			c.mu.Lock()
		}
		late := c.late
		c.mu.Unlock()
		time.Sleep(late)
		out := c.carryOut(o, size > 0)
		if _, err := conn.Write(out); err != nil || len(out) == 0 {
			return
		}
	}
}

func (c *Cache) carryOut(o Order, is bool) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.fault == Garbage:
		return []byte("\x8c\xa1 no answer\r\n")
	case c.fault == Busy:
		return []byte("SERVER_ERROR busy\r\n")
	case !is:
		return []byte("ERROR\r\n")
	}
	_, was := c.holds[o.Key]
	if o.Flush {
		clear(c.holds)
		c.says(logtrace.Cached{What: logtrace.Emptied})
	} else {
		delete(c.holds, o.Key)
		c.says(logtrace.Cached{What: logtrace.Deleted, Key: o.Key})
	}
	if c.fault == Ends {
		return nil
	}
	return o.Answer(was)
}
