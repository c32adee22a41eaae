package controlserver

import (
	"testing"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Guards against a control server that is taken for the one that had its address before: it would apply what was meant
// for the other one. It must drop such messages, with a higher term or a commit index beyond its log as well, whether
// they come from the leader or from another server, and must go on in its term.
func TestServerAtTheAddressOfAnotherDropsItsMessages(t *testing.T) {
	t.Parallel()
	c := newCluster(t, nil, nil)
	c.publish(newPurges(0, 20))
	c.waitLearner(20)
	leader := c.servers[c.leader()]
	term := leader.loop.leadership.Load().term
	for _, receiver := range c.servers {
		if receiver == leader {
			continue
		}
		stream := connectAs(t, leader.id, 0, receiver)
		for _, kind := range []pb.MessageType{pb.MsgHeartbeat, pb.MsgApp, pb.MsgVote, pb.MsgSnap} {
			message := &pb.Message{
				Type:   kind.Enum(),
				From:   proto.Uint64(leader.id),
				To:     proto.Uint64(otherServer(receiver.id)),
				Term:   proto.Uint64(term + 5),
				Commit: proto.Uint64(1000),
			}
			dropped := receiver.status.invalid.Load()
			send(t, stream, raftFrame(t, message, 0))
			expectDropped(t, receiver, dropped)
		}
	}
	ids := c.publish(newPurges(1000, 3))
	c.waitLearner(ids[2])
	c.expectSameLogs()
	if got := leader.loop.leadership.Load().term; got != term {
		t.Errorf("the term is %d, before %d", got, term)
	}
}

// otherServer returns the id of another control server of the cluster.
func otherServer(id uint64) uint64 {
	if id == 1 {
		return 2
	}
	return 1
}
