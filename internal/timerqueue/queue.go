// Package timerqueue provides a priority queue for timers.
package timerqueue

import (
	"slices"

	"dahliapin/internal/monotime"
)

// Queue returns events ordered by time, and events with equal times in the order in which they were pushed. Single
// events cannot be cancelled: the caller ignores those that are no longer valid, and calls DeleteFunc when there may be
// many of them. The zero Queue is empty and ready for use.
type Queue[E any] struct {
	heap   []entry[E] // binary heap, earliest event first
	pushes uint64     // number of pushes so far
}

type entry[E any] struct {
	at    monotime.Instant
	push  uint64 // sequence number, orders events with equal times
	event E
}

func (e *entry[E]) before(o *entry[E]) bool {
	return e.at < o.at || e.at == o.at && e.push < o.push
}

// Push adds an event that is due at an instant. The package has its own heap because container/heap takes each entry as
// an interface, which costs an allocation.
func (q *Queue[E]) Push(at monotime.Instant, event E) {
	q.pushes++
	q.heap = append(q.heap, entry[E]{at: at, push: q.pushes, event: event})
	q.siftUp(len(q.heap) - 1)
}

// Len returns the number of events.
func (q *Queue[E]) Len() int { return len(q.heap) }

// DeleteFunc removes the events for which del returns true, and releases their memory. It takes time in proportion to
// the number of events.
func (q *Queue[E]) DeleteFunc(del func(at monotime.Instant, event E) bool) {
	kept := slices.DeleteFunc(q.heap, func(e entry[E]) bool { return del(e.at, e.event) })
	q.heap = make([]entry[E], 0, 2*len(kept))
	for i := range kept {
		q.heap = append(q.heap, kept[i])
		q.siftUp(i)
	}
}

// siftUp restores the heap order after an entry was added at an index.
func (q *Queue[E]) siftUp(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !q.heap[i].before(&q.heap[parent]) {
			break
		}
		q.heap[i], q.heap[parent] = q.heap[parent], q.heap[i]
		i = parent
	}
}

// Next returns the time at which the next event is due, and false if the queue is empty.
func (q *Queue[E]) Next() (monotime.Instant, bool) {
	if len(q.heap) == 0 {
		return 0, false
	}
	return q.heap[0].at, true
}

// PopDue removes and returns the next event that is due by now, or returns false if none is due.
func (q *Queue[E]) PopDue(now monotime.Instant) (event E, ok bool) {
	if len(q.heap) == 0 || q.heap[0].at > now {
		return event, false
	}
	event = q.heap[0].event
	last := len(q.heap) - 1
	q.heap[0] = q.heap[last]
	q.heap[last] = entry[E]{} // releases references held by the event
	q.heap = q.heap[:last]
	q.siftDown()
	return event, true
}

// siftDown restores the heap order after the first entry was replaced.
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
