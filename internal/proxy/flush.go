package proxy

import (
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"dahliapin/internal/proxy/sockets/poller"
	"dahliapin/policy"
)

const (
	// maxUnsentWindow is how many bytes may be unsent on a client's connection at most when more are written to it. The
	// rest of its answers waits in the pipeline, and the endpoint of a streamed value is not read meanwhile. So a
	// connection never reaches sockets.MaxUnsentBytes, at which it is closed.
	maxUnsentWindow = 64 << 10
	// minUnsentWindow is how many bytes may always be unsent, however many clients there are.
	minUnsentWindow = 4 << 10
	// unsentDivisor limits the unsent bytes of all clients together to about the memory limit divided by it.
	unsentDivisor = 8
	// flushCheckInterval is the interval at which the node checks whether a client has read what is unsent.
	flushCheckInterval = 20 * time.Millisecond
	// slowReaderCheckInterval is that interval if more is ready to be written. It limits how fast such a client is
	// served to what the kernel buffers and maxUnsentWindow in each interval.
	slowReaderCheckInterval = 5 * time.Millisecond
	// slowReaderTimeout is how long a client may read nothing while something is left to write to it.
	slowReaderTimeout = 10 * time.Second
)

// unsentWindow returns how many bytes may be unsent on a client's connection when more are written to it, and how many
// are written at a time. It is smaller with many clients, all of which may read slowly.
func (p *Proxy) unsentWindow() int {
	share := p.config.MemoryLimit / unsentDivisor / int64(1+p.downstream.conns.Len())
	return int(min(max(share, minUnsentWindow), maxUnsentWindow))
}

// readProgress tells whether a client goes on reading what is written to it. The zero value has not begun.
type readProgress struct {
	acceptedBytes int64          // bytes that the kernel had accepted at progressAt
	progressAt    policy.Instant // when that number was last seen to grow; 0 if nothing is left to write
	checkAt       policy.Instant // when the timer for the next check fires; 0 if not set
}

// isStalled updates the progress by the number of bytes that the kernel has accepted, and reports whether that number
// has not grown for slowReaderTimeout.
func (r *readProgress) isStalled(acceptedBytes int64, now policy.Instant) bool {
	if r.progressAt == 0 || acceptedBytes != r.acceptedBytes {
		r.acceptedBytes = acceptedBytes
		r.progressAt = now
	}
	return now.Since(r.progressAt) >= slowReaderTimeout
}

// beginCheck begins the check that was due at checkAt. The time by which it is late does not count as time without
// progress: in a process that was suspended, the kernel's reports on what clients have read wait as well.
func (r *readProgress) beginCheck(now policy.Instant) {
	if r.progressAt != 0 {
		r.progressAt = r.progressAt.Add(now.Since(r.checkAt))
	}
	r.checkAt = 0
}

// flushPipeline writes the answers that are ready, up to the first unanswered command, as far as the client reads them.
// It checks again until the client has read everything, and closes a connection whose last answer has been read.
func (p *Proxy) flushPipeline(client *clientConn) {
	answeredBefore := client.firstSlot
	if !p.writeReadyAnswers(client) {
		return
	}
	if client.firstSlot > answeredBefore {
		p.resumeFirstStream(client)
	}
	if client.overLimit && client.isIdle() && p.tooManyClients() && p.closeIfIdle(client) {
		return
	}
	if client.closing && len(client.pipeline) == 0 && client.socket.Unsent() == 0 {
		p.closeClient(client)
		return
	}
	p.watchReading(client)
}

// watchReading schedules the next check of a connection on which something is left to write or unsent. It closes one
// whose client has read nothing for slowReaderTimeout, and reports whether the connection is still open. Otherwise such
// a client would keep the memory of its answers, and its endpoint's connection, for as long as it stays.
func (p *Proxy) watchReading(client *clientConn) (open bool) {
	isReady := client.isAnswered(0)
	if client.socket.Unsent() == 0 && !isReady && !(client.closing && len(client.pipeline) == 0) {
		client.reading.progressAt = 0
		return true
	}
	now := p.now()
	if client.reading.isStalled(client.socket.Accepted(), now) {
		p.metrics.counters.ClientTimeouts++
		p.closeClient(client)
		return false
	}
	if client.reading.checkAt != 0 {
		return true
	}
	interval := flushCheckInterval
	if isReady {
		interval = slowReaderCheckInterval
	}
	client.reading.checkAt = now.Add(interval)
	p.schedule(client.reading.checkAt, timerEvent{kind: timerFlush, client: client.id})
	return true
}

