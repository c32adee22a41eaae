package controlserver

import (
	"net"
	"testing"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"

	"dahliapin/internal/control/controlwire"
)

// appendMessage returns a raft message with one entry of the given size.
func appendMessage(bytes int) *pb.Message {
	return &pb.Message{Type: pb.MsgApp.Enum(), Entries: []*pb.Entry{{Data: make([]byte, bytes)}}}
}

// receiveFrame sends a raft message, with others queued behind it, and returns how many messages the frame holds.
func receiveFrame(t *testing.T, first *pb.Message, queued ...*pb.Message) int {
	t.Helper()
	server := &Server{lifecycle: newLifecycle()}
	server.status = newStatusTable(server)
	server.loop = &raftLoop{server: server, functions: make(chan func(), len(queued)+1)}
	p := &peer{server: server, outbox: make(chan outgoingMessage, len(queued))}
	for _, message := range queued {
		p.send(message)
	}
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	sent := make(chan error, 1)
	go func() {
		sent <- p.sendRaft(controlwire.NewStream(near, controlwire.MaxPeerFrameBytes), outgoingMessage{Message: first})
	}()
	frame, _, err := controlwire.NewStream(far, controlwire.MaxPeerFrameBytes).Receive(5 * time.Second)
	if err != nil {
		t.Fatal(err)
	}
	if err := <-sent; err != nil {
		t.Fatal(err)
	}
	return len(frame.RaftMessages)
}

// Messages are added to a frame until it has maxRaftFrameBytes. The entries of its first message count as well.
func TestNoMessageIsAddedToAFullFrame(t *testing.T) {
	half := maxRaftFrameBytes / 2
	for _, test := range []struct {
		name   string
		first  *pb.Message
		queued []*pb.Message
		want   int
	}{
		{"first is full", appendMessage(maxRaftFrameBytes), []*pb.Message{appendMessage(1)}, 1},
		{"full with the second", appendMessage(half), []*pb.Message{appendMessage(half), appendMessage(1)}, 2},
		{"not full", appendMessage(half), []*pb.Message{appendMessage(half - 1), appendMessage(1)}, 3},
		{
			"first is a full snapshot",
			&pb.Message{Type: pb.MsgSnap.Enum(), Snapshot: &pb.Snapshot{Data: make([]byte, maxRaftFrameBytes)}},
			[]*pb.Message{appendMessage(1)}, 1,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := receiveFrame(t, test.first, test.queued...); got != test.want {
				t.Errorf("%d messages in the frame, want %d", got, test.want)
			}
		})
	}
}
