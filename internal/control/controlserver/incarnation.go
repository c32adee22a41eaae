package controlserver

import (
	"crypto/rand"
	"encoding/binary"

	"github.com/sirupsen/logrus"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"

	"dahliapin/internal/config/fleetconfig"
	"dahliapin/internal/control/controlwire"
)

// A learner may lose its data directory and start again with an empty one. The leader remembers how much of the log the
// learner has acknowledged (raft's progress), never lowers that, and sends commit indexes up to it, which raft at the
// learner cannot follow. So each process of a learner has an incarnation, a random number that it states to the other
// control servers:
//
//   - The leader forgets a learner's progress when the learner states another incarnation, and then finds out anew how
//     much of the log the learner has.
//   - Messages to a learner name the incarnation that the sender knew when raft made them. The learner drops those for
//     another one: the progress that they rely on may be that of a lost directory.
//   - Messages of a learner are dropped if they were sent by another process than the one whose incarnation is known.
//     Otherwise a late acknowledgement could restore the progress of a lost directory.
//
// A voter has no incarnation, because it may never lose its directory.

// peerMessage is a raft message of another control server or, if message is nil, its statement of its incarnation.
type peerMessage struct {
	from        uint64 // the server's id
	incarnation uint64 // of the process that has sent it, if that is a learner's, otherwise 0
	message     *pb.Message
}

// outgoingMessage is a raft message to another control server.
type outgoingMessage struct {
	*pb.Message
	incarnation uint64 // of the receiver, as known when raft made the message
}

// newIncarnation returns a random incarnation for a process of a learner, and 0 for a voter.
func newIncarnation(self fleetconfig.ControlServer) uint64 {
	if !self.Learner {
		return 0
	}
	var random [8]byte
	_, _ = rand.Read(random[:])                      // never fails
	return binary.LittleEndian.Uint64(random[:]) | 1 // 0 stands for unknown
}

// peerHello returns the message by which this server introduces itself to another control server.
func (s *Server) peerHello() controlwire.Message {
	return controlwire.Message{Kind: controlwire.KindHello, Index: s.id, Incarnation: s.incarnation}
}

// forLatestIncarnation returns the messages that are for the same process of the receiver as the last one.
func forLatestIncarnation(messages []outgoingMessage) []outgoingMessage {
	latest := messages[len(messages)-1].incarnation
	first := len(messages) - 1
	for first > 0 && messages[first-1].incarnation == latest {
		first--
	}
	return messages[first:]
}

// receive handles a message of another control server.
func (l *raftLoop) receive(received peerMessage) {
	sender := l.server.peers[received.from]
	switch {
	case received.message == nil:
		sender.statedIncarnation = received.incarnation
	case sender.Learner && received.incarnation != sender.incarnation:
		l.server.status.invalid.Add(1)
	default:
		l.step(received.message)
	}
}

// updateIncarnations records the incarnations that learners have stated. For each that has changed, the leader forgets
// the learner's progress. It must be called when raft has no messages left to send: those that it made before rely on
// the earlier progress, and would be sent to the learner's new process otherwise.
func (l *raftLoop) updateIncarnations() {
	for _, peer := range l.server.peers {
		if !peer.Learner || peer.incarnation == peer.statedIncarnation {
			continue
		}
		peer.incarnation = peer.statedIncarnation
		l.forgetProgress(peer.ID)
	}
}

// forgetProgress makes the leader forget how much of the log a learner has. Raft has no call for that, but a learner
// that is removed from the members and added again starts without progress. This is done in the leader's memory only:
// the members do not change, no other server needs to know, and no majority depends on a learner.
func (l *raftLoop) forgetProgress(learner uint64) {
	status := l.node.Status()
	if _, ok := status.Config.Learners[learner]; !ok || status.RaftState != raft.StateLeader {
		return
	}
	match := status.Progress[learner].Match
	for _, change := range []pb.ConfChangeType{pb.ConfChangeRemoveNode, pb.ConfChangeAddLearnerNode} {
		l.node.ApplyConfChange(&pb.ConfChange{Type: change.Enum(), NodeId: &learner})
	}
	l.server.Log.WithFields(logrus.Fields{"id": learner, "acknowledged": match}).
		Info("learner started again; finding out how much of the log it has")
}
