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
	readAtOnce  = 64 << 10               // bytes read at once: most values whole
	mostHanded  = 1 << 20                // bytes handed over and not taken at which reading waits: a turn of the loop brings few more
	keepArena   = 5 << 18                // bytes an emptied store may keep for the next turn: what it grows to by that
	mostUnsent  = 4 << 20                // bytes a connection may have waiting for a slow reader: a few of the longest values
	acceptPause = 5 * time.Millisecond   // after an accept that failed, so that it does not spin
	ownFiles    = 24                     // descriptors not for connections: poller, listener, log, runtime
	fewestAhead = 16 << 10               // bytes of one connection that may always wait for the loop
	mostAhead   = 128 << 10              // and that are enough for any: two readings
	established = 1                      // a connection's state in the kernel, by RFC 9293
	forDials    = 8                      // descriptors kept from those who come, so that legs can go out
	beginsBy    = 100 * time.Millisecond // for the poller to begin, on a machine with little to give
)

// What an Event tells.
type What int

const (
	Opened    What = iota // somebody connected here
	Connected             // a dialled connection is up
	Refused               // a dialled connection never comes up
	Data                  // bytes came
	Closed                // a connection has ended
)

// Event is one thing that happened. Its bytes are valid until the next Take.
type Event struct {
	What    What
	Wire    *Wire
	Dial    uint64 // whose dialling it was: Connected and Refused
	Local   bool   // Refused for want of something on this machine: nobody was called
	At      time.Time
	bytes   []byte
	Lost    int64 // bytes that were written to a closed connection and not taken by the kernel
	Orderly bool  // the other side has ended it, and all it sent was read
	Handled bool  // the loop's to set, where it takes events out of their order
	from    int
	long    int
}

// Wire is one connection.
type Wire struct {
	Tag     uint64 // what a dialled one was dialled for; else the loop's to set
	At      int    // the number of the address that somebody came to
	Out     bool   // dialled from here
	e       *Engine
	conn    *nbio.Conn
	unsent  atomic.Int64
	gone    atomic.Bool // its descriptor is counted as free
	ending  sync.Mutex
	lost    int64        // bytes that the kernel never took; under ending
	mu      sync.Mutex   // held from reading bytes until they are handed over
	handed  int64        // bytes handed over
	taken   atomic.Int64 // of them, those that the loop has taken
	stalled atomic.Bool  // nothing more is read until the loop has taken what was
	shut    bool         // nothing more is read
	held    atomic.Bool  // nothing is read for now; no lock, as who reads may wait for the loop that holds
	orderly atomic.Bool  // the other side has ended it, and all it sent was read; told from a goroutine of nbio's own
}

// Engine is all of a node's connections.
type Engine struct {
	nb     *nbio.Engine
	most   atomic.Int64 // descriptors
	open   atomic.Int64
	unsent atomic.Int64

	mu      sync.Mutex
	room    *sync.Cond // reading waits here for the loop, accepting for a descriptor
	events  []Event
	arena   []byte
	spare   []Event
	spareA  []byte
	stopped bool
	aside   bool // nobody is let in here: another process does
	wake    chan struct{}
	waiting atomic.Bool // somebody stands before the gate
	gates   []*gate
	aheadOf atomic.Int64 // bytes of one connection that may wait for the loop
	own     int          // descriptors not for connections
	dialing sync.RWMutex // held for writing to stop
	polled  atomic.Bool  // something was read, so the poller runs
	made    atomic.Int64 // wires that are whole: what the poller is called with was made before, by whom it can't see
}

// ErrNoDescriptor says that the budget of descriptors is spent.
var ErrNoDescriptor = errors.New("all descriptors are in use")

