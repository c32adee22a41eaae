package controlserver

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"dahliapin/internal/control/controlwire"
	"dahliapin/internal/control/replicatedlog"
	"dahliapin/internal/monotime"
)

const (
	maxPending      = 16_384      // waiting proposals; calls that exceed it are rejected
	maxPendingBytes = 16 << 20    // total size of their bodies
	proposeInterval = time.Second // until a proposal is passed to raft again, as the leader that got it may have failed
)

// publishCall is a client's call to publish. The client's goroutine reads the result once done is closed.
type publishCall struct {
	proposals []replicatedlog.Proposal
	indexes   []uint64      // of each proposal; 0 for one that cannot become an entry
	remaining int           // proposals that are not ordered yet
	deadline  time.Time     // after which the client gets the answer that the outcome is unknown
	failure   string        // why it ended without indexes; empty for none
	finished  bool          // done is closed; used only by the loop
	done      chan struct{} // closed by finish
}

func newPublishCall(proposals []replicatedlog.Proposal) *publishCall {
	return &publishCall{proposals: proposals, done: make(chan struct{})}
}

// finish completes the call, with its indexes or with a failure that says why there are none. Only the first call of
// finish counts: a publishCall may fail while some of its proposals are not ordered yet, and these may still be ordered
// or expire later.
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
	proposedAt  time.Time        // when raft last accepted it; zero for not yet
	callers     []caller         // calls that wait for it; more than one after a client's retry
}

// caller is a call that waits for a proposal, with the proposal's position in that call.
type caller struct {
	call     *publishCall
	position int
}

// proposalQueue holds proposals from their arrival until they are ordered or expire. Only the loop uses it.
type proposalQueue struct {
	now      func() monotime.Instant
	pending  map[replicatedlog.ProposalID]*pendingProposal
	bytes    int    // of their bodies
	sequence uint64 // of the proposal that arrived last
}

func newProposalQueue(now func() monotime.Instant) *proposalQueue {
	return &proposalQueue{now: now, pending: map[replicatedlog.ProposalID]*pendingProposal{}}
}

// add queues a call's proposals and returns those that were not queued before. It rejects the call if there is no
// capacity.
func (q *proposalQueue) add(call *publishCall) []replicatedlog.Proposal {
	bytes := 0
	for _, p := range call.proposals {
		bytes += len(p.Body)
	}
	if len(q.pending)+len(call.proposals) > maxPending || q.bytes+bytes > maxPendingBytes {
		call.finish(fmt.Sprintf("busy: more than %d proposals, or %d bytes of them, are waiting to be ordered",
			maxPending, maxPendingBytes))
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

// retry fails calls that are past their deadline, drops proposals for which no call waits any more, and returns the
// proposals that are due to be proposed again, in the order of their arrival.
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

// expireCallers fails the calls that are past their deadline, and reports whether any other call waits.
func (p *pendingProposal) expireCallers(now time.Time) bool {
	awaited := false
	for _, caller := range p.callers {
		if now.Before(caller.call.deadline) {
			awaited = true
		} else {
			caller.call.finish(fmt.Sprintf("not ordered within %v, but may still be ordered: there is no leader or no "+
				"majority of the voters", controlwire.OrderTimeout))
		}
	}
	return awaited
}

// markProposed records that raft has accepted a batch.
func (q *proposalQueue) markProposed(batch replicatedlog.Batch) {
	now := time.Now()
	for _, p := range batch.Proposals {
		if pending := q.pending[p.ID]; pending != nil {
			pending.proposedAt = now
		}
	}
}

// requestedAt returns when a queued proposal arrived at this server; false if it is not queued here.
func (q *proposalQueue) requestedAt(id replicatedlog.ProposalID) (monotime.Instant, bool) {
	pending := q.pending[id]
	if pending == nil {
		return 0, false
	}
	return pending.requestedAt, true
}

// removeOrdered removes a batch's proposals, and completes the calls that have no others left.
func (q *proposalQueue) removeOrdered(batch replicatedlog.Batch, indexes []replicatedlog.Index) {
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
