package proxy

// idleConnList are all idle links in the order in which they fell idle, so that the one that has been idle longest is known without looking at
// each cache: there may be thousands, and each new connection asks for it while all descriptors are in use.
type idleConnList struct {
	oldest, newest *upstreamConn
}

// push adds a link that has just fallen idle.
func (q *idleConnList) push(conn *upstreamConn) {
	if conn.inIdleList {
		return
	}
	conn.inIdleList, conn.older, conn.newer = true, q.newest, nil
	if q.newest != nil {
		q.newest.newer = conn
	} else {
		q.oldest = conn
	}
	q.newest = conn
}

// remove takes out a link that is not idle any more, or has ended.
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
	conn.inIdleList, conn.older, conn.newer = false, nil, nil
}

// closeLongestIdleConn closes the link that has been idle longest: its loss costs least.
func (p *Proxy) closeLongestIdleConn() bool {
	oldest := p.idleConns.oldest
	if oldest == nil {
		return false
	}
	p.counters.ClosedForRoom++
	p.dropConn(oldest)
	return true
}
