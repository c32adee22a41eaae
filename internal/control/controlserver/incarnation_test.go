package controlserver

import (
	"fmt"
	"os"
	"testing"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"dahliapin/internal/control/controlwire"
	"dahliapin/internal/control/replicatedlog"
)

const (
	learnerServer = testServers - 1 // index of the learner
	learnerID     = testServers     // its id
)

// emptyLearner stops the learner and removes its data.
func (c *cluster) emptyLearner() {
	c.t.Helper()
	c.stop(learnerServer)
	c.replaceLearnerData(c.t.TempDir())
}

// replaceLearnerData gives the learner another data directory.
func (c *cluster) replaceLearnerData(dir string) { c.dirs[learnerServer] = dir }

// learner returns the running learner.
func (c *cluster) learner() *Server { return c.servers[learnerServer] }

// waitLearner waits until the learner has the log up to an index, and checks that it still runs.
func (c *cluster) waitLearner(index replicatedlog.Index) {
	c.t.Helper()
	eventually(c.t, 10*time.Second, fmt.Sprintf("the learner has entry %d, or has ended", index), func() bool {
		return c.learner().Last() >= index || c.learner().Err() != nil
	})
	if err := c.learner().Err(); err != nil {
		c.t.Fatalf("the learner ended by itself: %v", err)
	}
}

// compactLeader makes the leader save two snapshots, after which it has none of the earlier entries.
func (c *cluster) compactLeader() {
	c.t.Helper()
	for range 2 {
		done := make(chan error, 1)
		loop := c.servers[c.leader()].loop
		loop.call(func() { done <- loop.storage.Compact(loop.appliedIndex, loop.server.sharedLog.snapshot()) })
		if err := <-done; err != nil {
			c.t.Fatal(err)
		}
		c.publish(newPurges(9000, 1))
	}
}

// Guards against a learner that ends at each start while the same leader is in office: the leader remembered what the
// learner had acknowledged before it lost its data, and sent it commit indexes beyond its log, at which raft panics.
func TestEmptiedLearnerGetsTheLogAgain(t *testing.T) {
	for _, test := range []struct {
		name  string
		empty func(c *cluster)
	}{
		{"emptied", func(c *cluster) {
			c.emptyLearner()
			c.start(learnerServer, false)
		}},
		{"emptied while proposals are published", func(c *cluster) {
			c.emptyLearner()
			c.publish(newPurges(500, 30), c.nodeAddrsWithout(learnerServer)...)
			c.start(learnerServer, false)
		}},
		{"emptied three times", func(c *cluster) {
			for i := range 3 {
				c.emptyLearner()
				c.start(learnerServer, false)
				c.publish(newPurges(500+i, 1))
				c.waitLearner(c.servers[c.leader()].Last())
			}
		}},
		{"emptied again before it has the log", func(c *cluster) {
			for range 5 {
				c.emptyLearner()
				c.start(learnerServer, false)
			}
		}},
		{"emptied behind a snapshot", func(c *cluster) {
			c.emptyLearner()
			c.compactLeader()
			c.start(learnerServer, false)
		}},
		{"emptied while there is no leader", func(c *cluster) {
			c.stop(0)
			c.stop(1)
			c.emptyLearner()
			c.start(learnerServer, false)
			time.Sleep(4 * tickInterval)
			c.start(0, false)
			c.start(1, false)
		}},
		{"emptied while it is cut off", func(c *cluster) {
			c.cutOff(learnerServer)
			c.emptyLearner()
			c.start(learnerServer, false)
			c.publish(newPurges(500, 30), c.nodeAddrsWithout(learnerServer)...)
			c.reconnect(learnerServer)
		}},
		{"with an older copy of its data", func(c *cluster) {
			copied := c.t.TempDir()
			c.stop(learnerServer)
			if err := os.CopyFS(copied, os.DirFS(c.dirs[learnerServer])); err != nil {
				c.t.Fatal(err)
			}
			c.start(learnerServer, false)
			c.publish(newPurges(500, 30))
			c.waitLearner(50)
			c.stop(learnerServer)
			c.replaceLearnerData(copied)
			c.start(learnerServer, false)
		}},
		{"with its data", func(c *cluster) {
			c.stop(learnerServer)
			c.start(learnerServer, false)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, nil, nil)
			first := newPurges(0, 20)
			c.publish(first)
			c.waitLearner(20)
			test.empty(c)
			last := c.publish(newPurges(1000, 3))
			c.waitLearner(last[2])
			c.expectSameLogs()
		})
	}
}

