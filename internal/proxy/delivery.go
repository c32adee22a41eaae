package proxy

import "dahliapin/policy"

// undelivered is what the node still has to write of answers that it has begun to write, over all clients.
type undelivered struct {
	streams     int   // streamed values that are not complete
	unsentBytes int64 // written bytes that the kernel has not accepted, because clients read slowly
}

// any reports whether the end of the process would cut off an answer.
func (u undelivered) any() bool { return u.streams > 0 || u.unsentBytes > 0 }

// countUndelivered returns what is undelivered now. It looks at each client connection.
func (p *Proxy) countUndelivered() undelivered {
	var left undelivered
	p.downstream.conns.Each(func(_ clientConnID, client *clientConn) {
		left.unsentBytes += client.socket.Unsent()
		for i := range client.pipeline {
			if client.pipeline[i].streamConn != 0 {
				left.streams++
			}
		}
	})
	return left
}

// deliveryProgress is how a draining node gets on with what is undelivered.
type deliveryProgress struct {
	leastUnsent int64          // smallest number of unsent bytes so far; see updateDelivery
	progressAt  policy.Instant // when it last fell, or a stream was in flight
	deliveredAt policy.Instant // when the node last waited for something undelivered
}

// updateDelivery is the part of an idle check that looks at what is undelivered. The node waits for streams, which end
// by streamIdleTimeout and slowReaderTimeout at the latest, and for unsent bytes as long as their number falls below
// the smallest one so far within slowReaderTimeout. That their number changes is not enough: a client that reads
// nothing and goes on sending commands would keep the node from stopping. Before drainAnswerDeadline each change counts,
// since answers are still being added.
func (p *Proxy) updateDelivery(now policy.Instant) {
	left := p.countUndelivered()
	delivery := &p.lifecycle.delivery
	if left.streams > 0 || left.unsentBytes < delivery.leastUnsent || now < p.drainAnswerDeadline() {
		delivery.leastUnsent = left.unsentBytes
		delivery.progressAt = now
	}
	if left.any() && now.Since(delivery.progressAt) < slowReaderTimeout {
		delivery.deliveredAt = now
	}
}

// isDelivering reports whether a draining node must not stop yet, although drainDeadline has passed: it waits for
// something undelivered, or did so less than answerMargin ago, which leaves time to close that connection as an idle
// one.
func (p *Proxy) isDelivering(now policy.Instant) bool {
	return now.Since(p.lifecycle.delivery.deliveredAt) < answerMargin
}
