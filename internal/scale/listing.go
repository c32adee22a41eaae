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

const longestWatch = time.Minute // that a call for changes is held open

// listing stands for discovery. It has a listener for each node, so that traffic is counted by node. The list does not
// change, and all its caches drain, so that a real node opens no connections to them.
type listing struct {
	whole  []byte // the complete list
	same   []byte // the update that nothing has changed
	mu     sync.Mutex
	doors  map[string]*listDoor // by node
	closed chan struct{}
}

type listDoor struct {
	at    net.Listener
	web   *http.Server
	calls atomic.Uint64
	// as the node sees it
	in, out atomic.Uint64
}

const generation = 1

func openListing(caches int) *listing {
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
			panic(err) // names and numbers only
		}
		return b
	}
	return &listing{
		whole:  text(true, rows),
		same:   text(false, rows[:0]),
		doors:  map[string]*listDoor{},
		closed: make(chan struct{}),
	}
}

// door opens one node's.
func (l *listing) door(node string) (string, error) {
	at, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("discovery cannot listen: %w", err)
	}
	d := &listDoor{at: at}
	d.web = &http.Server{Handler: http.HandlerFunc(func(out http.ResponseWriter, in *http.Request) {
		d.calls.Add(1)
		l.serve(out, in)
	})}
	go d.web.Serve(countedDoor{at, d}) // until it is closed
	l.mu.Lock()
	defer l.mu.Unlock()
	l.doors[node] = d
	return at.Addr().String(), nil
}

func (l *listing) serve(out http.ResponseWriter, in *http.Request) {
	since, err := strconv.Atoi(in.URL.Query().Get("since"))
	if err != nil || since != generation {
		_, _ = out.Write(l.whole)
		return
	}
	wait, _ := strconv.Atoi(in.URL.Query().Get("timeout_ms"))
	timer := time.NewTimer(min(longestWatch, time.Duration(wait)*time.Millisecond))
	defer timer.Stop()
	select {
	case <-timer.C:
		_, _ = out.Write(l.same)
	case <-in.Context().Done():
	case <-l.closed:
	}
}

// flow is what a node's calls have taken until now.
func (l *listing) flow(node string) Flow {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := l.doors[node]
	if d == nil {
		return Flow{}
	}
	calls := float64(d.calls.Load())
	return Flow{Out: float64(d.out.Load()), In: float64(d.in.Load()), OutMessages: calls, InMessages: calls}
}

func (l *listing) close() {
	close(l.closed)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, d := range l.doors {
		_ = d.web.Close()
	}
}

type countedDoor struct {
	net.Listener
	d *listDoor
}

func (c countedDoor) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &listConn{conn, c.d}, nil
}

type listConn struct {
	net.Conn
	d *listDoor
}

func (c *listConn) Read(b []byte) (n int, err error) {
	n, err = c.Conn.Read(b)
	c.d.out.Add(uint64(n))
	return n, err
}

func (c *listConn) Write(b []byte) (n int, err error) {
	n, err = c.Conn.Write(b)
	c.d.in.Add(uint64(n))
	return n, err
}
