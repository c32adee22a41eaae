package policy

import (
	"fmt"
	"testing"
	"time"
)

// A change of the list, at the sizes that fleets grow to: each node pays it for each change.
func BenchmarkListed(b *testing.B) {
	for _, n := range []int{12, 190, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var es []Entry
			for i := range n {
				es = append(es, Entry{ID: CacheID(fmt.Sprintf("c%d", i)), Weight: 1})
			}
			p := New(1, 1, HouseRules{Grades: []Grade{{SoftLimit: time.Second}}})
			for b.Loop() {
				p.Listed(1, Whole, es)
			}
		})
	}
}
