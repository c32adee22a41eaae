// Package netfault emulates network faults between processes, separately for each direction of each pair.
//
// Faults decides, without I/O, whether and when a datagram or a segment of a stream arrives. Simulations in tests use
// it directly. A Forwarder applies it to the traffic between real processes on loopback.
package netfault

import (
	"sync"
	"time"

	"dahliapin/internal/keyhash"
)

const (
	// firstRetransmit is the time after which a lost segment of a stream is sent again, as with a typical initial
	// retransmission timeout of TCP. It doubles with each further loss.
	firstRetransmit = 200 * time.Millisecond
	// maxRetransmits is the maximum number of consecutive losses of one segment. They add up to a delay of 12.6 s.
	maxRetransmits = 6
	// seedSalt makes the random draws independent of other draws from the same seed.
	seedSalt = 0xbe73
)

// Link holds the faults from one process to another. The zero value is a link without faults.
type Link struct {
	Cut       bool          // nothing arrives
	Loss      float64       // share of datagrams and segments that are lost
	Duplicate float64       // share of datagrams that are duplicated
	Delay     time.Duration // of each datagram and segment
	Jitter    time.Duration // maximum of the random delay added to Delay, which reorders datagrams
}

// direction identifies the link from one process to another by their numbers.
type direction struct{ from, to int }

// Faults holds the faults of all links. Its methods may be called from any goroutine.
type Faults struct {
	mu     sync.Mutex
	links  map[direction]Link // only links with a fault
	random keyhash.Source
}

// New returns a network without faults. The seed determines all random decisions.
func New(seed uint32) *Faults {
	return &Faults{links: map[direction]Link{}, random: keyhash.Source{Seed: seed ^ seedSalt}}
}

// Change changes the faults of the link from one process to another. change must not call methods of Faults.
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

// Datagram returns the delay of each copy of a datagram that arrives, or nil if the datagram is lost.
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

// Segment returns the delay of a segment of a stream, including the retransmissions of a lost one. If a direction is
// cut it returns blocked, and the caller has to try again later. A cut of the opposite direction blocks the stream too,
// as acknowledgements do not arrive.
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

// Blocked reports whether streams between two processes are blocked by a cut of either direction.
func (f *Faults) Blocked(from, to int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.blocked(from, to)
}

func (f *Faults) blocked(from, to int) bool {
	return f.links[direction{from, to}].Cut || f.links[direction{to, from}].Cut
}

// occurs draws whether an event of the given probability occurs. For a probability of 0 it uses no random number.
func (f *Faults) occurs(probability float64) bool {
	return probability > 0 && f.random.Float64() < probability
}

// jitter draws the delay of one datagram or segment in addition to the link's delay.
func (f *Faults) jitter(link Link) time.Duration {
	if link.Jitter <= 0 {
		return 0
	}
	return time.Duration(f.random.Float64() * float64(link.Jitter))
}
