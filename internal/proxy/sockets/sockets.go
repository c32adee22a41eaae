// Package sockets puts nbio under a node: its callbacks only hand bytes and events over, in order, to the one
// loop that takes them. Nothing is lost, and neither side can wait for the other for good: the loop never waits,
// and only the reading of more bytes waits for the loop.
package sockets

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"golang.org/x/sys/unix"
)

const (
	readBufferSize   = 64 << 10               // bytes read at once: most values whole
	maxQueuedBytes   = 1 << 20                // bytes handed over and not taken at which reading waits: a turn of the loop brings few more
	maxSpareArena    = 5 << 18                // bytes an emptied store may keep for the next turn: what it grows to by that
	maxUnsentBytes   = 4 << 20                // bytes a connection may have waiting for a slow reader: a few of the longest values
	acceptRetryPause = 5 * time.Millisecond   // after an accept that failed, so that it does not spin
	ownDescriptors   = 24                     // descriptors not for connections: poller, listener, log, runtime
	minReadAhead     = 16 << 10               // bytes of one connection that may always wait for the loop
	maxReadAhead     = 128 << 10              // and that are enough for any: two readings
	stateEstablished = 1                      // a connection's state in the kernel, by RFC 9293
	dialReserve      = 8                      // descriptors kept from those who come, so that legs can go out
	pollerStartTime  = 100 * time.Millisecond // for the poller to begin, on a machine with little to give
)

// What an Event tells.
type EventKind int

const (
	Opened    EventKind = iota // somebody connected here
	Connected                  // a dialled connection is up
	Refused                    // a dialled connection never comes up
	Data                       // bytes came
	Closed                     // a connection has ended
)

// Event is one thing that happened. Its bytes are valid until the next Take.
type Event struct {
	Kind     EventKind
	Conn     *Conn
	DialID   uint64 // whose dialling it was: Connected and Refused
	Local    bool   // Refused for want of something on this machine: nobody was called
	At       time.Time
	data     []byte
	Lost     int64 // bytes that were written to a closed connection and not taken by the kernel
	Orderly  bool  // the other side has ended it, and all it sent was read
	Handled  bool  // the loop's to set, where it takes events out of their order
	dataAt   int
	dataSize int
}

// Wire is one connection.
type Conn struct {
	Tag             uint64 // what a dialled one was dialled for; else the loop's to set
	Listener        int    // the number of the address that somebody came to
	Dialed          bool   // dialled from here
	engine          *Engine
	conn            *nbio.Conn
	unsent          atomic.Int64
	descriptorFreed atomic.Bool // its descriptor is counted as free
	lostMu          sync.Mutex
	lost            int64        // bytes that the kernel never took; under ending
	readMu          sync.Mutex   // held from reading bytes until they are handed over
	queuedBytes     int64        // bytes handed over
	takenBytes      atomic.Int64 // of them, those that the loop has taken
	stalled         atomic.Bool  // nothing more is read until the loop has taken what was
	readEnded       bool         // nothing more is read
	held            atomic.Bool  // nothing is read for now; no lock, as who reads may wait for the loop that holds
	orderly         atomic.Bool  // the other side has ended it, and all it sent was read; told from a goroutine of nbio's own
}

// Engine is all of a node's connections.
type Engine struct {
	poller          *nbio.Engine
	descriptorLimit atomic.Int64 // descriptors
	openDescriptors atomic.Int64
	unsent          atomic.Int64

	mu                  sync.Mutex
	changed             *sync.Cond // reading waits here for the loop, accepting for a descriptor
	events              []Event
	arena               []byte
	spare               []Event
	spareArena          []byte
	stopped             bool
	acceptPaused        bool // nobody is let in here: another process does
	wake                chan struct{}
	clientWaits         atomic.Bool // somebody stands before the gate
	listeners           []*listener
	readAhead           atomic.Int64 // bytes of one connection that may wait for the loop
	reservedDescriptors int          // descriptors not for connections
	dialing             sync.RWMutex // held for writing to stop
	polled              atomic.Bool  // something was read, so the poller runs
	connsReady          atomic.Int64 // wires that are whole: what the poller is called with was made before, by whom it can't see
}

