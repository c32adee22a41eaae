package keeping

import (
	"testing"
	"time"

	"dahliapin/policy"
)

// With half as many connections a cache as nodes, half of the nodes dialled and probed in vain for as long as the others kept
// theirs; and a span that never grew back would cost a handshake a leg for ever.
func TestWhereCachesAreFullConnectionsAreGivenBackSooner(t *testing.T) {
	s, now := New(15*time.Second), policy.Instant(time.Second)
	if got := s.Now(now); got != 12*time.Second {
		t.Fatalf("keeps them %v", got)
	}
	for range 9 {
		s.Full(now)
	}
	if got := s.Now(now); got != least {
		t.Errorf("after nine full ones keeps them %v", got)
	}
	for s.Now(now) < 12*time.Second && now < policy.Instant(time.Minute) {
		now = now.Add(100 * time.Millisecond)
	}
	if took := now.Since(policy.Instant(time.Second)); took < 3*regain || took > 4*regain+time.Second {
		t.Errorf("is back after %v", took)
	}
	if s.Full(now); s.Now(now) != 6*time.Second {
		t.Errorf("one full after that leaves %v", s.Now(now))
	}
}
