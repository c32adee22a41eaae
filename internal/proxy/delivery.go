package proxy

import "dahliapin/policy"

// undelivered is what the node still has to write of answers that are ready or streamed, over all clients.
type undelivered struct {
	streams     int   // streamed values that are not complete
	unsentBytes int64 // of answers that are complete, which the kernel has not accepted
}

// any reports whether the end of the process would cut off an answer.
func (u undelivered) any() bool { return u.streams > 0 || u.unsentBytes > 0 }

// countUndelivered returns what is undelivered now. It looks at each client connection.
func (p *Proxy) countUndelivered() undelivered {
	var left undelivered
	p.downstream.conns.Each(func(_ clientConnID, client *clientConn) {
		left.unsentBytes += client.socket.Unsent()
		for i := range client.pipeline {
			slot := &client.pipeline[i]
			switch {
			case slot.streamConn != 0:
				left.streams++
			case slot.answered:
				left.unsentBytes += int64(slot.unwrittenBytes())
			}
		}
	})
	return left
}

// flushProgress tells whether the kernel goes on accepting unsent bytes, that is, whether clients go on reading.
type flushProgress struct {
	leastUnsent int64          // smallest number of unsent bytes so far
	progressAt  policy.Instant // when it last fell
}

// begin starts to measure, or starts anew.
func (f *flushProgress) begin(unsent int64, now policy.Instant) {
	f.leastUnsent = unsent
	f.progressAt = now
}

// isStalled reports whether the number of unsent bytes has not fallen below the smallest one so far for
// slowReaderTimeout. That the number changes is not enough: answers may be added for a client that reads nothing and
// goes on sending commands.
func (f *flushProgress) isStalled(unsent int64, now policy.Instant) bool {
	if unsent < f.leastUnsent {
		f.begin(unsent, now)
	}
	return now.Since(f.progressAt) >= slowReaderTimeout
}

// delivery is how a draining node gets on with what is undelivered.
type delivery struct {
	flush    flushProgress  // over all clients
	waitedAt policy.Instant // when the node last waited for something undelivered
}

// updateDelivery is the part of an idle check that looks at what is undelivered. The node waits for streams, which end
// by streamIdleTimeout and slowReaderTimeout at the latest, and for unsent bytes as long as clients read them. Before
// drainAnswerDeadline the measurement starts anew each time, since answers are still being added.
func (p *Proxy) updateDelivery(now policy.Instant) {
	left := p.countUndelivered()
	delivery := &p.lifecycle.delivery
	if left.streams > 0 || now < p.drainAnswerDeadline() {
		delivery.flush.begin(left.unsentBytes, now)
	}
	if left.any() && !delivery.flush.isStalled(left.unsentBytes, now) {
		delivery.waitedAt = now
	}
}

// isDelivering reports whether a draining node must not stop yet, although drainDeadline has passed: it waits for
// something undelivered, or did so less than answerMargin ago, which leaves time to close that connection as an idle
// one.
func (p *Proxy) isDelivering(now policy.Instant) bool {
	return now.Since(p.lifecycle.delivery.waitedAt) < answerMargin
}
