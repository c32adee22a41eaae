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

// maxWatchTime is the longest time that a poll of the endpoint list waits for a change.
const maxWatchTime = time.Minute

// agent is the discovery server of one node. It publishes the changes of the endpoint list that have reached it so far,
// as changes reach nodes at different times.
type agent struct {
	rig    *Rig
	node   int
	server *http.Server
	addr   string
	closed chan struct{}

	mu      sync.Mutex
	changes []policy.Endpoint // in order of arrival; their number is the version of the list
	latest  map[policy.EndpointID]policy.Endpoint
	order   []policy.EndpointID // of all endpoints, in order of their first change
	changed chan struct{}       // closed at the next change

	initial []policy.Endpoint // the list as it was when the run began
}

func (r *Rig) newAgent(node int) (*agent, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &agent{
		rig:     r,
		node:    node,
		addr:    l.Addr().String(),
		closed:  make(chan struct{}),
		latest:  map[policy.EndpointID]policy.Endpoint{},
		changed: make(chan struct{}),
	}
	for i := range r.world.Servers {
		a.addChange(runner.EndpointOf(r.world, i))
	}
	a.initial = a.list()
	a.server = &http.Server{Handler: a}
	go a.server.Serve(l)
	return a, nil
}

// addChange adds a change of the endpoint list and wakes waiting polls.
func (a *agent) addChange(e policy.Endpoint) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, known := a.latest[e.ID]; !known {
		a.order = append(a.order, e.ID)
	}
	a.latest[e.ID] = e
	a.changes = append(a.changes, e)
	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *agent) close() {
	close(a.closed)
	a.server.Close()
}

// listPoll is a poll of the endpoint list.
type listPoll struct {
	since    int  // the version that the node has
	complete bool // the complete list is requested, as the poll states no valid version
	timeout  time.Duration
}

func parseListPoll(in *http.Request) listPoll {
	query := in.URL.Query()
	since, err := strconv.Atoi(query.Get("since"))
	milliseconds, _ := strconv.Atoi(query.Get("timeout_ms"))
	return listPoll{
		since:    since,
		complete: err != nil,
		timeout:  min(maxWatchTime, time.Duration(milliseconds)*time.Millisecond),
	}
}

// listAnswer is the answer to a poll.
type listAnswer struct {
	version  int
	complete bool // entries are all endpoints, otherwise only the changes
	entries  []policy.Endpoint
}

