// Package deadlines is the one ordered structure that all of a node's deadlines hang in.
package timerqueue

import "dahliapin/internal/monotime"

// Queue hands out what was put in by time, and by order of putting where times are alike. Nothing is taken out
// early: what has become void is for the caller to pass over.
type Queue[E any] struct {
	in   []entry[E]
	puts uint64
}

type entry[E any] struct {
	at  monotime.Instant
	put uint64
	due E
}

func (e *entry[E]) before(o *entry[E]) bool { return e.at < o.at || e.at == o.at && e.put < o.put }

// Push hangs something in. The heap is the package's own: the library's takes each entry as an interface, an allocation each.
func (q *Queue[E]) Push(at monotime.Instant, due E) {
	q.puts++
	q.in = append(q.in, entry[E]{at, q.puts, due})
	for i := len(q.in) - 1; i > 0; {
		up := (i - 1) / 2
		if !q.in[i].before(&q.in[up]) {
			break
		}
		q.in[i], q.in[up] = q.in[up], q.in[i]
		i = up
	}
}

// Next tells when the next is due.
func (q *Queue[E]) Next() (monotime.Instant, bool) {
	if len(q.in) == 0 {
		return 0, false
	}
	return q.in[0].at, true
}

// PopDue takes out the next that is due by now.
func (q *Queue[E]) PopDue(now monotime.Instant) (due E, ok bool) {
	if len(q.in) == 0 || q.in[0].at > now {
		return due, false
	}
	due = q.in[0].due
	last := len(q.in) - 1
	q.in[0], q.in[last] = q.in[last], entry[E]{}
	q.in = q.in[:last]
	for i := 0; ; {
		least := i
		for _, down := range [2]int{2*i + 1, 2*i + 2} {
			if down < last && q.in[down].before(&q.in[least]) {
				least = down
			}
		}
		if least == i {
			return due, true
		}
		q.in[i], q.in[least] = q.in[least], q.in[i]
		i = least
	}
}