// A node that follows only the learner must have each entry once and in order, although the learner has lost them
// meanwhile, and begin nowhere else.
func TestNodeOfAnEmptiedLearnerHasEachEntryOnce(t *testing.T) {
	t.Parallel()
	c := newCluster(t, nil, nil)
	n := c.followServers("n", 0, []string{nodeAddr(learnerServer)})
	waitStarted(t, n.started)
	first, last := newPurges(0, 20), newPurges(1000, 3)
	c.publish(first)
	c.waitApplied(n, 20)
	for range 2 {
		c.emptyLearner()
		c.start(learnerServer, false)
	}
	c.publish(last)
	c.waitApplied(n, 23)
	n.expectApplied(t, 1, bodiesOf(first, last)...)
	if status := n.Status(); status.Gaps != 0 || len(n.starts) != 1 {
		t.Errorf("%d starting points, %+v", len(n.starts), status)
	}
}

// expectSameLogs checks that the learner and the leader retain the same entries up to the learner's newest.
func (c *cluster) expectSameLogs() {
	c.t.Helper()
	entries := func(s *Server) map[replicatedlog.Index]string {
		s.sharedLog.mu.RLock()
		defer s.sharedLog.mu.RUnlock()
		retained := map[replicatedlog.Index]string{}
		state := s.sharedLog.state
		_, floor, last := state.ID(), state.Floor(), state.Last()
		for at := floor; at < last; at++ {
			raw, _, _ := state.EntriesAfter(at, 1)
			retained[at+1] = string(raw[0])
		}
		return retained
	}
	leader, learner := entries(c.servers[c.leader()]), entries(c.learner())
	for at, entry := range learner {
		if leader[at] != entry {
			c.t.Errorf("entry %d is %q, and %q at the leader", at, entry, leader[at])
		}
	}
}

// raftFrame returns a frame with one raft message, for an incarnation of its receiver.
func raftFrame(t *testing.T, message *pb.Message, incarnation uint64) controlwire.Message {
	t.Helper()
	encoded, err := proto.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	return controlwire.Message{
		Kind:         controlwire.KindRaft,
		RaftMessages: [][]byte{encoded},
		Incarnation:  incarnation,
	}
}

// connectAs connects to a control server as another one, with its hello.
func connectAs(t *testing.T, id, incarnation uint64, to *Server) *controlwire.Stream {
	t.Helper()
	addr := to.peerListener.Addr().String()
	stream, err := controlwire.Dial(nil, addr, controlwire.StreamPeer, testLabel, controlwire.MaxPeerFrameBytes)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { stream.Close() })
	send(t, stream, helloAs(id, incarnation))
	return stream
}

// helloAs returns another control server's hello.
func helloAs(id, incarnation uint64) controlwire.Message {
	return controlwire.Message{Kind: controlwire.KindHello, Index: id, Incarnation: incarnation}
}

func send(t *testing.T, stream *controlwire.Stream, message controlwire.Message) {
	t.Helper()
	if _, err := stream.Send(message, time.Second); err != nil {
		t.Fatal(err)
	}
}

// waitIncarnation waits until a server knows the incarnation of the running learner.
func (c *cluster) waitIncarnation(server *Server) {
	c.t.Helper()
	eventually(c.t, 5*time.Second, "the incarnation is known", func() bool {
		known := make(chan uint64, 1)
		server.loop.call(func() { known <- server.peers[learnerID].incarnation })
		return <-known == c.learner().incarnation
	})
}

