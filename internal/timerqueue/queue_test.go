package timerqueue

import (
	"slices"
	"testing"

	"dahliapin/internal/monotime"
)

// Events are handed out by time, those of the same time in order of pushing, and none early.
func FuzzEventsAreInOrder(f *testing.F) {
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
				t.Fatal("handed out early")
			}
			if got, ok := q.PopDue(at); !ok || got != want || at != monotime.Instant(times[want]) {
				t.Fatalf("got %d at %d, want %d", got, at, want)
			}
		}
		if _, ok := q.Next(); ok {
			t.Fatal("something is left")
		}
	})
}
