package controlserver

import (
	"cmp"
	"slices"
	"time"

	"dahliapin/internal/control/controlwire"
	"dahliapin/internal/control/replicatedlog"
	"dahliapin/internal/monotime"
)

const (
	maxPending      = 16_384      // proposals that wait to be ordered; calls that bring more are rejected
	maxPendingBytes = 16 << 20    // of their bodies
	proposeInterval = time.Second // after which a proposal is handed to raft again: the leader that got it may be gone
)

// publishCall is a client's call to publish. Its goroutine reads it once done is closed.
type publishCall struct {
	proposals []replicatedlog.Proposal
	indexes   []uint64      // of each proposal; 0 for one that cannot become an entry
	remaining int           // proposals that are not ordered yet
	deadline  time.Time     // then the client is told that it is not known
	failure   string        // why it ended without indexes; empty for none
	finished  bool          // done is closed; the loop's
	done      chan struct{} // closed by finish
}

func newPublishCall(proposals []replicatedlog.Proposal) *publishCall {
	return &publishCall{proposals: proposals, done: make(chan struct{})}
}

// finish ends the call: with its indexes, or with a failure, the reason why there are none. Only the first end counts:
// a call of several proposals may fail while some are not ordered yet, and those may be ordered or expire later.
func (c *publishCall) finish(failure string) {
	if c.finished {
		return
	}
	c.finished = true
	c.failure = failure
	close(c.done)
}

// pendingProposal is a proposal that is not ordered yet.
type pendingProposal struct {
	replicatedlog.Proposal
	sequence    uint64           // in the order of arrival
	requestedAt monotime.Instant // when it arrived
	proposedAt  time.Time        // when raft last took it; zero for not yet
	callers     []caller         // calls that wait for it; several where a client has tried again
}

// caller is a call that waits for a proposal, and the proposal's position in it.
type caller struct {
	call     *publishCall
	position int
}

// proposalQueue holds proposals from their arrival until they are ordered or given up. It is the loop's.
type proposalQueue struct {
	now      func() monotime.Instant
	pending  map[replicatedlog.ProposalID]*pendingProposal
	bytes    int    // of their bodies
	sequence uint64 // of the last one that arrived
}

func newProposalQueue(now func() monotime.Instant) *proposalQueue {
	return &proposalQueue{now: now, pending: map[replicatedlog.ProposalID]*pendingProposal{}}
}

// add queues a call's proposals and returns those that are new here. A call for which there is no capacity is
// rejected.
func (q *proposalQueue) add(call *publishCall) []replicatedlog.Proposal {
	bytes := 0
	for _, p := range call.proposals {
		bytes += len(p.Body)
	}
	if len(q.pending)+len(call.proposals) > maxPending || q.bytes+bytes > maxPendingBytes {
		call.finish("busy: too many changes wait to be ordered")
		return nil
	}
	call.indexes = make([]uint64, len(call.proposals))
	call.remaining = len(call.proposals)
	call.deadline = time.Now().Add(controlwire.OrderTimeout)
	var added []replicatedlog.Proposal
	for i, p := range call.proposals {
		pending := q.pending[p.ID]
		if pending == nil {
			q.sequence++
			pending = &pendingProposal{Proposal: p, sequence: q.sequence, requestedAt: q.now()}
			q.pending[p.ID] = pending
			q.bytes += len(p.Body)
			added = append(added, p)
		}
		pending.callers = append(pending.callers, caller{call: call, position: i})
	}
	return added
}

// retry fails calls that are past their deadline, drops proposals for which no call waits any more, and returns those
// that raft should get again, in the order of their arrival.
func (q *proposalQueue) retry() []replicatedlog.Proposal {
	if len(q.pending) == 0 {
		return nil
	}
	now := time.Now()
	var due []*pendingProposal
	for id, pending := range q.pending {
		awaited := pending.expireCallers(now)
		switch {
		case !awaited:
			delete(q.pending, id)
			q.bytes -= len(pending.Body)
		case now.Sub(pending.proposedAt) >= proposeInterval:
			due = append(due, pending)
		}
	}
	slices.SortFunc(due, func(a, b *pendingProposal) int { return cmp.Compare(a.sequence, b.sequence) })
	var proposals []replicatedlog.Proposal
	for _, pending := range due {
		proposals = append(proposals, pending.Proposal)
	}
	return proposals
}

// expireCallers fails the calls that are past their deadline and says whether another one waits.
func (p *pendingProposal) expireCallers(now time.Time) bool {
	awaited := false
	for _, caller := range p.callers {
		if now.Before(caller.call.deadline) {
			awaited = true
		} else {
			caller.call.finish("not ordered in time, and may be yet: no leader is heard, or no majority of the voters")
		}
	}
	return awaited
}

// markProposed notes that raft has taken a batch.
func (q *proposalQueue) markProposed(batch replicatedlog.Batch) {
	now := time.Now()
	for _, p := range batch.Proposals {
		if pending := q.pending[p.ID]; pending != nil {
			pending.proposedAt = now
		}
	}
}

// requestedAt is when a proposal that is not ordered yet arrived here; false for one that did not.
func (q *proposalQueue) requestedAt(id replicatedlog.ProposalID) (monotime.Instant, bool) {
	pending := q.pending[id]
	if pending == nil {
		return 0, false
	}
	return pending.requestedAt, true
}

// ordered takes a batch's proposals out, and ends the calls for which they were the last.
func (q *proposalQueue) ordered(batch replicatedlog.Batch, indexes []replicatedlog.Index) {
	for i, p := range batch.Proposals {
		pending := q.pending[p.ID]
		if pending == nil {
			continue
		}
		delete(q.pending, p.ID)
		q.bytes -= len(pending.Body)
		for _, caller := range pending.callers {
			call := caller.call
			call.indexes[caller.position] = uint64(indexes[i])
			call.remaining--
			if call.remaining == 0 {
				call.finish("")
			}
		}
	}
}
