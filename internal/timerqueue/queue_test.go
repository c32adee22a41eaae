package timerqueue

import (
	"slices"
	"testing"

	"dahliapin/internal/monotime"
)

// Events are returned ordered by time, those with equal times in push order, and none before it is due.
func FuzzEventsAreOrdered(f *testing.F) {
	f.Add([]byte{3, 1, 2, 1, 255, 0})
	f.Fuzz(func(t *testing.T, times []byte) {
		var q Queue[int]
		order := make([]int, len(times))
		for i, at := range times {
			q.Push(monotime.Instant(at), i)
			order[i] = i
		}
		slices.SortStableFunc(order, func(a, b int) int { return int(times[a]) - int(times[b]) })
		for _, want := range order {
			at, _ := q.Next()
			if _, early := q.PopDue(at - 1); early {
				t.Fatal("event returned before it was due")
			}
			if got, ok := q.PopDue(at); !ok || got != want || at != monotime.Instant(times[want]) {
				t.Fatalf("got %d at %d, want %d", got, at, want)
			}
		}
		if _, ok := q.Next(); ok {
			t.Fatal("an event is left in the queue")
		}
	})
}

// Events that are deleted are not returned, and the others stay in order.
func FuzzRemainingEventsAreOrdered(f *testing.F) {
	f.Add([]byte{3, 1, 2, 1, 255, 0}, uint8(2))
	f.Fuzz(func(t *testing.T, times []byte, divisor uint8) {
		var q Queue[int]
		var order []int
		isDeleted := func(i int) bool { return i%(int(divisor)+1) == 0 }
		for i, at := range times {
			q.Push(monotime.Instant(at), i)
			if !isDeleted(i) {
				order = append(order, i)
			}
		}
		q.DeleteFunc(func(at monotime.Instant, i int) bool {
			if at != monotime.Instant(times[i]) {
				t.Errorf("event %d is due at %d, want %d", i, at, times[i])
			}
			return isDeleted(i)
		})
		if q.Len() != len(order) {
			t.Fatalf("%d events, want %d", q.Len(), len(order))
		}
		slices.SortStableFunc(order, func(a, b int) int { return int(times[a]) - int(times[b]) })
		for _, want := range order {
			if got, ok := q.PopDue(monotime.Instant(times[want])); !ok || got != want {
				t.Fatalf("got %d, want %d", got, want)
			}
		}
	})
}
