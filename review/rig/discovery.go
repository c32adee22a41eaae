//go:build review

package rig

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Instance is an entry of discovery's list.
type Instance struct {
	ID        string  `json:"instanceId"`
	HostPort  string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"machineType"`
	Cell      int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	StartedMs int64   `json:"startedAtMs"`
	version   int
}

// Discovery is the list of cache servers and any number of addresses at which it is served.
type Discovery struct {
	mu        sync.Mutex
	version   int
	instances map[string]*Instance
	changed   chan struct{} // closed at each change
}

// NewDiscovery returns a list without entries.
func NewDiscovery() *Discovery {
	return &Discovery{version: 41, instances: map[string]*Instance{}, changed: make(chan struct{})}
}

// Put adds or changes an entry.
func (d *Discovery) Put(i Instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	i.version = d.version
	d.instances[i.ID] = &i
	close(d.changed)
	d.changed = make(chan struct{})
}

// SetLifecycle changes the state of an entry.
func (d *Discovery) SetLifecycle(id, lifecycle string) {
	d.mu.Lock()
	i := *d.instances[id]
	d.mu.Unlock()
	i.Lifecycle = lifecycle
	d.Put(i)
}

type listing struct {
	Generation int        `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []Instance `json:"instances"`
}

// Complete returns the whole list in discovery's form.
func (d *Discovery) Complete() []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := listing{Generation: d.version, Reset: true, Instances: []Instance{}}
	for _, i := range d.instances {
		if i.Lifecycle != "terminated" {
			l.Instances = append(l.Instances, *i)
		}
	}
	text, _ := json.Marshal(l)
	return text
}

// since returns the changes after a version, and a channel that is closed at the next change.
func (d *Discovery) since(version int) (text []byte, some bool, next chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := listing{Generation: d.version, Instances: []Instance{}}
	for _, i := range d.instances {
		if i.version > version {
			l.Instances = append(l.Instances, *i)
		}
	}
	text, _ = json.Marshal(l)
	return text, len(l.Instances) > 0, d.changed
}

// Agent serves a list at one address.
type Agent struct {
	Addr string
	list *Discovery
	// Before is called as a call arrives. It may wait, and returns false if the call gets no answer but the end of its
	// connection. Status, if not 0, is answered instead of the list.
	Before func(watch bool) (answer bool, status int)
	// Delay is how long an answer takes once there is one.
	Delay func() time.Duration
	// OnAnswer is called as an answer is written, with the version in it.
	OnAnswer func(version int)
	server   *http.Server
	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]bool
}

// Serve serves the list at a free port.
func (d *Discovery) Serve() (*Agent, error) { return d.ServeAt("127.0.0.1:0") }

// ServeAt serves the list at an address.
func (d *Discovery) ServeAt(addr string) (*Agent, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	a := &Agent{Addr: l.Addr().String(), list: d, listener: l, conns: map[net.Conn]bool{}}
	a.server = &http.Server{Handler: a, ConnState: func(c net.Conn, s http.ConnState) {
		a.mu.Lock()
		defer a.mu.Unlock()
		if s == http.StateNew {
			a.conns[c] = true
		} else if s == http.StateClosed || s == http.StateHijacked {
			delete(a.conns, c)
		}
	}}
	go a.server.Serve(l)
	return a, nil
}

// ResetAll resets all connections to the agent.
func (a *Agent) ResetAll() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.conns {
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		c.Close()
	}
}

// Close ends the agent.
func (a *Agent) Close() { a.server.Close() }

func (a *Agent) ServeHTTP(out http.ResponseWriter, in *http.Request) {
	if in.URL.Path != "/registry/instances" {
		http.NotFound(out, in)
		return
	}
	q := in.URL.Query()
	isWatch := q.Has("since")
	if a.Before != nil {
		answer, status := a.Before(isWatch)
		if !answer {
			panic(http.ErrAbortHandler)
		}
		if status != 0 {
			out.WriteHeader(status)
			return
		}
	}
	var text []byte
	if isWatch {
		version, _ := strconv.Atoi(q.Get("since"))
		ms, _ := strconv.Atoi(q.Get("timeout_ms"))
		ended := time.After(time.Duration(min(ms, 60000)) * time.Millisecond)
		for waiting := true; waiting; {
			some, next := false, (chan struct{})(nil)
			_, some, next = a.list.since(version)
			if some {
				break
			}
			select {
			case <-next:
			case <-ended:
				waiting = false
			case <-in.Context().Done():
				return
			}
		}
	}
	if a.Delay != nil {
		if d := a.Delay(); d > 0 {
			select {
			case <-time.After(d):
			case <-in.Context().Done():
				return
			}
		}
	}
	if isWatch {
		version, _ := strconv.Atoi(q.Get("since"))
		text, _, _ = a.list.since(version)
	} else {
		text = a.list.Complete()
	}
	out.Header().Set("Content-Type", "application/json")
	out.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if a.OnAnswer != nil {
		a.list.mu.Lock()
		v := a.list.version
		a.list.mu.Unlock()
		a.OnAnswer(v)
	}
	out.Write(text)
}
