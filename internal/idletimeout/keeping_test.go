package idletimeout

import (
	"testing"
	"time"

	"dahliapin/internal/monotime"
)

// A span that never grew back would cost a handshake a leg for ever; one that did while caches were full, none would notice.
func TestTheSpanIsBackSomeTimeAfterTheLastFullCache(t *testing.T) {
	s, now := New(15*time.Second), monotime.Instant(0)
	for ; now < monotime.Instant(12*regain); now = now.Add(100 * time.Millisecond) {
		full := now <= monotime.Instant(2*regain)
		if full && s.OnServerFull(now) != (now < monotime.Instant(400*time.Millisecond)) {
			t.Fatalf("%v: a full cache tells that it is shorter, or not, wrongly", now)
		}
		if got := s.Current(now); full && now > monotime.Instant(time.Second) && got != least || now > monotime.Instant(7*regain) && got != 12*time.Second {
			t.Fatalf("%v: connections are kept %v", time.Duration(now), got)
		}
	}
}
