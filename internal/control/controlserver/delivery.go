package controlserver

import (
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"dahliapin/internal/control/controlwire"
	"dahliapin/internal/control/replicatedlog"
)

const (
	deliveryFrameBytes = 64 << 10 // entries in one frame
	// catchUpBytes is how many bytes a node has to lack before its delivery is paced together with all others that
	// catch up. It is more than a burst of purges.
	catchUpBytes = 512 << 10
	// deliveryWriteTimeout bounds the write of a frame to a node. It is longer than WriteTimeout, because the write
	// may have to wait until the node has read a whole window of entries.
	deliveryWriteTimeout = 2 * controlwire.WriteTimeout
)

// delivery sends the log to one follower. The stream's reading goroutine (serveFollower) writes acked, and so does run
// when the node has to start again; run owns the fields from logID on. The other fields do not change.
type delivery struct {
	server     *Server
	stream     *controlwire.Stream
	node       string        // the node's name
	acked      atomic.Uint64 // last index that the node has reported as applied
	progressed chan struct{} // holds a value when acked has changed
	ended      chan struct{} // closed when the reading goroutine ends

	logID        replicatedlog.LogID // the log that sent refers to
	sent         replicatedlog.Index // index of the last entry that was sent
	fresh        bool                // the node has nothing of this log and starts at the newest entry
	mustStart    bool                // the node has to be sent a KindStart message
	heartbeatDue bool
	lastSend     time.Time
	timer        *time.Timer
}

// serveFollower starts the delivery to a node, and records the node's reports until the stream ends.
func (s *Server) serveFollower(stream *controlwire.Stream) {
	hello, _, err := stream.Receive(controlwire.HandshakeTimeout)
	if err != nil || !validHello(hello) {
		s.status.invalid.Add(1)
		return
	}
	report := hello.Nodes[0]
	d := &delivery{
		server:     s,
		stream:     stream,
		node:       report.Node,
		progressed: make(chan struct{}, 1),
		ended:      make(chan struct{}),
		logID:      replicatedlog.LogID(hello.LogID),
		sent:       replicatedlog.Index(report.Applied),
		fresh:      hello.Fresh,
		mustStart:  hello.Fresh,
	}
	d.recordReport(report)
	s.goroutines.Go(func() {
		defer stream.Close()
		d.run()
	})
	defer close(d.ended)
	for {
		message, size, err := stream.Receive(controlwire.NodeTimeout)
		if err != nil || message.Kind != controlwire.KindProgress || len(message.Nodes) != 1 {
			return
		}
		if !d.recordReport(message.Nodes[0]) {
			return
		}
		s.status.bytesIn.Add(uint64(size))
		select {
		case d.progressed <- struct{}{}:
		default:
		}
	}
}

// validHello reports whether a follower's first message is a KindHello that names its node.
func validHello(hello controlwire.Message) bool {
	if hello.Kind != controlwire.KindHello || len(hello.Nodes) != 1 {
		return false
	}
	name := hello.Nodes[0].Node
	return name != "" && len(name) <= controlwire.MaxNameBytes
}

// recordReport records the node's report. It returns false for a report of another node, or an invalid one.
func (d *delivery) recordReport(report controlwire.NodeReport) bool {
	if report.Node != d.node || len(report.Reason) > controlwire.MaxReasonBytes {
		return false
	}
	report.Server = d.server.id
	report.AgeMs = 0
	d.acked.Store(report.Applied)
	d.server.status.recordNode(report, d.server.Now())
	return true
}

// run sends entries in order, with a bounded number of unacknowledged bytes, and heartbeats.
func (d *delivery) run() {
	d.timer = time.NewTimer(0)
	defer d.timer.Stop()
	d.heartbeatDue = true // the first message states immediately whether this server has a leader
	d.lastSend = time.Now()
	for {
		changed := d.server.sharedLog.Changed()
		message, size, lacking := d.nextMessage()
		if message.Kind == controlwire.KindEntries && size == 0 && !d.heartbeatDue {
			if !d.waitForWork(changed) {
				return
			}
			continue
		}
		d.heartbeatDue = false
		if lacking > catchUpBytes && !d.waitForPace(size) {
			return
		}
		d.lastSend = time.Now()
		sent, err := d.stream.Send(message, deliveryWriteTimeout)
		d.server.status.bytesOut.Add(uint64(sent))
		if err != nil {
			return
		}
	}
}