// onFlushTimer is the check that watchReading has scheduled.
func (p *Proxy) onFlushTimer(id clientConnID) {
	client := p.downstream.conns.Get(id)
	if client == nil {
		return
	}
	client.reading.beginCheck(p.now())
	p.flushPipeline(client)
}

// isAnswered reports whether the slot at an index of the pipeline has its answer.
func (c *clientConn) isAnswered(index int) bool {
	return index < len(c.pipeline) && c.pipeline[index].answered
}

// writeReadyAnswers writes the answers that are ready as far as the client reads them, and reports whether the
// connection is still open.
func (p *Proxy) writeReadyAnswers(client *clientConn) (open bool) {
	for client.isAnswered(0) && client.socket.Unsent() <= int64(p.unsentWindow()) {
		piece := p.takeReadyAnswers(client)
		if len(piece) > 0 && !p.writeToClient(client, piece) {
			return false
		}
	}
	return true
}

// takeReadyAnswers takes the next bytes to write from the answers that are ready, and removes the slots of which
// everything has been taken. Short answers are joined; long values are taken in parts and not copied.
func (p *Proxy) takeReadyAnswers(client *clientConn) (piece []byte) {
	taken := 0
	window := p.unsentWindow()
	for more := true; more && client.isAnswered(taken) && len(piece) < window; {
		slot := &client.pipeline[taken]
		if !slot.begun && taken == len(client.pipeline)-1 {
			p.announceClose(client, slot)
		}
		slot.begun = true
		piece, more = slot.takeNext(piece, window, client.codec.valueTrailer())
		if slot.unwrittenBytes() == 0 {
			p.countIfLate(slot)
			p.discardAnswer(slot)
			taken++
		}
	}
	client.advance(taken)
	client.lastUsedAt = p.now()
	return piece
}

// takeNext takes the next bytes of an answer, window at most, and appends them to a piece. more is false if nothing may
// be appended to the new piece: it ends where a long value begins, or is a part of one.
func (s *pipelineSlot) takeNext(piece []byte, window int, valueTrailer string) (next []byte, more bool) {
	if len(s.response) == 0 && len(s.value) > 0 {
		if len(piece) > 0 {
			return piece, false
		}
		size := min(len(s.value), window)
		next = s.value[:size]
		s.value = s.value[size:]
		if len(s.value) == 0 {
			s.response = []byte(valueTrailer)
		}
		return next, false
	}
	size := min(len(s.response), window)
	next = s.response[:size:size]
	s.response = s.response[size:]
	if len(piece) > 0 {
		next = append(piece, next...)
	}
	return next, true
}

// countIfLate counts an answer of which the end is written after its request's deadline.
func (p *Proxy) countIfLate(slot *pipelineSlot) {
	if slot.deadline != 0 && p.now() > slot.deadline {
		p.metrics.counters.AnsweredLate++
	}
}

// resumeFirstStream resumes a streamed value that has waited for earlier answers.
func (p *Proxy) resumeFirstStream(client *clientConn) {
	if len(client.pipeline) == 0 || client.pipeline[0].streamConn == 0 {
		return
	}
	conn := p.upstream.conns.Get(client.pipeline[0].streamConn)
	if conn == nil {
		return
	}
	p.deferCall(func() {
		if conn.stream != nil && p.upstream.conns.Get(conn.id) == conn {
			p.forwardStream(conn)
		}
	})
}

// announceClose makes the last answer on a connection announce that the connection closes, if the node is draining or
// in standby and the protocol supports it. Otherwise a command that the client sends while the connection is being
// closed would be lost. Whether an answer is the last one is known only when it is written, since it may have waited
// for others.
func (p *Proxy) announceClose(client *clientConn, slot *pipelineSlot) {
	leaving := p.lifecycle.phase == Draining || p.lifecycle.phase == Standby
	if !leaving || client.incompleteBytes > 0 || client.closing {
		return
	}
	if idle, _ := client.socket.Idle(); idle {
		slot.response, client.closing = client.codec.announceClose(slot.response)
	}
}

// writeToClient writes bytes of answers. It reports whether the connection is still open.
func (p *Proxy) writeToClient(client *clientConn, b []byte) (open bool) {
	err := client.socket.Write(b)
	if err == nil {
		return true
	}
	if errors.Is(err, poller.ErrTooManyUnsent) {
		p.config.Log.WithFields(logrus.Fields{
			"unanswered": len(client.pipeline),
			"bytes":      len(b),
		}).Warn("client connection closed; too many bytes wait for it to read")
	}
	p.onClientClosed(client.id)
	return false
}
