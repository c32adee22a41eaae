package checker

import (
	"fmt"
	"slices"
	"time"

	"dahliapin/policy"
)

// request is a request of a client. Each retry by the client is a separate request.
type request struct {
	node       int
	class      int
	label      string // the idempotency key; empty for none
	sentAt     policy.Instant
	deadline   policy.Instant
	answeredAt policy.Instant // 0 while unanswered
	goneAt     policy.Instant // when the client left without an answer; 0 if it has not
	final      Final
	hadEffect  bool
	overdue    bool // already reported as unanswered
	attempts   []attempt
	abandoned  []abandonment // of attempts that have not arrived
}

// attempt is an attempt that has arrived at a server.
type attempt struct {
	server      policy.EndpointID
	sentAt      policy.Instant
	endedAt     policy.Instant // 0 while in flight
	notExecuted bool           // the server is known not to have executed the request
}

// abandonment is the end of an attempt that a node has abandoned while it was in transit.
type abandonment struct {
	server policy.EndpointID
	at     policy.Instant
}

// takeAbandonment removes the abandonment of an attempt that arrives, and returns its time. It returns 0 if the attempt
// is still in flight.
func (r *request) takeAbandonment(server policy.EndpointID, sentAt policy.Instant) policy.Instant {
	i := slices.IndexFunc(r.abandoned, func(a abandonment) bool { return a.server == server && a.at >= sentAt })
	if i < 0 {
		return 0
	}
	at := r.abandoned[i].at
	r.abandoned = slices.Delete(r.abandoned, i, i+1)
	return at
}

// sentBefore reports whether an attempt, given by its index, was sent before another one. Of two that were sent at the
// same time, the one that arrived first counts as the earlier one.
func (r *request) sentBefore(i, j int) bool {
	if r.attempts[i].sentAt != r.attempts[j].sentAt {
		return r.attempts[i].sentAt < r.attempts[j].sentAt
	}
	return i < j
}

// mayHaveRun reports whether a server may have executed the request.
func (r *request) mayHaveRun() bool {
	for _, a := range r.attempts {
		if !a.notExecuted {
			return true
		}
	}
	return r.hadEffect
}

// mayRepeat reports whether requests of a class may be repeated at any server at any time.
func mayRepeat(c *policy.ServiceClass) bool {
	everywhere := c.Idempotency == policy.IdempotentByKey && c.DedupScope == policy.AllCaches
	return c.Idempotency == policy.Idempotent || everywhere
}

// RequestSent reports that a client has sent a request to a node. first is false for a retry by the client.
func (c *Checker) RequestSent(
	now policy.Instant, id string, node, class int, label string, deadline policy.Instant, first bool,
) {
	c.requests[id] = &request{node: node, class: class, label: label, sentAt: now, deadline: deadline}
	c.deadlines.Push(deadline.Add(c.answerSlack()), id)
	c.Classes[class].Asked++
	if first {
		c.Classes[class].First++
	}
}

// Answered reports that a client has received a complete answer. It returns the latency, or 0 if the answer is not
// counted.
func (c *Checker) Answered(now policy.Instant, id string, final Final) time.Duration {
	r := c.requests[id]
	if r == nil {
		c.breach(1, now, id, -1, "", "an answer arrived for an unknown request, or long after the deadline")
		return 0
	}
	if r.goneAt != 0 { // the answer crossed the client's departure
		return 0
	}
	if r.overdue { // Advance has already reported the breach
		r.overdue = false
		return 0
	}
	if r.answeredAt != 0 {
		c.breach(1, now, id, r.node, "", fmt.Sprintf("a second final answer arrived: %v after %v", final, r.final))
		return 0
	}
	r.answeredAt = now
	r.final = final
	if now > r.deadline.Add(c.answerSlack()) {
		c.breach(1, now, id, r.node, "", "the final answer arrived after the deadline")
	}
	latency := now.Since(r.sentAt)
	c.countAnswer(now, id, r, latency)
	return latency
}

// countAnswer counts a final answer by class, and checks that a rejected request was not executed.
func (c *Checker) countAnswer(now policy.Instant, id string, r *request, latency time.Duration) {
	counts := &c.Classes[r.class]
	class := &c.rules.Classes[r.class]
	switch r.final {
	case Satisfied:
		counts.Satisfied++
		c.Latencies[r.class] = append(c.Latencies[r.class], latency)
		if latency <= class.LatencyObjective {
			counts.InTime++
		}
	case Rejected:
		counts.Rejected++
		if r.mayHaveRun() && !mayRepeat(class) {
			c.breach(2, now, id, r.node, "", "the request was rejected although an attempt may have been executed")
		}
	case Failed:
		counts.Failed++
	case Cut:
		counts.Cut++
		c.breach(1, now, id, r.node, "", "the connection was closed without an answer")
	}
}

// ClientGone reports that a client has left and no longer waits for an answer.
func (c *Checker) ClientGone(now policy.Instant, id string) {
	if r := c.requests[id]; r != nil && r.answeredAt == 0 {
		r.goneAt = now
	}
}

// WrongAnswer reports that an answer differs from the answer of the server. what describes the difference.
func (c *Checker) WrongAnswer(now policy.Instant, id, what string) {
	c.breach(1, now, id, -1, "", what)
}

// Served counts a first try whose client received a result within the latency objective, by that try or a retry.
func (c *Checker) Served(class int) { c.Classes[class].FirstInTime++ }

// Forget removes a request that needs no answer, as the scenario killed its node.
func (c *Checker) Forget(id string) { delete(c.requests, id) }

// Advance reports a breach for each request whose deadline has passed without an answer, and forgets requests watchTime
// after their deadlines.
func (c *Checker) Advance(now policy.Instant) {
	for {
		id, ok := c.deadlines.PopDue(now)
		if !ok {
			break
		}
		r := c.requests[id]
		if r == nil {
			continue
		}
		if r.answeredAt == 0 && r.goneAt == 0 {
			c.breach(1, now, id, r.node, "", "no final answer arrived by the deadline")
			r.answeredAt = now
			r.overdue = true
		}
		c.expiries.Push(r.deadline.Add(watchTime), id)
	}
	for {
		id, ok := c.expiries.PopDue(now)
		if !ok {
			return
		}
		delete(c.requests, id)
	}
}
