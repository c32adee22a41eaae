package purge

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"dahliapin/internal/control/replicatedlog"
	"dahliapin/internal/monotime"
)

// testLog is a replicated log that retains the entries after its floor.
type testLog struct {
	id          replicatedlog.LogID
	entries     []replicatedlog.Entry
	floor       replicatedlog.Index
	requestedAt map[replicatedlog.Index]monotime.Instant
}

func (l *testLog) Position() (id replicatedlog.LogID, floor, last replicatedlog.Index) {
	return l.id, l.floor, l.last()
}

func (l *testLog) last() replicatedlog.Index { return replicatedlog.Index(len(l.entries)) }

func (l *testLog) Entry(index replicatedlog.Index) (replicatedlog.Entry, bool) {
	if index <= l.floor || index > l.last() {
		return replicatedlog.Entry{}, false
	}
	return l.entries[index-1], true
}

func (l *testLog) RequestedAt(index replicatedlog.Index) (monotime.Instant, bool) {
	at, ok := l.requestedAt[index]
	return at, ok
}

func (l *testLog) add(kind replicatedlog.Kind, body string) {
	p := replicatedlog.Proposal{Kind: kind, Body: []byte(body)}
	l.entries = append(l.entries, replicatedlog.Entry{Index: l.last() + 1, Proposal: p})
}

var testConfig = Config{MaxFillTime: 3 * time.Second, CommandInterval: 2 * time.Millisecond}

// fixture is the state of one cache at one control server, with a log and a clock.
type fixture struct {
	t        *testing.T
	now      monotime.Instant
	log      testLog
	arrivals ArrivalTimes
	limiter  FlushLimiter
	*Cache
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{
		t:       t,
		now:     monotime.Instant(time.Hour),
		log:     testLog{id: 7},
		limiter: FlushLimiter{Interval: 10 * time.Second},
	}
	f.Cache = NewCache(testConfig, Cursor{}, f.now)
	return f
}

func (f *fixture) publish(keys ...string) {
	for _, key := range keys {
		f.log.add(replicatedlog.Purge, key)
	}
	f.record()
}

func (f *fixture) record() { f.arrivals.Record(f.now, f.log.id, f.log.last()) }

func (f *fixture) wait(d time.Duration) { f.now = f.now.Add(d) }

// sendAll takes all commands that are due and returns them as text: 1 for a quick delete, 2 for a confirming one, F for
// the first flush and L for the second one, each with its index.
func (f *fixture) sendAll() string {
	var sent strings.Builder
	for {
		command, ready, _ := f.NextCommand(f.now, &f.log, &f.arrivals, &f.limiter)
		if !ready {
			return sent.String()
		}
		fmt.Fprintf(&sent, "%c%d ", " 12FL"[command.Kind], command.Index)
	}
}

func (f *fixture) answer(n int) {
	for range n {
		f.OnAnswer(&f.log, &f.arrivals)
	}
}

// expect checks the commands that are due and the cursor after they were sent.
func (f *fixture) expect(what, sent string, done replicatedlog.Index) {
	f.t.Helper()
	if got := f.sendAll(); got != sent || f.Cursor().Done != done {
		f.t.Errorf("%s: sent %q, done %d; want %q, %d", what, got, f.Cursor().Done, sent, done)
	}
}

// forceCursor sets a cursor that no answer has confirmed, for the broken variants.
func (f *fixture) forceCursor(to Cursor) {
	f.setCursor(to.Log, to.Done)
	f.cursor = to
}
