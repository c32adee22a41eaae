package logfollower

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"dahliapin/internal/control/replicatedlog"
	"dahliapin/internal/monotime"
)

// That the log became stale is a warning. That it is current again is none.
func TestRecoveryFromStalenessIsNoWarning(t *testing.T) {
	var out bytes.Buffer
	logger := logrus.New()
	logger.SetOutput(&out)
	now := monotime.Instant(time.Hour)
	f := &Follower{Config: Config{
		StaleAfter: time.Second,
		Log:        logger,
		Now:        func() monotime.Instant { return now },
	}}
	f.progress.Store(&replicatedlog.Progress{})
	f.server.Store(new(string))
	f.leaderSeenAt.Store(int64(now))
	f.logStaleness()
	now = now.Add(2 * time.Second)
	f.logStaleness()
	f.logStaleness()
	f.leaderSeenAt.Store(int64(now))
	f.logStaleness()
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 2 || !strings.Contains(lines[0], "level=warning") || !strings.Contains(lines[1], "level=info") {
		t.Errorf("logged %q, want a warning, then an info line", lines)
	}
}
