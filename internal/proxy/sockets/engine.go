package sockets

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"

	"dahliapin/internal/proxy/sockets/poller"
)

const (
	// readBufferSize is the size of one read, in bytes. Most values fit into one.
	readBufferSize = 64 << 10

	// MaxUnsentBytes is the number of bytes that a connection may buffer for a slow reader: a few of the longest
	// values.
	MaxUnsentBytes = 4 << 20
)

// Engine manages all TCP connections of a node. It is one struct because the queue, the descriptors and the listeners
// share one mutex and one condition variable.
type Engine struct {
	poller *poller.Poller
	unsent atomic.Int64 // bytes buffered for slow readers

	// readAhead is the number of bytes of one connection that may wait for the loop.
	readAhead atomic.Int64
	// readSize is the number of bytes that one read may return.
	readSize atomic.Int64
	// backgroundReads holds an element for each background read that is under way.
	backgroundReads chan struct{}

	descriptorLimit     atomic.Int64 // for connections
	openDescriptors     atomic.Int64 // of connections
	reservedDescriptors int          // not available for connections
	clientWaiting       atomic.Bool  // a client waits for a descriptor
	acceptsPending      atomic.Int64 // connections that an acceptor holds and has not queued for the loop

	listeners []*listener
	wake      chan struct{} // wakes the loop; has a buffer of one

	localFailures localFailures

	mu           sync.Mutex
	stateChanged *sync.Cond // the poller waits here for the loop, acceptors for a descriptor or for SetAccepting
	events       []Event    // the queue
	arena        []byte     // the bytes of the queued events
	spareEvents  []Event    // the events that the loop took last; reused for the next queue
	spareArena   []byte     // the bytes of spareEvents
	stopped      bool
	acceptPaused bool // no clients are accepted, because another process accepts them
	// pausedAcceptors is the number of acceptors that hold no connection and wait until clients are accepted again.
	pausedAcceptors int
}

// New returns an Engine that listens on all addresses and uses at most the given number of descriptors. Listeners that
// were inherited from another process are used as they are and removed from the map. If there are any, no listener
// accepts clients until SetAccepting.
func New(addrs []string, descriptors int, inherited map[string]net.Listener) (*Engine, error) {
	e := &Engine{
		wake:                make(chan struct{}, 1),
		backgroundReads:     make(chan struct{}, maxBackgroundReads),
		acceptPaused:        len(inherited) > 0,
		reservedDescriptors: ownDescriptors + len(addrs) - 1,
	}
	e.stateChanged = sync.NewCond(&e.mu)
	e.SetDescriptorLimit(descriptors)
	e.SetReadAhead(maxReadAhead)
	e.SetShortReads(false)
	for _, addr := range addrs {
		if err := e.listen(addr, inherited); err != nil {
			e.closeListeners()
			return nil, fmt.Errorf("cannot listen on %s: %w", strings.Join(addrs, ", "), err)
		}
	}
	var err error
	if e.poller, err = poller.Start(readBufferSize, MaxUnsentBytes); err != nil {
		e.closeListeners()
		return nil, fmt.Errorf("cannot poll connections: %w", err)
	}
	for _, l := range e.listeners {
		go l.run()
	}
	return e, nil
}

// listen opens a listener, or uses the inherited one of the same address.
func (e *Engine) listen(addr string, inherited map[string]net.Listener) error {
	socket := inherited[addr]
	delete(inherited, addr)
	if socket == nil {
		config := net.ListenConfig{KeepAlive: -1}
		config.SetMultipathTCP(false)
		opened, err := config.Listen(context.Background(), "tcp", addr)
		if err != nil {
			return err
		}
		socket = opened
	}
	l := &listener{socket: socket, engine: e, index: len(e.listeners), done: make(chan struct{})}
	e.listeners = append(e.listeners, l)
	return nil
}

func (e *Engine) closeListeners() {
	for _, l := range e.listeners {
		_ = l.socket.Close()
	}
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

// SetShortReads makes reads return little at a time while memory is short: what is left of a read when its connection
// is paused takes memory until the connection is resumed.
func (e *Engine) SetShortReads(short bool) {
	size := int64(readBufferSize)
	if short {
		size = minReadSize
	}
	e.readSize.Store(size)
}

// Stop closes all connections and listeners, and waits until no client is accepted and no event of the poller is
// handled any more.
func (e *Engine) Stop() {
	e.mu.Lock()
	e.stopped = true
	e.stateChanged.Broadcast()
	e.mu.Unlock()
	e.closeListeners()
	for _, l := range e.listeners {
		<-l.done
	}
	e.poller.Close()
}
