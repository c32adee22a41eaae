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
	answeredAt policy.Instant // 0 for not yet
	goneAt     policy.Instant // when its client left without an answer; 0 for not
	final      Final
	hadEffect  bool
	overdue    bool // counted as without an answer
	attempts   []attempt
}

// attempt is one that arrived at a server.
type attempt struct {
	server      policy.EndpointID
	arrivedAt   policy.Instant
	endedAt     policy.Instant // 0 while it is in flight
	notExecuted bool           // it is certain that it did not run
}

func (r *request) mayHaveRun() bool {
	for _, a := range r.attempts {
		if !a.notExecuted {
			return true
		}
	}
	return r.hadEffect
}

// mayRepeat tells whether a class's requests may be repeated anywhere at any time.
func mayRepeat(c *policy.ServiceClass) bool {
	everywhere := c.Idempotency == policy.IdempotentByKey && c.DedupScope == policy.AllCaches
	return c.Idempotency == policy.Idempotent || everywhere
}

// RequestSent reports that a client has handed a request to a node; retries of the client are requests of their own.
func (c *Checker) RequestSent(now policy.Instant, id string, node, class int, label string, deadline policy.Instant, first bool) {
	c.requests[id] = &request{node: node, class: class, label: label, sentAt: now, deadline: deadline}
	c.deadlines.Push(deadline.Add(c.answerSlack()), id)
	c.Classes[class].Asked++
	if first {
		c.Classes[class].First++
	}
}

// Answered reports that a client has an answer whole. It returns the time that took, 0 where it is not counted.
func (c *Checker) Answered(now policy.Instant, id string, final Final) time.Duration {
	r := c.requests[id]
	if r == nil {
		c.breach(1, now, id, -1, "", "an answer to what nobody asked, or long after its deadline")
		return 0
	}
	if r.goneAt != 0 { // it crossed the client's leaving
		return 0
	}
	if r.overdue { // late, which is counted already
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

// countAnswer counts a final answer by class, and checks what it claims.
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

// ClientGone reports that a client has left, and waits for no answer any more.
func (c *Checker) ClientGone(now policy.Instant, id string) {
	if r := c.requests[id]; r != nil && r.answeredAt == 0 {
		r.goneAt = now
	}
}

// WrongAnswer reports that an answer is not what a server made for this request.
func (c *Checker) WrongAnswer(now policy.Instant, id, what string) {
	c.breach(1, now, id, -1, "", what)
}

// Served counts a first try whose client was satisfied, by whichever try, within its latency objective.
func (c *Checker) Served(class int) { c.Classes[class].FirstInTime++ }

// Forget forgets a request whose node was killed by the scenario: nobody could have answered it.
func (c *Checker) Forget(id string) { delete(c.requests, id) }

// Advance checks what is due by now: requests without an answer at their deadline.
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