// expectDropped waits until a server has dropped another message.
func expectDropped(t *testing.T, server *Server, before uint64) {
	t.Helper()
	isDropped := func() bool { return server.status.invalid.Load() > before }
	eventually(t, 5*time.Second, "the message is dropped", isDropped)
}

// newEmptiedCluster starts a cluster whose learner has lost its data. It returns the leader, which knows the learner's
// new process, the incarnation of the earlier one, and a stream to the leader that the earlier one has opened.
func newEmptiedCluster(t *testing.T) (c *cluster, leader *Server, earlier uint64, late *controlwire.Stream) {
	t.Helper()
	c = newCluster(t, nil, nil)
	c.publish(newPurges(0, 20))
	c.waitLearner(20)
	leader = c.servers[c.leader()]
	earlier = c.learner().incarnation
	late = connectAs(t, learnerID, earlier, leader)
	c.emptyLearner()
	c.start(learnerServer, false)
	c.waitIncarnation(leader)
	return c, leader, earlier, late
}

// Guards against late messages from the time before a learner lost its data: a heartbeat for its earlier process, with
// a commit index beyond its log, and an acknowledgement of that process, which would restore its progress.
func TestLateMessagesOfAnEarlierProcessOfALearnerAreDropped(t *testing.T) {
	t.Parallel()
	c, leader, earlier, late := newEmptiedCluster(t)
	term := leader.loop.leadership.Load().term
	heartbeat := &pb.Message{
		Type:   pb.MsgHeartbeat.Enum(),
		From:   proto.Uint64(leader.id),
		To:     proto.Uint64(learnerID),
		Term:   proto.Uint64(term),
		Commit: proto.Uint64(1000),
	}
	dropped := c.learner().status.invalid.Load()
	send(t, connectAs(t, leader.id, 0, c.learner()), raftFrame(t, heartbeat, earlier))
	expectDropped(t, c.learner(), dropped)
	acknowledgement := &pb.Message{
		Type:  pb.MsgAppResp.Enum(),
		From:  proto.Uint64(learnerID),
		To:    proto.Uint64(leader.id),
		Term:  proto.Uint64(term),
		Index: proto.Uint64(1000),
	}
	dropped = leader.status.invalid.Load()
	send(t, late, raftFrame(t, acknowledgement, 0))
	expectDropped(t, leader, dropped)
	c.waitLearner(c.publish(newPurges(1000, 3))[2])
	c.expectSameLogs()
}

// Guards against a learner that gets nothing any more: a late hello of its earlier process has replaced its incarnation
// at the leader, whose messages it therefore drops.
func TestLearnerStatesItsIncarnationAgain(t *testing.T) {
	t.Parallel()
	c, _, earlier, late := newEmptiedCluster(t)
	send(t, late, helloAs(learnerID, earlier))
	eventually(t, 5*time.Second, "messages for the earlier process arrive", func() bool {
		return c.learner().status.invalid.Load() > 0
	})
	c.waitLearner(c.publish(newPurges(1000, 3))[2])
	c.expectSameLogs()
}

// Messages that were made for an earlier process of a learner must not be sent together with those for the present one,
// in a frame that names only one of them.
func TestFrameHoldsMessagesForOneIncarnation(t *testing.T) {
	for _, test := range []struct {
		incarnations []uint64
		want         int
	}{
		{[]uint64{0}, 1},
		{[]uint64{7, 7, 7}, 3},
		{[]uint64{7, 7, 9}, 1},
		{[]uint64{0, 9, 9}, 2},
		{[]uint64{7, 9, 7}, 1},
	} {
		var messages []outgoingMessage
		for _, incarnation := range test.incarnations {
			messages = append(messages, outgoingMessage{incarnation: incarnation})
		}
		if got := forLatestIncarnation(messages); len(got) != test.want {
			t.Errorf("%d: %d messages are sent, want %d", test.incarnations, len(got), test.want)
		}
	}
}
