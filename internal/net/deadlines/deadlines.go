// Package deadlines is the one ordered structure that all of a node's deadlines hang in.
package deadlines

import (
	"container/heap"

	"dahliapin/policy"
)

// Queue hands out what was put in by time, and by order of putting where times are alike. Nothing is taken out
// early: what has become void is for the caller to pass over.
type Queue[E any] struct {
	in   entries[E]
	puts uint64
}

type entry[E any] struct {
	at  policy.Instant
	put uint64
	due E
}

type entries[E any] []entry[E]

func (q entries[E]) Len() int      { return len(q) }
func (q entries[E]) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q entries[E]) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].put < q[j].put
}
func (q *entries[E]) Push(x any) { *q = append(*q, x.(entry[E])) }
func (q *entries[E]) Pop() any {
	last := (*q)[len(*q)-1]
	(*q)[len(*q)-1] = entry[E]{}
	*q = (*q)[:len(*q)-1]
	return last
}

// Put hangs something in.
func (q *Queue[E]) Put(at policy.Instant, due E) {
	q.puts++
	heap.Push(&q.in, entry[E]{at, q.puts, due})
}

// Next tells when the next is due.
func (q *Queue[E]) Next() (policy.Instant, bool) {
	if len(q.in) == 0 {
		return 0, false
	}
	return q.in[0].at, true
}

// Due takes out the next that is due by now.
func (q *Queue[E]) Due(now policy.Instant) (due E, ok bool) {
	if len(q.in) == 0 || q.in[0].at > now {
		return due, false
	}
	return heap.Pop(&q.in).(entry[E]).due, true
}
