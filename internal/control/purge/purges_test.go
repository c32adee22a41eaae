package purge

import (
	"fmt"
	"testing"
	"time"

	"dahliapin/internal/control/replicatedlog"
	"dahliapin/internal/keyhash"
	"dahliapin/internal/monotime"
)

// list is a log whose last so many entries are kept.
type list struct {
	id    replicatedlog.LogID
	all   []replicatedlog.Entry
	floor replicatedlog.Index
	asked map[replicatedlog.Index]monotime.Instant
}

func (l *list) Position() (replicatedlog.LogID, replicatedlog.Index, replicatedlog.Index) {
	return l.id, l.floor, replicatedlog.Index(len(l.all))
}
func (l *list) Entry(i replicatedlog.Index) (e replicatedlog.Entry, is bool) {
	if i <= l.floor || int(i) > len(l.all) {
		return e, false
	}
	return l.all[i-1], true
}
func (l *list) RequestedAt(i replicatedlog.Index) (monotime.Instant, bool) {
	at, is := l.asked[i]
	return at, is
}
func (l *list) add(kind replicatedlog.Kind, body string) {
	l.all = append(l.all, replicatedlog.Entry{Index: replicatedlog.Index(len(l.all) + 1), Proposal: replicatedlog.Proposal{Kind: kind, Body: []byte(body)}})
}

var usual = Config{LongestFill: 3 * time.Second, CommandInterval: 2 * time.Millisecond}

// bench is one cache, as one control machine has it, and the clock.
type bench struct {
	t     *testing.T
	now   monotime.Instant
	log   list
	times ArrivalTimes
	gate  FlushLimiter
	*Cache
}

func newBench(t *testing.T) *bench {
	b := &bench{t: t, now: monotime.Instant(time.Hour), log: list{id: 7}, gate: FlushLimiter{Each: 10 * time.Second}}
	b.Cache = NewCache(usual, Cursor{}, b.now)
	return b
}

func (b *bench) publish(keys ...string) {
	for _, k := range keys {
		b.log.add(replicatedlog.Purge, k)
	}
	b.note()
}
func (b *bench) note()                { b.times.Record(b.now, b.log.id, replicatedlog.Index(len(b.log.all))) }
func (b *bench) wait(d time.Duration) { b.now = b.now.Add(d) }

// sends tells all commands that go now, as kinds and indexes.
func (b *bench) sends() (out string) {
	for {
		cmd, is, _ := b.NextCommand(b.now, &b.log, &b.times, &b.gate)
		if !is {
			return out
		}
		out += fmt.Sprintf("%c%d ", " 12FL"[cmd.Kind], cmd.Index)
	}
}

func (b *bench) answer(n int) {
	for range n {
		b.OnAnswer(&b.log, &b.times)
	}
}

// wants compares what goes now and where the cursor stands.
func (b *bench) wants(what, sent string, done replicatedlog.Index) {
	b.t.Helper()
	if got := b.sends(); got != sent || b.Cursor().Done != done {
		b.t.Errorf("%s: sent %q, done %d; wanted %q, %d", what, got, b.Cursor().Done, sent, done)
	}
}

func TestAPurgeIsDoneWithTheSecondAnswer(t *testing.T) {
	b := newBench(t)
	b.publish("a", "b")
	b.log.add(replicatedlog.Config, "c")
	b.publish("a key", "a\r\nflush_all") // of these no command can be made
	b.wants("at once", "11 12 ", 0)
	b.answer(2)
	if b.FirstDeleted() != 5 {
		t.Errorf("first %d", b.FirstDeleted())
	}
	b.wait(usual.LongestFill - 1)
	b.wants("while a fill may be under way", "", 0)
	b.wait(1)
	b.wants("then", "21 22 ", 0)
	b.answer(1)
	b.wants("one answer", "", 1)
	b.answer(1)
	b.wants("both", "", 5)
	b.publish("a")
	b.wants("what is purged already", "16 ", 5)
}

// Who was asked to have it ordered knows that it was published before, and need not add what ordering took.
func TestFillsAreOverWhileAPurgeIsOrdered(t *testing.T) {
	b := newBench(t)
	b.log.asked = map[replicatedlog.Index]monotime.Instant{1: b.now, 3: b.now}
	b.wait(2 * time.Second)
	b.publish("a", "b", "c")
	b.wants("at once", "11 12 13 ", 0)
	b.answer(3)
	b.wait(usual.LongestFill - 2*time.Second)
	b.wants("the fills of the first are over", "21 ", 0)
	b.answer(1)
	b.wait(2*time.Second - 1)
	b.wants("those of the second are not, and the third waits for it", "", 1)
	b.wait(1)
	b.wants("then", "22 23 ", 1)
}

