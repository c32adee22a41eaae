package realtime

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"dahliapin/internal/emulator/runner"
	"dahliapin/policy"
)

const longestWatch = time.Minute

// agent is discovery as one node sees it: it has heard so much, and tells that.
type agent struct {
	r      *Rig
	node   int
	at     net.Listener
	web    *http.Server
	mu     sync.Mutex
	log    []policy.Endpoint // changes; a version is how many there were
	all    map[policy.EndpointID]policy.Endpoint
	order  []policy.EndpointID
	news   chan struct{} // closed at the next change
	closed chan struct{}
}

func (r *Rig) newAgent(node int) (*agent, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &agent{r: r, node: node, at: l, all: map[policy.EndpointID]policy.Endpoint{}, news: make(chan struct{}), closed: make(chan struct{})}
	for i := range r.world.Servers {
		a.hear(runner.EndpointOf(r.world, i))
	}
	a.web = &http.Server{Handler: a}
	go a.web.Serve(l)
	return a, nil
}

// hear takes a change.
func (a *agent) hear(e policy.Endpoint) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, known := a.all[e.ID]; !known {
		a.order = append(a.order, e.ID)
	}
	a.all[e.ID] = e
	a.log = append(a.log, e)
	close(a.news)
	a.news = make(chan struct{})
}

func (a *agent) close() {
	close(a.closed)
	a.web.Close()
}

// ServeHTTP answers a call for the list. While discovery is down it says nothing.
func (a *agent) ServeHTTP(out http.ResponseWriter, in *http.Request) {
	a.r.mu.Lock()
	up := a.r.listUp
	a.r.mu.Unlock()
	select {
	case <-up:
	case <-in.Context().Done():
		return
	case <-a.closed:
		return
	}
	since, err := strconv.Atoi(in.URL.Query().Get("since"))
	wait, _ := strconv.Atoi(in.URL.Query().Get("timeout_ms"))
	whole := err != nil
	a.r.mu.Lock()
	now, taken := a.r.now(), true
	at := now
	if a.r.log.Second(now).Polls++; a.r.registry.Bounded() {
		at, taken = a.r.registry.Poll(now, whole)
	}
	a.r.mu.Unlock()
	if !taken {
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case <-time.After(at.Since(now)):
	case <-in.Context().Done():
		return
	case <-a.closed:
		return
	}
	timer := time.NewTimer(min(longestWatch, time.Duration(wait)*time.Millisecond))
	defer timer.Stop()
	a.mu.Lock()
	if since > len(a.log) || since < 0 {
		whole = true
	}
	for waits := true; !whole && waits && since == len(a.log); {
		news := a.news
		a.mu.Unlock()
		select {
		case <-news:
		case <-timer.C:
			waits = false
		case <-in.Context().Done():
			return
		case <-a.closed:
			return
		}
		a.mu.Lock()
	}
	changed := a.log[min(max(0, since), len(a.log)):]
	if whole {
		changed = nil
		for _, id := range a.order {
			if e := a.all[id]; e.Lifecycle != policy.Removed {
				changed = append(changed, e)
			}
		}
	}
	version := len(a.log)
	a.mu.Unlock()
	text := a.r.list(version, whole, changed)
	if _, err := out.Write(text); err != nil {
		return
	}
	a.r.mu.Lock()
	for _, e := range changed {
		a.r.checker.Notified(a.r.now(), a.node, e.ID, e.Lifecycle)
	}
	a.r.mu.Unlock()
}

// list writes entries as the list has them.
func (r *Rig) list(version int, whole bool, entries []policy.Endpoint) []byte {
	rows := []map[string]any{}
	r.mu.Lock()
	for _, e := range entries {
		i, ok := r.world.Find(e.ID)
		if !ok || i >= len(r.servers) || r.servers[i] == nil {
			continue
		}
		born := int64(0)
		if e.StartedAt != 0 {
			born = r.startedAt.Add(e.StartedAt.Since(epoch)).UnixMilli()
		}
		rows = append(rows, map[string]any{"instanceId": string(e.ID), "hostPort": r.servers[i].addr, "zone": string(e.Zone),
			"machineType": [...]string{"cache", "origin"}[e.Kind], "cell": int64(e.Group), "weight": e.Weight, "startedAtMs": born,
			"lifecycle": [...]string{policy.Ready: "in_service", policy.Draining: "terminating", policy.Removed: "terminated"}[e.Lifecycle]})
	}
	r.mu.Unlock()
	text, err := json.Marshal(map[string]any{"generation": version, "reset": whole, "instances": rows})
	if err != nil {
		panic(err) // names and numbers only
	}
	return text
}
