package cachegrowth

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"dahliapin/internal/freeport"
)

const (
	zoneCount  = 3
	lostZone   = 1   // the zone that fails on the day zone-lost
	missPrefix = "m" // prefix of the keys that no cache has
	value      = "hello"

	// acceptRetryPause is the pause after a failed accept.
	acceptRetryPause = 5 * time.Millisecond
)

// fleet is the set of emulated caches of a size. The caches of one zone share a listener and differ only in the
// endpoint list.
type fleet struct {
	connections atomic.Int64 // connections accepted by all caches
	count       int          // number of caches
	zones       [zoneCount]*zoneListener
}

func newFleet(count int) (*fleet, error) {
	f := &fleet{count: count}
	for zone := range f.zones {
		address, err := freeport.Reserve()
		if err != nil {
			f.close()
			return nil, err
		}
		f.zones[zone] = &zoneListener{fleet: f, address: address}
		if err := f.zones[zone].open(); err != nil {
			f.close()
			return nil, err
		}
	}
	return f, nil
}

func (f *fleet) close() {
	for _, zone := range f.zones {
		if zone != nil {
			zone.close()
			zone.address.Close()
		}
	}
}

// entry returns the endpoint list's entry of the cache with a number. In a release, caches with numbers from count on
// replace the others.
func (f *fleet) entry(number int, lifecycle string, startedAtMs int64) instance {
	zone := number % zoneCount
	return instance{
		ID:          fmt.Sprintf("cache-%d", number),
		Address:     f.zones[zone].address.Addr(),
		MachineType: cacheMachine,
		Lifecycle:   lifecycle,
		Zone:        zoneName(zone),
		StartedAtMs: startedAtMs,
	}
}

func zoneName(zone int) string { return fmt.Sprint("zone-", zone) }

// all returns the entries of all caches, with a start time in the distant past.
func (f *fleet) all() []instance {
	entries := make([]instance, 0, f.count)
	for number := range f.count {
		entries = append(entries, f.entry(number, inService, 0))
	}
	return entries
}

// perStep returns the number of caches that a release step replaces.
func (f *fleet) perStep() int { return max(1, int(releaseShare*float64(f.count))) }

// drain returns the entries of the caches that drain in a release step.
func (f *fleet) drain(step int) []instance {
	var entries []instance
	for i := range f.perStep() {
		entries = append(entries, f.entry(step*f.perStep()+i, terminating, 0))
	}
	return entries
}

// replace returns the entries of the caches that a release step removes, and of those that replace them.
func (f *fleet) replace(step int) []instance {
	var entries []instance
	now := time.Now().UnixMilli()
	for i := range f.perStep() {
		number := step*f.perStep() + i
		entries = append(entries, f.entry(number, terminated, 0), f.entry(f.count+number, inService, now))
	}
	return entries
}

// restarted returns the entries of all caches, with the current time as their start time.
func (f *fleet) restarted() []instance {
	entries := f.all()
	for i := range entries {
		entries[i].StartedAtMs = time.Now().UnixMilli()
	}
	return entries
}

// zoneEntries returns the entries of the caches in a zone.
func (f *fleet) zoneEntries(zone int, lifecycle string, startedAtMs int64) []instance {
	var entries []instance
	for number := zone; number < f.count; number += zoneCount {
		entries = append(entries, f.entry(number, lifecycle, startedAtMs))
	}
	return entries
}

// zoneGone returns the entries that remove the caches of a zone.
func (f *fleet) zoneGone(zone int) []instance { return f.zoneEntries(zone, terminated, 0) }

// zoneBack returns the entries that add the caches of a zone again, as just started.
func (f *fleet) zoneBack(zone int) []instance {
	return f.zoneEntries(zone, inService, time.Now().UnixMilli())
}

func (f *fleet) loseZone(zone int) error {
	f.zones[zone].close()
	return nil
}

func (f *fleet) restoreZone(zone int) error { return f.zones[zone].open() }

// zoneListener is the listener shared by all caches of a zone.
type zoneListener struct {
	fleet   *fleet
	address *freeport.Reservation

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
}

// open starts to listen, after a close at the same address as before.
func (z *zoneListener) open() error {
	l, err := z.address.Listen()
	if err != nil {
		return err
	}
	z.mu.Lock()
	defer z.mu.Unlock()
	z.listener = l
	z.conns = map[net.Conn]bool{}
	go z.accept(l)
	return nil
}

// close closes the listener and all connections.
func (z *zoneListener) close() {
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.listener == nil {
		return
	}
	_ = z.listener.Close()
	z.listener = nil
	for c := range z.conns {
		_ = c.Close()
	}
}

func (z *zoneListener) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryPause)
			continue
		}
		z.fleet.connections.Add(1)
		z.mu.Lock()
		open := z.listener == l
		if open {
			z.conns[c] = true
		}
		z.mu.Unlock()
		if !open {
			_ = c.Close()
			return
		}
		go z.serve(c)
	}
}

func (z *zoneListener) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		z.mu.Lock()
		delete(z.conns, c)
		z.mu.Unlock()
	}()
	commands := bufio.NewReader(c)
	for {
		line, err := commands.ReadString('\n')
		if err != nil {
			return
		}
		if _, err := c.Write(response(line)); err != nil {
			return
		}
	}
}

// response returns the answer of a cache to a command. Keys with missPrefix are misses.
func response(command string) []byte {
	fields := strings.Fields(command)
	if len(fields) < 4 {
		return []byte("MN\r\n")
	}
	id := fields[3]
	if strings.HasPrefix(fields[1], missPrefix) {
		return fmt.Appendf(nil, "EN %s\r\n", id)
	}
	return fmt.Appendf(nil, "VA %d %s\r\n%s\r\n", len(value), id, value)
}