func TestWhatIsNotAnsweredGoesAgain(t *testing.T) {
	b := newBench(t)
	b.publish("a", "b", "c")
	b.wants("first", "11 12 13 ", 0)
	b.answer(1)
	var rests []time.Duration
	for range 7 {
		rests = append(rests, b.OnDisconnect(b.now, 0.999999))
	}
	if rests[0] > firstRest || rests[1] < firstRest || rests[6] < mostRest*9/10 || rests[6] > mostRest || b.OnDisconnect(b.now, 0) != mostRest/2 {
		t.Errorf("rests %v", rests)
	}
	b.wants("again", "12 13 ", 0)
	b.answer(2)
	b.wait(usual.LongestFill)
	b.wants("final", "21 22 23 ", 0)
	b.answer(2)
	b.OnDisconnect(b.now, 0)
	b.wants("the last final again", "23 ", 2)
	if b.wait(AnswerBy - 1); b.AnswerOverdue(b.now) {
		t.Error("silent too early")
	}
	if b.wait(1); !b.AnswerOverdue(b.now) {
		t.Error("not silent")
	}
}

func TestABurstIsBoundedAndPaced(t *testing.T) {
	b := newBench(t)
	for i := range 3000 {
		b.log.add(replicatedlog.Purge, fmt.Sprint("k", i))
	}
	b.note()
	if b.sends(); len(b.flights) != Window {
		t.Errorf("%d in flight", len(b.flights))
	}
	sent := Window
	for len(b.flights) > 0 {
		b.answer(Window)
		b.sends()
		sent += len(b.flights)
	}
	if sent != Burst {
		t.Errorf("%d went at once", sent)
	}
	_, is, at := b.NextCommand(b.now, &b.log, &b.times, &b.gate)
	if is || at != b.now.Add(together*usual.CommandInterval) {
		t.Errorf("%t, %v later", is, at.Since(b.now))
	}
	b.wait(100 * usual.CommandInterval)
	if b.sends(); len(b.flights) != 100 {
		t.Errorf("%d by the pace", len(b.flights))
	}
}

func TestACacheThatWasCutOffGoesOnFromItsCursor(t *testing.T) {
	b := newBench(t)
	b.publish("a")
	b.sends()
	b.wait(time.Minute)
	b.publish("b")
	b.OnDisconnect(b.now, 0)
	b.wants("old ones once, as their fills are over, and what is new at once", "12 21 ", 0)
	b.answer(1)
	if b.FirstDeleted() != 0 {
		t.Errorf("first %d, though the one before was never deleted", b.FirstDeleted())
	}
	b.answer(1)
	b.wants("", "", 1)
	if b.Overdue(b.now, &b.times, 0) != 0 || b.Overdue(b.now.Add(usual.LongestFill), &b.times, 0) != 1 {
		t.Error("late")
	}
}

func TestBeyondWhatIsKeptAllOfItGoesTwice(t *testing.T) {
	for name, begin := range map[string]Cursor{"behind": {Log: 7, Done: 1}, "unknown": {}, "another log": {Log: 8, Done: 9}} {
		b := newBench(t)
		b.Cache = NewCache(usual, begin, b.now)
		b.publish("a", "b", "c")
		b.log.floor = 2
		b.wants(name+": others are asked", "", begin.Done)
		b.wait(othersBy)
		b.wants(name+": flush", "F3 ", begin.Done)
		b.publish("d")
		b.answer(1)
		b.wants(name+": what is new goes on", "14 ", begin.Done)
		b.answer(1)
		b.wait(usual.LongestFill - 1)
		b.wants(name+": fills under way", "", begin.Done)
		b.wait(1)
		b.wants(name+": again", "L4 ", begin.Done)
		b.answer(1)
		if c := b.Cursor(); c.Log != 7 || c.Done < 3 || b.Flushing(&b.log) {
			t.Errorf("%s: %+v", name, c)
		}
		other := NewCache(usual, Cursor{}, b.now)
		if other.MergeCursor(Cursor{Log: 7, Done: 4}); other.Flushing(&b.log) || other.Cursor().Done != 4 {
			t.Error("another machine has done it")
		}
		other = NewCache(usual, Cursor{}, b.now.Add(-othersBy))
		other.send(b.now, Flush, replicatedlog.Entry{})
		other.OnDisconnect(b.now, 0)
		if _, is, at := other.NextCommand(b.now, &b.log, &b.times, &FlushLimiter{}); is || at != b.now.Add(flushAgain) {
			t.Error("one without an answer takes the next turn")
		}
		other = NewCache(usual, Cursor{}, b.now.Add(-othersBy))
		if _, is, at := other.NextCommand(b.now, &b.log, &b.times, &b.gate); is || at != b.gate.next {
			t.Error("two flushes at once")
		}
	}
}

