package purger

import (
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"dahliapin/internal/control/purge"
	"dahliapin/internal/emulator/cachestub"
)

// connectionCounter dials connections and counts those open at the same time.
type connectionCounter struct {
	mu   sync.Mutex
	open map[string]int // by address
	most map[string]int
}

func newConnectionCounter() *connectionCounter {
	return &connectionCounter{open: map[string]int{}, most: map[string]int{}}
}

// countedConn calls onClose when it is closed.
type countedConn struct {
	net.Conn
	onClose func()
}

func (c countedConn) Close() error {
	c.onClose()
	return c.Conn.Close()
}

func (o *connectionCounter) dial(addr string, within time.Duration) (net.Conn, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.open[addr]++
	o.most[addr] = max(o.most[addr], o.open[addr])
	conn, err := net.DialTimeout("tcp", addr, within)
	if err != nil {
		o.open[addr]--
		return nil, err
	}
	closed := func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.open[addr]--
	}
	return countedConn{Conn: conn, onClose: sync.OnceFunc(closed)}, nil
}

// Faulty caches must not delay the others: they hang, refuse connections, answer garbage, are busy or close
// connections; one is slow. Each of two control servers has at most one connection to a cache, and a cache gets every
// purge once it works again.
func TestFaultyCachesDelayNoOthers(t *testing.T) {
	t.Parallel()
	faults := []cachestub.Fault{
		cachestub.None, cachestub.Silent, cachestub.Refuse, cachestub.Garbage, cachestub.Busy,
		cachestub.CloseAfterCommand,
	}
	slow := len(faults)
	f := newFixture(t, len(faults)+1, 0)
	counter := newConnectionCounter()
	f.dial = counter.dial
	f.addPurger()
	f.addPurger()
	for i, fault := range faults {
		f.caches[i].SetFault(fault, 0)
	}
	f.caches[slow].SetFault(cachestub.None, 20*time.Millisecond)
	for i, cache := range f.caches {
		cache.Fill("key-1", uint64(i))
	}
	began := time.Now()
	f.publish(9, numberedKeys(20)...)
	f.waitDone(0, "c0")
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("purges at the working cache took %v", took)
	}
	f.waitDone(0, fmt.Sprint("c", slow))
	time.Sleep(2*purge.AnswerTimeout + testMaxFillTime)
	for i := 1; i < slow; i++ {
		progress := f.progress(0, fmt.Sprint("c", i))
		if progress.Done != 0 || progress.Reason == "" || progress.Overdue == 0 && i == 1 {
			t.Errorf("fault %d: progress %+v", faults[i], progress)
		}
		f.caches[i].SetFault(cachestub.None, 0)
	}
	for i := range f.caches {
		f.waitDone(0, fmt.Sprint("c", i))
		f.waitDone(1, fmt.Sprint("c", i))
	}
	for addr, most := range counter.most {
		if most > len(f.purgers) {
			t.Errorf("%d simultaneous connections of two servers to %s", most, addr)
		}
	}
	f.expectNoBreach()
}
