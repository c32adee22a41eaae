package controlserver

import (
	"fmt"
	"testing"
	"time"

	"dahliapin/internal/config/fleetconfig"
	"dahliapin/internal/control/controlwire"
	"dahliapin/internal/control/replicatedlog"
)

// The leader is partitioned from the other servers, but not from nodes. It must order nothing, its nodes must move to
// other servers, and a client that asks it first must not wait for it. A proposal that it received is ordered once it
// is reconnected.
func TestNodesLeaveAServerWithoutALeader(t *testing.T) {
	t.Parallel()
	c := newCluster(t, nil, nil)
	var nodes []*testNode
	for i := range 4 {
		nodes = append(nodes, c.follow(fmt.Sprintf("n%d", i), uint32(i)))
	}
	c.publish(newPurges(0, 1))
	for _, n := range nodes {
		c.waitApplied(n, 1-min(1, n.Status().PresumedPurged))
	}
	isolated := c.leader()
	server := c.servers[isolated]
	near := c.follow("near", c.seedFor(isolated)) // a node that prefers this server
	c.waitApplied(near, 1-min(1, near.Status().PresumedPurged))
	nodes = append(nodes, near)

	c.cutOff(isolated)
	began := time.Now()
	c.publish(newPurges(1, 1), append([]string{nodeAddr(isolated)}, c.nodeAddrsWithout(isolated)...)...)
	if took := time.Since(began); took > controlwire.OrderTimeout/2 {
		t.Errorf("publishing took %v with the partitioned server first", took)
	}
	for _, n := range nodes {
		c.waitApplied(n, 2)
	}
	if server.Last() != 1 {
		t.Errorf("partitioned server: last entry %d, want 1", server.Last())
	}
	server.loop.publishes <- newPublishCall(newPurges(9, 1))
	time.Sleep(700 * time.Millisecond)
	if server.Last() != 1 || server.IsLeader() {
		t.Errorf("partitioned server after a proposal: last entry %d, leader %t", server.Last(), server.IsLeader())
	}

	c.reconnect(isolated)
	indexes := c.publish(newPurges(2, 1))
	for _, n := range nodes {
		c.waitApplied(n, indexes[0])
	}
	c.waitApplied(nodes[0], 4) // including the proposal that waited at the partitioned server
}

// A node and a server are disconnected while more entries are published than are retained. When they are back, the
// server must restart from a snapshot, and the node from the floor, with the latest configuration, presuming all
// earlier keys purged.
//
// While a server catches up it has intermediate floors, such as 3 after the first batch of 1024. The first node, which
// returns together with the server, may start at such a floor, at any server. The second one returns once all servers
// have all entries, and starts at the final floor.
func TestNodeAndServerBehindTheFloorStartAnew(t *testing.T) {
	t.Parallel()
	const (
		retainedEntries = 1024
		last            = 2003
	)
	c := newCluster(t, func(file *fleetconfig.ControlFile) { file.Bounds.Entries = retainedEntries }, nil)
	first := c.follow("first", 1)
	second := c.follow("second", 2)
	nodes := []*testNode{first, second}
	c.publish([]replicatedlog.Proposal{newConfig("first"), newConfig("bad one")})
	for _, n := range nodes {
		c.waitApplied(n, 2)
		if s := n.Status(); s.Config > 1 || s.PresumedPurged < 2 && (s.Refused != 2 || s.Reason == "") {
			t.Errorf("%s: unexpected configuration status: %+v", n.Name, s)
		}
		n.setCut(true)
		n.forget()
	}
	behind := (c.leader() + 1) % 3
	c.stop(behind)
	c.publish([]replicatedlog.Proposal{newConfig("second")}, c.nodeAddrsWithout(behind)...)
	late := newPurges(0, 2000)
	c.publish(late, c.nodeAddrsWithout(behind)...)
	if s := first.Status(); s.Stale != (s.SinceLeaderS > 1) {
		t.Errorf("Stale does not match SinceLeaderS: %+v", s)
	}

	c.start(behind, false)
	first.setCut(false)
	c.waitApplied(first, last)
	first.expectNoGap(t, 2, last, append([]string{"second"}, bodiesOf(late)...))
	if s := first.Status(); s.Config != 3 {
		t.Errorf("first node lacks the latest configuration: %+v", s)
	}

	for i, server := range c.servers {
		hasAll := func() bool { return server.Last() >= last }
		eventually(t, 10*time.Second, fmt.Sprintf("server %d has all", i), hasAll)
	}
	second.setCut(false)
	c.waitApplied(second, last)
	floor := second.Status().PresumedPurged
	if floor < last-retainedEntries || floor > min(last-1, c.highestFloor()) { // a later start skips retained entries
		t.Fatalf("node started at %d, want a floor from %d to %d",
			floor, last-retainedEntries, min(last-1, c.highestFloor()))
	}
	if second.Status().Config != 3 {
		t.Errorf("second node lacks the latest configuration: %+v", second.Status())
	}
	second.mu.Lock()
	second.indexes[0] = floor // the configuration in force at the floor
	second.mu.Unlock()
	second.expectApplied(t, floor, append([]string{"second"}, bodiesOf(late)[floor-3:]...)...)
}

// All disks are lost and a new log begins. A node that has applied more of the old log must start again; otherwise it
// would skip the first entries of the new log, whose indexes it has already passed.
func TestNodesStartAnewWithAnotherLog(t *testing.T) {
	t.Parallel()
	c := newCluster(t, nil, nil)
	n := c.follow("n", 1)
	c.publish(newPurges(0, 20))
	c.waitApplied(n, 20)
	for i := range c.servers {
		c.stop(i)
		c.dirs[i] = t.TempDir()
	}
	n.forget()
	for i := range c.servers {
		c.start(i, true)
	}
	eventually(t, 10*time.Second, "the node starts again", func() bool { return n.Status().Applied <= 5 })
	started := n.Status().PresumedPurged
	late := newPurges(100, 5)
	c.publish(late)
	c.waitApplied(n, 5)
	n.expectApplied(t, started+1, bodiesOf(late)[started:]...)
}

// A node reports frequently while nothing is published. Reports wake the delivery, but must not delay its heartbeats:
// the node would leave the server.
func TestFrequentReportsDoNotDelayHeartbeats(t *testing.T) {
	t.Parallel()
	c := newCluster(t, nil, nil)
	c.publish(newPurges(0, 1))
	addr := c.servers[c.leader()].Addr()
	stream, err := controlwire.Dial(nil, addr, controlwire.StreamFollower, testLabel, controlwire.MaxFrameBytes)
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	go func() {
		reports := []controlwire.NodeReport{{Node: "n"}}
		message := controlwire.Message{Kind: controlwire.KindHello, Fresh: true, Nodes: reports}
		for ; ; time.Sleep(controlwire.HeartbeatInterval / 3) {
			if _, err := stream.Send(message, controlwire.WriteTimeout); err != nil {
				return
			}
			message.Kind = controlwire.KindProgress
		}
	}()
	for range 4 { // a start and three heartbeats
		if _, _, err := stream.Receive(2 * controlwire.HeartbeatInterval); err != nil {
			t.Fatal(err)
		}
	}
}
