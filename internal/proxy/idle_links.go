package proxy

// idleLinks are all idle links in the order in which they fell idle, so that the one that has been idle longest is known without looking at
// each cache: there may be thousands, and each new connection asks for it while all descriptors are in use.
type idleLinks struct {
	oldest, newest *link
}

// push adds a link that has just fallen idle.
func (q *idleLinks) push(l *link) {
	if l.queued {
		return
	}
	l.queued, l.older, l.newer = true, q.newest, nil
	if q.newest != nil {
		q.newest.newer = l
	} else {
		q.oldest = l
	}
	q.newest = l
}

// remove takes out a link that is not idle any more, or has ended.
func (q *idleLinks) remove(l *link) {
	if !l.queued {
		return
	}
	if l.older != nil {
		l.older.newer = l.newer
	} else {
		q.oldest = l.newer
	}
	if l.newer != nil {
		l.newer.older = l.older
	} else {
		q.newest = l.older
	}
	l.queued, l.older, l.newer = false, nil, nil
}

// closeIdleLink closes the link that has been idle longest: its loss costs least.
func (r *Proxy) closeIdleLink() bool {
	oldest := r.idleLinks.oldest
	if oldest == nil {
		return false
	}
	r.count.ClosedForRoom++
	r.dropLink(oldest)
	return true
}
