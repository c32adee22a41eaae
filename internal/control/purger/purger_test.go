package purger

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"dahliapin/internal/config/fleetconfig"
	"dahliapin/internal/control/purge"
	"dahliapin/internal/control/replicatedlog"
	"dahliapin/internal/emulator/cachestub"
	"dahliapin/internal/emulator/logtrace"
	"dahliapin/internal/monotime"
	"dahliapin/internal/scale/logscale/checker"
)

func boottime() monotime.Instant {
	var t unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &t)
	return monotime.Instant(t.Nano())
}

// log is a log of changes that only grows.
type log struct {
	mu    sync.Mutex
	all   []replicatedlog.Entry
	floor replicatedlog.Index
	fresh chan struct{}
}

func (l *log) Position() (replicatedlog.LogID, replicatedlog.Index, replicatedlog.Index) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return 7, l.floor, replicatedlog.Index(len(l.all))
}

func (l *log) Entry(i replicatedlog.Index) (e replicatedlog.Entry, is bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if i <= l.floor || int(i) > len(l.all) {
		return e, false
	}
	return l.all[i-1], true
}

func (l *log) RequestedAt(replicatedlog.Index) (monotime.Instant, bool) { return 0, false }

func (l *log) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fresh
}

// fleet is some caches, control machines that carry purges out at them, and what the judge gets.
type fleet struct {
	t       *testing.T
	log     log
	terms   fleetconfig.Purges
	caches  []*cachestub.Cache
	ps      []*Purger
	dirs    []string
	dial    func(addr string, within time.Duration) (net.Conn, error)
	mu      sync.Mutex
	records []logtrace.Cached
	purged  []logtrace.Purged
}

const fills = 400 * time.Millisecond

func newFleet(t *testing.T, caches, machines int) *fleet {
	f := &fleet{t: t, terms: *fleetconfig.DefaultPurges()}
	f.terms.FillsS, f.terms.FlushS, f.log.fresh = fills.Seconds(), 0.1, make(chan struct{})
	for i := range caches {
		c, err := cachestub.Open(fmt.Sprint("c", i), boottime, f.tell)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(c.Close)
		f.caches = append(f.caches, c)
		f.terms.Caches = append(f.terms.Caches, fleetconfig.Cache{ID: c.Name(), Addr: c.Addr()})
	}
	for i := range machines {
		f.ps, f.dirs = append(f.ps, nil), append(f.dirs, t.TempDir())
		f.start(i)
	}
	t.Cleanup(func() {
		for i := range f.ps {
			f.stop(i)
		}
	})
	return f
}

func (f *fleet) tell(r logtrace.Cached) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.records = append(f.records, r)
}

func (f *fleet) start(i int) {
	l := logrus.New()
	l.SetOutput(io.Discard)
	terms := f.terms
	p, err := Open(Config{Terms: &terms, Servers: 4, Log: &f.log, Dir: f.dirs[i], Seed: uint32(i), Logger: l, Now: boottime, Dial: f.dial,
		OnProgress: func(id purge.CacheID, c purge.Cursor) {
			f.tell(logtrace.Cached{At: boottime(), Cache: string(id), What: logtrace.Counted, Index: uint64(c.Done)})
		}})
	if err != nil {
		f.t.Fatal(err)
	}
	f.ps[i] = p
}

func (f *fleet) stop(i int) {
	if f.ps[i] != nil {
		f.ps[i].Close()
		f.ps[i] = nil
	}
}

// publish puts purges into the log; the origin has a newer version of each by then.
func (f *fleet) publish(version uint64, keys ...string) {
	f.log.mu.Lock()
	defer f.log.mu.Unlock()
	for _, k := range keys {
		e := replicatedlog.Entry{Index: replicatedlog.Index(len(f.log.all) + 1), Proposal: replicatedlog.Proposal{Kind: replicatedlog.Purge, Body: []byte(k)}}
		f.purged = append(f.purged, logtrace.Purged{Index: uint64(e.Index), Key: k, Version: version, Sent: boottime()})
		f.log.all = append(f.log.all, e)
	}
	close(f.log.fresh)
	f.log.fresh = make(chan struct{})
}

// row is how a machine stands with a cache.
func (f *fleet) row(i int, cache string) Progress {
	all, _ := f.ps[i].Progress()
	for _, r := range all {
		if r.Cache == cache {
			return r
		}
	}
	return Progress{Cache: "none"}
}