// New listens on all addresses and starts. It holds at most so many descriptors. Listeners that another process has handed over
// are taken out of held as they are, and nobody is let in by any until Accept.
func New(listen []string, descriptors int, held map[string]net.Listener) (*Engine, error) {
	e := &Engine{wake: make(chan struct{}, 1), aside: len(held) > 0, own: ownFiles + len(listen) - 1}
	e.Limit(descriptors)
	e.Ahead(mostAhead)
	e.room = sync.NewCond(&e.mu)
	logging.SetLevel(logging.LevelError)
	e.nb = nbio.NewEngine(nbio.Config{
		Network: "tcp", Addrs: listen, NPoller: 1, ReadBufferSize: readAtOnce,
		MaxWriteBufferSize: mostUnsent,
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
			g := &gate{Listener: l, e: e, parked: make(chan struct{}), closed: make(chan struct{})}
			e.gates = append(e.gates, g)
			return g, nil
		},
	})
	e.nb.OnOpen(func(c *nbio.Conn) {
		defer e.made.Add(1)                   // nbio adds the connection to the poller only after this
		if w, ok := c.Session().(*Wire); ok { // dialled
			e.hand(Event{What: Connected, Wire: w, Dial: w.Tag}, nil)
			return
		}
		w := &Wire{e: e, conn: c, At: e.at(c.LocalAddr())}
		c.SetSession(w)
		e.hand(Event{What: Opened, Wire: w}, nil)
	})
	e.nb.OnRead(func(c *nbio.Conn) {
		if w := e.wireOf(c); w != nil {
			w.read(e.nb.PollerBuffer(c))
		}
	})
	e.nb.OnWrittenSize(func(c *nbio.Conn, _ []byte, n int) {
		if w := e.wireOf(c); w != nil {
			w.unsent.Add(int64(-n))
			e.unsent.Add(int64(-n))
		}
	})
	e.nb.OnClose(func(c *nbio.Conn, _ error) {
		if w := e.wireOf(c); w != nil {
			w.free()
			e.hand(Event{What: Closed, Wire: w, Lost: w.forget(), Orderly: w.orderly.Load()}, nil)
		} else {
			e.freed()
		}
	})
	if err := e.nb.Start(); err != nil {
		for _, g := range e.gates { // nbio closes only the gates of those that it had opened
			_ = g.Listener.Close()
		}
		return nil, fmt.Errorf("cannot listen on %s: %w", strings.Join(listen, ", "), err)
	}
	return e, nil
}

// at tells which listener a connection came to. Two with one port have an address each.
func (e *Engine) at(local net.Addr) int {
	to, _ := local.(*net.TCPAddr)
	for i, g := range e.gates {
		if a, ok := g.Addr().(*net.TCPAddr); ok && to != nil && a.Port == to.Port && (a.IP.IsUnspecified() || a.IP.Equal(to.IP)) {
			return i
		}
	}
	return 0
}

// wireOf finds a connection's wire. It can't be half made: nbio adds a connection to the poller's after OnOpen has
// returned. That order goes through the kernel, though, where neither the memory model nor the race detector sees it;
// the counter, written after each wire and read before each use, makes it visible to both.
func (e *Engine) wireOf(c *nbio.Conn) *Wire {
	e.made.Load()
	w, _ := c.Session().(*Wire)
	return w
}

// Addr is where it listens, by the number of the address.
func (e *Engine) Addr(n int) net.Addr { return e.gates[n].Addr() }

// Wake tells that there may be events to take.
func (e *Engine) Wake() <-chan struct{} { return e.wake }

// hand puts an event into the queue. Only bytes wait for room, and only the poller brings them.
func (e *Engine) hand(ev Event, data []byte) {
	ev.At = time.Now()
	e.mu.Lock()
	for len(data) > 0 && len(e.arena) > 0 && len(e.arena)+len(data) > mostHanded && !e.stopped {
		e.room.Wait()
	}
	ev.from, ev.long = len(e.arena), len(data)
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
	if cap(e.spareA) > keepArena {
		e.spareA = nil
	}
	e.events, e.arena = e.spare[:0], e.spareA[:0]
	e.spare, e.spareA = events, arena
	e.room.Broadcast()
	e.mu.Unlock()
	for i := range events {
		if ev := &events[i]; ev.long > 0 {
			ev.bytes = arena[ev.from : ev.from+ev.long]
		}
	}
	return events
}

// Bytes counts what an event brought as taken, and returns it.
func (ev *Event) Bytes() []byte {
	w := ev.Wire
	w.taken.Add(int64(len(ev.bytes)))
	if w.stalled.CompareAndSwap(true, false) {
		w.readOn()
	}
	return ev.bytes
}

// Limit says how many descriptors it may hold from now on.
func (e *Engine) Limit(descriptors int) {
	e.most.Store(int64(max(16, descriptors-e.own)))
}

// Over tells whether it holds more than that: its limit was lowered.
func (e *Engine) Over() bool { return e.open.Load() > e.most.Load()-forDials }

// Accept lets people in from now on, or leaves them to another process that holds the same listeners.
func (e *Engine) Accept(in bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.aside = !in
	until := time.Time{}
	if !in {
		until = time.Unix(1, 0) // calls an acceptor back that waits in the kernel
	}
	for _, g := range e.gates {
		if l, can := g.Listener.(interface{ SetDeadline(time.Time) error }); can {
			_ = l.SetDeadline(until)
		}
	}
	e.room.Broadcast()
}

