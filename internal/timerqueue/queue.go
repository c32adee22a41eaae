// Package timerqueue has the ordered queue that a program's timers are kept in.
package timerqueue

import "dahliapin/internal/monotime"

// Queue hands out events by time, and events of the same time in the order in which they were pushed. Events can't be
// cancelled: the caller passes over those that have become void. The zero Queue is empty and ready for use.
type Queue[E any] struct {
	heap   []entry[E] // binary heap, the next event first
	pushes uint64     // until now
}

type entry[E any] struct {
	at    monotime.Instant
	push  uint64 // its number among all pushes
	event E
}

func (e *entry[E]) before(o *entry[E]) bool {
	return e.at < o.at || e.at == o.at && e.push < o.push
}

// Push adds an event that is due at an instant. The heap is the package's own, as that of the standard library takes
// each entry as an interface: an allocation each.
func (q *Queue[E]) Push(at monotime.Instant, event E) {
	q.pushes++
	q.heap = append(q.heap, entry[E]{at: at, push: q.pushes, event: event})
	for i := len(q.heap) - 1; i > 0; {
		parent := (i - 1) / 2
		if !q.heap[i].before(&q.heap[parent]) {
			break
		}
		q.heap[i], q.heap[parent] = q.heap[parent], q.heap[i]
		i = parent
	}
}

// Next returns when the next event is due, and false where there is none.
func (q *Queue[E]) Next() (monotime.Instant, bool) {
	if len(q.heap) == 0 {
		return 0, false
	}
	return q.heap[0].at, true
}

// PopDue takes out the next event that is due by now, and returns false where none is.
func (q *Queue[E]) PopDue(now monotime.Instant) (event E, ok bool) {
	if len(q.heap) == 0 || q.heap[0].at > now {
		return event, false
	}
	event = q.heap[0].event
	last := len(q.heap) - 1
	q.heap[0] = q.heap[last]
	q.heap[last] = entry[E]{} // lets go of what the event refers to
	q.heap = q.heap[:last]
	q.siftDown()
	return event, true
}

// siftDown restores the heap where its first entry may be too late.
func (q *Queue[E]) siftDown() {
	for i := 0; ; {
		least := i
		for _, child := range [2]int{2*i + 1, 2*i + 2} {
			if child < len(q.heap) && q.heap[child].before(&q.heap[least]) {
				least = child
			}
		}
		if least == i {
			return
		}
		q.heap[i], q.heap[least] = q.heap[least], q.heap[i]
		i = least
	}
}
