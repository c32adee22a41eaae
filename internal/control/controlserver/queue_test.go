package controlserver

import (
	"testing"
	"time"

	"dahliapin/internal/control/replicatedlog"
	"dahliapin/internal/monotime"
)

func newTestQueue() *proposalQueue {
	return newProposalQueue(func() monotime.Instant { return monotime.Instant(time.Hour) })
}

func isDone(call *publishCall) bool {
	select {
	case <-call.done:
		return true
	default:
		return false
	}
}

// A client that got no answer publishes the same proposals again while its first call still waits. They must be
// proposed only once, and both calls must get the indexes.
func TestQueueProposesARepeatedProposalOnce(t *testing.T) {
	q := newTestQueue()
	proposals := newPurges(0, 2)
	first, second := newPublishCall(proposals), newPublishCall(proposals)
	if added := q.add(first); len(added) != 2 {
		t.Errorf("first call: %d proposals added, want 2", len(added))
	}
	if added := q.add(second); len(added) != 0 {
		t.Errorf("repeated call: %d proposals added, want 0", len(added))
	}
	q.removeOrdered(replicatedlog.Batch{Proposals: proposals[:1]}, []replicatedlog.Index{5})
	if isDone(first) || isDone(second) {
		t.Error("call done before all its proposals are ordered")
	}
	q.removeOrdered(replicatedlog.Batch{Proposals: proposals[1:]}, []replicatedlog.Index{6})
	for _, call := range []*publishCall{first, second} {
		if !isDone(call) || call.failure != "" || call.indexes[0] != 5 || call.indexes[1] != 6 {
			t.Errorf("done %t, %q, indexes %v", isDone(call), call.failure, call.indexes)
		}
	}
	if len(q.pending) != 0 || q.bytes != 0 {
		t.Errorf("%d proposals of %d bytes are left", len(q.pending), q.bytes)
	}
}

// Without a leader nothing is ordered. Proposals that are due must be proposed again in the order of arrival. Calls
// past their deadline must be answered, and their proposals dropped.
func TestQueueRetriesInOrderUntilTheDeadline(t *testing.T) {
	q := newTestQueue()
	proposals := newPurges(0, 100)
	call := newPublishCall(proposals)
	q.add(call)
	q.markProposed(replicatedlog.Batch{Proposals: proposals[:10]})
	again := q.retry()
	if len(again) != 90 {
		t.Fatalf("%d proposals are retried, want 90", len(again))
	}
	for i, p := range again {
		if p.ID != proposals[10+i].ID {
			t.Fatalf("proposal %d is out of order", i)
		}
	}
	call.deadline = time.Now().Add(-time.Second)
	if again := q.retry(); len(again) != 0 || !isDone(call) || call.failure == "" {
		t.Errorf("%d proposed again; done %t, %q", len(again), isDone(call), call.failure)
	}
	if len(q.pending) != 0 || q.bytes != 0 {
		t.Errorf("%d proposals of %d bytes are left", len(q.pending), q.bytes)
	}
}

func TestQueueRejectsWhatItHasNoCapacityFor(t *testing.T) {
	q := newTestQueue()
	q.add(newPublishCall(newPurges(0, maxPending)))
	call := newPublishCall(newPurges(maxPending, 1))
	if added := q.add(call); len(added) != 0 || !isDone(call) || call.failure == "" {
		t.Errorf("%d added; done %t, %q", len(added), isDone(call), call.failure)
	}
}