// ErrNoDescriptor says that the budget of descriptors is spent.
var ErrNoDescriptor = errors.New("all descriptors are in use")

// New listens on all addresses and starts. It holds at most so many descriptors. Listeners that another process has handed over
// are taken out of held as they are, and nobody is let in by any until Accept.
func New(listen []string, descriptors int, held map[string]net.Listener) (*Engine, error) {
	e := &Engine{wake: make(chan struct{}, 1), acceptPaused: len(held) > 0, reservedDescriptors: ownDescriptors + len(listen) - 1}
	e.SetDescriptorLimit(descriptors)
	e.SetReadAhead(maxReadAhead)
	e.changed = sync.NewCond(&e.mu)
	logging.SetLevel(logging.LevelError)
	e.poller = nbio.NewEngine(nbio.Config{
		Network: "tcp", Addrs: listen, NPoller: 1, ReadBufferSize: readBufferSize,
		MaxWriteBufferSize: maxUnsentBytes,
		// by edges: by levels, nbio forgets to wait for room on a connection written to as it comes up
		EpollMod: nbio.EPOLLET,
		Listen: func(network, addr string) (net.Listener, error) {
			plain := net.ListenConfig{KeepAlive: -1}
			plain.SetMultipathTCP(false)
			l, err := held[addr], error(nil)
			if delete(held, addr); l == nil {
				l, err = plain.Listen(context.Background(), network, addr)
			}
			if err != nil {
				return nil, err
			}
			g := &listener{Listener: l, engine: e, parked: make(chan struct{}), closed: make(chan struct{})}
			e.listeners = append(e.listeners, g)
			return g, nil
		},
	})
	e.poller.OnOpen(func(c *nbio.Conn) {
		defer e.connsReady.Add(1)             // nbio adds the connection to the poller only after this
		if w, ok := c.Session().(*Conn); ok { // dialled
			e.enqueue(Event{Kind: Connected, Conn: w, DialID: w.Tag}, nil)
			return
		}
		w := &Conn{engine: e, conn: c, Listener: e.listenerOf(c.LocalAddr())}
		c.SetSession(w)
		e.enqueue(Event{Kind: Opened, Conn: w}, nil)
	})
	e.poller.OnRead(func(c *nbio.Conn) {
		if w := e.connOf(c); w != nil {
			w.readAvailable(e.poller.PollerBuffer(c))
		}
	})
	e.poller.OnWrittenSize(func(c *nbio.Conn, _ []byte, n int) {
		if w := e.connOf(c); w != nil {
			w.unsent.Add(int64(-n))
			e.unsent.Add(int64(-n))
		}
	})
	e.poller.OnClose(func(c *nbio.Conn, _ error) {
		if w := e.connOf(c); w != nil {
			w.freeDescriptor()
			e.enqueue(Event{Kind: Closed, Conn: w, Lost: w.forgetUnsent(), Orderly: w.orderly.Load()}, nil)
		} else {
			e.descriptorFreed()
		}
	})
	if err := e.poller.Start(); err != nil {
		for _, g := range e.listeners { // nbio closes only the gates of those that it had opened
			_ = g.Listener.Close()
		}
		return nil, fmt.Errorf("cannot listen on %s: %w", strings.Join(listen, ", "), err)
	}
	return e, nil
}

// at tells which listener a connection came to. Two with one port have an address each.
func (e *Engine) listenerOf(local net.Addr) int {
	to, _ := local.(*net.TCPAddr)
	for i, g := range e.listeners {
		if a, ok := g.Addr().(*net.TCPAddr); ok && to != nil && a.Port == to.Port && (a.IP.IsUnspecified() || a.IP.Equal(to.IP)) {
			return i
		}
	}
	return 0
}

