package requestids

import (
	"errors"
	"sync/atomic"
	"testing"
	"time"
)

const testTimeout = 10 * time.Second

// testPair is two connected exchanges.
type testPair struct {
	t             *testing.T
	first, second *Exchange
	starts, ends  atomic.Int64 // calls of onStart and onEnd of both
}

func newTestPair(t *testing.T) *testPair {
	t.Helper()
	p := &testPair{t: t}
	local, remote, err := NewPair()
	if err != nil {
		t.Fatal(err)
	}
	onStart, onEnd := func() { p.starts.Add(1) }, func() { p.ends.Add(1) }
	if p.first, err = NewExchange(local, 1<<20, onStart, onEnd); err != nil {
		t.Fatal(err)
	}
	if p.second, err = NewExchange(NewFile(remote), 1<<20, onStart, onEnd); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.first.Close)
	t.Cleanup(p.second.Close)
	return p
}

func (p *testPair) claim(x *Exchange, n int, want bool) {
	p.t.Helper()
	if got, err := x.Claim(idOf(n)); got != want || err != nil {
		p.t.Errorf("claim of %d: claimed by the other process: %v, %v", n, got, err)
	}
}

func (p *testPair) waitUntil(what string, reached func() bool) {
	p.t.Helper()
	for by := time.Now().Add(testTimeout); !reached(); time.Sleep(time.Millisecond) {
		if time.Now().After(by) {
			p.t.Fatal("timed out waiting until ", what)
		}
	}
}

func TestClaimedIDIsRefusedToTheOtherProcess(t *testing.T) {
	p := newTestPair(t)
	p.claim(p.first, 1, false)
	p.claim(p.second, 1, true)
	p.claim(p.second, 2, false)
	p.claim(p.first, 2, true)
	p.first.Release(idOf(1)) // the second has claimed it as well, although it was not granted
	p.claim(p.first, 1, true)
	p.second.Release(idOf(1))
	p.claim(p.first, 1, false)
}

// Two processes that claim an id at the same time may both be refused, but must not both be granted it.
func TestConcurrentClaimsAreNotBothGranted(t *testing.T) {
	p := newTestPair(t)
	const claims = (1 << 20) / entrySize // as many as are remembered
	granted := make([]atomic.Int64, claims)
	done := make(chan bool, 2)
	for _, x := range []*Exchange{p.first, p.second} {
		go func() {
			defer func() { done <- true }()
			for n := range claims {
				byOther, err := x.Claim(idOf(n))
				if err == nil && !byOther {
					granted[n].Add(1)
				}
			}
		}()
	}
	<-done
	<-done
	total := int64(0)
	for n := range granted {
		if count := granted[n].Load(); count > 1 {
			t.Fatalf("id %d was granted to both processes", n)
		}
		total += granted[n].Load()
	}
	if total == 0 {
		t.Error("no claim was granted")
	}
}

// A successor that starts gets all ids that were used before, more than fit into the socket at once.
func TestUsedIDsArePassedOn(t *testing.T) {
	p := newTestPair(t)
	var used []Digest
	for n := range 5000 {
		used = append(used, idOf(n))
	}
	if p.second.IsComplete() {
		t.Error("complete before anything was sent")
	}
	p.second.Start()
	p.waitUntil("the start is received", func() bool { return p.starts.Load() == 1 })
	go p.first.SendUsed(used)
	p.waitUntil("all ids are received", p.second.IsComplete)
	for _, n := range []int{0, 255, 256, 4999} {
		p.claim(p.second, n, true)
	}
	p.claim(p.second, 5000, false)
}

// A process that does not read must not hold up the other one for long, which can then claim nothing more.
func TestClaimFailsIfTheOtherProcessDoesNotRead(t *testing.T) {
	local, remote, err := NewPair()
	if err != nil {
		t.Fatal(err)
	}
	silent := NewFile(remote) // nobody reads it
	defer silent.Close()
	x, err := NewExchange(local, 1<<20, func() {}, func() {})
	if err != nil {
		t.Fatal(err)
	}
	defer x.Close()
	began := time.Now()
	for n := 0; ; n++ {
		if _, err = x.Claim(idOf(n)); err != nil {
			break
		}
	}
	if !errors.Is(err, ErrUnavailable) || time.Since(began) > testTimeout {
		t.Errorf("%v after %v", err, time.Since(began))
	}
}

// What a process has claimed may have run, also if it has ended since, even with messages unread. Claims go on without
// it.
func TestClaimsOfEndedProcessStayKnown(t *testing.T) {
	p := newTestPair(t)
	p.claim(p.second, 1, false)
	p.claim(p.first, 2, false)
	p.second.Close()
	p.waitUntil("the end is noticed", func() bool { return p.ends.Load() == 1 })
	if !p.first.HasEnded() || !p.first.IsComplete() {
		t.Error("the end is not reported")
	}
	p.claim(p.first, 1, true)
	p.claim(p.first, 3, false)
	into := NewRecent(1 << 20)
	p.first.Merge(into)
	if !into.Contains(idOf(1), time.Now()) || into.Contains(idOf(3), time.Now()) {
		t.Error("the ids of the ended process are not merged")
	}
}

// A process that is killed leaves messages unread, which makes the next read at the other process fail. What it had
// sent must be read all the same.
func TestClaimsOfKilledProcessAreRead(t *testing.T) {
	local, remote, err := NewPair()
	if err != nil {
		t.Fatal(err)
	}
	killed := NewFile(remote)
	ended := make(chan bool, 1)
	x, err := NewExchange(local, 1<<20, func() {}, func() { ended <- true })
	if err != nil {
		t.Fatal(err)
	}
	defer x.Close()
	for n := range 5 {
		if _, err := x.Claim(idOf(n)); err != nil {
			t.Fatal(err)
		}
	}
	id := idOf(7)
	x.mu.Lock() // its goroutine reads nothing until the other process has been killed
	if _, err := killed.Write(append([]byte{claimMessage}, id[:]...)); err != nil {
		t.Error(err)
	}
	killed.Close()
	x.mu.Unlock()
	select {
	case <-ended:
	case <-time.After(testTimeout):
		t.Fatal("the end is not noticed")
	}
	if byOther, err := x.Claim(id); !byOther || err != nil {
		t.Errorf("its claim is not known: %v", err)
	}
}