// until waits for something.
func (f *fleet) until(what string, is func() bool) {
	f.t.Helper()
	for by := time.Now().Add(15 * time.Second); !is(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(by) {
			f.t.Fatalf("never: %s", what)
		}
	}
}

func (f *fleet) done(i int, cache string) {
	f.t.Helper()
	last := uint64(len(f.log.all))
	f.until(fmt.Sprintf("%s has all %d", cache, last), func() bool { return f.row(i, cache).Done >= last })
}

func (f *fleet) judged() checker.CachesReport {
	f.mu.Lock()
	defer f.mu.Unlock()
	return checker.Caches(f.purged, f.records, nil)
}

func (f *fleet) sound() {
	f.t.Helper()
	if r := f.judged(); len(r.Breaches) > 0 {
		f.t.Errorf("%+v", r.Breaches)
	}
}

func keys(n int) (all []string) {
	for i := range n {
		all = append(all, fmt.Sprint("key-", i))
	}
	return all
}

// A fill that was under way when the purge passed puts the old value back; the second deletion takes it.
func TestAFillUnderWay(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 1)
	f.caches[0].Fill("a", 1)
	f.publish(2, "a")
	f.until("the first deletion", func() bool { return f.row(0, "c0").FirstDeleted == 1 })
	if _, is := f.caches[0].Serve("a"); is {
		t.Error("the first deletion did nothing")
	}
	f.caches[0].Fill("a", 1)
	if f.row(0, "c0").Done != 0 {
		t.Error("done while a fill may be under way")
	}
	f.done(0, "c0")
	if _, is := f.caches[0].Serve("a"); is {
		t.Error("the old value is still there")
	}
	f.sound()
}

// counting counts connections that are open at once.
type counting struct {
	mu        sync.Mutex
	now, most map[string]int
}

type counted struct {
	net.Conn
	end func()
}

func (c counted) Close() error { c.end(); return c.Conn.Close() }

func (o *counting) dial(addr string, within time.Duration) (net.Conn, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.now[addr]++
	o.most[addr] = max(o.most[addr], o.now[addr])
	end := func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.now[addr]--
	}
	c, err := net.DialTimeout("tcp", addr, within)
	if err != nil {
		o.now[addr]--
		return nil, err
	}
	return counted{c, sync.OnceFunc(end)}, nil
}

// Whatever a cache does to its connections, others are not held up, it has one connection at a time, and has all once it is well.
func TestTroubledCachesHoldNobodyUp(t *testing.T) {
	t.Parallel()
	faults := []cachestub.Fault{cachestub.None, cachestub.Silent, cachestub.Refuse, cachestub.Garbage, cachestub.Busy, cachestub.Ends}
	f, open := newFleet(t, len(faults)+1, 0), &counting{now: map[string]int{}, most: map[string]int{}}
	f.dial, f.ps, f.dirs = open.dial, make([]*Purger, 2), []string{t.TempDir(), t.TempDir()}
	f.start(0)
	f.start(1)
	for i, how := range faults {
		f.caches[i].Break(how, 0)
	}
	slow := len(faults)
	f.caches[slow].Break(cachestub.None, 20*time.Millisecond)
	for i, c := range f.caches {
		c.Fill("key-1", uint64(i))
	}
	began := time.Now()
	f.publish(9, keys(20)...)
	f.done(0, "c0")
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("the well one took %v", took)
	}
	f.done(0, fmt.Sprint("c", slow))
	time.Sleep(answerTwice)
	for i := 1; i < slow; i++ {
		if r := f.row(0, fmt.Sprint("c", i)); r.Done != 0 || r.Reason == "" || r.Overdue == 0 && i == 1 {
			t.Errorf("fault %d: %+v", faults[i], r)
		}
		f.caches[i].Break(cachestub.None, 0)
	}
	for i := range f.caches {
		f.done(0, fmt.Sprint("c", i))
		f.done(1, fmt.Sprint("c", i))
	}
	for addr, most := range open.most {
		if most > 2 {
			t.Errorf("%d connections of two machines to %s", most, addr)
		}
	}
	f.sound()
}

const answerTwice = 2*purge.AnswerTimeout + fills