func TestAnEmptyLogOfAnotherKindIsNotLed(t *testing.T) {
	b := newBench(t)
	b.Cache = NewCache(usual, Cursor{Log: 8, Done: 9}, b.now.Add(-othersBy))
	b.note()
	b.wants("flush", "F0 ", 9)
	b.answer(1)
	b.wait(usual.LongestFill)
	b.wants("again", "L0 ", 9)
	b.answer(1)
	b.wants("", "", 0)
	b.publish("a")
	b.wants("the first of it", "11 ", 0)
}

func TestACacheThatBeganAnew(t *testing.T) {
	b := newBench(t)
	b.OnListed(b.now, 5, &b.times)
	b.publish("a")
	b.wants("it is down, and nothing answers", "11 ", 0)
	b.wait(NewsBy + usual.LongestFill)
	b.OnListed(b.now, 5, &b.times)
	b.publish("b") // a fill from before may be under way to the new one
	b.wants("still", "12 21 ", 0)
	b.wait(time.Second)
	b.OnListed(b.now, 6, &b.times)
	b.wants("what its fills can't bring is left out", "12 ", 1)
	b.answer(1)
	b.wait(usual.LongestFill)
	b.wants("and what they can is not", "22 ", 1)
	b.answer(1)
	b.publish("c")
	b.OnListed(b.now, 5, &b.times)
	b.wants("an older list", "13 ", 2)
	if b.Cursor().Started != 6 {
		t.Error("an older process is taken for a later one")
	}
	if b.MergeCursor(Cursor{Log: 7, Started: 5, Done: 3}); b.Cursor().Done != 2 {
		t.Error("another process's cursor is adopted")
	}
	b.wait(2*NewsBy + usual.LongestFill)
	b.OnListed(b.now, 5, &b.times)
	if b.OnListed(b.now, 7, &b.times); b.Cursor().Done != 1 {
		t.Errorf("done up to %d; an older list tells nothing, and what was done lately was done at the one before", b.Cursor().Done)
	}
	b.wants("all of it once more", "22 23 ", 1)
	was := b.Cursor()
	b.Cache = NewCache(usual, was, b.now) // killed, and back with its disk
	if b.OnListed(b.now, 8, &b.times); b.Cursor().Done != was.Sure {
		t.Errorf("%+v after %+v", b.Cursor(), was)
	}
}

// The whole by chance: values at caches are never older than what the cursor says is purged, whatever breaks. Fills that take longer than is
// stated, and the other broken variants, show that it is looked at.
func TestNoValueIsOlderThanWhatIsDone(t *testing.T) {
	for _, v := range []struct {
		name  string
		fills time.Duration // that the machine goes by
		leads bool          // its cursor on disk leads
		fresh bool          // one that returns begins at the newest
		keeps bool          // its cursor holds for another process
		want  bool
	}{{name: "sound", fills: usual.LongestFill}, {name: "no second pass", want: true}, {name: "a cursor that leads", fills: usual.LongestFill, leads: true, want: true},
		{name: "a returned one begins at the newest", fills: usual.LongestFill, fresh: true, want: true}, {name: "a cursor of the process before", fills: usual.LongestFill, keeps: true, want: true}} {
		broken := 0
		for seed := range uint32(20) {
			broken += chances(t, seed, v.fills, v.leads, v.fresh, v.keeps)
		}
		if (broken > 0) != v.want {
			t.Errorf("%s: %d", v.name, broken)
		}
	}
}

