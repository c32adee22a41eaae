// Package between is the network between processes, and what goes wrong on it: each direction of each pair by itself. It decides what
// becomes of a datagram or a piece of a stream; sockets.go carries it out, and so do simulations in tests.
package netfault

import (
	"sync"
	"time"

	"dahliapin/internal/keyhash"
)

const (
	streamAgain  = 200 * time.Millisecond // that a stream waits for each piece that was lost: a usual first time-out of TCP
	mostAgain    = 6                      // times that one piece is lost in a row, by which TCP has waited for seconds
	lookAtCutBy  = 20 * time.Millisecond  // between looks of a stream that stands still
	pieceOfCarry = 16 << 10               // bytes of a stream that are carried at a time
)

// Way is what goes wrong from one process to another.
type Way struct {
	Cut   bool
	Loss  float64       // share of datagrams that get lost
	Twice float64       // share that comes doubled
	Delay time.Duration // that each takes
	Late  time.Duration // the most that one is late by chance, so that they overtake each other
}

type pair struct{ from, to int }

// Faults are those of all ways.
type Faults struct {
	mu     sync.Mutex
	ways   map[pair]Way
	chance keyhash.Source
}

// New has nothing wrong.
func New(seed uint32) *Faults {
	return &Faults{ways: map[pair]Way{}, chance: keyhash.Source{Seed: seed ^ 0xbe73}}
}

// Change changes what goes wrong on a way.
func (f *Faults) Change(from, to int, change func(*Way)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.ways[pair{from, to}]
	change(&w)
	if f.ways[pair{from, to}] = w; w == (Way{}) {
		delete(f.ways, pair{from, to})
	}
}

// Fate is what becomes of a datagram: how late each of its copies comes, of which there may be none.
func (f *Faults) Fate(from, to int) (late []time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.ways[pair{from, to}]
	if w.Cut || w.Loss > 0 && f.chance.Float64() < w.Loss {
		return nil
	}
	copies := 1
	if w.Twice > 0 && f.chance.Float64() < w.Twice {
		copies = 2
	}
	for range copies {
		d := w.Delay
		if w.Late > 0 {
			d += time.Duration(f.chance.Float64() * float64(w.Late))
		}
		late = append(late, d)
	}
	return late
}

// Piece is what becomes of a piece of a stream. It stands still while either direction is cut, as what was received has to be
// acknowledged the other way; a lost one is sent again.
func (f *Faults) Piece(from, to int) (late time.Duration, stands bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, back := f.ways[pair{from, to}], f.ways[pair{to, from}]
	if w.Cut || back.Cut {
		return 0, true
	}
	late = w.Delay
	again := streamAgain
	for n := 0; n < mostAgain && w.Loss > 0 && f.chance.Float64() < w.Loss; n++ {
		late += again
		again *= 2
	}
	if w.Late > 0 {
		late += time.Duration(f.chance.Float64() * float64(w.Late))
	}
	return late, false
}
