package controlserver

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"

	"dahliapin/internal/control/replicatedlog"
	"dahliapin/internal/monotime"
)

const (
	tickInterval     = 100 * time.Millisecond // raft's tick; the leader sends a heartbeat at each
	inboxMessages    = 1024                   // raft messages that wait for the loop; receiving streams block beyond it
	inboxPublishes   = 256                    // calls to publish that wait for the loop; more are rejected
	maxLoopInputs    = 512                    // inputs that are handled together, with one write to disk
	maxMessageBytes  = 256 << 10              // entries in one raft message
	maxInflight      = 256                    // raft messages in flight to a server
	maxInflightBytes = 16 << 20               // bytes of them
	maxApplyBytes    = 16 << 20               // committed entries that are applied together
	maxUncommitted   = 64 << 20               // bytes of uncommitted entries; further proposals are dropped
	leaderTimeout    = 2 * time.Second        // time since the leader's last message after which there is no leader
	snapshotEntries  = 8192                   // a snapshot is saved after this many applied raft entries
	snapshotBytes    = 16 << 20               // or once this many bytes of raft entries have been saved
)

// leadership is the loop's latest knowledge of the leader.
type leadership struct {
	hasLeader bool // this server leads, or got a message of the leader within leaderTimeout
	isLeader  bool
	term      uint64
}

// raftLoop runs raft. Its goroutine (run) owns node and the fields after it.
type raftLoop struct {
	server     *Server
	messages   chan peerMessage  // from other control servers
	publishes  chan *publishCall // from clients
	functions  chan func()       // from other goroutines, see call
	leadership atomic.Pointer[leadership]

	node              *raft.RawNode
	storage           Storage // also read by raft
	queue             *proposalQueue
	appliedIndex      uint64    // raft's index of the last entry in the sharedLog
	leaderSeenAt      time.Time // when the leader's last message arrived
	startedAt         time.Time
	lastTrim          time.Time // when trimming was last considered
	lastLogIDProposal time.Time // when an id for a new log was last proposed
}

// newRaftLoop returns a loop that continues from the storage's state.
func newRaftLoop(s *Server, storage Storage) (*raftLoop, error) {
	snapshot, err := storage.Snapshot()
	if err != nil {
		return nil, err
	}
	l := &raftLoop{
		server:       s,
		messages:     make(chan peerMessage, inboxMessages),
		publishes:    make(chan *publishCall, inboxPublishes),
		functions:    make(chan func(), inboxMessages),
		storage:      storage,
		queue:        newProposalQueue(s.Now),
		appliedIndex: snapshot.GetMetadata().GetIndex(),
		startedAt:    time.Now(),
	}
	l.leadership.Store(&leadership{})
	l.node, err = raft.NewRawNode(&raft.Config{
		ID:                        s.id,
		ElectionTick:              max(2, int(s.File.Bounds.ElectionTimeout()/tickInterval)),
		HeartbeatTick:             1,
		Storage:                   storage,
		Applied:                   l.appliedIndex,
		MaxSizePerMsg:             maxMessageBytes,
		MaxCommittedSizePerReady:  maxApplyBytes,
		MaxUncommittedEntriesSize: maxUncommitted,
		MaxInflightMsgs:           maxInflight,
		MaxInflightBytes:          maxInflightBytes,
		CheckQuorum:               true,
		PreVote:                   true,
		Logger:                    raftLogger{s.Log},
	})
	return l, err
}

// run handles inputs until the server stops. Inputs that arrived during a write to disk are handled together, so that
// they share one write and its fsync.
func (l *raftLoop) run() {
	defer func() {
		// Raft panics if its input contradicts its state, for example when the disk has lost saved data.
		if r := recover(); r != nil {
			l.server.end(fmt.Errorf("raft: %v", r))
		}
	}()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		var proposals []replicatedlog.Proposal
		select {
		case <-ticker.C:
			l.node.Tick()
			proposals = l.queue.retry()
			l.leaderDuties()
		case message := <-l.messages:
			l.receive(message)
		case call := <-l.publishes:
			proposals = l.queue.add(call)
		case f := <-l.functions:
			f()
		case <-l.server.closed:
			return
		}
		proposals = append(proposals, l.handleWaiting()...)
		l.propose(proposals)
		for l.node.HasReady() {
			if err := l.processReady(); err != nil {
				l.server.end(err)
				return
			}
		}
		l.updateIncarnations()
		l.updateLeadership()
	}
}

