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
	outboxMessages     = 4096                   // queued raft messages; more are dropped, and raft sends them again
	maxRaftFrameBytes  = 1 << 20                // no further messages are added to a frame beyond it
	reconnectDelayBase = 50 * time.Millisecond  // base of the backoff, see controlwire.ReconnectDelay
	statusInterval     = 300 * time.Millisecond // between two status reports to another control server
	peerTimeout        = 5 * time.Second        // without a message of a server, which reports each statusInterval
)

// peer sends to another control server over a one-way stream. The other server opens a stream for its own messages.
type peer struct {
	fleetconfig.ControlServer
	server *Server
	outbox chan outgoingMessage
	random keyhash.Source // jitter of the backoff

	// The loop owns these incarnations, which are 0 for a voter, and while they are unknown.
	incarnation       uint64 // names the process that messages are for and from
	statedIncarnation uint64 // the last one stated; see updateIncarnations
}

func startPeer(s *Server, other fleetconfig.ControlServer) *peer {
	p := &peer{
		ControlServer: other,
		server:        s,
		outbox:        make(chan outgoingMessage, outboxMessages),
		random:        keyhash.Source{Seed: uint32(keyhash.Salted(s.id, int(other.ID)))},
	}
	s.goroutines.Go(p.run)
	return p
}

// send queues a message, or drops it if the queue is full. Only the loop may call it.
func (p *peer) send(message *pb.Message) {
	select {
	case p.outbox <- outgoingMessage{Message: message, incarnation: p.incarnation}:
	default:
		p.reportLost(message)
	}
}

// reportLost tells raft that a message was lost, so that raft probes the other server before it sends more. Only the
// loop may call it.
func (p *peer) reportLost(message *pb.Message) {
	p.server.loop.node.ReportUnreachable(p.ID)
	if message.GetType() == pb.MsgSnap {
		p.server.loop.node.ReportSnapshot(p.ID, raft.SnapshotFailure)
	}
}

