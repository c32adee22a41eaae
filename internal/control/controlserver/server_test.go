package controlserver

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"

	"dahliapin/internal/control/controlclient"
	"dahliapin/internal/control/controlwire"
	"dahliapin/internal/control/replicatedlog"
	"dahliapin/internal/control/replicatedlog/store"
)

// PeersAddr returns the address at which other control servers are accepted.
func (s *Server) PeersAddr() string { return s.peerListener.Addr().String() }

// IsLeader reports whether the server considers itself the leader.
func (s *Server) IsLeader() bool { return s.loop.leadership.Load().isLeader }

// Proposals are published one by one, each a second time at another server, as by a client that got no answer. Then the
// leader is stopped, a node is cut off, a thousand purges are published, and the leader, with its data, and the node
// come back. Each proposal must become one entry, which every node applies once and in order.
func TestChangesReachAllNodesOnceWhileTheLeaderRestarts(t *testing.T) {
	t.Parallel()
	c := newCluster(t, nil, nil)
	var nodes []*testNode
	for i := range 24 {
		nodes = append(nodes, c.follow(fmt.Sprintf("n%02d", i), uint32(i)))
	}
	for _, n := range nodes {
		waitStarted(t, n.started)
	}
	single, burst, last := newPurges(0, 5), newPurges(100, 1000), newPurges(2000, 7)
	for i := range single {
		indexes := c.publish(single[i:i+1], nodeAddr(i%4))
		again := c.publish(single[i:i+1], nodeAddr((i+1)%4))
		if indexes[0] != replicatedlog.Index(i+1) || again[0] != indexes[0] {
			t.Errorf("first indexes %v, indexes of the repeated call %v", indexes, again)
		}
	}
	leader := c.leader()
	c.stop(leader)
	nodes[0].setCut(true)
	if indexes := c.publish(burst); indexes[0] != 6 || indexes[999] != 1005 {
		t.Errorf("a burst was ordered from %d to %d", indexes[0], indexes[999])
	}
	c.start(leader, false)
	c.publish(last, nodeAddr(leader))
	nodes[0].setCut(false)
	servers := map[string]bool{}
	for _, n := range nodes {
		c.waitApplied(n, 1012)
		n.expectApplied(t, 1, bodiesOf(single, burst, last)...)
		status := n.Status()
		if status.Gaps != 0 || status.Purges != 1012 {
			t.Errorf("unexpected gaps or purges: %+v", status)
		}
	}
	for _, n := range nodes {
		servers[n.Status().Server] = true
	}
	if len(servers) < 3 {
		t.Errorf("nodes are not spread over the servers: %v", servers)
	}
	time.Sleep(2 * controlwire.ProgressInterval)
	o, err := c.client().Overview()
	if err != nil || !o.CaughtUp() || len(o.Nodes) != 24 || o.Last != 1012 || len(o.Servers) != testServers {
		t.Errorf("%v: %+v", err, o)
	}
	if err := c.servers[leader].Err(); err != nil {
		t.Error(err)
	}
}

// fullDisk is a storage whose writes fail once fill was called.
type fullDisk struct {
	Storage
	mu   sync.Mutex
	full bool
}

func (d *fullDisk) fill() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full = true
}

func (d *fullDisk) Save(hard *pb.HardState, entries []*pb.Entry, snapshot *pb.Snapshot) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.full {
		return errors.New("no space left")
	}
	return d.Storage.Save(hard, entries, snapshot)
}

// The leader's disk is full. The leader must acknowledge nothing more and stop with that error; the other servers must
// elect a new leader and continue.
func TestServerStopsWhenItsDiskIsFull(t *testing.T) {
	t.Parallel()
	var disks [testServers]*fullDisk
	c := newCluster(t, nil, func(i int, config *Config) {
		owner := store.Owner{ID: uint64(i + 1), Label: testLabel}
		s, err := store.Open(config.File.Control.Data, owner, []uint64{1, 2, 3}, []uint64{4}, true)
		if err != nil {
			t.Fatal(err)
		}
		disks[i] = &fullDisk{Storage: s}
		config.Storage = disks[i]
	})
	c.publish(newPurges(0, 1))
	leader := c.leader()
	disks[leader].fill()
	if indexes := c.publish(newPurges(1, 1)); indexes[0] != 2 {
		t.Errorf("ordered at %d, want 2", indexes)
	}
	select {
	case <-c.servers[leader].Done():
	case <-time.After(5 * time.Second):
		t.Fatal("the server still runs")
	}
	if err := c.servers[leader].Err(); err == nil || !strings.Contains(err.Error(), "no space left") {
		t.Errorf("the server stopped with %v", err)
	}
}

// Streams of other protocols, of another fleet and with malformed frames must be closed without an answer, and counted.
func TestInvalidStreamsAreClosedAndCounted(t *testing.T) {
	t.Parallel()
	c := newCluster(t, nil, nil)
	c.publish(newPurges(0, 1))
	server := c.servers[0]
	before := server.status.invalid.Load()
	preface := controlwire.Preface(controlwire.StreamFollower, testLabel)
	for _, sent := range [][]byte{
		[]byte("GET / HTTP/1.1\r\n\r\n"),
		controlwire.Preface(controlwire.StreamFollower, "another"),
		controlwire.Preface('x', testLabel),
		append(preface[:len(preface):len(preface)], 0xff, 0xff, 0xff, 0xff),
		append(preface[:len(preface):len(preface)], 0, 0, 0, 1, 0xff),
	} {
		expectClosed(t, server.Addr(), sent)
		expectClosed(t, server.PeersAddr(), sent)
	}
	if got := server.status.invalid.Load() - before; got != 10 {
		t.Errorf("%d invalid streams counted, want 10", got)
	}
	o, err := (controlclient.Client{Servers: []string{server.Addr()}, Label: testLabel}).Overview()
	if err != nil || o.Servers[0].Invalid != before+10 || o.Servers[0].BytesOut == 0 {
		t.Errorf("overview: %v, %+v", err, o)
	}
}

// expectClosed sends bytes to an address and checks that the connection is closed without an answer.
func expectClosed(t *testing.T, addr string, sent []byte) {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, _ = conn.Write(sent)
	_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	if n, err := conn.Read(make([]byte, 1)); n > 0 || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("% x: %d bytes, %v", sent, n, err)
	}
}
