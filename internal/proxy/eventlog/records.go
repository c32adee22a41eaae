// Package records turns what a node does to its caches into entries: which cache was avoided, why, from when until when;
// which was drained, gone, tried or back. It does no I/O; whoever makes a Book says where its entries go.
package eventlog

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"dahliapin/policy"
)

const (
	enough    = 40.0             // legs a cache is expected to have got before its share says anything: chance is a sixth of that
	spareAt   = 0.6              // of its usual share, set against the median cache's, under which it is avoided for its load
	backAt    = 0.8              // of it at which it is back: a cache that hovers between stays as it is
	slowerBy  = 1.3              // times its usual time that its legs take: one that only lost a rush of a key takes as long as ever
	inARow    = 2                // looks that must agree: one in a hundred is chance
	learnFrom = 10               // looks before a usual share is known
	learnBy   = 0.05             // of each look that goes into the usual share
	longest   = 10 * time.Second // of one look: shares that change slower are not of one time
)

// Event is one thing that a node did.
type Event struct {
	At       policy.Instant    `json:"at_ns"`
	Node     string            `json:"node"`
	Server   policy.EndpointID `json:"server"`
	Kind     string            `json:"what"`
	Reason   string            `json:"why,omitempty"`
	Duration time.Duration     `json:"for_ns,omitempty"` // with "back": how long it was avoided
}

func (e Event) String() string {
	s := fmt.Sprintf("%8.3f s  %-6s %-10s %s", time.Duration(e.At).Seconds(), e.Node, e.Server, e.Kind)
	if e.Reason != "" {
		s += ": " + e.Reason
	}
	if e.Duration > 0 {
		s += fmt.Sprintf(" after %.1f s", e.Duration.Seconds())
	}
	return s
}

// What an entry says was done.
const (
	EndpointListed   = "listed"
	EndpointAvoided  = "avoided"
	EndpointRestored = "back"
	EndpointDrained  = "drained"
	EndpointRemoved  = "gone"
	TrialAttempt     = "trial leg"
	LevelChanged     = "level"
)

// Recorder keeps one node's records; it is a host's watcher. The same may be fed by all nodes of a fleet, which then counts
// as one.
type Recorder struct {
	node    string
	tell    func(Event)
	caches  map[policy.EndpointID]*page
	order   []policy.EndpointID // so that what happens at once is told in one order
	lookAt  policy.Instant
	looked  int
	ready   int // caches that may get legs
	legs    float64
	without func(policy.Endpoint) bool // servers whose share says nothing: the origin
}

type page struct {
	state    policy.Lifecycle
	born     policy.Instant // of the process that stands so
	stands   policy.EndpointState
	avoided  policy.Instant // since when; 0 for not
	why      string
	spared   bool
	agree    int
	legs     float64
	usual    float64 // share of legs
	served   int
	took     time.Duration // of those served since the last look, in all
	was      time.Duration // mean before it was spared
	triedFor int
}

// New starts a book. Entries go to tell, in order.
func New(node string, tell func(Event), without func(policy.Endpoint) bool) *Recorder {
	if without == nil {
		without = func(policy.Endpoint) bool { return false }
	}
	return &Recorder{node: node, tell: tell, caches: map[policy.EndpointID]*page{}, without: without}
}

func (b *Recorder) say(now policy.Instant, id policy.EndpointID, what, why string, long time.Duration) {
	b.tell(Event{At: now, Node: b.node, Server: id, Kind: what, Reason: why, Duration: long})
}

// EndpointsUpdated hears the list.
func (b *Recorder) EndpointsUpdated(now policy.Instant, form policy.UpdateKind, entries []policy.Endpoint) {
	if form == policy.PollFailed {
		return
	}
	named := map[policy.EndpointID]bool{}
	for _, e := range entries {
		if b.without(e) {
			continue
		}
		named[e.ID] = true
		p := b.caches[e.ID]
		switch {
		case p == nil && e.Lifecycle != policy.Removed:
			p = &page{state: e.Lifecycle, born: e.StartedAt}
			b.caches[e.ID] = p
			b.order = append(b.order, e.ID)
			slices.Sort(b.order)
			b.say(now, e.ID, EndpointListed, "", 0)
			if e.Lifecycle == policy.Draining {
				b.say(now, e.ID, EndpointDrained, "the list says so", 0)
			}
		case p != nil && e.Lifecycle == policy.Removed:
			b.drop(now, e.ID, "the list says so")
		case p != nil && e.Lifecycle == policy.Draining && p.state == policy.Ready:
			p.state = e.Lifecycle
			b.say(now, e.ID, EndpointDrained, "the list says so", 0)
		case p != nil:
			p.state = e.Lifecycle
		}
		if p != nil && e.StartedAt > p.born { // started anew: how the old process stood says nothing, and nobody takes it back
			p.born, p.stands = e.StartedAt, policy.StateInUse
			if e.Lifecycle == policy.Ready && !p.spared {
				b.back(now, e.ID, p)
			}
		}
	}
	if form != policy.DeltaUpdate {
		for _, id := range slices.Clone(b.order) {
			if !named[id] {
				b.drop(now, id, "the whole list does not name it")
			}
		}
	}
	b.ready = 0
	for _, p := range b.caches {
		if p.state == policy.Ready {
			b.ready++
		}
	}
}

