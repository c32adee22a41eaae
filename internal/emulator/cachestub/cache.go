// Package cachestub is a test double of a cache server as seen by purges: it stores a version per key and executes the
// delete and flush commands of the memcache protocols. It reports each change for a checker.
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

// Fault is a failure mode of a cache's connections.
type Fault int

// The faults.
const (
	None              Fault = iota
	Silent                  // commands are neither executed nor answered, as with a hung or partitioned process
	Refuse                  // all connections are closed, new ones immediately after they are accepted
	Garbage                 // every command is answered with invalid bytes and not executed
	Busy                    // every command is answered with SERVER_ERROR and not executed
	CloseAfterCommand       // every command is executed, then the connection is closed without an answer
)

// Cache is one cache server. Its methods may be called from any goroutine.
type Cache struct {
	name     string
	now      func() policy.Instant
	report   func(logtrace.CacheEvent) // may be nil
	listener net.Listener
	serving  sync.WaitGroup

	mu           sync.Mutex
	versions     map[string]uint64 // by key
	fault        Fault
	faultChanged chan struct{} // closed at the next change of the fault
	delay        time.Duration // before each answer
	conns        map[net.Conn]bool
}

// Open starts a cache server on loopback. It passes each change and each read to report, which may be nil, with the
// time returned by now.
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

// Name returns the name that was passed to Open.
func (c *Cache) Name() string { return c.name }

// Addr returns the listen address.
func (c *Cache) Addr() string { return c.listener.Addr().String() }

// Fill stores a version of a key.
func (c *Cache) Fill(key string, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.versions[key] = version
}

// Serve returns the version that a read of the key gets, or false for a miss.
func (c *Cache) Serve(key string) (uint64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	version, found := c.versions[key]
	if found {
		c.reportEvent(logtrace.CacheEvent{Kind: logtrace.Served, Key: key, Version: version})
	}
	return version, found
}

// Restart removes all values and closes all connections, like a restart of the process.
func (c *Cache) Restart() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.versions)
	c.reportEvent(logtrace.CacheEvent{Kind: logtrace.Emptied})
	c.closeConns()
}

// SetFault sets the failure mode and the delay before each answer.
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

// Close stops the server and waits for its goroutines.
func (c *Cache) Close() {
	_ = c.listener.Close()
	c.SetFault(Refuse, 0)
	c.serving.Wait()
}

// closeConns closes all connections. The caller holds mu.
func (c *Cache) closeConns() {
	for conn := range c.conns {
		_ = conn.Close()
	}
}

// reportEvent completes an event and passes it to the report function. The caller holds mu.
func (c *Cache) reportEvent(event logtrace.CacheEvent) {
	if c.report == nil {
		return
	}
	event.Cache = c.name
	event.At = c.now()
	c.report(event)
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

// admit starts serving a connection, or closes it if connections are refused.
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
		command, size := ParseCommand(line)
		time.Sleep(c.awaitAnswering(conn))
		answer := c.execute(command, size > 0)
		if len(answer) == 0 {
			return
		}
		if _, err := conn.Write(answer); err != nil {
			return
		}
	}
}

// awaitAnswering blocks while the cache is silent and the connection is open. It returns the delay before the answer.
func (c *Cache) awaitAnswering(conn net.Conn) (delay time.Duration) {
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

// execute executes a command and returns its answer, or nil if the connection must be closed without an answer.
func (c *Cache) execute(command Command, isCommand bool) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.fault == Garbage:
		return []byte("\x8c\xa1 no answer\r\n")
	case c.fault == Busy:
		return []byte("SERVER_ERROR busy\r\n")
	case !isCommand:
		return []byte("ERROR\r\n")
	}
	_, found := c.versions[command.Key]
	if command.Flush {
		clear(c.versions)
		c.reportEvent(logtrace.CacheEvent{Kind: logtrace.Emptied})
	} else {
		delete(c.versions, command.Key)
		c.reportEvent(logtrace.CacheEvent{Kind: logtrace.Deleted, Key: command.Key})
	}
	if c.fault == CloseAfterCommand {
		return nil
	}
	return command.Answer(found)
}
