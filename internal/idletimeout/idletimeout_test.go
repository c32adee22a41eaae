package idletimeout

import (
	"testing"
	"time"

	"dahliapin/internal/monotime"
)

// Caches are full for a while. A timeout that never grew back would cost a handshake an attempt for ever; one that
// grew back while caches are full would leave no connections to other nodes.
func TestTimeoutGrowsBackAfterTheLastFullCache(t *testing.T) {
	timeout := New(15 * time.Second)
	fullUntil := monotime.Instant(2 * regrowInterval)
	for now := monotime.Instant(0); now < monotime.Instant(12*regrowInterval); now = now.Add(100 * time.Millisecond) {
		full := now <= fullUntil
		isFirst := now < monotime.Instant(400*time.Millisecond) // it is at its least after four
		if full && timeout.OnServerFull(now) != isFirst {
			t.Fatalf("%v: a full cache tells that it is shorter, or not, wrongly", time.Duration(now))
		}
		got := timeout.Current(now)
		if full && now > monotime.Instant(time.Second) && got != minTimeout {
			t.Fatalf("%v: connections are kept %v while caches are full", time.Duration(now), got)
		}
		if now > monotime.Instant(7*regrowInterval) && got != 12*time.Second {
			t.Fatalf("%v: connections are kept %v afterwards", time.Duration(now), got)
		}
	}
}
