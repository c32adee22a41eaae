package scale

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const maxLongPollTime = time.Minute // maximum duration of a long poll for changes

// endpointLists emulates discovery. Each node has its own listener, so that traffic is counted per node. The list never
// changes, and all of its caches are terminating, so that real nodes open no connections to them.
type endpointLists struct {
	complete  []byte // response with the complete list
	unchanged []byte // response to a poll without changes
	mu        sync.Mutex
	listeners map[string]*nodeListener // by node
	closed    chan struct{}
}

// nodeListener is the listener at which one node polls the list.
type nodeListener struct {
	listener net.Listener
	server   *http.Server
	polls    atomic.Uint64
	in       atomic.Uint64 // bytes that the node received
	out      atomic.Uint64 // bytes that the node sent
}

const generation = 1 // version of the list, which never changes

// openEndpointLists returns an emulated discovery whose list has the given number of caches.
func openEndpointLists(caches int) *endpointLists {
	rows := []map[string]any{}
	for i := range caches {
		rows = append(rows, map[string]any{
			"instanceId":  fmt.Sprintf("c%d", i+1),
			"hostPort":    fmt.Sprintf("127.0.0.2:%d", 1+i),
			"zone":        "z",
			"machineType": "cache",
			"cell":        0,
			"weight":      1,
			"startedAtMs": 1,
			"lifecycle":   "terminating",
		})
	}
	text := func(whole bool, rows []map[string]any) []byte {
		b, err := json.Marshal(map[string]any{"generation": generation, "reset": whole, "instances": rows})
		if err != nil {
			panic(err) // cannot happen: all values are names and numbers
		}
		return b
	}
	return &endpointLists{
		complete:  text(true, rows),
		unchanged: text(false, rows[:0]),
		listeners: map[string]*nodeListener{},
		closed:    make(chan struct{}),
	}
}

// listen opens the listener of a node and returns its address.
func (l *endpointLists) listen(node string) (string, error) {
	at, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("cannot open the discovery listener of node %s: %w", node, err)
	}
	d := &nodeListener{listener: at}
	d.server = &http.Server{Handler: http.HandlerFunc(func(out http.ResponseWriter, in *http.Request) {
		d.polls.Add(1)
		l.serve(out, in)
	})}
	go d.server.Serve(countingListener{Listener: at, d: d}) // returns after close
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listeners[node] = d
	return at.Addr().String(), nil
}

// serve responds with the complete list. If the node already has the current version, it delays the response until the
// long poll times out.
func (l *endpointLists) serve(out http.ResponseWriter, in *http.Request) {
	since, err := strconv.Atoi(in.URL.Query().Get("since"))
	if err != nil || since != generation {
		_, _ = out.Write(l.complete)
		return
	}
	wait, _ := strconv.Atoi(in.URL.Query().Get("timeout_ms"))
	timer := time.NewTimer(min(maxLongPollTime, time.Duration(wait)*time.Millisecond))
	defer timer.Stop()
	select {
	case <-timer.C:
		_, _ = out.Write(l.unchanged)
	case <-in.Context().Done():
	case <-l.closed:
	}
}

// flow returns the traffic of a node's polls so far, from the node's point of view.
func (l *endpointLists) flow(node string) Flow {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := l.listeners[node]
	if d == nil {
		return Flow{}
	}
	calls := float64(d.polls.Load())
	return Flow{Out: float64(d.out.Load()), In: float64(d.in.Load()), OutMessages: calls, InMessages: calls}
}

func (l *endpointLists) close() {
	close(l.closed)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, d := range l.listeners {
		_ = d.server.Close()
	}
}

// countingListener counts the bytes of the connections that it accepts.
type countingListener struct {
	net.Listener
	d *nodeListener
}

func (c countingListener) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, d: c.d}, nil
}

type countingConn struct {
	net.Conn
	d *nodeListener
}

func (c *countingConn) Read(b []byte) (n int, err error) {
	n, err = c.Conn.Read(b)
	c.d.out.Add(uint64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (n int, err error) {
	n, err = c.Conn.Write(b)
	c.d.in.Add(uint64(n))
	return n, err
}
