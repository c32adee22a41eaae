package checker

import (
	"fmt"

	"dahliapin/policy"
)

// notification identifies a node that was told that a server accepts no new attempts.
type notification struct {
	node   int
	server policy.EndpointID
}

// Notified reports that a node has received a server's lifecycle state from the endpoint list.
func (c *Checker) Notified(now policy.Instant, node int, server policy.EndpointID, state policy.Lifecycle) {
	key := notification{node: node, server: server}
	if state == policy.Ready {
		delete(c.notifiedAt, key)
	} else if _, known := c.notifiedAt[key]; !known {
		c.notifiedAt[key] = now
	}
}

// AttemptArrived reports that a complete attempt has arrived at a server, and when it was sent.
func (c *Checker) AttemptArrived(now, sentAt policy.Instant, id string, server policy.EndpointID) {
	r := c.requests[id]
	if r == nil {
		return // unknown or long finished; a repeated effect of it is still found by Effect
	}
	class := &c.rules.Classes[r.class]
	if r.goneAt != 0 && sentAt > r.goneAt.Add(clientGoneSlack) {
		c.AttemptsAfterClientGone++
		if c.AttemptsAfterClientGone > maxLateAttempts {
			c.breach(1, now, id, r.node, server, fmt.Sprintf("an attempt began %v after its client had gone, the %dth such",
				sentAt.Since(r.goneAt), c.AttemptsAfterClientGone))
		}
	}
	if r.answeredAt != 0 && sentAt > r.answeredAt.Add(c.rules.Slack) {
		c.breach(1, now, id, r.node, server, "an attempt went out after the final answer")
	}
	if at, known := c.notifiedAt[notification{node: r.node, server: server}]; known && sentAt > at.Add(c.rules.Grace) {
		c.breach(3, now, id, r.node, server, fmt.Sprintf("an attempt went to a server %v after it was told to want none",
			sentAt.Since(at)))
	}
	if class.Idempotency == policy.NotIdempotent && r.mayHaveRun() {
		c.breach(2, now, id, r.node, server, "another attempt of an irreversible request, though one may have run")
	}
	if r.answeredAt != 0 && r.final == Rejected && !mayRepeat(class) {
		c.breach(2, now, id, r.node, server, "an attempt came after the rejection")
	}
	r.attempts = append(r.attempts, attempt{server: server, arrivedAt: now})
}

// AttemptEnded reports that a server has answered an attempt, or that the node has abandoned or cancelled it.
func (c *Checker) AttemptEnded(now policy.Instant, id string, server policy.EndpointID, notExecuted bool) {
	r := c.requests[id]
	if r == nil {
		return
	}
	hedgingAllowed := c.rules.HedgingAllowed && c.rules.Classes[r.class].Idempotency != policy.NotIdempotent
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.server != server || a.endedAt != 0 {
			continue
		}
		a.endedAt = now
		a.notExecuted = notExecuted
		if !hedgingAllowed {
			c.checkOverlap(id, r, i)
		}
		return
	}
}

// checkOverlap finds attempts that arrived while an earlier one was still in flight, by more than the slack for
// messages that cross in transit.
func (c *Checker) checkOverlap(id string, r *request, ended int) {
	for _, later := range r.attempts[ended+1:] {
		if r.attempts[ended].endedAt.Since(later.arrivedAt) > c.rules.Slack {
			c.breach(2, later.arrivedAt, id, r.node, later.server, "a second attempt beside a first, where settings forbid it")
		}
	}
}

// Effect reports that a write has taken effect at a server. The caller does not report repeats that the server
// deduplicated.
func (c *Checker) Effect(now policy.Instant, id, label string, class int, server policy.EndpointID) {
	name := label
	if name == "" {
		name = id
	}
	c.effects[name]++
	if count := c.effects[name]; count > 1 {
		kind := effectNames[c.rules.Classes[class].Idempotency]
		c.breach(2, now, id, -1, server, fmt.Sprintf("the effect of %s %q happened %d times", kind, name, count))
	}
	r := c.requests[id]
	if r == nil {
		return
	}
	r.hadEffect = true
	if r.answeredAt != 0 && r.final == Rejected && !mayRepeat(&c.rules.Classes[class]) {
		c.breach(2, now, id, r.node, server, "it ran after it was rejected")
	}
}

var effectNames = map[policy.Idempotency]string{
	policy.NotIdempotent:   "irreversible",
	policy.IdempotentByKey: "labelled",
	policy.Idempotent:      "idempotent",
}

// ServerOverloaded reports that a server failed because it was overloaded.
func (c *Checker) ServerOverloaded(now policy.Instant, server policy.EndpointID, why string) {
	c.breach(4, now, "", -1, server, "pushed over: "+why)
}
