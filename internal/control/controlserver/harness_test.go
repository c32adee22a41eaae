package controlserver

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"dahliapin/internal/config/fleetconfig"
	"dahliapin/internal/control/controlclient"
	"dahliapin/internal/control/logfollower"
	"dahliapin/internal/control/replicatedlog"
	"dahliapin/internal/keyhash"
	"dahliapin/internal/monotime"
)

const (
	testServers = 4 // the last one is a learner
	testLabel   = "l"
)

func silentLogger() *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logger
}

func bootTime() monotime.Instant {
	var t unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &t)
	return monotime.Instant(t.Nano())
}

// eventually waits until a condition holds.
func eventually(t *testing.T, within time.Duration, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(within); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within %v: %s", within, what)
		}
	}
}

// cluster runs control servers in this process. They address each other by made-up addresses, which dial maps to their
// listeners, so that streams can be cut.
type cluster struct {
	t          *testing.T
	dirs       []string
	changeFile func(*fleetconfig.ControlFile)
	configure  func(i int, config *Config) // for example for a broken variant

	mu      sync.Mutex
	servers []*Server             // nil for a stopped server
	cut     map[string]bool       // unreachable addresses
	open    map[string][]net.Conn // by dialled address
}

func peerAddr(i int) string { return fmt.Sprintf("10.0.0.%d:1", i+1) }
func nodeAddr(i int) string { return fmt.Sprintf("10.0.0.%d:2", i+1) }

// newCluster starts four control servers. changeFile and configure may be nil.
func newCluster(t *testing.T, changeFile func(*fleetconfig.ControlFile), configure func(int, *Config)) *cluster {
	t.Helper()
	c := &cluster{
		t:          t,
		changeFile: changeFile,
		configure:  configure,
		servers:    make([]*Server, testServers),
		cut:        map[string]bool{},
		open:       map[string][]net.Conn{},
	}
	for range c.servers {
		c.dirs = append(c.dirs, t.TempDir())
	}
	for i := range c.servers {
		c.start(i, true)
	}
	t.Cleanup(func() {
		for i := range c.servers {
			c.stop(i)
		}
	})
	return c
}

// start starts a server with its existing data directory.
func (c *cluster) start(i int, first bool) {
	c.t.Helper()
	file := fleetconfig.DefaultControl()
	file.Control = fleetconfig.Control{
		ID:    uint64(i + 1),
		Label: testLabel,
		Peers: "127.0.0.1:0",
		Nodes: "127.0.0.1:0",
		Data:  c.dirs[i],
	}
	file.Bounds.ElectionMs = 500
	for j := range c.servers {
		file.Servers = append(file.Servers, fleetconfig.ControlServer{
			ID:      uint64(j + 1),
			Name:    fmt.Sprintf("c%d", j+1),
			Addr:    peerAddr(j),
			Learner: j == testServers-1,
		})
	}
	if c.changeFile != nil {
		c.changeFile(&file)
	}
	config := Config{File: &file, FirstStart: first, Log: silentLogger(), Now: bootTime}
	config.Dial = func(addr string, within time.Duration) (net.Conn, error) {
		if c.isCut(peerAddr(i)) { // a partitioned server reaches no other server
			return nil, errors.New("cut")
		}
		return c.dial(addr, within)
	}
	if c.configure != nil {
		c.configure(i, &config)
	}
	server, err := Open(config)
	if err != nil {
		c.t.Fatal(err)
	}
	c.mu.Lock()
	c.servers[i] = server
	c.mu.Unlock()
}

func (c *cluster) stop(i int) {
	c.mu.Lock()
	server := c.servers[i]
	c.servers[i] = nil
	c.mu.Unlock()
	if server != nil {
		server.Close()
	}
}

func (c *cluster) isCut(addr string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cut[addr]
}

// dial connects to a server by its made-up address.
func (c *cluster) dial(addr string, within time.Duration) (net.Conn, error) {
	c.mu.Lock()
	to := ""
	for i, server := range c.servers {
		switch {
		case server == nil:
		case addr == peerAddr(i):
			to = server.PeersAddr()
		case addr == nodeAddr(i):
			to = server.Addr()
		}
	}
	cut := c.cut[addr]
	c.mu.Unlock()
	if to == "" || cut {
		return nil, errors.New("unreachable")
	}
	conn, err := net.DialTimeout("tcp", to, within)
	if err == nil {
		c.mu.Lock()
		c.open[addr] = append(c.open[addr], conn)
		c.mu.Unlock()
	}
	return conn, err
}

// cutOff partitions a server from the other servers, but not from nodes.
func (c *cluster) cutOff(i int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut[peerAddr(i)] = true
	c.closeStreams(peerAddr(i))
	if server := c.servers[i]; server != nil {
		for _, peer := range server.peers {
			c.closeStreams(peer.Addr) // streams between the other servers are opened again
		}
	}
}

