package checker

import (
	"fmt"
	"slices"

	"dahliapin/policy"
)

// notification identifies a node that was notified that a server accepts no new attempts.
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
		return // unknown or long finished; Effect still detects a repeated effect of the request
	}
	class := &c.rules.Classes[r.class]
	if r.goneAt != 0 && sentAt > r.goneAt.Add(clientGoneSlack) {
		c.AttemptsAfterClientGone++
		if c.AttemptsAfterClientGone > maxLateAttempts {
			c.breach(1, now, id, r.node, server, fmt.Sprintf(
				"an attempt was sent %v after the client had left; %d such attempts, %d are allowed",
				sentAt.Since(r.goneAt), c.AttemptsAfterClientGone, maxLateAttempts))
		}
	}
	if r.answeredAt != 0 && sentAt > r.answeredAt.Add(c.rules.Slack) {
		c.breach(1, now, id, r.node, server, "an attempt was sent after the final answer")
	}
	if at, known := c.notifiedAt[notification{node: r.node, server: server}]; known && sentAt > at.Add(c.rules.Grace) {
		c.breach(3, now, id, r.node, server, fmt.Sprintf(
			"an attempt was sent %v after the node was notified that the server accepts none", sentAt.Since(at)))
	}
	if class.Idempotency == policy.NotIdempotent && r.mayHaveRun() {
		c.breach(2, now, id, r.node, server,
			"an irreversible request was sent again although an earlier attempt may have been executed")
	}
	if r.answeredAt != 0 && r.final == Rejected && !mayRepeat(class) {
		c.breach(2, now, id, r.node, server, "an attempt arrived after the request was rejected")
	}
	if class.Idempotency == policy.IdempotentByKey {
		c.checkDedupWindow(now, sentAt, id, r, server)
	}
	r.attempts = append(r.attempts, attempt{
		server:  server,
		sentAt:  sentAt,
		endedAt: r.takeAbandonment(server, sentAt),
	})
	c.checkOverlaps(now, id, r)
}

// checkDedupWindow reports an attempt that was sent after the deduplication window of an earlier attempt that may have
// been executed. Whether the write takes effect twice is left to chance: it does only if the earlier attempt was
// executed and its answer did not reach the node. So most such attempts show no second effect, although each breaks the
// rule. The slack covers an attempt that was sent within the window and crosses its end in transit.
func (c *Checker) checkDedupWindow(now, sentAt policy.Instant, id string, r *request, server policy.EndpointID) {
	window := c.rules.Classes[r.class].DedupWindow
	for _, earlier := range r.attempts {
		since := sentAt.Since(earlier.sentAt)
		if earlier.notExecuted || since <= window+c.rules.Slack {
			continue
		}
		c.breach(2, now, id, r.node, server, fmt.Sprintf(
			"a write with an idempotency key was sent again %v after an attempt that may have been executed, the "+
				"deduplication window is %v", since, window))
		return
	}
}

// AttemptEnded reports that a server has answered an attempt, or that the node has abandoned or cancelled it. Each end
// is reported once. The node may abandon an attempt in transit: the report then comes before that of the arrival.
func (c *Checker) AttemptEnded(now policy.Instant, id string, server policy.EndpointID, notExecuted bool) {
	r := c.requests[id]
	if r == nil {
		return
	}
	i := slices.IndexFunc(r.attempts, func(a attempt) bool { return a.server == server && a.endedAt == 0 })
	if i < 0 {
		r.abandoned = append(r.abandoned, abandonment{server: server, at: now})
		return
	}
	r.attempts[i].endedAt = now
	r.attempts[i].notExecuted = notExecuted
	for j := range r.attempts {
		if j != i && r.sentBefore(i, j) {
			c.checkOverlap(now, id, r, i, j)
		}
	}
}

// checkOverlaps compares the attempt that has just arrived with those that arrived before it. It leaves out a pair of
// which the attempt that was sent first is in flight: AttemptEnded compares them.
func (c *Checker) checkOverlaps(now policy.Instant, id string, r *request) {
	arrived := len(r.attempts) - 1
	for other := range arrived {
		first, second := other, arrived
		if r.sentBefore(arrived, other) {
			first, second = arrived, other
		}
		if r.attempts[first].endedAt != 0 {
			c.checkOverlap(now, id, r, first, second)
		}
	}
}

// checkOverlap reports an attempt that was sent while an earlier one was in flight, unless hedging is allowed. The
// order in which they arrived does not matter, as links differ in latency. Overlaps up to the slack are tolerated,
// since messages may cross in transit.
func (c *Checker) checkOverlap(now policy.Instant, id string, r *request, first, second int) {
	if c.rules.HedgingAllowed && c.rules.Classes[r.class].Idempotency != policy.NotIdempotent {
		return
	}
	later := r.attempts[second]
	if r.attempts[first].endedAt.Since(later.sentAt) > c.rules.Slack {
		c.breach(2, now, id, r.node, later.server,
			"an attempt was sent while another was in flight, which the settings forbid")
	}
}

// Effect reports that a write has taken effect at a server. The caller must not report repetitions that the server
// deduplicated.
func (c *Checker) Effect(now policy.Instant, id, label string, class int, server policy.EndpointID) {
	name := label
	if name == "" {
		name = id
	}
	c.effects[name]++
	if count := c.effects[name]; count > 1 {
		kind := effectNames[c.rules.Classes[class].Idempotency]
		c.breach(2, now, id, -1, server, fmt.Sprintf("the %s request %q has taken effect %d times", kind, name, count))
	}
	r := c.requests[id]
	if r == nil {
		return
	}
	r.hadEffect = true
	if r.answeredAt != 0 && r.final == Rejected && !mayRepeat(&c.rules.Classes[class]) {
		c.breach(2, now, id, r.node, server, "the request was executed after it was rejected")
	}
}

// effectNames are the names of effects in scenario files, used in messages.
var effectNames = map[policy.Idempotency]string{
	policy.NotIdempotent:   "irreversible",
	policy.IdempotentByKey: "labelled",
	policy.Idempotent:      "idempotent",
}

// leastInformedShare is the share of the load from which on the nodes are responsible for an overload.
const leastInformedShare = 2.0 / 3

// ServerOverloaded reports that a server failed under overload, and which share of the load came from nodes that knew
// that the server had started. Nodes that do not know it cannot protect the server.
func (c *Checker) ServerOverloaded(
	now policy.Instant, server policy.EndpointID, informedShare float64, what string,
) {
	if informedShare >= leastInformedShare {
		c.breach(4, now, "", -1, server, "the server failed under overload: "+what)
	}
}
