package membership

import (
	"testing"
	"time"
)

// Guards against several view changes for one failure: when a rack fails, its processes are missed within some tenths
// of a second of one another, and must be removed together. A process that is due waits for others that are nearly due,
// but not indefinitely.
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
		{"another is nearly due", batch{due: []*peer{sustained(delay)}, othersNearlyDue: true}, 0},
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
