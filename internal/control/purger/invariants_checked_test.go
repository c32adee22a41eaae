package purger

import (
	"io"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"dahliapin/internal/control/purge"
	"dahliapin/internal/emulator/cachestub"
	"dahliapin/internal/scale/logscale/checker"
)

// fabricatedAnswersConn answers commands itself and sends nothing to the cache.
type fabricatedAnswersConn struct {
	net.Conn
	answers chan []byte
}

func dialFabricatedAnswersConn(addr string, within time.Duration) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", addr, within)
	return &fabricatedAnswersConn{Conn: conn, answers: make(chan []byte, 1000)}, err
}

func (c *fabricatedAnswersConn) Write(b []byte) (int, error) {
	var answers []byte
	for line := range strings.Lines(string(b)) {
		command, _ := cachestub.ParseCommand([]byte(line))
		answers = append(answers, command.Answer(true)...)
	}
	c.answers <- answers
	return len(b), nil
}

func (c *fabricatedAnswersConn) Read(b []byte) (int, error) {
	answers, ok := <-c.answers
	if !ok {
		return 0, io.EOF
	}
	return copy(b, answers), nil
}

func (c *fabricatedAnswersConn) Close() error {
	close(c.answers)
	return c.Conn.Close()
}

// faultyVariant describes how a purger is broken; the zero value is a correct one.
type faultyVariant struct {
	name           string
	change         func(*fixture)
	cursorLeads    bool // the cursor on disk is ahead of the answers
	startsAtNewest bool // it assumes that a reconnected cache has no old values
	want           string
}

// The checker must find no breach for a correct purger, and the expected breach for each broken one. The traces come
// from running code and are not synthetic.
func TestCheckerFindsBrokenVariants(t *testing.T) {
	t.Parallel()
	for _, v := range []faultyVariant{
		{name: "correct"},
		{
			name:   "no confirming delete after fills",
			change: func(f *fixture) { f.settings.MaxFillS = 1e-6 },
			want:   checker.StaleServed,
		},
		{
			name:   "purge counted without an answer",
			change: func(f *fixture) { f.dial = dialFabricatedAnswersConn },
			want:   checker.NotCarriedOut,
		},
		{name: "cursor ahead of the answers", cursorLeads: true, want: checker.NotCarriedOut},
		{name: "reconnected cache starts at the newest entry", startsAtNewest: true, want: checker.StaleServed},
	} {
		t.Run(v.name, func(t *testing.T) {
			t.Parallel()
			report := v.run(t)
			found := slices.ContainsFunc(report.Breaches, func(b checker.Breach) bool { return b.What == v.want })
			if found != (v.want != "") || v.want == "" && len(report.Breaches) > 0 {
				t.Errorf("want breach %q, got %+v", v.want, report)
			}
		})
	}
}

// run publishes a purge while a fill is under way, then two more while the cache refuses connections, and restarts
// the purger.
func (v *faultyVariant) run(t *testing.T) checker.CachesReport {
	f := newFixture(t, 1, 0)
	if v.change != nil {
		v.change(f)
	}
	f.addPurger()
	cache := f.caches[0]
	cache.Fill("a", 1)
	f.publish(2, "a")
	time.Sleep(testMaxFillTime / 4)
	cache.Fill("a", 1) // the fill that was under way
	time.Sleep(testMaxFillTime / 4)
	_, _ = cache.Serve("a")
	f.waitDone(0, "c0")
	_, _ = cache.Serve("a")

	cache.Fill("b", 1)
	cache.SetFault(cachestub.Refuse, 0)
	f.publish(2, "b", "c")
	time.Sleep(testMaxFillTime / 4)
	f.stop(0)
	if v.cursorLeads {
		writeCursor(t, f.dirs[0], "c0", purge.Cursor{Log: testLogID, Done: 3})
	}
	cache.SetFault(cachestub.None, 0)
	f.start(0)
	if v.startsAtNewest {
		f.purgers[0].MergeProgress([]purge.Progress{{Cache: "c0", Log: testLogID, Done: 3}})
	}
	f.waitDone(0, "c0")
	_, _ = cache.Serve("b")
	return f.report()
}

// writeCursor writes a cursor into a purger's directory.
func writeCursor(t *testing.T, dir string, id purge.CacheID, cursor purge.Cursor) {
	t.Helper()
	store, _, err := openCursorStore(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer store.close()
	if err := store.put(map[purge.CacheID]purge.Cursor{id: cursor}, []purge.CacheID{id}); err != nil {
		t.Fatal(err)
	}
}