func (b *Recorder) drop(now policy.Instant, id policy.EndpointID, why string) {
	delete(b.caches, id)
	b.order = slices.DeleteFunc(b.order, func(o policy.EndpointID) bool { return o == id })
	b.say(now, id, EndpointRemoved, why, 0)
}

// EndpointStateChanged hears how a cache stands, when that has changed.
func (b *Recorder) EndpointStateChanged(now policy.Instant, id policy.EndpointID, s policy.EndpointState) {
	p := b.caches[id]
	if p == nil || p.stands == s {
		return
	}
	p.stands = s
	if s == policy.StateUnresponsive || s == policy.StateUnreachable || s == policy.StateFailing {
		b.avoid(now, id, p, s.String())
	} else if !p.spared && s != policy.StateDraining {
		b.back(now, id, p)
	}
}

func (b *Recorder) avoid(now policy.Instant, id policy.EndpointID, p *page, why string) {
	if p.avoided == 0 {
		p.avoided, p.why = now, why
		b.say(now, id, EndpointAvoided, why, 0)
	}
}

func (b *Recorder) back(now policy.Instant, id policy.EndpointID, p *page) {
	if p.avoided != 0 {
		long := now.Since(p.avoided)
		p.avoided, p.triedFor = 0, 0
		why, _, _ := strings.Cut(p.why, ":")
		b.say(now, id, EndpointRestored, why, long)
	}
}

// Level hears that the node's service level has changed.
func (b *Recorder) Level(now policy.Instant, name string) { b.say(now, "", LevelChanged, name, 0) }

// AttemptSent hears of a leg. One to a cache that is avoided since it said nothing is a trial; the first of each spell is told.
func (b *Recorder) AttemptSent(now policy.Instant, id policy.EndpointID) {
	p := b.caches[id]
	if p == nil {
		return
	}
	p.legs++
	b.legs++
	if p.avoided != 0 && !p.spared && (p.stands == policy.StateUnresponsive || p.stands == policy.StateUnreachable) {
		if p.triedFor++; p.triedFor == 1 {
			b.say(now, id, TrialAttempt, p.why, 0)
		}
	}
	b.look(now)
}

// AttemptDone hears of a leg's end.
func (b *Recorder) AttemptDone(_ policy.Instant, id policy.EndpointID, how policy.Result, took time.Duration) {
	if p := b.caches[id]; p != nil && (how == policy.Answered || how == policy.CacheMiss) {
		p.served++
		p.took += took
	}
}

// look compares shares once enough legs went out. A cache whose share falls while the median's does not is avoided for
// its load, which no standing tells: nothing decides so but that others are picked.
func (b *Recorder) look(now policy.Instant) {
	if b.lookAt == 0 {
		b.lookAt = now
	}
	if b.ready < 3 || b.legs < enough*float64(b.ready) {
		if now.Since(b.lookAt) > longest {
			b.clear(now)
		}
		return
	}
	b.looked++
	var ratios []float64
	for _, id := range b.order {
		if p := b.caches[id]; p.state == policy.Ready && p.usual > 0 {
			ratios = append(ratios, p.legs/b.legs/p.usual)
		}
	}
	slices.Sort(ratios)
	median := 1.0
	if len(ratios) > 0 {
		median = max(0.1, ratios[len(ratios)/2])
	}
	for _, id := range b.order {
		p := b.caches[id]
		share := p.legs / b.legs
		if p.usual == 0 {
			p.usual = share
		}
		ratio := share / max(p.usual, 1e-9) / median
		mean := time.Duration(0)
		if p.served > 0 {
			mean = p.took / time.Duration(p.served)
		}
		known := b.looked > learnFrom && p.usual*b.legs >= enough/4
		low, high := ratio < spareAt && (p.served == 0 || float64(mean) > slowerBy*float64(p.was)), ratio >= backAt
		if known && p.state == policy.Ready && (!p.spared && low || p.spared && high) {
			p.agree++
		} else {
			p.agree = 0
		}
		if p.agree >= inARow {
			p.agree, p.spared = 0, !p.spared
			if p.spared {
				b.avoid(now, id, p, fmt.Sprintf("load: %.0f%% of its usual share, legs take %.1f ms after %.1f ms", 100*ratio,
					float64(mean)/1e6, float64(p.was)/1e6))
			} else if p.stands != policy.StateUnresponsive && p.stands != policy.StateUnreachable && p.stands != policy.StateFailing {
				b.back(now, id, p)
			}
		}
		if !p.spared && !(known && low) {
			p.usual += (share/median - p.usual) * max(learnBy, 1/float64(b.looked)) // the mean of all, then of the latest
			if mean > 0 {
				if p.was == 0 {
					p.was = mean
				}
				p.was += (mean - p.was) / 8
			}
		}
	}
	b.clear(now)
}

func (b *Recorder) clear(now policy.Instant) {
	b.legs, b.lookAt = 0, now
	for _, p := range b.caches {
		p.legs, p.served, p.took = 0, 0, 0
	}
}