// handleWaiting handles inputs that have already arrived, at most maxLoopInputs, and returns their new proposals.
func (l *raftLoop) handleWaiting() []replicatedlog.Proposal {
	var proposals []replicatedlog.Proposal
	for range maxLoopInputs {
		select {
		case message := <-l.messages:
			l.receive(message)
		case call := <-l.publishes:
			proposals = append(proposals, l.queue.add(call)...)
		case f := <-l.functions:
			f()
		default:
			return proposals
		}
	}
	return proposals
}

// call queues a function for the loop to run. A function that is queued when the server stops may not run.
func (l *raftLoop) call(f func()) {
	select {
	case l.functions <- f:
	case <-l.server.closed:
	}
}

// step passes a message of another server to raft.
func (l *raftLoop) step(message *pb.Message) {
	status := l.node.BasicStatus()
	if status.Lead != raft.None && message.GetFrom() == status.Lead {
		l.leaderSeenAt = time.Now()
	}
	_ = l.node.Step(message) // raft rejects unusable messages, for example from a server that is not a member
}

// updateLeadership makes the current leadership visible to other goroutines.
func (l *raftLoop) updateLeadership() {
	status := l.node.BasicStatus()
	isLeader := status.RaftState == raft.StateLeader
	leaderSeen := status.Lead != raft.None && time.Since(l.leaderSeenAt) < leaderTimeout
	now := leadership{hasLeader: isLeader || leaderSeen, isLeader: isLeader, term: status.GetTerm()}
	before := *l.leadership.Load()
	if before == now {
		return
	}
	fields := logrus.Fields{"leads": now.isLeader, "term": now.term}
	switch {
	case now.isLeader && !before.isLeader:
		l.server.Log.WithFields(fields).Info("control server became the leader")
	case before.isLeader && !now.isLeader:
		l.server.Log.WithFields(fields).Info("control server is no longer the leader")
	}
	l.leadership.Store(&now)
}

// propose passes proposals to raft, which forwards them to the leader. Those that raft rejects, because there is no
// leader or too much is uncommitted, stay in the queue and are proposed again.
func (l *raftLoop) propose(proposals []replicatedlog.Proposal) {
	for _, batch := range replicatedlog.Batches(proposals) {
		if err := l.node.Propose(batch.Encode()); err == nil {
			l.queue.markProposed(batch)
		}
	}
}

// processReady handles raft's next Ready. The order is essential for safety: first the write to disk, then messages,
// then committed entries. If a vote or an acknowledgement were sent before it is on disk, kill -9 could lose it after
// other servers have counted it towards a majority: the result would be two leaders in one term, or the loss of an
// acknowledged purge.
func (l *raftLoop) processReady() error {
	ready := l.node.Ready()
	if err := l.storage.Save(ready.HardState, ready.Entries, ready.Snapshot); err != nil {
		return err
	}
	if index := ready.Snapshot.GetMetadata().GetIndex(); index > 0 {
		if err := l.server.sharedLog.restore(ready.Snapshot); err != nil {
			return err
		}
		l.appliedIndex = index
	}
	for _, message := range ready.Messages {
		if peer := l.server.peers[message.GetTo()]; peer != nil {
			peer.send(message)
		}
	}
	for _, entry := range ready.CommittedEntries {
		if err := l.apply(entry); err != nil {
			return err
		}
	}
	l.node.Advance(ready)
	return l.compactStorage()
}

// apply applies a committed entry to the sharedLog and answers the clients that wait for its proposals.
func (l *raftLoop) apply(entry *pb.Entry) error {
	l.appliedIndex = entry.GetIndex()
	if entry.GetType() != pb.EntryNormal || len(entry.GetData()) == 0 {
		return nil // raft's own entry, such as the first one of a new leader
	}
	batch, err := replicatedlog.DecodeBatch(entry.GetData())
	if err != nil {
		return fmt.Errorf("cannot decode raft entry %d: %w", entry.GetIndex(), err)
	}
	var requestedAt func(replicatedlog.ProposalID) (monotime.Instant, bool)
	if l.server.purger != nil {
		requestedAt = l.queue.requestedAt
	}
	indexes := l.server.sharedLog.apply(batch, requestedAt)
	l.queue.removeOrdered(batch, indexes)
	l.server.sharedLog.requestWakeUp()
	return nil
}

// compactStorage saves a snapshot of the sharedLog when enough raft entries have been applied, or enough bytes of them
// saved, since the last one.
func (l *raftLoop) compactStorage() error {
	entries, bytes := l.storage.SizeSinceSnapshot(l.appliedIndex)
	if entries < snapshotEntries && (bytes < snapshotBytes || entries == 0) {
		return nil
	}
	return l.storage.Compact(l.appliedIndex, l.server.sharedLog.snapshot())
}
