package purge

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"dahliapin/internal/control/replicatedlog"
	"dahliapin/internal/monotime"
)

// testLog is a replicated log that keeps the entries after its floor.
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

// bench is the state of one cache at one control server, with a log and a clock.
type bench struct {
	t        *testing.T
	now      monotime.Instant
	log      testLog
	arrivals ArrivalTimes
	limiter  FlushLimiter
	*Cache
}

func newBench(t *testing.T) *bench {
	b := &bench{
		t:       t,
		now:     monotime.Instant(time.Hour),
		log:     testLog{id: 7},
		limiter: FlushLimiter{Interval: 10 * time.Second},
	}
	b.Cache = NewCache(testConfig, Cursor{}, b.now)
	return b
}

func (b *bench) publish(keys ...string) {
	for _, key := range keys {
		b.log.add(replicatedlog.Purge, key)
	}
	b.record()
}

func (b *bench) record() { b.arrivals.Record(b.now, b.log.id, b.log.last()) }

func (b *bench) wait(d time.Duration) { b.now = b.now.Add(d) }

// sendAll takes all commands that are due and returns them as text: 1 for a quick delete, 2 for a confirming one, F and
// L for the first and the last flush, each with its index.
func (b *bench) sendAll() string {
	var sent strings.Builder
	for {
		command, ready, _ := b.NextCommand(b.now, &b.log, &b.arrivals, &b.limiter)
		if !ready {
			return sent.String()
		}
		fmt.Fprintf(&sent, "%c%d ", " 12FL"[command.Kind], command.Index)
	}
}

func (b *bench) answer(n int) {
	for range n {
		b.OnAnswer(&b.log, &b.arrivals)
	}
}

// expect checks the commands that are due and the cursor after they were sent.
func (b *bench) expect(what, sent string, done replicatedlog.Index) {
	b.t.Helper()
	if got := b.sendAll(); got != sent || b.Cursor().Done != done {
		b.t.Errorf("%s: sent %q, done %d; want %q, %d", what, got, b.Cursor().Done, sent, done)
	}
}

// forceCursor sets a cursor without answers for it, for the broken variants.
func (b *bench) forceCursor(to Cursor) {
	b.setCursor(to.Log, to.Done)
	b.cursor = to
}