// ServeHTTP answers a poll of the endpoint list. While discovery is down it does not answer.
func (a *agent) ServeHTTP(out http.ResponseWriter, in *http.Request) {
	if !await(a, in, a.rig.discoveryUp()) {
		return
	}
	poll := parseListPoll(in)
	delay, accepted := a.rig.admitPoll(poll.complete)
	if !accepted {
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !await(a, in, time.After(delay)) || !a.awaitChange(in, poll) {
		return
	}
	answer := a.answer(poll)
	if _, err := out.Write(a.rig.encodeList(answer.version, answer.complete, answer.entries)); err != nil {
		return
	}
	a.rig.noteNotified(a.node, answer.entries)
}

// await waits until a channel is ready. It returns false if the node disconnects or the agent is closed first.
func await[T any](a *agent, in *http.Request, ready <-chan T) bool {
	select {
	case <-ready:
		return true
	case <-in.Context().Done():
		return false
	case <-a.closed:
		return false
	}
}

// awaitChange waits until the version of the list differs from that of a poll, or the poll times out. It returns false
// if the node disconnects or the agent is closed first.
func (a *agent) awaitChange(in *http.Request, poll listPoll) bool {
	timer := time.NewTimer(poll.timeout)
	defer timer.Stop()
	for {
		a.mu.Lock()
		hasChanges := poll.complete || poll.since != len(a.changes)
		changed := a.changed
		a.mu.Unlock()
		if hasChanges {
			return true
		}
		select {
		case <-changed:
		case <-timer.C:
			return true
		case <-in.Context().Done():
			return false
		case <-a.closed:
			return false
		}
	}
}

// answer returns the current answer to a poll. A poll with an unknown version gets the complete list.
func (a *agent) answer(poll listPoll) listAnswer {
	a.mu.Lock()
	defer a.mu.Unlock()
	answer := listAnswer{version: len(a.changes), complete: poll.complete}
	if poll.since < 0 || poll.since > len(a.changes) {
		answer.complete = true
	}
	if !answer.complete {
		answer.entries = a.changes[poll.since:]
		return answer
	}
	answer.entries = a.list()
	return answer
}

// list returns the complete list. agent.mu must be locked, unless the agent is not used yet.
func (a *agent) list() (endpoints []policy.Endpoint) {
	for _, id := range a.order {
		if e := a.latest[id]; e.Lifecycle != policy.Removed {
			endpoints = append(endpoints, e)
		}
	}
	return endpoints
}

// configuredList returns the list in the configuration of a new process. One that replaces another process has the list
// of the deployment, which is as old as the run: what has changed since it must get from its predecessor or from
// discovery. Any other process has the present list, since it can get none from discovery while that is down.
func (a *agent) configuredList(replaces bool) []policy.Endpoint {
	if replaces {
		return a.initial
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.list()
}

// discoveryUp returns a channel that is closed while discovery is up.
func (r *Rig) discoveryUp() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.discoveryReady
}

// admitPoll counts a poll and returns the delay after which discovery answers it. If the capacity of discovery is
// bounded, some polls are rejected.
func (r *Rig) admitPoll(complete bool) (delay time.Duration, accepted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	r.log.Second(now).Polls++
	if !r.registry.Bounded() {
		return 0, true
	}
	at, accepted := r.registry.Poll(now, complete)
	return at.Since(now), accepted
}

// noteNotified reports the entries that a node was sent to the checker.
func (r *Rig) noteNotified(node int, entries []policy.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range entries {
		r.checker.Notified(r.now(), node, e.ID, e.Lifecycle)
	}
	r.noteStarts(entries)
}

// noteStarts records the starts of servers that a node was sent. Rig.mu must be locked.
func (r *Rig) noteStarts(entries []policy.Endpoint) {
	for _, e := range entries {
		r.notifiedStarts[e.ID] = max(r.notifiedStarts[e.ID], e.StartedAt)
	}
}

// instance is the JSON form of an entry of the endpoint list.
type instance struct {
	ID          string  `json:"instanceId"`
	Address     string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int64   `json:"cell"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"`
	Lifecycle   string  `json:"lifecycle"`
}

var (
	machineTypes   = [...]string{"cache", "origin"}
	lifecycleNames = [...]string{
		policy.Ready:    "in_service",
		policy.Draining: "terminating",
		policy.Removed:  "terminated",
	}
)

// encodeList encodes entries as discovery does. Entries of servers that the world or the rig does not have are omitted.
func (r *Rig) encodeList(version int, complete bool, entries []policy.Endpoint) []byte {
	instances := []instance{}
	r.mu.Lock()
	for _, e := range entries {
		if i, ok := r.world.Find(e.ID); ok && i < len(r.servers) && r.servers[i] != nil {
			instances = append(instances, r.instanceOf(e, r.servers[i].address.Addr()))
		}
	}
	r.mu.Unlock()
	text, err := json.Marshal(struct {
		Generation int        `json:"generation"`
		Reset      bool       `json:"reset"`
		Instances  []instance `json:"instances"`
	}{version, complete, instances})
	if err != nil {
		panic(err) // cannot happen: the value has only strings, numbers and booleans
	}
	return text
}

func (r *Rig) instanceOf(e policy.Endpoint, addr string) instance {
	startedAtMs := int64(0)
	if e.StartedAt != 0 {
		startedAtMs = r.startedAt.Add(e.StartedAt.Since(epoch)).UnixMilli()
	}
	return instance{
		ID:          string(e.ID),
		Address:     addr,
		Zone:        string(e.Zone),
		MachineType: machineTypes[e.Kind],
		Cell:        int64(e.Group),
		Weight:      e.Weight,
		StartedAtMs: startedAtMs,
		Lifecycle:   lifecycleNames[e.Lifecycle],
	}
}
