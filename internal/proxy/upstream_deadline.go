package proxy

import (
	"time"

	"dahliapin/policy"
)

const (
	// defaultConnectTimeout is how long connecting may take if the settings state no timeout.
	defaultConnectTimeout = 250 * time.Millisecond
	// overdueCheckInterval is the interval between checks whether the events that had been queued by a deadline have
	// been handled.
	overdueCheckInterval = time.Millisecond
	// overdueIterations is the number of iterations of the event loop after which that is certain: the one under way
	// may have taken its events long ago, and the next one takes all that were queued.
	overdueIterations = 2
)

// connDeadline is the deadline of a connect or of a health check. The zero value is none.
type connDeadline struct {
	at policy.Instant
	// overdue is whether the deadline has been found to have passed, when the event loop had finished the given number
	// of iterations.
	overdue    bool
	iterations uint64
}

func (d *connDeadline) hasPassed(now policy.Instant) bool { return d.at != 0 && now >= d.at }

func (p *Proxy) connectTimeout() time.Duration {
	if p.config.Settings.ConnectTimeout > 0 {
		return p.config.Settings.ConnectTimeout
	}
	return defaultConnectTimeout
}

// setConnDeadline gives a connect or a health check that starts now the connect timeout.
func (p *Proxy) setConnDeadline(conn *upstreamConn) {
	conn.deadline = connDeadline{at: p.now().Add(p.connectTimeout())}
	p.schedule(conn.deadline.at, timerEvent{kind: timerUpstreamConn, conn: conn.id})
}

// onConnDeadline fails a connect or a health check whose deadline has passed, once the event loop has handled all
// events that were queued by then. After a stall the result is often among them: the endpoint has answered in time, and
// it is this process that is late. Failed at once, an established connection would count against its endpoint.
func (p *Proxy) onConnDeadline(conn *upstreamConn) {
	deadline := &conn.deadline
	if !deadline.overdue {
		deadline.overdue = true
		deadline.iterations = p.stalls.iterations
	}
	if p.stalls.iterations < deadline.iterations+overdueIterations {
		p.schedule(p.now().Add(overdueCheckInterval), timerEvent{kind: timerUpstreamConn, conn: conn.id})
		return
	}
	result := policy.ConnectFailed
	if conn.socket != nil {
		result = policy.TimedOut
	}
	p.failConn(conn, result)
}