// chances plays ten minutes, and counts moments at which a value was too old.
func chances(t *testing.T, seed uint32, fills time.Duration, leads, fresh, keeps bool) (broken int) {
	const step, keys, kept = 50 * time.Millisecond, 6, 150
	chance := keyhash.Source{Seed: seed}
	is := func(p float64) bool { return chance.Float64() < p }
	b := newBench(t)
	b.Cache = NewCache(Config{fills, usual.CommandInterval}, Cursor{}, b.now)
	disk, started, listed := Cursor{}, Incarnation(1), Incarnation(1)
	origin, holds, asOf := [keys]int{}, map[int]int{}, map[replicatedlog.Index]int{}
	type fill struct {
		key, value int
		at         monotime.Instant
	}
	type wait struct {
		key, version   int
		asked, ordered monotime.Instant
	}
	var waits []wait
	var ordered monotime.Instant
	var filling []fill
	b.log.asked = map[replicatedlog.Index]monotime.Instant{}
	var tells monotime.Instant
	cut, down, most, looked, purged := 0, 0, replicatedlog.Index(0), replicatedlog.Index(0), [keys]int{}
	for n := range int(10 * time.Minute / step) {
		b.wait(step)
		if is(0.2) { // a write at the origin, and its purge
			k := int(chance.Float64() * keys)
			origin[k]++
			ordered = max(ordered, b.now.Add(time.Duration(chance.Float64()*2e9)))
			waits = append(waits, wait{k, origin[k], b.now, ordered})
		}
		for ; len(waits) > 0 && waits[0].ordered <= b.now; waits = waits[1:] {
			b.publish(fmt.Sprint(waits[0].key))
			last := replicatedlog.Index(len(b.log.all))
			if asOf[last] = waits[0].version; last%3 > 0 { // the others were asked for elsewhere
				b.log.asked[last] = waits[0].asked
			}
		}
		b.log.floor = replicatedlog.Index(max(0, len(b.log.all)-kept))
		if k := int(chance.Float64() * keys); down == 0 && holds[k] == 0 {
			filling = append(filling, fill{k, origin[k] + 1, b.now.Add(time.Duration(chance.Float64() * float64(usual.LongestFill)))})
		}
		for i := 0; i < len(filling); i++ {
			if f := filling[i]; f.at <= b.now {
				if down == 0 {
					holds[f.key] = f.value
				}
				filling = append(filling[:i], filling[i+1:]...)
				i--
			}
		}
		switch { // what befalls: a cut, a restart, or the control machine killed
		case is(0.0015):
			cut = int(chance.Float64() * 1200)
		case is(0.001):
			down, started, tells = int(chance.Float64()*200), started+1, b.now.Add(time.Duration(chance.Float64()*6e9))
			clear(holds)
		case is(0.001):
			if leads {
				disk.Log, disk.Done = b.log.id, replicatedlog.Index(len(b.log.all))
			}
			b.Cache, b.times = NewCache(Config{fills, usual.CommandInterval}, disk, b.now), ArrivalTimes{}
			b.note()
		}
		if cut, down = max(0, cut-1), max(0, down-1); down == 0 && b.now >= tells {
			listed = started
		}
		before := b.Cursor()
		if b.OnListed(b.now, listed, &b.times); keeps && b.Cursor().Done < before.Done {
			b.goOn(Cursor{Log: before.Log, Started: listed, Done: before.Done})
		}
		if cut > 0 || down > 0 {
			if b.AnswerOverdue(b.now) || is(0.01) {
				b.OnDisconnect(b.now, 0)
			}
			if b.sends(); fresh && cut+down == 1 {
				b.goOn(Cursor{Log: b.log.id, Started: listed, Done: replicatedlog.Index(len(b.log.all))})
			}
		} else {
			b.sends()
			for len(b.flights) > 0 && is(0.9) { // in order, some of it with the next step
				if cmd, _ := b.AwaitingAnswer(); listed != started {
					// the process before it still answers, elsewhere
				} else if cmd.Kind >= Flush {
					clear(holds)
				} else {
					delete(holds, int(cmd.Key[0]-'0'))
				}
				b.answer(1)
			}
			if is(0.02) {
				b.OnDisconnect(b.now, 0)
			}
		}
		done := b.Cursor().Done
		if done < looked {
			looked, purged = 0, [keys]int{}
		}
		for ; looked < done; looked++ {
			purged[b.log.all[looked].Body[0]-'0'] = asOf[looked+1]
		}
		for k, v := range holds {
			if v-1 < purged[k] && listed == started { // until then nobody can know
				broken++
			}
		}
		if most = max(most, done); n%20 == 0 {
			disk = b.Cursor()
		}
	}
	if most < 1000 {
		t.Errorf("seed %d: only %d of %d done, %+v", seed, most, len(b.log.all), b.Cursor())
	}
	return broken
}
