package proxy

import "dahliapin/policy"

// CheckHealth sends a health check to an endpoint. It ends as NotSent if no connection can be opened for a reason on
// this machine, such as a lack of descriptors. It implements dispatch.Actions.
func (p *Proxy) CheckHealth(id policy.EndpointID) {
	endpoint := p.endpoints.byID[id]
	if endpoint == nil {
		return
	}
	p.metrics.counters.HealthChecks++
	conn, err := p.acquireConn(endpoint, purposeHealthCheck, false)
	if err != nil {
		p.reportHealthCheck(id, policy.NotSent)
		return
	}
	if conn.socket != nil {
		p.writeHealthCheck(conn)
	}
}

func (p *Proxy) writeHealthCheck(conn *upstreamConn) {
	p.setConnDeadline(conn)
	if conn.socket.Write(conn.endpoint.codec.healthCheck(conn.endpoint.addr)) != nil {
		p.failConn(conn, policy.ConnectFailed)
	}
}

func (p *Proxy) readHealthCheck(conn *upstreamConn) {
	healthy, size, err := conn.endpoint.codec.readHealthCheck(conn.input.buf.Unread(), conn.input.eof)
	if err != nil {
		p.failConn(conn, policy.ConnectionBroken)
		return
	}
	if size == 0 {
		return
	}
	result := policy.Errored
	if healthy {
		result = policy.Answered
	}
	conn.input.consume(size)
	conn.hasServed = true
	p.returnToPool(conn)
	p.reportHealthCheck(conn.endpoint.id, result)
}

// reportHealthCheck passes a health check's result to the dispatcher in a deferred call.
func (p *Proxy) reportHealthCheck(id policy.EndpointID, result policy.Result) {
	p.deferCall(func() { p.dispatcher.OnHealthCheck(p.now(), id, result) })
}
