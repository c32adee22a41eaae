package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"dahliapin/policy"
)

// scriptedDecider gives the decisions of a test, each once and in their order, and notes what it was asked.
type scriptedDecider struct {
	decisions []policy.Decision
	asked     []string
}

func (s *scriptedDecider) next(asked string) policy.Decision {
	s.asked = append(s.asked, asked)
	if len(s.decisions) == 0 {
		return policy.Decision{}
	}
	decision := s.decisions[0]
	s.decisions = s.decisions[1:]
	return decision
}

func (s *scriptedDecider) Route(_ policy.Instant, r *policy.Request) policy.Decision {
	return s.next(fmt.Sprintf("route %s", r.ID))
}

func (s *scriptedDecider) OnAttemptDone(_ policy.Instant, r *policy.Request, o policy.Outcome) policy.Decision {
	return s.next(fmt.Sprintf("done %s/%d", r.ID, o.Attempt))
}

func (s *scriptedDecider) Tick(policy.Instant) (time.Duration, []policy.Action) {
	return time.Second, nil
}

func (s *scriptedDecider) UpdateEndpoints(policy.Instant, policy.UpdateKind, []policy.Endpoint) {}

func (s *scriptedDecider) OnHealthCheck(policy.Instant, policy.EndpointID, policy.Result) {}

func (s *scriptedDecider) MayStart(policy.Instant, policy.Request, int) bool { return true }

// recordedActions notes what a Dispatcher does.
type recordedActions struct{ done []string }

func (a *recordedActions) note(format string, args ...any) {
	a.done = append(a.done, fmt.Sprintf(format, args...))
}

func (a *recordedActions) Send(id policy.RequestID, to policy.EndpointID, _ policy.Instant) {
	a.note("send %s to %s", id, to)
}
func (a *recordedActions) Cancel(id policy.RequestID, attempt int) {
	a.note("cancel %s/%d", id, attempt)
}
func (a *recordedActions) Reject(id policy.RequestID, _ time.Duration) { a.note("reject %s", id) }
func (a *recordedActions) Fail(id policy.RequestID)                    { a.note("fail %s", id) }
func (a *recordedActions) SetTimer(in time.Duration, token string) {
	a.note("timer %s in %v", token, in)
}
func (a *recordedActions) CheckHealth(id policy.EndpointID) { a.note("check %s", id) }
func (a *recordedActions) PollEndpoints()                   { a.note("poll") }

const testNow = policy.Instant(time.Hour)

func newScripted(t *testing.T, decisions ...policy.Decision) (*Dispatcher, *scriptedDecider, *recordedActions) {
	t.Helper()
	decider := &scriptedDecider{decisions: decisions}
	actions := &recordedActions{}
	return NewWithDecider(testNow, decider, actions, nil), decider, actions
}

func expectNotes(t *testing.T, what string, got []string, want ...string) {
	t.Helper()
	if !slices.Equal(got, want) {
		t.Errorf("%s: %q, want %q", what, got, want)
	}
}

// A request is sent, and the decider asks for a review of it. The attempt fails first, and brings a second attempt
// and a later review: the timer of the first review, which is not cancelled, must not have the request decided again.
func TestTimerOfAnEarlierReviewIsIgnored(t *testing.T) {
	d, decider, actions := newScripted(t,
		policy.Decision{SendTo: []policy.EndpointID{"a"}, ReviewAt: testNow.Add(time.Second)},
		policy.Decision{SendTo: []policy.EndpointID{"b"}, ReviewAt: testNow.Add(3 * time.Second)},
	)
	d.RequestArrived(testNow, &policy.Request{ID: "request1"})
	d.AttemptDone(testNow, "request1", policy.Errored, false, policy.Outcome{Attempt: 0})
	d.OnTimer(testNow.Add(time.Second), "request1")
	d.OnTimer(testNow.Add(3*time.Second), "request1")
	expectNotes(t, "asked", decider.asked, "route request1", "done request1/0", "route request1")
	expectNotes(t, "done", actions.done, "timer upkeep in 1s", "send request1 to a", "timer request1 in 1s",
		"send request1 to b", "timer request1 in 3s")
}

// A decision cancels an attempt, rejects the request and wakes another one. The actions must come in that order, and
// the result of the cancelled attempt must be taken before the request is forgotten; after that nothing of it is.
func TestRequestIsForgottenOnlyAfterItsAttempts(t *testing.T) {
	d, decider, actions := newScripted(t,
		policy.Decision{SendTo: []policy.EndpointID{"a"}},
		policy.Decision{}, // the waiter's
		policy.Decision{Cancel: []int{0}, Answer: policy.Reject, Wake: []policy.RequestID{"waiter01", "unknown1"}},
	)
	d.RequestArrived(testNow, &policy.Request{ID: "request1"})
	d.RequestArrived(testNow, &policy.Request{ID: "waiter01"})
	d.RequestArrived(testNow, &policy.Request{ID: "waiter01"}) // is in flight already
	d.execute(testNow, d.inflight["request1"], decider.next("decided"))
	if d.inflight["request1"] == nil {
		t.Fatal("forgotten with an attempt in flight")
	}
	d.AttemptDone(testNow, "request1", policy.Cancelled, false, policy.Outcome{Attempt: 0})
	if d.inflight["request1"] != nil {
		t.Error("kept without an attempt in flight")
	}
	d.AttemptDone(testNow, "request1", policy.Answered, true, policy.Outcome{Attempt: 0})
	expectNotes(t, "asked", decider.asked, "route request1", "route waiter01", "decided", "route waiter01",
		"done request1/0")
	expectNotes(t, "done", actions.done, "timer upkeep in 1s", "send request1 to a", "cancel request1/0",
		"reject request1")
}

// A node that drains caps the deadlines of what is in flight. A review that was due later must come at the new
// deadline, or the request would be answered after the node has stopped; one that is due earlier stays.
func TestCapDeadlinesBringsReviewsForward(t *testing.T) {
	by := testNow.Add(2 * time.Second)
	for _, c := range []struct {
		name               string
		deadline, reviewAt time.Duration
		wantTimers         []string
	}{
		{"later review", 9 * time.Second, 8 * time.Second, []string{"timer request1 in 8s", "timer request1 in 2s"}},
		{"earlier review", 9 * time.Second, time.Second, []string{"timer request1 in 1s"}},
		{"earlier deadline", 2 * time.Second, 8 * time.Second, []string{"timer request1 in 8s"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			d, _, actions := newScripted(t, policy.Decision{ReviewAt: testNow.Add(c.reviewAt)})
			d.RequestArrived(testNow, &policy.Request{ID: "request1", Deadline: testNow.Add(c.deadline)})
			d.CapDeadlines(testNow, by)
			expectNotes(t, "done", actions.done, append([]string{"timer upkeep in 1s"}, c.wantTimers...)...)
			if deadline := d.inflight["request1"].Deadline; deadline > by {
				t.Errorf("its deadline is %v after the cap", deadline.Since(by))
			}
		})
	}
}
