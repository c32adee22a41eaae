package proxy

// idleConnList lists all idle upstream connections in the order in which they became idle. The one that has been idle
// longest is found without a scan of all endpoints: there may be thousands, and while all descriptors are in use each
// new connection asks for it.
type idleConnList struct {
	oldest *upstreamConn
	newest *upstreamConn
}

// idleConnEntry links a connection into the list.
type idleConnEntry struct {
	inIdleList bool
	older      *upstreamConn
	newer      *upstreamConn
}

// push adds a connection that has just become idle.
func (q *idleConnList) push(conn *upstreamConn) {
	if conn.inIdleList {
		return
	}
	conn.idleConnEntry = idleConnEntry{inIdleList: true, older: q.newest}
	if q.newest != nil {
		q.newest.newer = conn
	} else {
		q.oldest = conn
	}
	q.newest = conn
}

// remove removes a connection that is no longer idle, or has ended.
func (q *idleConnList) remove(conn *upstreamConn) {
	if !conn.inIdleList {
		return
	}
	if conn.older != nil {
		conn.older.newer = conn.newer
	} else {
		q.oldest = conn.newer
	}
	if conn.newer != nil {
		conn.newer.older = conn.older
	} else {
		q.newest = conn.older
	}
	conn.idleConnEntry = idleConnEntry{}
}

// closeLongestIdleConn closes the upstream connection that has been idle longest, since losing it costs least. It
// reports whether there was one.
func (p *Proxy) closeLongestIdleConn() bool {
	oldest := p.upstream.idle.oldest
	if oldest == nil {
		return false
	}
	p.metrics.counters.EvictedConns++
	p.dropConn(oldest)
	return true
}
