// Package netfault emulates the network between processes and its faults, separately for each direction of each pair.
//
// Faults decides what happens to a datagram or a segment of a stream, without I/O: simulations in tests use it as it
// is. A Forwarder carries that out between real processes on loopback.
package netfault

import (
	"sync"
	"time"

	"dahliapin/internal/keyhash"
)

const (
	// firstRetransmit is the time after which a lost segment of a stream is sent again: a usual first time-out of TCP.
	// It doubles with each further loss.
	firstRetransmit = 200 * time.Millisecond
	// maxRetransmits is how often one segment is lost in a row, by which TCP has waited for seconds.
	maxRetransmits = 6
	// seedSalt keeps the draws apart from others of the same seed.
	seedSalt = 0xbe73
)

// Link holds the faults from one process to another. The zero value is a perfect network.
type Link struct {
	Cut       bool
	Loss      float64       // share of datagrams and segments that are lost
	Duplicate float64       // share of datagrams that are duplicated
	Delay     time.Duration // of each datagram and segment
	Jitter    time.Duration // maximum of the random delay added to Delay, by which datagrams overtake each other
}

// direction is from one process to another, by their numbers.
type direction struct{ from, to int }

// Faults are the faults of all links. Its methods may be called from any goroutine.
type Faults struct {
	mu     sync.Mutex
	links  map[direction]Link // of those with a fault
	chance keyhash.Source
}

// New returns a network without faults.
func New(seed uint32) *Faults {
	return &Faults{links: map[direction]Link{}, chance: keyhash.Source{Seed: seed ^ seedSalt}}
}

// Change changes what goes wrong on the link from one process to another. change must not call the methods of Faults.
func (f *Faults) Change(from, to int, change func(*Link)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := direction{from, to}
	link := f.links[key]
	change(&link)
	f.links[key] = link
	if link == (Link{}) {
		delete(f.links, key)
	}
}

// Datagram returns after which delay each copy of a datagram arrives; none if it is lost.
func (f *Faults) Datagram(from, to int) (delays []time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	link := f.links[direction{from, to}]
	if link.Cut || f.occurs(link.Loss) {
		return nil
	}
	copies := 1
	if f.occurs(link.Duplicate) {
		copies = 2
	}
	for range copies {
		delays = append(delays, link.Delay+f.jitter(link))
	}
	return delays
}

// Segment returns the delay of a segment of a stream, in which a lost one is sent again. blocked says that either
// direction is cut, as what was received has to be acknowledged the other way: the segment is to be tried again later.
func (f *Faults) Segment(from, to int) (delay time.Duration, blocked bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.blocked(from, to) {
		return 0, true
	}
	link := f.links[direction{from, to}]
	delay = link.Delay
	retransmit := firstRetransmit
	for n := 0; n < maxRetransmits && f.occurs(link.Loss); n++ {
		delay += retransmit
		retransmit *= 2
	}
	return delay + f.jitter(link), false
}

// Blocked reports whether streams between two processes stand still.
func (f *Faults) Blocked(from, to int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.blocked(from, to)
}

func (f *Faults) blocked(from, to int) bool {
	return f.links[direction{from, to}].Cut || f.links[direction{to, from}].Cut
}

// occurs draws whether something of a probability happens. It draws nothing for a probability of 0.
func (f *Faults) occurs(probability float64) bool {
	return probability > 0 && f.chance.Float64() < probability
}

// jitter draws by how much one datagram or segment is late beyond the link's delay.
func (f *Faults) jitter(link Link) time.Duration {
	if link.Jitter <= 0 {
		return 0
	}
	return time.Duration(f.chance.Float64() * float64(link.Jitter))
}