// run keeps a stream open until the server stops.
func (p *peer) run() {
	for attempt := 0; ; attempt++ {
		if attempt > 0 {
			delay := controlwire.ReconnectDelay(reconnectDelayBase, attempt, p.random.Float64())
			if !p.dropMessagesFor(delay) {
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
		if _, err := stream.Send(p.server.peerHello(), controlwire.HandshakeTimeout); err == nil {
			attempt = 0
			p.sendUntilBroken(stream)
		}
		p.server.connections.remove(stream.Conn)
	}
}

// dropMessagesFor waits, and drops messages that are queued meanwhile: they would be out of date by the time a
// stream is open. It returns false when the server stops.
func (p *peer) dropMessagesFor(delay time.Duration) bool {
	for delay > 0 {
		began := time.Now()
		select {
		case message := <-p.outbox:
			p.server.loop.call(func() { p.reportLost(message.Message) })
		case <-time.After(delay):
		case <-p.server.closed:
			return false
		}
		delay -= time.Since(began)
	}
	return true
}

// sendUntilBroken sends raft messages and status reports over a stream until it fails.
func (p *peer) sendUntilBroken(stream *controlwire.Stream) {
	ticker := time.NewTicker(statusInterval)
	defer ticker.Stop()
	broken := make(chan struct{})
	p.server.goroutines.Go(func() {
		// The other server sends nothing; the read detects the end of the stream, which otherwise only the second
		// write after it would detect.
		_, _ = stream.Conn.Read(make([]byte, 1))
		close(broken)
	}) // ends when run closes the stream
	for {
		var err error
		select {
		case first := <-p.outbox:
			err = p.sendRaft(stream, first)
		case <-ticker.C:
			err = p.sendStatus(stream)
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

// sendStatus sends this server's reports. A learner states its incarnation again, because a late message of its earlier
// process may have replaced it.
func (p *peer) sendStatus(stream *controlwire.Stream) error {
	if p.server.incarnation != 0 {
		if err := p.sendFrame(stream, p.server.peerHello(), controlwire.WriteTimeout); err != nil {
			return err
		}
	}
	return p.sendFrame(stream, p.server.status.ownTable(), controlwire.WriteTimeout)
}

// sendRaft sends a message together with those queued behind it. It reports to raft the messages that were lost, and
// the snapshots that were sent. If the messages are for different processes of a learner, those for the earlier ones
// are dropped.
func (p *peer) sendRaft(stream *controlwire.Stream, first outgoingMessage) error {
	messages := []outgoingMessage{first}
	size := dataBytes(first.Message)
	for size < maxRaftFrameBytes && len(p.outbox) > 0 && len(messages) < maxLoopInputs {
		message := <-p.outbox
		size += dataBytes(message.Message)
		messages = append(messages, message)
	}
	messages = forLatestIncarnation(messages)
	frame := controlwire.Message{Kind: controlwire.KindRaft, Incarnation: messages[0].incarnation}
	for _, message := range messages {
		if encoded, err := proto.Marshal(message.Message); err == nil {
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
			p.server.loop.call(func() { p.reportLost(message.Message) })
		} else if message.GetType() == pb.MsgSnap {
			p.server.loop.call(func() { p.server.loop.node.ReportSnapshot(p.ID, raft.SnapshotFinish) })
		}
	}
	return err
}

// dataBytes returns the size of a message's entries and snapshot, which make up almost all of a long message.
func dataBytes(message *pb.Message) int {
	size := len(message.GetSnapshot().GetData())
	for _, entry := range message.GetEntries() {
		size += len(entry.GetData())
	}
	return size
}

func (p *peer) sendFrame(stream *controlwire.Stream, frame controlwire.Message, timeout time.Duration) error {
	sent, err := stream.Send(frame, timeout)
	p.server.status.bytesOut.Add(uint64(sent))
	return err
}

// servePeer handles another control server's messages until its stream ends.
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
	statement := peerMessage{from: hello.Index, incarnation: hello.Incarnation}
	if !s.passToLoop(statement) {
		return
	}
	for {
		message, size, err := stream.Receive(peerTimeout)
		if err != nil {
			return
		}
		s.status.bytesIn.Add(uint64(size))
		switch message.Kind {
		case controlwire.KindStatusTable:
			s.status.mergePeerTable(hello.Index, message)
		case controlwire.KindHello:
			if !s.passToLoop(statement) {
				return
			}
		case controlwire.KindRaft:
			if !s.receiveRaft(hello, message) {
				return
			}
		}
	}
}

// receiveRaft passes raft messages to the loop, and returns false when the server stops. A message that is not for this
// server, or not from the server that opened the stream with hello, is counted and dropped. Proposals are exempt from
// the check of the sender, because they are forwarded with the id of the server that made them. Messages for an earlier
// process of this learner are not for this server.
func (s *Server) receiveRaft(hello, frame controlwire.Message) bool {
	if frame.Incarnation != 0 && frame.Incarnation != s.incarnation {
		s.status.invalid.Add(uint64(len(frame.RaftMessages)))
		return true
	}
	for _, one := range frame.RaftMessages {
		message := &pb.Message{}
		err := proto.Unmarshal(one, message)
		forged := message.GetFrom() != hello.Index && message.GetType() != pb.MsgProp
		if err != nil || message.GetTo() != s.id || forged || raft.IsLocalMsg(message.GetType()) {
			s.status.invalid.Add(1)
			continue
		}
		received := peerMessage{from: hello.Index, incarnation: hello.Incarnation, message: message}
		if !s.passToLoop(received) {
			return false
		}
	}
	return true
}

// passToLoop passes a message of another control server to the loop, and returns false when the server stops.
func (s *Server) passToLoop(message peerMessage) bool {
	select {
	case s.loop.messages <- message:
		return true
	case <-s.closed:
		return false
	}
}