// reconnect ends the partition of a server.
func (c *cluster) reconnect(i int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut[peerAddr(i)] = false
}

// closeStreams closes all streams to an address. The caller holds the lock.
func (c *cluster) closeStreams(addr string) {
	for _, conn := range c.open[addr] {
		_ = conn.Close()
	}
}

// breakNodeStreams closes the streams of all nodes, which may reconnect.
func (c *cluster) breakNodeStreams() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.servers {
		c.closeStreams(nodeAddr(i))
	}
}

// leader waits for a leader that is not partitioned, and returns it.
func (c *cluster) leader() int {
	c.t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		for i, server := range c.servers {
			if server != nil && server.IsLeader() && !c.isCut(peerAddr(i)) {
				return i
			}
		}
	}
	c.t.Fatal("there is no leader")
	return 0
}

// nodeAddrs returns the addresses of all servers for nodes and clients.
func (c *cluster) nodeAddrs() []string {
	var addrs []string
	for i := range c.servers {
		addrs = append(addrs, nodeAddr(i))
	}
	return addrs
}

// nodeAddrsWithout returns nodeAddrs without that of one server.
func (c *cluster) nodeAddrsWithout(i int) []string { return slices.Delete(c.nodeAddrs(), i, i+1) }

// highestFloor returns the highest floor of all servers.
func (c *cluster) highestFloor() replicatedlog.Index {
	c.mu.Lock()
	defer c.mu.Unlock()
	var highest replicatedlog.Index
	for _, server := range c.servers {
		if server != nil {
			_, floor, _ := server.sharedLog.Position()
			highest = max(highest, floor)
		}
	}
	return highest
}

func (c *cluster) client(addrs ...string) controlclient.Client {
	if len(addrs) == 0 {
		addrs = c.nodeAddrs()
	}
	return controlclient.Client{Servers: addrs, Label: testLabel, Dial: c.dial}
}

// publish publishes proposals at the servers with the given addresses, or at all servers if there are none.
func (c *cluster) publish(proposals []replicatedlog.Proposal, addrs ...string) []replicatedlog.Index {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	indexes, err := c.client(addrs...).Publish(ctx, proposals)
	if err != nil {
		c.t.Fatal(err)
	}
	return indexes
}

// seedFor returns a seed for which the given server is the first in a node's order of servers.
func (c *cluster) seedFor(i int) uint32 {
	for seed := uint32(0); ; seed++ {
		rank := func(addr string) uint64 { return keyhash.Salted(keyhash.String(addr), int(seed)) }
		first := slices.MinFunc(c.nodeAddrs(), func(a, b string) int { return cmp.Compare(rank(a), rank(b)) })
		if first == nodeAddr(i) {
			return seed
		}
	}
}

// testNode is a following node that records what it applies.
type testNode struct {
	*logfollower.Follower
	started *startRecorder

	mu      sync.Mutex
	indexes []replicatedlog.Index // of applied entries
	bodies  []string              // of them
	starts  []nodeStart
	cut     bool // it reaches no server
}

// nodeStart records a starting point that a node received.
type nodeStart struct {
	at      replicatedlog.Index // everything up to here may have been purged
	applied int                 // number of entries recorded before
}

func (n *testNode) PresumePurged(upTo replicatedlog.Index) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.starts = append(n.starts, nodeStart{at: upTo, applied: len(n.indexes)})
}

func (n *testNode) Purge(at replicatedlog.Index, key string) { _ = n.Configure(at, []byte(key)) }

func (n *testNode) Configure(at replicatedlog.Index, text []byte) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.indexes = append(n.indexes, at)
	n.bodies = append(n.bodies, string(text))
	if strings.HasPrefix(string(text), "bad") {
		return errors.New("unusable configuration")
	}
	return nil
}

// forget clears the records.
func (n *testNode) forget() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.indexes = nil
	n.bodies = nil
	n.starts = nil
}

func (n *testNode) setCut(cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
}

func (n *testNode) isCut() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut
}

// startRecorder records whether an Applier has received a starting point.
type startRecorder struct {
	logfollower.Applier
	started atomic.Bool
}

func (r *startRecorder) Start(log replicatedlog.LogID, at replicatedlog.Index, config cbor.RawMessage) error {
	err := r.Applier.Start(log, at, config)
	if err == nil {
		r.started.Store(true)
	}
	return err
}

// follow starts a node.
func (c *cluster) follow(name string, seed uint32) *testNode {
	return c.followServers(name, seed, c.nodeAddrs())
}

