package controlserver

import (
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"dahliapin/internal/config/fleetconfig"
	"dahliapin/internal/control/controlwire"
	"dahliapin/internal/keyhash"
)

const (
	outboxMessages      = 4096                   // raft messages that wait; more are dropped and sent again
	maxRaftFrameBytes   = 1 << 20                // of entries and snapshots, from which on a frame takes no more
	firstReconnectDelay = 50 * time.Millisecond  // backoff before a stream is opened again
	statusInterval      = 300 * time.Millisecond // between two status reports to another control server
	peerTimeout         = 5 * time.Second        // silence of another control server, which reports each statusInterval
)

// peer sends to another control server, over a stream that goes one way: the other one opens its own.
type peer struct {
	fleetconfig.Machine
	server *Server
	outbox chan *pb.Message
	random keyhash.Source // jitter of the backoff
}

func startPeer(s *Server, other fleetconfig.Machine) *peer {
	p := &peer{
		Machine: other,
		server:  s,
		outbox:  make(chan *pb.Message, outboxMessages),
		random:  keyhash.Source{Seed: uint32(keyhash.Salted(s.id, int(other.ID)))},
	}
	s.goroutines.Go(p.run)
	return p
}

// send queues a message. It is called by the loop, and drops what there is no capacity for.
func (p *peer) send(message *pb.Message) {
	select {
	case p.outbox <- message:
	default:
		p.reportLost(message)
	}
}

// reportLost tells raft that a message did not arrive, so that it probes the other server before it sends more. It is
// called by the loop.
func (p *peer) reportLost(message *pb.Message) {
	p.server.loop.node.ReportUnreachable(p.ID)
	if message.GetType() == pb.MsgSnap {
		p.server.loop.node.ReportSnapshot(p.ID, raft.SnapshotFailure)
	}
}

// run keeps a stream open until the server ends.
func (p *peer) run() {
	for attempt := 0; ; attempt++ {
		if attempt > 0 {
			delay := controlwire.ReconnectDelay(firstReconnectDelay, attempt, p.random.Float64())
			if !p.dropFor(delay) {
				return
			}
		}
		select {
		case <-p.server.closed:
			return
		default:
		}
		label := p.server.File.Control.Label
		maxFrame := controlwire.MaxPeerFrameBytes
		stream, err := controlwire.Dial(p.server.Dial, p.Addr, controlwire.StreamPeer, label, maxFrame)
		if err != nil {
			continue
		}
		if !p.server.connections.add(stream.Conn) {
			return
		}
		hello := controlwire.Message{Kind: controlwire.KindHello, Index: p.server.id}
		if _, err := stream.Send(hello, controlwire.HandshakeTimeout); err == nil {
			attempt = 0
			p.sendOver(stream)
		}
		p.server.connections.remove(stream.Conn)
	}
}

// dropFor waits, and drops what is queued meanwhile: raft's messages are out of date by the time that a stream is
// open. It returns false when the server ends.
func (p *peer) dropFor(delay time.Duration) bool {
	for delay > 0 {
		began := time.Now()
		select {
		case message := <-p.outbox:
			p.server.loop.call(func() { p.reportLost(message) })
		case <-time.After(delay):
		case <-p.server.closed:
			return false
		}
		delay -= time.Since(began)
	}
	return true
}

// sendOver sends raft messages and status reports over a stream until it breaks.
func (p *peer) sendOver(stream *controlwire.Stream) {
	ticker := time.NewTicker(statusInterval)
	defer ticker.Stop()
	broken := make(chan struct{})
	p.server.goroutines.Go(func() {
		// Nothing arrives this way but the stream's end, which a write would notice only with the second one after
		// it.
		_, _ = stream.Conn.Read(make([]byte, 1))
		close(broken)
	}) // it ends when run closes the stream
	for {
		var err error
		select {
		case first := <-p.outbox:
			err = p.sendRaft(stream, first)
		case <-ticker.C:
			err = p.sendFrame(stream, p.server.status.ownTable(), controlwire.WriteTimeout)
		case <-broken:
			return
		case <-p.server.closed:
			return
		}
		if err != nil {
			return
		}
	}
}

// sendRaft sends a message together with those queued behind it, and tells raft of those that were lost and of
// snapshots that arrived.
func (p *peer) sendRaft(stream *controlwire.Stream, first *pb.Message) error {
	messages := []*pb.Message{first}
	size := len(first.GetSnapshot().GetData())
	for size < maxRaftFrameBytes && len(p.outbox) > 0 && len(messages) < maxLoopInputs {
		message := <-p.outbox
		for _, entry := range message.GetEntries() {
			size += len(entry.GetData())
		}
		size += len(message.GetSnapshot().GetData())
		messages = append(messages, message)
	}
	frame := controlwire.Message{Kind: controlwire.KindRaft}
	for _, message := range messages {
		if encoded, err := proto.Marshal(message); err == nil {
			frame.RaftMessages = append(frame.RaftMessages, encoded)
		}
	}
	timeout := controlwire.WriteTimeout
	if size > controlwire.MaxFrameBytes {
		timeout = controlwire.SnapshotTimeout
	}
	err := p.sendFrame(stream, frame, timeout)
	for _, message := range messages {
		if err != nil {
			p.server.loop.call(func() { p.reportLost(message) })
		} else if message.GetType() == pb.MsgSnap {
			p.server.loop.call(func() { p.server.loop.node.ReportSnapshot(p.ID, raft.SnapshotFinish) })
		}
	}
	return err
}

func (p *peer) sendFrame(stream *controlwire.Stream, frame controlwire.Message, timeout time.Duration) error {
	sent, err := stream.Send(frame, timeout)
	p.server.status.bytesOut.Add(uint64(sent))
	return err
}

// servePeer receives what another control server sends, until its stream ends.
func (s *Server) servePeer(stream *controlwire.Stream) {
	if kind, err := stream.AcceptPreface(s.File.Control.Label); err != nil || kind != controlwire.StreamPeer {
		s.status.invalid.Add(1)
		return
	}
	hello, _, err := stream.Receive(controlwire.HandshakeTimeout)
	if err != nil || hello.Kind != controlwire.KindHello || s.peers[hello.Index] == nil {
		s.status.invalid.Add(1)
		return
	}
	from := hello.Index
	for {
		message, size, err := stream.Receive(peerTimeout)
		if err != nil {
			return
		}
		s.status.bytesIn.Add(uint64(size))
		switch message.Kind {
		case controlwire.KindStatusTable:
			s.status.mergePeerTable(from, message)
		case controlwire.KindRaft:
			if !s.receiveRaft(from, message.RaftMessages) {
				return
			}
		}
	}
}

// receiveRaft hands raft messages to the loop, and returns false when the server ends. A message that is not for this
// server, or not the sender's own, is counted and dropped; proposals are forwarded with their origin's id.
func (s *Server) receiveRaft(from uint64, encoded [][]byte) bool {
	for _, one := range encoded {
		message := &pb.Message{}
		err := proto.Unmarshal(one, message)
		forged := message.GetFrom() != from && message.GetType() != pb.MsgProp
		if err != nil || message.GetTo() != s.id || forged || raft.IsLocalMsg(message.GetType()) {
			s.status.invalid.Add(1)
			continue
		}
		select {
		case s.loop.messages <- message:
		case <-s.closed:
			return false
		}
	}
	return true
}