func TestABurstOfAThousand(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 10, 4)
	began := time.Now()
	f.publish(2, keys(1000)...)
	for _, c := range f.caches {
		f.done(3, c.Name())
	}
	t.Logf("%v", time.Since(began))
	f.publish(2, keys(5)...) // what is purged already
	f.done(0, "c9")
	f.done(0, "c0")
	f.sound()
}

// A control machine killed outright has what was on its disk: no purge is lost, and some are carried out again. What others have done it need
// not do. Without its disk it flushes what it lacks.
func TestAMachineThatIsBack(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2, 2)
	f.publish(2, keys(10)...)
	f.done(0, "c0")
	f.done(0, "c1")
	f.until("on disk", func() bool {
		f.ps[0].mu.Lock()
		defer f.ps[0].mu.Unlock()
		return f.ps[0].caches["c0"].saved.Done == 10
	})
	f.caches[0].Break(cachestub.Silent, 0)
	f.publish(3, keys(10)...)
	f.stop(0)
	f.publish(4, keys(10)...)
	f.start(0)
	if r := f.row(0, "c0"); r.Done != 10 {
		t.Errorf("%+v", r)
	}
	f.caches[0].Break(cachestub.None, 0)
	f.done(0, "c0")
	f.done(0, "c1")
	f.log.mu.Lock()
	f.log.floor = 15
	f.log.mu.Unlock()
	f.stop(0)
	f.dirs[0] = t.TempDir()
	f.start(0)
	rows, _ := f.ps[1].Progress()
	f.until("the other has done it", func() bool { return f.row(1, "c0").Done == 30 })
	f.ps[0].MergeProgress(rows[1:])
	if r := f.row(0, "c1"); r.Done != 30 || r.Flushing {
		t.Errorf("%+v", r)
	}
	f.caches[0].Fill("key-1", 1)
	if !f.row(0, "c0").Flushing {
		t.Error("it is not known what it lacks, and it is not flushed")
	}
	f.done(0, "c0")
	if _, is := f.caches[0].Serve("key-1"); is || f.judged().Emptied != 2 {
		t.Errorf("not flushed twice: %d", f.judged().Emptied)
	}
	f.sound()
}

// discoveries is discovery's list.
type discoveries struct {
	mu      sync.Mutex
	version int
	rows    []map[string]any
}