// followServers starts a node that follows the servers with these addresses only.
func (c *cluster) followServers(name string, seed uint32, addrs []string) *testNode {
	n := &testNode{}
	n.started = &startRecorder{Applier: replicatedlog.NewApplier(n)}
	n.Follower = logfollower.Start(logfollower.Config{
		Name:       name,
		Label:      testLabel,
		Servers:    addrs,
		Seed:       seed,
		StaleAfter: time.Second,
		Applier:    n.started,
		Log:        silentLogger(),
		Now:        bootTime,
		Dial: func(addr string, within time.Duration) (net.Conn, error) {
			if n.isCut() {
				return nil, errors.New("cut")
			}
			conn, err := c.dial(addr, within)
			if err != nil {
				return nil, err
			}
			return &cuttableConn{Conn: conn, node: n}, nil
		},
	})
	c.t.Cleanup(n.Close)
	return n
}

// cuttableConn is a connection that fails once its node is cut off.
type cuttableConn struct {
	net.Conn
	node *testNode
}

func (c *cuttableConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.node.isCut() {
		_ = c.Conn.Close()
		return 0, errors.New("cut")
	}
	return n, err
}

// waitApplied waits until a node has applied up to an index.
func (c *cluster) waitApplied(n *testNode, index replicatedlog.Index) {
	c.t.Helper()
	for deadline := time.Now().Add(15 * time.Second); n.Status().Applied < index; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			c.t.Fatalf("%s: %+v, wanted up to %d", n.Name, n.Status(), index)
		}
	}
}

// waitStarted waits until nodes have received a starting point.
func waitStarted(t *testing.T, nodes ...*startRecorder) {
	t.Helper()
	eventually(t, 10*time.Second, "the nodes start", func() bool {
		return !slices.ContainsFunc(nodes, func(n *startRecorder) bool { return !n.started.Load() })
	})
}

// expectApplied checks that a node has applied exactly the entries with these bodies, from an index on.
func (n *testNode) expectApplied(t *testing.T, from replicatedlog.Index, want ...string) {
	t.Helper()
	n.mu.Lock()
	defer n.mu.Unlock()
	if !slices.Equal(n.bodies, want) {
		same := 0
		for same < min(len(want), len(n.bodies)) && want[same] == n.bodies[same] {
			same++
		}
		next := n.bodies[same:min(same+3, len(n.bodies))]
		t.Errorf("%s: applied %d entries, want %d; equal up to %d, then %q",
			n.Name, len(n.bodies), len(want), same, next)
	}
	for i, at := range n.indexes {
		if at != from+replicatedlog.Index(i) {
			t.Errorf("%s: entry %d at position %d", n.Name, at, i)
			return
		}
	}
}

// expectNoGap checks the records of a node that had all entries up to an index and may have started again since, at any
// later index and more than once: each entry has its body and follows the previous one or the last start, and the last
// entry is present. bodies are those of all entries after that index.
func (n *testNode) expectNoGap(t *testing.T, after, last replicatedlog.Index, bodies []string) {
	t.Helper()
	n.mu.Lock()
	defer n.mu.Unlock()
	had := after
	starts := n.starts
	for i, at := range n.indexes {
		for len(starts) > 0 && starts[0].applied <= i {
			if starts[0].at <= had {
				t.Errorf("%s: started at %d after entry %d", n.Name, starts[0].at, had)
			}
			had = starts[0].at
			starts = starts[1:]
		}
		// The configuration of a start is applied, with its own index, before the start itself is recorded.
		configOfStart := len(starts) > 0 && starts[0].applied == i+1 && at <= starts[0].at
		if at != had+1 && !configOfStart {
			t.Errorf("%s: entry %d after %d", n.Name, at, had)
			return
		}
		if n.bodies[i] != bodies[at-after-1] {
			t.Errorf("%s: entry %d is %q", n.Name, at, n.bodies[i])
		}
		if !configOfStart {
			had = at
		}
	}
	if had != last {
		t.Errorf("%s: last entry %d, want %d", n.Name, had, last)
	}
}

// newPurges returns proposals of purges, with consecutively numbered keys.
func newPurges(first, count int) []replicatedlog.Proposal {
	var proposals []replicatedlog.Proposal
	for i := range count {
		key := fmt.Appendf(nil, "key-%d", first+i)
		proposals = append(proposals, controlclient.NewProposal(replicatedlog.Purge, key))
	}
	return proposals
}

func newConfig(text string) replicatedlog.Proposal {
	return controlclient.NewProposal(replicatedlog.Config, []byte(text))
}

// bodiesOf returns the bodies of proposals in order.
func bodiesOf(lists ...[]replicatedlog.Proposal) []string {
	var bodies []string
	for _, proposals := range lists {
		for _, p := range proposals {
			bodies = append(bodies, string(p.Body))
		}
	}
	return bodies
}