// Listeners are those that people are let in by, for another process.
func (e *Engine) Listeners() (all []net.Listener) {
	for _, g := range e.gates {
		all = append(all, g.Listener)
	}
	return all
}

// Most is how many connections there may be before those who come have to wait.
func (e *Engine) Most() int { return int(e.most.Load() - forDials) }

// Unsent counts the bytes that wait for slow readers.
func (e *Engine) Unsent() int64 { return e.unsent.Load() }

// Dial starts a connection; Connected or Refused follows. The connecting itself is the standard library's: nbio's
// own reads the first four bytes of a sixteen-byte address, and so calls 0.0.0.0 whatever it is given.
func (e *Engine) Dial(addr string, within time.Duration, dial uint64) error {
	if e.open.Add(1) > e.most.Load() {
		e.open.Add(-1)
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
			e.freed()
			e.hand(Event{What: Refused, Dial: dial, Local: isLocal(err)}, nil)
			return
		}
		e.dialing.RLock()
		defer e.dialing.RUnlock()
		if e.stopped {
			_ = c.Close()
			return
		}
		c.SetSession(&Wire{e: e, conn: c, Out: true, Tag: dial})
		_, _ = e.nb.AddConn(c) // one that can't be added is closed, and that is told
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
	e.room.Broadcast()
	e.mu.Unlock()
	e.dialing.Unlock()
	for _, g := range e.gates {
		_ = g.Listener.Close()
		<-g.parked
	}
	if !e.polled.Load() { // nbio 1.6.8 forgets a stop that comes before its poller has begun, and waits for it without end
		time.Sleep(beginsBy)
	}
	e.nb.Stop()
}

// read hands over all there is to read, which by edges it must.
func (w *Wire) read(buf []byte) {
	w.e.polled.Store(true)
	w.mu.Lock()
	defer w.mu.Unlock()
	for !w.shut {
		if (w.held.Load() || w.ahead()) && !w.over() {
			return
		}
		_, n, err := w.conn.ReadAndGetConn(&buf)
		switch {
		case errors.Is(err, syscall.EINTR):
		case errors.Is(err, syscall.EAGAIN):
			return
		case err != nil || n == 0:
			w.shut = true
			w.orderly.Store(err == nil)
			_ = w.conn.CloseWithError(err)
		default:
			w.handed += int64(n)
			w.e.hand(Event{What: Data, Wire: w}, buf[:n])
		}
	}
}

// ahead tells whether so much of one connection waits for the loop that it is read no further until then. Guards against a long
// value that comes faster than it is passed on, of which all that the kernel has would be here before its server can be held.
func (w *Wire) ahead() bool {
	much := func() bool { return w.handed-w.taken.Load() >= w.e.aheadOf.Load() }
	if !much() {
		return false
	}
	w.stalled.Store(true)
	return much() || !w.stalled.CompareAndSwap(true, false) // the loop may have taken it since, and not seen that it is waited for
}

// Ahead says how many bytes of one connection may wait for the loop.
func (e *Engine) Ahead(bytes int64) { e.aheadOf.Store(min(max(bytes, fewestAhead), mostAhead)) }

// over tells whether the other side has ended a connection that is not read. nbio closes it then, and what is still in the
// kernel would be lost if it were not taken now.
func (w *Wire) over() (is bool) {
	raw, err := w.conn.SyscallConn()
	if err != nil {
		return true
	}
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		is = err != nil || info.State != established
	})
	return is
}

// Hold has nothing more read until Resume, so that who sends has to wait. Bytes on their way to the loop still come.
func (w *Wire) Hold() { w.held.Store(true) }

// Resume goes on reading. By edges, the poller tells of nothing that came meanwhile, so it is looked for.
func (w *Wire) Resume() {
	w.held.Store(false)
	w.readOn()
}

// readOn reads what the poller tells of no more.
func (w *Wire) readOn() {
	go func() {
		buf := buffers.Get().(*[]byte)
		w.read(*buf)
		buffers.Put(buf)
	}()
}

var buffers = sync.Pool{New: func() any {
	b := make([]byte, readAtOnce)
	return &b
}}

// allTaken tells, under the lock, whether the connection is open and the loop has taken all that was read from it.
func (w *Wire) allTaken() (syscall.RawConn, bool) {
	raw, err := w.conn.SyscallConn()
	return raw, err == nil && !w.shut && w.handed == w.taken.Load()
}