// wireOf finds a connection's wire. It can't be half made: nbio adds a connection to the poller's after OnOpen has
// returned. That order goes through the kernel, though, where neither the memory model nor the race detector sees it;
// the counter, written after each wire and read before each use, makes it visible to both.
func (e *Engine) connOf(c *nbio.Conn) *Conn {
	e.connsReady.Load()
	w, _ := c.Session().(*Conn)
	return w
}

// Addr is where it listens, by the number of the address.
func (e *Engine) Addr(n int) net.Addr { return e.listeners[n].Addr() }

// Wake tells that there may be events to take.
func (e *Engine) Wake() <-chan struct{} { return e.wake }

// hand puts an event into the queue. Only bytes wait for room, and only the poller brings them.
func (e *Engine) enqueue(ev Event, data []byte) {
	ev.At = time.Now()
	e.mu.Lock()
	for len(data) > 0 && len(e.arena) > 0 && len(e.arena)+len(data) > maxQueuedBytes && !e.stopped {
		e.changed.Wait()
	}
	ev.dataAt, ev.dataSize = len(e.arena), len(data)
	e.arena = append(e.arena, data...)
	e.events = append(e.events, ev)
	e.mu.Unlock()
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// Take returns what has happened since the last call, in order.
func (e *Engine) Take() []Event {
	e.mu.Lock()
	events, arena := e.events, e.arena
	if cap(e.spareArena) > maxSpareArena {
		e.spareArena = nil
	}
	e.events, e.arena = e.spare[:0], e.spareArena[:0]
	e.spare, e.spareArena = events, arena
	e.changed.Broadcast()
	e.mu.Unlock()
	for i := range events {
		if ev := &events[i]; ev.dataSize > 0 {
			ev.data = arena[ev.dataAt : ev.dataAt+ev.dataSize]
		}
	}
	return events
}

// Bytes counts what an event brought as taken, and returns it.
func (ev *Event) Bytes() []byte {
	w := ev.Conn
	w.takenBytes.Add(int64(len(ev.data)))
	if w.stalled.CompareAndSwap(true, false) {
		w.resumeReading()
	}
	return ev.data
}

// Limit says how many descriptors it may hold from now on.
func (e *Engine) SetDescriptorLimit(descriptors int) {
	e.descriptorLimit.Store(int64(max(16, descriptors-e.reservedDescriptors)))
}

// Over tells whether it holds more than that: its limit was lowered.
func (e *Engine) OverLimit() bool {
	return e.openDescriptors.Load() > e.descriptorLimit.Load()-dialReserve
}

// Accept lets people in from now on, or leaves them to another process that holds the same listeners.
func (e *Engine) Accept(in bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.acceptPaused = !in
	until := time.Time{}
	if !in {
		until = time.Unix(1, 0) // calls an acceptor back that waits in the kernel
	}
	for _, g := range e.listeners {
		if l, can := g.Listener.(interface{ SetDeadline(time.Time) error }); can {
			_ = l.SetDeadline(until)
		}
	}
	e.changed.Broadcast()
}

// Listeners are those that people are let in by, for another process.
func (e *Engine) Listeners() (all []net.Listener) {
	for _, g := range e.listeners {
		all = append(all, g.Listener)
	}
	return all
}

// Most is how many connections there may be before those who come have to wait.
func (e *Engine) MaxClients() int { return int(e.descriptorLimit.Load() - dialReserve) }

// Unsent counts the bytes that wait for slow readers.
func (e *Engine) Unsent() int64 { return e.unsent.Load() }

// Dial starts a connection; Connected or Refused follows. The connecting itself is the standard library's: nbio's
// own reads the first four bytes of a sixteen-byte address, and so calls 0.0.0.0 whatever it is given.
func (e *Engine) Dial(addr string, within time.Duration, dial uint64) error {
	if e.openDescriptors.Add(1) > e.descriptorLimit.Load() {
		e.openDescriptors.Add(-1)
		return ErrNoDescriptor
	}
	go func() {
		d := net.Dialer{Timeout: within, KeepAlive: -1}
		d.SetMultipathTCP(false)
		conn, err := d.Dial("tcp", addr)
		var c *nbio.Conn
		if err == nil {
			if c, err = nbio.NBConn(conn); err != nil {
				_ = conn.Close()
			}
		}
		if err != nil {
			e.descriptorFreed()
			e.enqueue(Event{Kind: Refused, DialID: dial, Local: isLocal(err)}, nil)
			return
		}
		e.dialing.RLock()
		defer e.dialing.RUnlock()
		if e.stopped {
			_ = c.Close()
			return
		}
		c.SetSession(&Conn{engine: e, conn: c, Dialed: true, Tag: dial})
		_, _ = e.poller.AddConn(c) // one that can't be added is closed, and that is told
	}()
	return nil
}

// localErrors are what connecting fails with for want of something on this machine, mostly for a moment.
var localErrors = []error{unix.EADDRNOTAVAIL, unix.ENOBUFS, unix.ENOMEM, unix.EMFILE, unix.ENFILE, unix.EAGAIN}

func isLocal(err error) bool {
	return slices.ContainsFunc(localErrors, func(local error) bool { return errors.Is(err, local) })
}

// Stop closes everything. Nobody is let in or called any more before nbio stops: it counts its connections with a
// wait group, which one that came up meanwhile would upset.
func (e *Engine) Stop() {
	e.dialing.Lock()
	e.mu.Lock()
	e.stopped = true
	e.changed.Broadcast()
	e.mu.Unlock()
	e.dialing.Unlock()
	for _, g := range e.listeners {
		_ = g.Listener.Close()
		<-g.parked
	}
	if !e.polled.Load() { // nbio 1.6.8 forgets a stop that comes before its poller has begun, and waits for it without end
		time.Sleep(pollerStartTime)
	}
	e.poller.Stop()
}

// read hands over all there is to read, which by edges it must.
func (w *Conn) readAvailable(buf []byte) {
	w.engine.polled.Store(true)
	w.readMu.Lock()
	defer w.readMu.Unlock()
	for !w.readEnded {
		if (w.held.Load() || w.isAhead()) && !w.peerClosed() {
			return
		}
		_, n, err := w.conn.ReadAndGetConn(&buf)
		switch {
		case errors.Is(err, syscall.EINTR):
		case errors.Is(err, syscall.EAGAIN):
			return
		case err != nil || n == 0:
			w.readEnded = true
			w.orderly.Store(err == nil)
			_ = w.conn.CloseWithError(err)
		default:
			w.queuedBytes += int64(n)
			w.engine.enqueue(Event{Kind: Data, Conn: w}, buf[:n])
		}
	}
}

// ahead tells whether so much of one connection waits for the loop that it is read no further until then. Guards against a long
// value that comes faster than it is passed on, of which all that the kernel has would be here before its server can be held.
func (w *Conn) isAhead() bool {
	much := func() bool { return w.queuedBytes-w.takenBytes.Load() >= w.engine.readAhead.Load() }
	if !much() {
		return false
	}
	w.stalled.Store(true)
	return much() || !w.stalled.CompareAndSwap(true, false) // the loop may have taken it since, and not seen that it is waited for
}

// Ahead says how many bytes of one connection may wait for the loop.
func (e *Engine) SetReadAhead(bytes int64) {
	e.readAhead.Store(min(max(bytes, minReadAhead), maxReadAhead))
}

// over tells whether the other side has ended a connection that is not read. nbio closes it then, and what is still in the
// kernel would be lost if it were not taken now.
func (w *Conn) peerClosed() (is bool) {
	raw, err := w.conn.SyscallConn()
	if err != nil {
		return true
	}
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		is = err != nil || info.State != stateEstablished
	})
	return is
}

