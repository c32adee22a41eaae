package sockets

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
)

const (
	// readBufferSize is the size of one read, in bytes. Most values fit into one.
	readBufferSize = 64 << 10

	// maxUnsentBytes is the number of bytes that a connection may buffer for a slow reader: a few of the longest
	// values.
	maxUnsentBytes = 4 << 20

	// pollerStartTime is how long nbio's poller may take to start on a heavily loaded machine.
	pollerStartTime = 100 * time.Millisecond
)

// Engine manages all TCP connections of a node. It is one struct because the queue, the descriptors and the listeners
// share one mutex and one condition variable.
type Engine struct {
	poller        *nbio.Engine
	pollerRunning atomic.Bool  // something has been read, so nbio's poller is running
	unsent        atomic.Int64 // bytes buffered for slow readers

	// connsReady counts the Conns that are initialized; see connOf.
	connsReady atomic.Int64

	// readAhead is the number of bytes of one connection that may wait for the loop.
	readAhead atomic.Int64

	descriptorLimit     atomic.Int64 // for connections
	openDescriptors     atomic.Int64 // of connections
	reservedDescriptors int          // not available for connections
	clientWaiting       atomic.Bool  // a client waits for a descriptor

	listeners []*listener
	wake      chan struct{} // wakes the loop; has a buffer of one

	localFailures localFailures

	// dialMu is locked for reading while a dialed connection is added to nbio, and for writing by Stop.
	dialMu sync.RWMutex

	mu           sync.Mutex
	stateChanged *sync.Cond // the poller waits here for the loop, acceptors for a descriptor or for SetAccepting
	events       []Event    // the queue
	arena        []byte     // the bytes of the queued events
	spareEvents  []Event    // the events that the loop took last; reused for the next queue
	spareArena   []byte     // the bytes of spareEvents
	stopped      bool       // written with both mu and dialMu locked, so that either lock suffices to read it
	acceptPaused bool       // no clients are accepted, because another process accepts them
}

// New returns an Engine that listens on all addresses and uses at most the given number of descriptors. Listeners that
// were inherited from another process are used as they are and removed from the map. If there are any, no listener
// accepts clients until SetAccepting.
func New(addrs []string, descriptors int, inherited map[string]net.Listener) (*Engine, error) {
	e := &Engine{
		wake:                make(chan struct{}, 1),
		acceptPaused:        len(inherited) > 0,
		reservedDescriptors: ownDescriptors + len(addrs) - 1,
	}
	e.stateChanged = sync.NewCond(&e.mu)
	e.SetDescriptorLimit(descriptors)
	e.SetReadAhead(maxReadAhead)
	logging.SetLevel(logging.LevelError)
	e.poller = nbio.NewEngine(nbio.Config{
		Network:            "tcp",
		Addrs:              addrs,
		NPoller:            1,
		ReadBufferSize:     readBufferSize,
		MaxWriteBufferSize: maxUnsentBytes,
		// Edge-triggered: with level triggering nbio does not wait for space on a connection that is written to while
		// it is being established.
		EpollMod: nbio.EPOLLET,
		Listen: func(network, addr string) (net.Listener, error) {
			return e.listen(network, addr, inherited)
		},
	})
	e.setCallbacks()
	if err := e.poller.Start(); err != nil {
		// nbio closes only the listeners that it opened before the one that failed, and it calls listener.Close, which
		// leaves the sockets open.
		for _, l := range e.listeners {
			_ = l.Listener.Close()
		}
		return nil, fmt.Errorf("cannot listen on %s: %w", strings.Join(addrs, ", "), err)
	}
	return e, nil
}

// listen opens a listener, or uses the inherited one of the same address.
func (e *Engine) listen(network, addr string, inherited map[string]net.Listener) (net.Listener, error) {
	socket := inherited[addr]
	delete(inherited, addr)
	if socket == nil {
		config := net.ListenConfig{KeepAlive: -1}
		config.SetMultipathTCP(false)
		opened, err := config.Listen(context.Background(), network, addr)
		if err != nil {
			return nil, err
		}
		socket = opened
	}
	l := &listener{Listener: socket, engine: e, acceptorDone: make(chan struct{}), closed: make(chan struct{})}
	e.listeners = append(e.listeners, l)
	return l, nil
}

// setCallbacks sets the callbacks of nbio, which calls most of them on the goroutine of its poller.
func (e *Engine) setCallbacks() {
	e.poller.OnOpen(e.onOpen)
	e.poller.OnRead(func(nc *nbio.Conn) {
		if c := e.connOf(nc); c != nil {
			c.readAvailable(e.poller.PollerBuffer(nc))
		}
	})
	e.poller.OnWrittenSize(func(nc *nbio.Conn, _ []byte, n int) {
		if c := e.connOf(nc); c != nil {
			c.unsent.Add(int64(-n))
			e.unsent.Add(int64(-n))
		}
	})
	e.poller.OnClose(func(nc *nbio.Conn, _ error) { e.onClose(nc) })
}

// onOpen creates the Conn of an accepted connection. A dialed connection has one already.
func (e *Engine) onOpen(nc *nbio.Conn) {
	defer e.connsReady.Add(1)
	if nc.Session() == nil {
		nc.SetSession(&Conn{engine: e, conn: nc, Listener: e.listenerOf(nc.LocalAddr())})
	}
}

// onClose queues the event Closed of a connection, after the one that announces it.
func (e *Engine) onClose(nc *nbio.Conn) {
	c := e.connOf(nc)
	if c == nil {
		e.descriptorFreed()
		return
	}
	c.freeDescriptor()
	c.announce()
	e.enqueue(Event{Kind: Closed, Conn: c, UnsentBytes: c.discardUnsent(), Orderly: c.orderly.Load()}, nil)
}

// connOf returns the Conn of a connection of nbio. The Conn is initialized, because nbio adds a connection to its
// poller only after onOpen has returned. This order is ensured by the kernel, which neither Go's memory model nor the
// race detector covers, so the counter connsReady, written after each Conn and read before each use, orders the
// accesses as well.
func (e *Engine) connOf(nc *nbio.Conn) *Conn {
	e.connsReady.Load()
	c, _ := nc.Session().(*Conn)
	return c
}

func (e *Engine) isStopped() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stopped
}

// Unsent returns the number of bytes buffered for slow readers.
func (e *Engine) Unsent() int64 { return e.unsent.Load() }

// SetReadAhead sets the number of bytes of one connection that may wait for the loop, within minReadAhead and
// maxReadAhead.
func (e *Engine) SetReadAhead(bytes int64) {
	e.readAhead.Store(min(max(bytes, minReadAhead), maxReadAhead))
}

// Stop closes all connections and listeners, and returns once no more callbacks are called. It ends accepting and
// dialing before it stops nbio: nbio counts its connections with a wait group, and must not add one while it stops.
func (e *Engine) Stop() {
	e.dialMu.Lock()
	e.mu.Lock()
	e.stopped = true
	e.stateChanged.Broadcast()
	e.mu.Unlock()
	e.dialMu.Unlock()
	for _, l := range e.listeners {
		_ = l.Listener.Close()
		<-l.acceptorDone
	}
	// nbio 1.6.8 ignores a stop request that comes before its poller has started, and then waits for the poller
	// forever.
	if !e.pollerRunning.Load() {
		time.Sleep(pollerStartTime)
	}
	e.poller.Stop()
}