// Quiet tells whether nothing has come on the connection that the loop has not taken, and no end of it. Where that can't
// be told without waiting for who may wait for the loop, it is not sure.
func (w *Wire) Quiet() (quiet, sure bool) {
	if !w.mu.TryLock() {
		return false, false
	}
	defer w.mu.Unlock()
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
func (w *Wire) Unread() (is bool) {
	if !w.mu.TryLock() { // they are being handed over
		return true
	}
	defer w.mu.Unlock()
	raw, err := w.conn.SyscallConn()
	if err != nil || w.gone.Load() {
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
func (w *Wire) Left() (is bool) {
	if w.mu.TryLock() { // else bytes are being handed over, so it is open, and the kernel knows
		shut := w.shut
		w.mu.Unlock()
		if shut {
			return true
		}
	}
	raw, err := w.conn.SyscallConn()
	if err != nil || w.gone.Load() {
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
			is = err == nil && info.State != established
		}
	})
	return is
}

// CloseIfQuiet closes the connection by a reset, unless bytes have been read from it that the loop has not taken, or
// what was written has not arrived. A reset tells the other side that whatever it has just sent was not read: after
// an orderly end it could not tell that from a request that was taken and never answered.
func (w *Wire) CloseIfQuiet() bool {
	if !w.mu.TryLock() { // bytes are being handed over, and may wait for the very loop that asks
		return false
	}
	defer w.mu.Unlock()
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
	w.shut = true
	_ = w.conn.SetLinger(1, 0)
	w.Close()
	return true
}

// Write hands bytes on; what the kernel does not take at once follows later. An error says that the last byte
// was not handed to it and never will be.
func (w *Wire) Write(b []byte) error {
	w.unsent.Add(int64(len(b)))
	w.e.unsent.Add(int64(len(b)))
	_, err := w.conn.Write(b)
	if err != nil {
		w.forget()
	}
	return err
}

// forget takes what was never sent out of the count of the whole, once, and returns how much that was. Both the loop and, a moment
// later or sooner, a goroutine of nbio's own ask; what never went must be the same to both.
func (w *Wire) forget() int64 {
	w.ending.Lock()
	defer w.ending.Unlock()
	lost := w.unsent.Swap(0)
	w.e.unsent.Add(-lost)
	w.lost += lost
	return w.lost
}

func (w *Wire) free() {
	if w.gone.CompareAndSwap(false, true) {
		w.e.freed()
	}
}

func (e *Engine) freed() {
	e.open.Add(-1)
	e.mu.Lock()
	e.room.Broadcast()
	e.mu.Unlock()
}

// Unsent counts the bytes that the kernel has not taken yet.
func (w *Wire) Unsent() int64 { return w.unsent.Load() }

// Close ends the connection; Closed follows. It returns how many bytes the kernel is sure never to take.
func (w *Wire) Close() (lost int64) {
	_ = w.conn.Close()
	w.free()
	return w.forget()
}

// gate holds back accepting while no descriptor is free. Who waits stands in the kernel's queue meanwhile.
type gate struct {
	net.Listener
	e      *Engine
	parked chan struct{} // closed once the acceptor does nothing any more
	closed chan struct{} // closed by nbio, which then asks no more
	ended  bool
}

func (g *gate) Accept() (net.Conn, error) {
	for !g.ended {
		g.e.waitForTurn()
		conn, err := g.accept()
		if err == nil {
			return conn, nil
		}
		if g.ended = errors.Is(err, net.ErrClosed); !g.ended && !errors.Is(err, os.ErrDeadlineExceeded) {
			time.Sleep(acceptPause)
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
func (g *gate) accept() (net.Conn, error) {
	plain, err := g.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn, err := nbio.NBConn(plain)
	if err != nil {
		_ = plain.Close()
		return nil, err
	}
	g.e.open.Add(1)
	g.e.waitForRoom()
	return conn, nil
}

func (g *gate) Close() error {
	close(g.closed)
	return nil
}

// waitForTurn holds the acceptor while another process lets people in.
func (e *Engine) waitForTurn() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for e.aside && !e.stopped {
		e.room.Wait()
	}
}

// waitForRoom holds the acceptor while the budget is spent, and wakes the loop to make room.
func (e *Engine) waitForRoom() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for e.open.Load() > e.most.Load()-forDials && !e.stopped {
		e.waiting.Store(true)
		select {
		case e.wake <- struct{}{}:
		default:
		}
		e.room.Wait()
	}
	e.waiting.Store(false)
}

// Crowded tells whether somebody waits for a descriptor, and still must.
func (e *Engine) Crowded() bool { return e.waiting.Load() && e.open.Load() > e.most.Load()-forDials }
