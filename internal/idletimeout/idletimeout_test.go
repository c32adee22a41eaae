package idletimeout

import (
	"testing"
	"time"

	"dahliapin/internal/monotime"
)

// Caches are full for a while. A timeout that never grew back would cost a handshake for each attempt from then on; one
// that grew back while caches are still full would leave no connections to other nodes.
func TestTimeoutGrowsBackAfterTheLastFullCache(t *testing.T) {
	timeout := New(15 * time.Second)
	fullUntil := monotime.Instant(2 * regrowInterval)
	for now := monotime.Instant(0); now < monotime.Instant(12*regrowInterval); now = now.Add(100 * time.Millisecond) {
		full := now <= fullUntil
		isFirst := now < monotime.Instant(400*time.Millisecond) // minTimeout is reached after four calls
		if full && timeout.OnCacheFull(now) != isFirst {
			t.Fatalf("%v: OnCacheFull misreported whether the timeout became shorter", time.Duration(now))
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
