package checker

import (
	"fmt"
	"time"

	"dahliapin/policy"
)

// request is one try of a client.
type request struct {
	node       int
	class      int
	label      string // the idempotency key; empty for none
	sentAt     policy.Instant
	deadline   policy.Instant
	answeredAt policy.Instant // 0 if not answered yet
	goneAt     policy.Instant // when its client left without an answer; 0 if it has not
	final      Final
	hadEffect  bool
	overdue    bool // already counted as unanswered
	attempts   []attempt
}

// attempt is an attempt that arrived at a server.
type attempt struct {
	server      policy.EndpointID
	arrivedAt   policy.Instant
	endedAt     policy.Instant // 0 while it is in flight
	notExecuted bool           // the request certainly was not executed
}

func (r *request) mayHaveRun() bool {
	for _, a := range r.attempts {
		if !a.notExecuted {
			return true
		}
	}
	return r.hadEffect
}

// mayRepeat reports whether the requests of a class may be repeated at any server at any time.
func mayRepeat(c *policy.ServiceClass) bool {
	everywhere := c.Idempotency == policy.IdempotentByKey && c.DedupScope == policy.AllCaches
	return c.Idempotency == policy.Idempotent || everywhere
}

// RequestSent reports that a client has sent a request to a node. Each retry by the client is a request of its own.
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
		c.breach(1, now, id, -1, "", "an answer to what nobody asked, or long after its deadline")
		return 0
	}
	if r.goneAt != 0 { // the answer crossed the client's departure
		return 0
	}
	if r.overdue { // Advance has already counted it as a breach
		r.overdue = false
		return 0
	}
	if r.answeredAt != 0 {
		c.breach(1, now, id, r.node, "", fmt.Sprintf("a second final answer (%v after %v)", final, r.final))
		return 0
	}
	r.answeredAt = now
	r.final = final
	if now > r.deadline.Add(c.answerSlack()) {
		c.breach(1, now, id, r.node, "", "the final answer came after the deadline")
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
			c.breach(2, now, id, r.node, "", "rejected, though an attempt of it may have run")
		}
	case Failed:
		counts.Failed++
	case Cut:
		counts.Cut++
		c.breach(1, now, id, r.node, "", "its connection ended without an answer")
	}
}

// ClientGone reports that a client has left and no longer waits for an answer.
func (c *Checker) ClientGone(now policy.Instant, id string) {
	if r := c.requests[id]; r != nil && r.answeredAt == 0 {
		r.goneAt = now
	}
}

// WrongAnswer reports that an answer differs from the one that a server gave to the request.
func (c *Checker) WrongAnswer(now policy.Instant, id, what string) {
	c.breach(1, now, id, -1, "", what)
}

// Served counts a first try whose client was satisfied, by any of its tries, within the latency objective.
func (c *Checker) Served(class int) { c.Classes[class].FirstInTime++ }

// Forget removes a request whose node was killed by the scenario, so that no answer to it is expected.
func (c *Checker) Forget(id string) { delete(c.requests, id) }

// Advance reports a breach for each request without an answer at its deadline, and removes requests that are no longer
// kept.
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
			c.breach(1, now, id, r.node, "", "no final answer by its deadline")
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
