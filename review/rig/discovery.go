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

// Agent serves a list at one address, as discovery's agent on a node's machine does.
type Agent struct {
	Addr string
	list *Discovery
}

// Serve serves the list at a free port.
func (d *Discovery) Serve() (*Agent, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &Agent{Addr: l.Addr().String(), list: d}
	go http.Serve(l, a)
	return a, nil
}

func (a *Agent) ServeHTTP(out http.ResponseWriter, in *http.Request) {
	if in.URL.Path != "/registry/instances" {
		http.NotFound(out, in)
		return
	}
	q := in.URL.Query()
	isWatch := q.Has("since")
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
	if isWatch {
		version, _ := strconv.Atoi(q.Get("since"))
		text, _, _ = a.list.since(version)
	} else {
		text = a.list.Complete()
	}
	out.Header().Set("Content-Type", "application/json")
	out.Header().Set("Content-Length", strconv.Itoa(len(text)))
	out.Write(text)
}
