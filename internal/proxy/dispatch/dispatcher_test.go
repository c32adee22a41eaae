package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"dahliapin/policy"
)

// scriptedDecider returns the decisions of a test one after the other, and records the calls.
type scriptedDecider struct {
	decisions []policy.Decision
	calls     []string
}

func (s *scriptedDecider) next(asked string) policy.Decision {
	s.calls = append(s.calls, asked)
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

// actionRecorder records the actions of a Dispatcher.
type actionRecorder struct{ done []string }

func (a *actionRecorder) record(format string, args ...any) {
	a.done = append(a.done, fmt.Sprintf(format, args...))
}

func (a *actionRecorder) Send(id policy.RequestID, to policy.EndpointID, _, _ policy.Instant) {
	a.record("send %s to %s", id, to)
}
func (a *actionRecorder) Cancel(id policy.RequestID, attempt int) {
	a.record("cancel %s/%d", id, attempt)
}
func (a *actionRecorder) Reject(id policy.RequestID, _ time.Duration) { a.record("reject %s", id) }
func (a *actionRecorder) Fail(id policy.RequestID)                    { a.record("fail %s", id) }
func (a *actionRecorder) SetTimer(in time.Duration, token string) {
	a.record("timer %s in %v", token, in)
}
func (a *actionRecorder) CheckHealth(id policy.EndpointID) { a.record("check %s", id) }
func (a *actionRecorder) PollEndpoints()                   { a.record("poll") }

const testNow = policy.Instant(time.Hour)

func newScripted(t *testing.T, decisions ...policy.Decision) (*Dispatcher, *scriptedDecider, *actionRecorder) {
	t.Helper()
	decider := &scriptedDecider{decisions: decisions}
	actions := &actionRecorder{}
	return NewWithDecider(testNow, decider, actions, nil), decider, actions
}

func expectRecorded(t *testing.T, what string, got []string, want ...string) {
	t.Helper()
	if !slices.Equal(got, want) {
		t.Errorf("%s: %q, want %q", what, got, want)
	}
}

// The decider schedules a review of a request. Before it is due the attempt fails, and the next decision sends a second
// attempt and schedules a later review. The first timer is never cancelled, and must not trigger a review.
func TestTimerOfSupersededReviewIsIgnored(t *testing.T) {
	d, decider, actions := newScripted(t,
		policy.Decision{SendTo: []policy.EndpointID{"a"}, ReviewAt: testNow.Add(time.Second)},
		policy.Decision{SendTo: []policy.EndpointID{"b"}, ReviewAt: testNow.Add(3 * time.Second)},
	)
	d.RequestArrived(testNow, &policy.Request{ID: "request1"})
	d.AttemptDone(testNow, "request1", policy.Errored, false, policy.Outcome{Attempt: 0})
	d.OnTimer(testNow.Add(time.Second), "request1")
	d.OnTimer(testNow.Add(3*time.Second), "request1")
	expectRecorded(t, "asked", decider.calls, "route request1", "done request1/0", "route request1")
	expectRecorded(t, "done", actions.done, "timer upkeep in 1s", "send request1 to a", "timer request1 in 1s",
		"send request1 to b", "timer request1 in 3s")
}

// A decision cancels an attempt, rejects the request and wakes another one, in that order. The request must be kept
// until the result of the cancelled attempt has been handled; results that follow are ignored.
func TestRequestIsRemovedOnlyAfterItsAttemptsEnd(t *testing.T) {
	d, decider, actions := newScripted(t,
		policy.Decision{SendTo: []policy.EndpointID{"a"}},
		policy.Decision{}, // for the waiter
		policy.Decision{Cancel: []int{0}, Answer: policy.Reject, Wake: []policy.RequestID{"waiter01", "unknown1"}},
	)
	d.RequestArrived(testNow, &policy.Request{ID: "request1"})
	d.RequestArrived(testNow, &policy.Request{ID: "waiter01"})
	d.RequestArrived(testNow, &policy.Request{ID: "waiter01"}) // already in flight
	d.execute(testNow, d.inflight["request1"], decider.next("decided"))
	if d.inflight["request1"] == nil {
		t.Fatal("the request was removed with an attempt in flight")
	}
	d.AttemptDone(testNow, "request1", policy.Cancelled, false, policy.Outcome{Attempt: 0})
	if d.inflight["request1"] != nil {
		t.Error("the request was kept without an attempt in flight")
	}
	d.AttemptDone(testNow, "request1", policy.Answered, true, policy.Outcome{Attempt: 0})
	expectRecorded(t, "asked", decider.calls, "route request1", "route waiter01", "decided", "route waiter01",
		"done request1/0")
	expectRecorded(t, "done", actions.done, "timer upkeep in 1s", "send request1 to a", "cancel request1/0",
		"reject request1")
}

// A draining node caps the deadlines of its requests in flight. A review due after the new deadline must move to it,
// otherwise the request would be answered after the node has stopped. An earlier review stays as scheduled.
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
			expectRecorded(t, "done", actions.done, append([]string{"timer upkeep in 1s"}, c.wantTimers...)...)
			if deadline := d.inflight["request1"].Deadline; deadline > by {
				t.Errorf("the deadline is %v after the cap", deadline.Since(by))
			}
		})
	}
}
