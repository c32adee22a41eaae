//go:build review

// Package standins holds the stand-ins that the cases of the second review share: discovery, cache servers, the origin,
// clients, and the start of the project's own programs. They follow PROTOCOL.md and listen on loopback only.
package standins

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Instance is an entry of the list of cache servers.
type Instance struct {
	ID        string  `json:"instanceId"`
	Addr      string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"machineType"`
	Cell      int     `json:"cell"`
	State     string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	StartedMs int64   `json:"startedAtMs"`
}

// List is an answer of discovery.
type List struct {
	Generation int        `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []Instance `json:"instances"`
}

// Registry is discovery: the whole list, and watches on changes. It answers at once with what it has.
type Registry struct {
	Addr   string
	OnCall func(call string, refused bool) // may be nil; set it before the first call

	mu         sync.Mutex
	generation int
	instances  map[string]Instance
	changedAt  map[string]int // generation of an instance's last change
	changed    chan struct{}
	silent     bool
	refuse     int           // calls that are turned away from now on
	delay      time.Duration // from a call to its answer
	server     *http.Server
}

// NewRegistry starts a registry with a first list.
func NewRegistry(first ...Instance) *Registry {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Must(err)
	r := &Registry{
		Addr: listener.Addr().String(), generation: 41, instances: map[string]Instance{},
		changedAt: map[string]int{}, changed: make(chan struct{}),
	}
	for _, i := range first {
		r.instances[i.ID] = i
		r.changedAt[i.ID] = r.generation
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/registry/instances", r.serve)
	r.server = &http.Server{Handler: mux}
	go func() { _ = r.server.Serve(listener) }()
	return r
}

// Close ends the registry.
func (r *Registry) Close() { _ = r.server.Close() }

// Set changes or adds an entry. A terminated entry is kept, so that watches are told.
func (r *Registry) Set(i Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.generation++
	r.instances[i.ID] = i
	r.changedAt[i.ID] = r.generation
	close(r.changed)
	r.changed = make(chan struct{})
}

// SetSilent takes discovery down or brings it back. While it is down its address takes calls and answers none, and the
// open ones stay unanswered.
func (r *Registry) SetSilent(silent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent = silent
}

// SetCrowded has the registry turn away so many calls, and answer the others no sooner than after a delay.
func (r *Registry) SetCrowded(refuse int, delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refuse, r.delay = refuse, delay
}

// Whole returns the whole list.
func (r *Registry) Whole() List {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.since(-1)
}

func (r *Registry) since(version int) List {
	list := List{Generation: r.generation, Reset: version < 0, Instances: []Instance{}}
	for id, i := range r.instances {
		if r.changedAt[id] > version && (version >= 0 || i.State != "terminated") {
			list.Instances = append(list.Instances, i)
		}
	}
	return list
}

func (r *Registry) serve(w http.ResponseWriter, q *http.Request) {
	r.mu.Lock()
	delay, refused := r.delay, r.refuse > 0
	if refused {
		r.refuse--
	}
	onCall := r.OnCall
	r.mu.Unlock()
	if onCall != nil {
		onCall(q.URL.String(), refused)
	}
	if refused {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-q.Context().Done():
			return
		}
	}
	version := -1
	if text := q.URL.Query().Get("since"); text != "" {
		version, _ = strconv.Atoi(text)
	}
	waitMs, _ := strconv.Atoi(q.URL.Query().Get("timeout_ms"))
	deadline := time.After(time.Duration(min(waitMs, 60000)) * time.Millisecond)
	expired := false
	for {
		r.mu.Lock()
		list, changed, newer, silent := r.since(version), r.changed, r.generation > version, r.silent
		r.mu.Unlock()
		if silent {
			select {
			case <-time.After(10 * time.Millisecond):
			case <-q.Context().Done():
				return
			}
			continue
		}
		if version < 0 || newer || expired {
			answer(w, list)
			return
		}
		select {
		case <-changed:
		case <-time.After(10 * time.Millisecond):
		case <-deadline:
			expired = true
		case <-q.Context().Done():
			return
		}
	}
}

func answer(w http.ResponseWriter, list List) {
	body, _ := json.Marshal(list)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}
