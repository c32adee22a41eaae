// Package cachestub is a stand-in for a cache server as purges find it: it keeps which version of a value it has under
// each key, and carries out the deletions of the memcache text protocol. It reports what it did, for a checker.
package cachestub

import (
	"bufio"
	"net"
	"sync"
	"time"

	"dahliapin/internal/emulator/logtrace"
	"dahliapin/policy"
)

// maxCommandSize bounds a command, in bytes.
const maxCommandSize = 2048

// Fault is what goes wrong with a cache's connections.
type Fault int

// The faults.
const (
	None              Fault = iota
	Silent                  // it reads nothing and answers nothing, as one that hangs or is cut off
	Refuse                  // connections are closed at once
	Garbage                 // it answers what is no answer, and does nothing
	Busy                    // it answers that it has too much to do, and does nothing
	CloseAfterCommand       // it ends the connection with each command, which it has carried out
)

// Cache is one cache server. Its methods may be called from any goroutine.
type Cache struct {
	name     string
	now      func() policy.Instant
	report   func(logtrace.CacheEvent) // nil for nobody
	listener net.Listener
	serving  sync.WaitGroup

	mu           sync.Mutex
	versions     map[string]uint64 // by key
	fault        Fault
	faultChanged chan struct{} // closed at the next change of the fault
	delay        time.Duration // before each answer
	conns        map[net.Conn]bool
}

// Open starts a cache server on loopback. It reports what it does, by the clock now, to report, which may be nil.
func Open(name string, now func() policy.Instant, report func(logtrace.CacheEvent)) (*Cache, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &Cache{
		name:         name,
		now:          now,
		report:       report,
		listener:     listener,
		versions:     map[string]uint64{},
		faultChanged: make(chan struct{}),
		conns:        map[net.Conn]bool{},
	}
	c.serving.Go(c.accept)
	return c, nil
}

// Name returns the name that it was opened with.
func (c *Cache) Name() string { return c.name }

// Addr returns the address at which it listens.
func (c *Cache) Addr() string { return c.listener.Addr().String() }

// Fill puts a version of a key's value in.
func (c *Cache) Fill(key string, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.versions[key] = version
}

// Serve returns which version a reader gets; false for a miss.
func (c *Cache) Serve(key string) (uint64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	version, found := c.versions[key]
	if found {
		c.did(logtrace.CacheEvent{Kind: logtrace.Served, Key: key, Version: version})
	}
	return version, found
}

// Restart empties it and ends its connections, as a process that starts anew.
func (c *Cache) Restart() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.versions)
	c.did(logtrace.CacheEvent{Kind: logtrace.Emptied})
	c.closeConns()
}

// SetFault sets what goes wrong, and the delay of each answer.
func (c *Cache) SetFault(fault Fault, delay time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fault = fault
	c.delay = delay
	close(c.faultChanged)
	c.faultChanged = make(chan struct{})
	if fault == Refuse {
		c.closeConns()
	}
}

// Close ends it.
func (c *Cache) Close() {
	_ = c.listener.Close()
	c.SetFault(Refuse, 0)
	c.serving.Wait()
}

// closeConns ends all connections; under mu.
func (c *Cache) closeConns() {
	for conn := range c.conns {
		_ = conn.Close()
	}
}

// did reports what it did; under mu.
func (c *Cache) did(record logtrace.CacheEvent) {
	if c.report == nil {
		return
	}
	record.Cache = c.name
	record.At = c.now()
	c.report(record)
}

func (c *Cache) accept() {
	for {
		conn, err := c.listener.Accept()
		if err != nil {
			return
		}
		c.admit(conn)
	}
}

// admit serves a connection, unless connections are refused.
func (c *Cache) admit(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fault == Refuse {
		_ = conn.Close()
		return
	}
	c.conns[conn] = true
	c.serving.Go(func() { c.serve(conn) })
}

func (c *Cache) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		c.mu.Lock()
		delete(c.conns, conn)
		c.mu.Unlock()
	}()
	commands := bufio.NewReaderSize(conn, maxCommandSize)
	for {
		line, err := commands.ReadSlice('\n')
		if err != nil {
			return
		}
		order, size := ParseCommand(line)
		time.Sleep(c.awaitTurn(conn))
		answer := c.carryOut(order, size > 0)
		if len(answer) == 0 {
			return
		}
		if _, err := conn.Write(answer); err != nil {
			return
		}
	}
}

// awaitTurn waits while the cache is silent and the connection is open. It returns the delay of the answer.
func (c *Cache) awaitTurn(conn net.Conn) (delay time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.fault == Silent && c.conns[conn] {
		changed := c.faultChanged
		c.mu.Unlock()
		<-changed
		c.mu.Lock()
	}
	return c.delay
}

// carryOut carries out a command and returns its answer; nothing if the connection ends instead.
func (c *Cache) carryOut(order Command, isOrder bool) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.fault == Garbage:
		return []byte("\x8c\xa1 no answer\r\n")
	case c.fault == Busy:
		return []byte("SERVER_ERROR busy\r\n")
	case !isOrder:
		return []byte("ERROR\r\n")
	}
	_, found := c.versions[order.Key]
	if order.Flush {
		clear(c.versions)
		c.did(logtrace.CacheEvent{Kind: logtrace.Emptied})
	} else {
		delete(c.versions, order.Key)
		c.did(logtrace.CacheEvent{Kind: logtrace.Deleted, Key: order.Key})
	}
	if c.fault == CloseAfterCommand {
		return nil
	}
	return order.Answer(found)
}
