package cachegrowth

import (
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// watchTime is the maximum duration of a long poll for a change.
	watchTime = 3 * time.Second
	// headerTimeout is the timeout for reading request headers.
	headerTimeout = 5 * time.Second
)

// instance is an entry of the endpoint list in the format of discovery.
type instance struct {
	ID          string `json:"instanceId"`
	Address     string `json:"hostPort"`
	MachineType string `json:"machineType"`
	Lifecycle   string `json:"lifecycle"`
	Zone        string `json:"zone"`
	StartedAtMs int64  `json:"startedAtMs"`
}

// The lifecycle states of an instance.
const (
	inService   = "in_service"
	terminating = "terminating"
	terminated  = "terminated"
)

// pollResponse is a response of discovery: the complete list, or the changes of one version.
type pollResponse struct {
	Generation int        `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []instance `json:"instances"`
}

// discovery serves the endpoint list: first the complete list, then each update. It can be stopped and restarted.
type discovery struct {
	address string
	bytes   atomic.Int64 // total size of the response bodies

	mu       sync.Mutex
	current  map[string]instance // by ID
	order    []string            // the IDs in current in the order of their first publishing
	versions [][]instance        // changes by version, from version 1
	changed  chan struct{}       // closed when the next version is published
	server   *http.Server
}

func newDiscovery() (*discovery, error) {
	d := &discovery{current: map[string]instance{}, changed: make(chan struct{}), address: "127.0.0.1:0"}
	if err := d.start(); err != nil {
		return nil, err
	}
	return d, nil
}

// start starts to listen, after a stop at the same address as before.
func (d *discovery) start() error {
	l, err := net.Listen("tcp", d.address)
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.address = l.Addr().String()
	d.server = &http.Server{Handler: d, ReadHeaderTimeout: headerTimeout}
	server := d.server
	go func() { _ = server.Serve(l) }() // returns after close
	return nil
}

// stop closes the listener and all connections.
func (d *discovery) stop() error {
	d.mu.Lock()
	server := d.server
	d.mu.Unlock()
	return server.Close()
}

// publish publishes a new version of the list. An update without changes is an error.
func (d *discovery) publish(changes []instance) error {
	if len(changes) == 0 {
		return errors.New("the update of the endpoint list has no changes")
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, change := range changes {
		if _, known := d.current[change.ID]; !known {
			d.order = append(d.order, change.ID)
		}
		d.current[change.ID] = change
	}
	d.versions = append(d.versions, changes)
	close(d.changed)
	d.changed = make(chan struct{})
	return nil
}

// complete returns the complete list without terminated instances. The caller holds mu.
func (d *discovery) complete() []instance {
	var list []instance
	for _, id := range d.order {
		if entry := d.current[id]; entry.Lifecycle != terminated {
			list = append(list, entry)
		}
	}
	return list
}

// responseSince returns the response to a poll by a node that has a version of the list, or none if known is false. If
// there is no newer version, ok is false and changed is closed when there is one.
func (d *discovery) responseSince(version int, known bool) (answer pollResponse, changed chan struct{}, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case !known:
		return pollResponse{len(d.versions), true, d.complete()}, nil, true
	case version < len(d.versions):
		return pollResponse{version + 1, false, d.versions[version]}, nil, true
	}
	return pollResponse{version, false, []instance{}}, d.changed, false
}

// ServeHTTP responds to a poll: immediately if there is a newer version, and otherwise when the list changes or
// watchTime has passed.
func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.Atoi(r.URL.Query().Get("since"))
	answer, changed, ok := d.responseSince(version, err == nil)
	if !ok {
		select {
		case <-changed:
			answer, _, _ = d.responseSince(version, true)
		case <-time.After(watchTime):
		case <-r.Context().Done():
			return
		}
	}
	body, err := json.Marshal(answer)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	d.bytes.Add(int64(len(body)))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}