func (d *discoveries) ServeHTTP(out http.ResponseWriter, in *http.Request) {
	for range 40 {
		d.mu.Lock()
		text, _ := json.Marshal(map[string]any{"generation": d.version, "reset": true, "instances": d.rows})
		same := in.URL.Query().Get("since") == fmt.Sprint(d.version)
		d.mu.Unlock()
		if !same {
			_, _ = out.Write(text)
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	_, _ = fmt.Fprintf(out, `{"generation":%s,"reset":false,"instances":[]}`, in.URL.Query().Get("since"))
}

func (d *discoveries) set(rows ...map[string]any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version, d.rows = d.version+1, rows
}

// A cache that leaves the list is let be, and goes on from its cursor when it comes back; the origin is none; one that began anew under its
// name gets what its fills could have brought.
func TestTheListIsFollowed(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2, 0)
	d := &discoveries{}
	web := httptest.NewServer(d)
	t.Cleanup(web.Close)
	at := func(i, started int, state string) map[string]any {
		return map[string]any{"instanceId": f.caches[i].Name(), "hostPort": f.caches[i].Addr(), "machineType": "m2", "lifecycle": state, "startedAtMs": started}
	}
	origin := map[string]any{"instanceId": "o", "hostPort": "127.0.0.1:1", "machineType": "origin", "lifecycle": "in_service", "startedAtMs": 0}
	odd := map[string]any{"instanceId": "odd", "hostPort": "nowhere", "machineType": "m2", "lifecycle": "in_service"}
	f.terms.Caches, f.terms.Discovery = nil, strings.TrimPrefix(web.URL, "http://")
	f.ps, f.dirs = []*Purger{nil}, []string{t.TempDir()}
	f.start(0)
	if _, is := f.ps[0].Progress(); is {
		t.Error("a list before one came")
	}
	d.set(at(0, 5, "in_service"), at(1, 5, "terminating"), origin)
	f.publish(2, "a")
	f.until("both are listed", func() bool { all, _ := f.ps[0].Progress(); return len(all) == 2 })
	f.done(0, "c0")
	f.done(0, "c1")
	d.set(at(0, 5, "in_service"), origin, odd)
	time.Sleep(100 * time.Millisecond)
	if all, _ := f.ps[0].Progress(); len(all) != 2 {
		t.Error("an entry that can't be read took a cache out")
	}
	d.set(at(0, 5, "in_service"), at(1, 5, "terminated"), origin)
	f.until("one left", func() bool { all, _ := f.ps[0].Progress(); return len(all) == 1 })
	f.caches[1].Fill("b", 1)
	f.publish(2, "b")
	f.done(0, "c0")
	if _, is := f.caches[1].Serve("b"); !is {
		t.Error("purged at a cache that has left")
	}
	d.set(at(0, 5, "in_service"), at(1, 5, "in_service"))
	f.done(0, "c1")
	f.caches[0].Restart()
	f.caches[0].Fill("c", 1) // by a fill from before
	f.publish(2, "c")
	d.set(at(0, 9, "in_service"), at(1, 5, "in_service"))
	f.done(0, "c0")
	f.done(0, "c1")
	f.until("its process", func() bool { return f.row(0, "c0").Started == 9 })
	if _, is := f.caches[0].Serve("c"); is {
		t.Error("an old value in a cache that began anew")
	}
	f.sound()
}

// liar answers for the cache, which gets nothing.
type liar struct {
	net.Conn
	said chan []byte
}

func (l *liar) Write(b []byte) (int, error) {
	var out []byte
	for line := range strings.Lines(string(b)) {
		o, _ := cachestub.ReadOrder([]byte(line))
		out = append(out, o.Answer(true)...)
	}
	l.said <- out
	return len(b), nil
}

func (l *liar) Read(b []byte) (int, error) {
	out, is := <-l.said
	if !is {
		return 0, io.EOF
	}
	return copy(b, out), nil
}

func (l *liar) Close() error { close(l.said); return l.Conn.Close() }

// The judge finds nothing where the rules are kept, and each of these when it is broken: by code that runs.
func TestTheJudgeCatchesBrokenPurges(t *testing.T) {
	t.Parallel()
	for _, v := range []struct {
		name  string
		bent  func(*fleet)
		leads bool // the cursor on disk
		fresh bool // one that is back begins at the newest
		want  string
	}{{name: "sound"},
		{name: "no second pass after fills", bent: func(f *fleet) { f.terms.FillsS = 1e-6 }, want: checker.OldServed},
		{name: "counted without an answer", bent: func(f *fleet) {
			f.dial = func(addr string, within time.Duration) (net.Conn, error) {
				c, err := net.DialTimeout("tcp", addr, within)
				return &liar{c, make(chan []byte, 1000)}, err
			}
		}, want: checker.NotDone},
		{name: "a cursor that leads", leads: true, want: checker.NotDone},
		{name: "one that is back begins at the newest", fresh: true, want: checker.OldServed},
	} {
		t.Run(v.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 1, 0)
			if v.bent != nil {
				v.bent(f)
			}
			f.ps, f.dirs = []*Purger{nil}, []string{t.TempDir()}
			f.start(0)
			cache := f.caches[0]
			cache.Fill("a", 1)
			f.publish(2, "a")
			time.Sleep(fills / 4)
			cache.Fill("a", 1) // the fill that was under way
			time.Sleep(fills / 4)
			_, _ = cache.Serve("a")
			f.done(0, "c0")
			_, _ = cache.Serve("a")
			cache.Fill("b", 1)
			cache.Break(cachestub.Refuse, 0)
			f.publish(2, "b", "c")
			time.Sleep(fills / 4)
			f.stop(0)
			if v.leads {
				d, _, err := openCursorStore(f.dirs[0])
				if err == nil {
					err = d.put(map[purge.CacheID]purge.Cursor{"c0": {Log: 7, Done: 3}}, []purge.CacheID{"c0"})
				}
				if err != nil {
					t.Fatal(err)
				}
				d.close()
			}
			cache.Break(cachestub.None, 0)
			f.start(0)
			if v.fresh {
				f.ps[0].MergeProgress([]Progress{{Cache: "c0", Log: 7, Done: 3}})
			}
			f.done(0, "c0")
			_, _ = cache.Serve("b")
			r, got := f.judged(), false
			for _, b := range r.Breaches {
				got = got || b.What == v.want
			}
			if got != (v.want != "") || v.want == "" && len(r.Breaches) > 0 {
				t.Errorf("%+v", r)
			}
		})
	}
}
