package realtime

import (
	"bufio"
	"net"
	"slices"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"dahliapin/internal/config/listeners"
	"dahliapin/internal/emulator/cachestub"
	"dahliapin/internal/emulator/world"
	"dahliapin/internal/wire/meta"
	"dahliapin/policy"
)

// serverConn is a connection to a cache.
type serverConn struct {
	net.Conn
	server   *server
	outgoing chan []byte // queued answers
}

// waitUntilClosed waits until a channel is closed, and reports whether it had to wait.
func waitUntilClosed(responsive chan struct{}) (waited bool) {
	select {
	case <-responsive:
		return false
	default:
		<-responsive
		return true
	}
}

// peerClosed reports whether the peer has closed the connection, so that nothing it has sent needs an answer.
func peerClosed(c net.Conn) (closed bool) {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return true
	}
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err != nil || info.State != tcpEstablished
	})
	return closed
}

func closeWithReset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

// disconnect closes a connection, by a reset if byReset is true. The attempts on it count as cancelled, and their jobs
// are withdrawn from the model. Rig.mu must be locked.
func (c *serverConn) disconnect(byReset bool) {
	r := c.server.rig
	if !c.server.conns[c] {
		return
	}
	delete(c.server.conns, c)
	if w := r.world.Servers[c.server.number]; w.OpenConnections > 0 {
		w.OpenConnections--
	}
	var tags []uint64
	for tag, a := range r.attempts {
		if a.conn == c {
			tags = append(tags, tag)
		}
	}
	slices.Sort(tags)
	for _, tag := range tags {
		r.endAttempt(tag, policy.Cancelled)
		r.world.Withdraw(r.now(), c.server.number, tag)
	}
	close(c.outgoing)
	if byReset {
		closeWithReset(c.Conn)
	} else {
		c.Close()
	}
}

// queueAnswer queues an answer, or disconnects the peer if its queue is full. Rig.mu must be locked.
func (c *serverConn) queueAnswer(b []byte) {
	if !c.server.conns[c] {
		return
	}
	select {
	case c.outgoing <- b:
	default:
		c.disconnect(true)
	}
}

func (c *serverConn) write() {
	for b := range c.outgoing {
		if _, err := c.Write(b); err != nil {
			c.Close() // ends the read loop, which disconnects
		}
	}
}

func (c *serverConn) read() {
	r, in, unparsed := c.server.rig, make([]byte, readBufferSize), []byte(nil)
	src := bufio.NewReaderSize(c, readBufferSize)
	defer func() {
		r.mu.Lock()
		c.disconnect(false)
		r.mu.Unlock()
	}()
	for {
		n, err := src.Read(in)
		if err != nil {
			return
		}
		unparsed = append(unparsed, in[:n]...)
		if len(unparsed) > maxCommandSize {
			return
		}
		for {
			size := 0
			if r.scenario.Fleet.Protocol == listeners.ProtocolHTTP {
				size = c.handleHTTPRequest(unparsed)
			} else if o, n := cachestub.ParseCommand(unparsed); n > 0 {
				r.mu.Lock()
				for r.world.Servers[c.server.number].Frozen(r.now()) && c.server.conns[c] {
					r.mu.Unlock()
					time.Sleep(frozenCheckInterval)
					r.mu.Lock()
				}
				c.handlePurge(o)
				r.mu.Unlock()
				size = n
			} else if command, n, fault := meta.ReadCommand(unparsed); n > 0 || fault != nil {
				r.mu.Lock()
				c.handleCommand(&command, fault)
				r.mu.Unlock()
				size = n
			}
			if size == 0 {
				break
			}
			unparsed = unparsed[size:]
		}
	}
}

// handleCommand handles one command of the meta protocol. Rig.mu must be locked.
func (c *serverConn) handleCommand(command *meta.Command, fault *meta.Fault) {
	r, s, now := c.server.rig, c.server, c.server.rig.now()
	w := r.world.Servers[s.number]
	if w.Liveness == world.Silent || s.fault == "silent" && command.Verb != meta.Unknown {
		if s.fault == "silent" && w.Liveness == world.Up && (command.Verb == meta.Get || command.Verb == meta.Set) {
			r.attemptArrived(now, string(command.ID), w.ID)
		}
		return
	}
	switch {
	case fault != nil:
		r.checker.WrongAnswer(now, string(command.ID),
			"a server received an invalid command: "+strings.TrimSpace(fault.Response))
		c.queueAnswer([]byte(fault.Response))
		return
	case command.Verb == meta.Ready:
		r.log.Second(now).Probes++
		if !w.Frozen(now) {
			c.queueAnswer([]byte("MN\r\n"))
		}
		return
	case command.Verb == meta.Stats:
		c.queueAnswer([]byte("ERROR\r\n"))
		return
	}
	items, _ := meta.Flag(command.Flags, 'P')
	if r.offerAttempt(s, string(command.ID), string(command.Key), items, command.Verb == meta.Set, &attempt{conn: c}) {
		return
	}
	c.queueAnswer([]byte("SERVER_ERROR busy\r\n"))
}

// handlePurge executes a delete or a flush, unless the cache is silent or has a fault that prevents it. Rig.mu must be
// locked.
func (c *serverConn) handlePurge(o cachestub.Command) {
	r, s := c.server.rig, c.server
	w := r.world.Servers[s.number]
	switch {
	case w.Liveness == world.Silent || s.fault == "silent":
	case s.fault == "reset":
		c.disconnect(true)
	case s.fault == "garbage":
		c.queueAnswer([]byte(garbageAnswer))
	case o.Flush:
		r.world.RemoveAll(s.number)
		c.queueAnswer(o.Answer(true))
	default:
		c.queueAnswer(o.Answer(r.world.RemoveKey(s.number, o.Key)))
	}
}
