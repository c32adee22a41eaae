package requestids

import (
	"fmt"
	"testing"
	"time"
)

func idOf(n int) Digest { return DigestOf(fmt.Append(nil, n)) }

func count(r *Recent) (count int) {
	r.Each(func(Digest, time.Time) { count++ })
	return count
}

func TestRecentRemembersForItsRetention(t *testing.T) {
	r := NewRecent(1 << 20)
	now := time.Now()
	r.Add(idOf(1), now)
	r.Add(idOf(2), now)
	r.Add(idOf(1), now.Add(Retention/2))
	for _, test := range []struct {
		id    int
		after time.Duration
		want  bool
	}{
		{1, 0, true}, {2, Retention - 1, true}, {2, Retention, false},
		{1, Retention, true}, {1, Retention * 3 / 2, false}, {3, 0, false},
	} {
		if got := r.Contains(idOf(test.id), now.Add(test.after)); got != test.want {
			t.Errorf("id %d after %v: %v", test.id, test.after, got)
		}
	}
	r.Add(idOf(3), now.Add(Retention))
	if got := count(r); got != 2 {
		t.Errorf("it holds %d ids, want 1 and 3", got)
	}
	r.Remove(idOf(3))
	if r.Contains(idOf(3), now.Add(Retention)) || count(r) != 1 {
		t.Error("a removed id is still there")
	}
}

// A client that sends requests without end must not make the set grow without end. The oldest ids go first.
func TestRecentIsBounded(t *testing.T) {
	r := NewRecent(100 * entrySize)
	now := time.Now()
	for n := range 10_000 {
		r.Add(idOf(n%5000), now.Add(time.Duration(n)))
		if len(r.addedAt) > 100 || len(r.queue) > 300 {
			t.Fatalf("after %d ids it holds %d, in a queue of %d", n+1, len(r.addedAt), len(r.queue))
		}
	}
	if !r.Contains(idOf(4999), now) || !r.Contains(idOf(4900), now) || r.Contains(idOf(4800), now) {
		t.Error("it does not hold just the last ids")
	}
}