// Hold has nothing more read until Resume, so that who sends has to wait. Bytes on their way to the loop still come.
func (w *Conn) Hold() { w.held.Store(true) }

// Resume goes on reading. By edges, the poller tells of nothing that came meanwhile, so it is looked for.
func (w *Conn) Resume() {
	w.held.Store(false)
	w.resumeReading()
}

// readOn reads what the poller tells of no more.
func (w *Conn) resumeReading() {
	go func() {
		buf := buffers.Get().(*[]byte)
		w.readAvailable(*buf)
		buffers.Put(buf)
	}()
}

var buffers = sync.Pool{New: func() any {
	b := make([]byte, readBufferSize)
	return &b
}}

// allTaken tells, under the lock, whether the connection is open and the loop has taken all that was read from it.
func (w *Conn) allTaken() (syscall.RawConn, bool) {
	raw, err := w.conn.SyscallConn()
	return raw, err == nil && !w.readEnded && w.queuedBytes == w.takenBytes.Load()
}

// Quiet tells whether nothing has come on the connection that the loop has not taken, and no end of it. Where that can't
// be told without waiting for who may wait for the loop, it is not sure.
func (w *Conn) Idle() (quiet, sure bool) {
	if !w.readMu.TryLock() {
		return false, false
	}
	defer w.readMu.Unlock()
	raw, all := w.allTaken()
	if !all {
		return false, true
	}
	var ahead [1]byte
	var err error
	_ = raw.Control(func(fd uintptr) {
		_, _, err = unix.Recvfrom(int(fd), ahead[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return errors.Is(err, unix.EAGAIN), true
}

// Unread tells whether there are bytes of the connection, or its end, that have not been handed over yet.
func (w *Conn) HasUnread() (is bool) {
	if !w.readMu.TryLock() { // they are being handed over
		return true
	}
	defer w.readMu.Unlock()
	raw, err := w.conn.SyscallConn()
	if err != nil || w.descriptorFreed.Load() {
		return false
	}
	_ = raw.Control(func(fd uintptr) {
		var ahead [1]byte
		_, _, err := unix.Recvfrom(int(fd), ahead[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		is = err == nil
	})
	return is
}

// Left tells whether the other side has ended the connection, by whatever means, though the loop may not have heard of it: the end
// stands behind all that came before it, here or in the kernel. An end of sending is an end: who sends it can't be told from who has gone.
func (w *Conn) PeerClosed() (is bool) {
	if w.readMu.TryLock() { // else bytes are being handed over, so it is open, and the kernel knows
		shut := w.readEnded
		w.readMu.Unlock()
		if shut {
			return true
		}
	}
	raw, err := w.conn.SyscallConn()
	if err != nil || w.descriptorFreed.Load() {
		return true
	}
	_ = raw.Control(func(fd uintptr) {
		var ahead [1]byte
		switch n, _, err := unix.Recvfrom(int(fd), ahead[:], unix.MSG_PEEK|unix.MSG_DONTWAIT); {
		case err != nil:
			is = !errors.Is(err, unix.EAGAIN) && !errors.Is(err, unix.EINTR)
		case n == 0:
			is = true
		default: // its end may stand behind what can be read
			info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
			is = err == nil && info.State != stateEstablished
		}
	})
	return is
}

// CloseIfQuiet closes the connection by a reset, unless bytes have been read from it that the loop has not taken, or
// what was written has not arrived. A reset tells the other side that whatever it has just sent was not read: after
// an orderly end it could not tell that from a request that was taken and never answered.
func (w *Conn) CloseIfIdle() bool {
	if !w.readMu.TryLock() { // bytes are being handed over, and may wait for the very loop that asks
		return false
	}
	defer w.readMu.Unlock()
	raw, all := w.allTaken()
	if !all {
		return false
	}
	waiting := 0
	var err error
	_ = raw.Control(func(fd uintptr) { waiting, err = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ) })
	if err == nil && waiting > 0 {
		return false
	}
	w.readEnded = true
	_ = w.conn.SetLinger(1, 0)
	w.Close()
	return true
}

// Write hands bytes on; what the kernel does not take at once follows later. An error says that the last byte
// was not handed to it and never will be.
func (w *Conn) Write(b []byte) error {
	w.unsent.Add(int64(len(b)))
	w.engine.unsent.Add(int64(len(b)))
	_, err := w.conn.Write(b)
	if err != nil {
		w.forgetUnsent()
	}
	return err
}

// forget takes what was never sent out of the count of the whole, once, and returns how much that was. Both the loop and, a moment
// later or sooner, a goroutine of nbio's own ask; what never went must be the same to both.
func (w *Conn) forgetUnsent() int64 {
	w.lostMu.Lock()
	defer w.lostMu.Unlock()
	lost := w.unsent.Swap(0)
	w.engine.unsent.Add(-lost)
	w.lost += lost
	return w.lost
}

func (w *Conn) freeDescriptor() {
	if w.descriptorFreed.CompareAndSwap(false, true) {
		w.engine.descriptorFreed()
	}
}

func (e *Engine) descriptorFreed() {
	e.openDescriptors.Add(-1)
	e.mu.Lock()
	e.changed.Broadcast()
	e.mu.Unlock()
}

// Unsent counts the bytes that the kernel has not taken yet.
func (w *Conn) Unsent() int64 { return w.unsent.Load() }

// Close ends the connection; Closed follows. It returns how many bytes the kernel is sure never to take.
func (w *Conn) Close() (lost int64) {
	_ = w.conn.Close()
	w.freeDescriptor()
	return w.forgetUnsent()
}

// gate holds back accepting while no descriptor is free. Who waits stands in the kernel's queue meanwhile.
type listener struct {
	net.Listener
	engine *Engine
	parked chan struct{} // closed once the acceptor does nothing any more
	closed chan struct{} // closed by nbio, which then asks no more
	ended  bool
}

func (g *listener) Accept() (net.Conn, error) {
	for !g.ended {
		g.engine.waitUntilAccepting()
		conn, err := g.accept()
		if err == nil {
			return conn, nil
		}
		if g.ended = errors.Is(err, net.ErrClosed); !g.ended && !errors.Is(err, os.ErrDeadlineExceeded) {
			time.Sleep(acceptRetryPause)
		}
	}
	select {
	case <-g.parked:
	default:
		close(g.parked)
	}
	<-g.closed // else nbio would ask without end
	return nil, net.ErrClosed
}

// accept lets one in. The connection is made nbio's here: that needs another descriptor for a moment, and where there is none nbio would close the
// connection without a word, which would stay counted for good.
func (g *listener) accept() (net.Conn, error) {
	plain, err := g.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn, err := nbio.NBConn(plain)
	if err != nil {
		_ = plain.Close()
		return nil, err
	}
	g.engine.openDescriptors.Add(1)
	g.engine.waitForDescriptor()
	return conn, nil
}

func (g *listener) Close() error {
	close(g.closed)
	return nil
}

// waitForTurn holds the acceptor while another process lets people in.
func (e *Engine) waitUntilAccepting() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for e.acceptPaused && !e.stopped {
		e.changed.Wait()
	}
}

// waitForRoom holds the acceptor while the budget is spent, and wakes the loop to make room.
func (e *Engine) waitForDescriptor() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for e.openDescriptors.Load() > e.descriptorLimit.Load()-dialReserve && !e.stopped {
		e.clientWaits.Store(true)
		select {
		case e.wake <- struct{}{}:
		default:
		}
		e.changed.Wait()
	}
	e.clientWaits.Store(false)
}

// Crowded tells whether somebody waits for a descriptor, and still must.
func (e *Engine) ClientsWait() bool {
	return e.clientWaits.Load() && e.openDescriptors.Load() > e.descriptorLimit.Load()-dialReserve
}
