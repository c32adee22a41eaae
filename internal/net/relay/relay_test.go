package relay

import (
	"testing"
	"time"

	"dahliapin/policy"
)

// A link that is taken up just before its idle time was looked after again at once until its leg ended, and no
// event was handled meanwhile: eight retrievals were lost on a rough day.
func TestLinkInUseAtItsIdleTimeIsLeftForLater(t *testing.T) {
	r := &Relay{began: time.Now()}
	r.Terms.Rules.IdleConnection = 10 * time.Second
	l := &link{does: aLeg, usedAt: policy.Instant(-time.Hour), idleAt: epoch}
	l.id = r.links.Add(l)
	r.tend(l.id)
	if at, ok := r.due.Next(); !ok || at.Since(r.now()) < time.Second || r.links.Get(l.id) == nil {
		t.Errorf("to be looked after %v from now", at.Since(r.now()))
	}
}
