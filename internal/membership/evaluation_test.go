package membership

import (
	"testing"
	"time"
)

// A rack goes down, and its processes are missed within some tenths of a second of one another. They are removed
// together, so that clients see one change of the view; one that is due waits for others that are about to be, but not
// for ever.
func TestNearlyDueTransitionsAreBatched(t *testing.T) {
	const delay = time.Second
	sustained := func(d time.Duration) *peer { return &peer{sustainedFor: d} }
	for _, c := range []struct {
		name  string
		batch batch
		want  int
	}{
		{"nobody is due", batch{}, 0},
		{"one is due", batch{due: []*peer{sustained(delay)}}, 1},
		{"another is about to be", batch{due: []*peer{sustained(delay)}, othersNearlyDue: true}, 0},
		{"one has waited long", batch{
			due:             []*peer{sustained(delay), sustained(delay + gatherWindow)},
			othersNearlyDue: true,
		}, 2},
	} {
		if got := len(c.batch.ready(delay)); got != c.want {
			t.Errorf("%s: %d, want %d", c.name, got, c.want)
		}
	}
}
