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
	// readBufferSize is how many bytes are read at once: most values as a whole.
	readBufferSize = 64 << 10

	// maxUnsentBytes is how many bytes a connection may have waiting for a slow reader: a few of the longest values.
	maxUnsentBytes = 4 << 20

	// pollerStartTime is how long nbio's poller may take to begin, on a machine with little capacity left.
	pollerStartTime = 100 * time.Millisecond
)

// Engine has all connections of a node. Its fields stand together since the queue, the descriptors and the
// listeners share one mutex and one condition.
type Engine struct {
	poller *nbio.Engine
	polled atomic.Bool  // something was read, so nbio's poller runs
	unsent atomic.Int64 // bytes that wait for slow readers

	// connsReady counts the Conns that are complete; see connOf.
	connsReady atomic.Int64

	// readAhead is how many bytes of one connection may wait for the loop.
	readAhead atomic.Int64

	descriptorLimit     atomic.Int64 // of connections
	openDescriptors     atomic.Int64
	reservedDescriptors int         // of the process, not for connections
	clientWaits         atomic.Bool // a client waits for a descriptor

	listeners []*listener
	wake      chan struct{} // has a place for one signal

	localFailures localFailures

	// dialing is held for reading while a dialed connection is added to nbio, and for writing to stop.
	dialing sync.RWMutex

	mu           sync.Mutex
	changed      *sync.Cond // reading waits here for the loop, accepting for a descriptor or its turn
	events       []Event    // the queue
	arena        []byte     // the bytes of the queue's events
	spare        []Event    // what the loop has taken last, for the next queue
	spareArena   []byte     // its bytes
	stopped      bool       // written under dialing as well, so that either lock suffices to read it
	acceptPaused bool       // no client is accepted here: another process does
}

// New listens on all addresses and starts. It holds at most so many descriptors. Listeners that were inherited from
// another process are taken out of the map and used as they are, and no client is accepted by any until Accept.
func New(addrs []string, descriptors int, inherited map[string]net.Listener) (*Engine, error) {
	e := &Engine{
		wake:                make(chan struct{}, 1),
		acceptPaused:        len(inherited) > 0,
		reservedDescriptors: ownDescriptors + len(addrs) - 1,
	}
	e.changed = sync.NewCond(&e.mu)
	e.SetDescriptorLimit(descriptors)
	e.SetReadAhead(maxReadAhead)
	logging.SetLevel(logging.LevelError)
	e.poller = nbio.NewEngine(nbio.Config{
		Network:            "tcp",
		Addrs:              addrs,
		NPoller:            1,
		ReadBufferSize:     readBufferSize,
		MaxWriteBufferSize: maxUnsentBytes,
		// Edge-triggered: with level triggering nbio forgets to wait for space on a connection that is written to as it
		// is established.
		EpollMod: nbio.EPOLLET,
		Listen: func(network, addr string) (net.Listener, error) {
			return e.listen(network, addr, inherited)
		},
	})
	e.setCallbacks()
	if err := e.poller.Start(); err != nil {
		// nbio closes only the listeners that it had opened before the one that failed, and those by listener.Close,
		// which leaves the sockets open.
		for _, l := range e.listeners {
			_ = l.Listener.Close()
		}
		return nil, fmt.Errorf("cannot listen on %s: %w", strings.Join(addrs, ", "), err)
	}
	return e, nil
}

// listen opens a listener, or takes the inherited one.
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
	l := &listener{Listener: socket, engine: e, parked: make(chan struct{}), closed: make(chan struct{})}
	e.listeners = append(e.listeners, l)
	return l, nil
}

// setCallbacks sets what nbio calls, on the goroutine of its poller for the most part.
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

func (e *Engine) onOpen(nc *nbio.Conn) {
	defer e.connsReady.Add(1)
	if nc.Session() == nil {
		nc.SetSession(&Conn{engine: e, conn: nc, Listener: e.listenerOf(nc.LocalAddr())})
	}
}

func (e *Engine) onClose(nc *nbio.Conn) {
	c := e.connOf(nc)
	if c == nil {
		e.descriptorFreed()
		return
	}
	c.freeDescriptor()
	c.announce()
	e.enqueue(Event{Kind: Closed, Conn: c, UnsentBytes: c.forgetUnsent(), Orderly: c.orderly.Load()}, nil)
}

// connOf returns the Conn of a connection of nbio's. It is complete: nbio adds a connection to its poller only after
// onOpen has returned. That order goes through the kernel, though, where neither the memory model nor the race
// detector sees it. The counter, written after each Conn and read before each use, makes it visible to both.
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

// Unsent returns the number of bytes that wait for slow readers.
func (e *Engine) Unsent() int64 { return e.unsent.Load() }

// SetReadAhead sets how many bytes of one connection may wait for the loop, within fixed bounds.
func (e *Engine) SetReadAhead(bytes int64) {
	e.readAhead.Store(min(max(bytes, minReadAhead), maxReadAhead))
}

// Stop closes everything, and returns once no callback is called any more. No connection is accepted or dialed from
// then on before nbio stops: it counts its connections with a wait group, which one established meanwhile would upset.
func (e *Engine) Stop() {
	e.dialing.Lock()
	e.mu.Lock()
	e.stopped = true
	e.changed.Broadcast()
	e.mu.Unlock()
	e.dialing.Unlock()
	for _, l := range e.listeners {
		_ = l.Listener.Close()
		<-l.parked
	}
	// nbio 1.6.8 forgets a stop that comes before its poller has begun, and waits for the poller without end.
	if !e.polled.Load() {
		time.Sleep(pollerStartTime)
	}
	e.poller.Stop()
}
