package controlserver

import (
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"dahliapin/internal/control/controlwire"
	"dahliapin/internal/control/replicatedlog"
)

const (
	deliveryFrameBytes = 64 << 10 // of entries in a frame
	// catchUpBytes is how much a node has to lack to share the pace of all that catch up: more than a burst of
	// purges.
	catchUpBytes = 512 << 10
	// deliveryWriteTimeout is for a node to take a frame: longer than usual, since a window of entries may be on the
	// way.
	deliveryWriteTimeout = 2 * controlwire.WriteTimeout
)

// delivery sends the log to one follower. acked is written by the stream's reading goroutine (serveFollower), and by
// run where the node starts anew; run owns the fields from logID on. The others do not change.
type delivery struct {
	server     *Server
	stream     *controlwire.Stream
	node       string        // its name
	acked      atomic.Uint64 // index up to which the node has reported that it applied
	progressed chan struct{} // holds a value when acked has changed
	ended      chan struct{} // closed when the reading goroutine ends

	logID        replicatedlog.LogID // which log sent is of
	sent         replicatedlog.Index // entries up to here were sent
	fresh        bool                // the node has nothing of this log: it starts at the newest entry
	mustStart    bool                // the node has to be told to start anew
	heartbeatDue bool
	lastSend     time.Time
	timer        *time.Timer
}

// serveFollower delivers to a node, and notes its reports until the stream ends.
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
	d.noteReport(report)
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
		if !d.noteReport(message.Nodes[0]) {
			return
		}
		s.status.bytesIn.Add(uint64(size))
		select {
		case d.progressed <- struct{}{}:
		default:
		}
	}
}

// validHello says whether a follower's first message names its node.
func validHello(hello controlwire.Message) bool {
	if hello.Kind != controlwire.KindHello || len(hello.Nodes) != 1 {
		return false
	}
	name := hello.Nodes[0].Node
	return name != "" && len(name) <= controlwire.MaxNameBytes
}

// noteReport takes the node's report; false for one that cannot be its own.
func (d *delivery) noteReport(report controlwire.NodeReport) bool {
	if report.Node != d.node || len(report.Reason) > controlwire.MaxReasonBytes {
		return false
	}
	report.Server = d.server.id
	report.AgeMs = 0
	d.acked.Store(report.Applied)
	d.server.status.noteNode(report, d.server.Now())
	return true
}

// run sends entries in order, with a bounded number of bytes unacknowledged, and heartbeats.
func (d *delivery) run() {
	d.timer = time.NewTimer(0)
	defer d.timer.Stop()
	d.heartbeatDue = true // the first message says at once whether this server has a leader
	d.lastSend = time.Now()
	for {
		changed := d.server.sharedLog.Changed()
		message, size, lacking := d.next()
		if message.Kind == controlwire.KindEntries && size == 0 && !d.heartbeatDue {
			if !d.wait(changed) {
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

// next is the message that the node gets next: a start, or entries with their bytes, none for a heartbeat; and the
// bytes that it lacks.
func (d *delivery) next() (message controlwire.Message, size int, lacking uint64) {
	hasLeader := d.server.loop.leadership.Load().hasLeader
	log := d.server.sharedLog
	log.mu.RLock()
	defer log.mu.RUnlock()
	last := d.checkLog(log.state)
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
		d.acked.Store(uint64(at)) // what it reported of another log says nothing of this one
	}
	d.mustStart = false
	d.fresh = false
	return message, size, lacking
}

// checkLog returns the index of the newest entry. A node that is fresh, or of a log that was lost with all disks, has
// to start anew: otherwise it would skip the first entries of the new log, whose indexes it has seen. The log is
// locked.
func (d *delivery) checkLog(state *replicatedlog.State) (last replicatedlog.Index) {
	id := state.ID()
	if id == 0 { // not named yet: it is not known whether the node's entries are of it
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

// takeEntries returns the encoded entries that follow those sent, as long as the window of unacknowledged bytes is
// open. Where they are not kept any more the node has to start anew. The log is locked.
func (d *delivery) takeEntries(state *replicatedlog.State) []cbor.RawMessage {
	window := uint64(d.server.File.Bounds.WindowKiB * (1 << 10))
	if state.Bytes(replicatedlog.Index(d.acked.Load()), d.sent) >= window {
		return nil
	}
	entries, upTo, kept := state.EntriesAfter(d.sent, deliveryFrameBytes)
	if !kept {
		d.mustStart = true
		return nil
	}
	d.sent = upTo
	return entries
}

// wait waits for something to send, and returns false when the stream or the server ends. The heartbeat is counted
// from the last message: a node that reports all the time must not put it off.
func (d *delivery) wait(changed <-chan struct{}) bool {
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

// waitForPace waits until so many bytes may go to a node that catches up, and returns false when the stream or the
// server ends.
func (d *delivery) waitForPace(bytes int) bool {
	delay := d.server.catchUpPace.reserve(bytes)
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