// nextMessage returns the next message for the node, the size of its entries (0 if it has none), and the size of all
// entries that the node has not been sent. If the node has to start again, but the starting point is not after the last
// entry that it was sent, the message is a KindEntries without entries.
func (d *delivery) nextMessage() (message controlwire.Message, size int, lacking uint64) {
	hasLeader := d.server.loop.leadership.Load().hasLeader
	log := d.server.sharedLog
	log.mu.RLock()
	defer log.mu.RUnlock()
	last := d.checkRestart(log.state)
	message = controlwire.Message{Kind: controlwire.KindEntries, HasLeader: hasLeader, Last: uint64(last)}
	if !d.mustStart && d.sent < last {
		lacking = log.state.Bytes(d.sent, last)
		message.Entries = d.takeEntries(log.state)
		for _, entry := range message.Entries {
			size += len(entry)
		}
	}
	if !d.mustStart {
		return message, size, lacking
	}
	at, config := log.state.StartingPoint(d.fresh)
	if at > d.sent || d.fresh {
		message.Kind = controlwire.KindStart
		message.Index = uint64(at)
		message.LogID = uint64(d.logID)
		message.BaseConfig = config
		d.sent = at
		d.acked.Store(uint64(at)) // the index that it reported may be of another log
	}
	d.mustStart = false
	d.fresh = false
	return message, size, lacking
}

// checkRestart sets mustStart for a node that is fresh or followed another log, so that it starts at the newest entry.
// After an earlier log was lost with all disks, the node would otherwise skip the first entries of the new log
// unnoticed, since it has already passed their indexes. The starting point skips entries too, but the node learns that
// any key up to there may have been purged, and gets the configuration in force. checkRestart returns the index of the
// newest entry. While the log has no id, it clears mustStart and returns 0. The caller holds the log's lock.
func (d *delivery) checkRestart(state *replicatedlog.State) (last replicatedlog.Index) {
	id := state.ID()
	if id == 0 { // the log has no id yet: the node's entries may be of another log
		d.mustStart = false
		return 0
	}
	if d.fresh || d.logID != id {
		d.logID = id
		d.mustStart = true
		d.fresh = true
	}
	return state.Last()
}

// takeEntries returns the encoded entries after those already sent, unless the window of unacknowledged bytes is full.
// If these entries are no longer retained, the node has to start again. The caller holds the log's lock.
func (d *delivery) takeEntries(state *replicatedlog.State) []cbor.RawMessage {
	window := uint64(d.server.File.Bounds.WindowKiB * (1 << 10))
	if state.Bytes(replicatedlog.Index(d.acked.Load()), d.sent) >= window {
		return nil
	}
	entries, upTo, retained := state.EntriesAfter(d.sent, deliveryFrameBytes)
	if !retained {
		d.mustStart = true
		return nil
	}
	d.sent = upTo
	return entries
}

// waitForWork waits until there may be something to send, and returns false when the stream or the server ends. The
// heartbeat interval starts at the last message sent, so frequent reports from the node cannot delay heartbeats.
func (d *delivery) waitForWork(changed <-chan struct{}) bool {
	d.timer.Reset(time.Until(d.lastSend.Add(controlwire.HeartbeatInterval)))
	select {
	case <-d.timer.C:
		d.heartbeatDue = true
	case <-changed:
	case <-d.progressed:
	case <-d.ended:
		return false
	case <-d.server.closed:
		return false
	}
	return true
}

// waitForPace waits until the pacer allows that many bytes to a node that catches up. It returns false when the stream
// or the server ends.
func (d *delivery) waitForPace(bytes int) bool {
	delay := d.server.catchUpPacer.reserve(bytes)
	if delay <= 0 {
		return true
	}
	select {
	case <-time.After(delay):
		return true
	case <-d.ended:
		return false
	case <-d.server.closed:
		return false
	}
}
