package membership

import (
	"cmp"
	"maps"
	"slices"

	"dahliapin/internal/keyhash"
)

const (
	// maxNeighbours is the maximum number of neighbours of a process: up to 13 processes are all neighbours of one
	// another.
	maxNeighbours = 12
	// ringCount is the number of rings; a process has two neighbours in each.
	ringCount = maxNeighbours / 2
)

// neighbourSet holds the processes with which this one exchanges heartbeats.
type neighbourSet struct {
	peers []*peer // by process
	stale bool    // processes joined, left or changed since the set was chosen
}

// updateNeighbours chooses the neighbours again if the set is stale.
func (d *Detector) updateNeighbours() {
	if !d.neighbours.stale {
		return
	}
	d.neighbours.stale = false
	d.evaluation.changed = true
	chosen := chooseNeighbours(d.self.Process, d.ringMembers())
	d.setNeighbours(slices.Sorted(maps.Keys(chosen)))
}

// ringMembers returns the processes that have a place in the rings. It leaves out those that are leaving and those at
// whose address a successor runs; otherwise, after a restart of many processes, half of the places would belong to dead
// ones.
func (d *Detector) ringMembers() []ProcessID {
	ids := make([]ProcessID, 0, len(d.peers.byID))
	sharedNames := d.peers.hasSharedNames()
	for _, p := range d.peers.sorted() {
		if p.Leaving || sharedNames && d.isReplacedInPlace(p) {
			continue
		}
		ids = append(ids, p.Process)
	}
	return ids
}

// isReplacedInPlace reports whether a later process of the same node has this one's address.
func (d *Detector) isReplacedInPlace(p *peer) bool {
	return slices.ContainsFunc(d.peers.ofNode(p.Node), func(o *peer) bool {
		return o.Addr == p.Addr && o.succeeds(p)
	})
}

// succeeds reports whether p is a later process of the same node than o.
func (p *peer) succeeds(o *peer) bool {
	return p.Node == o.Node && p.Incarnation > o.Incarnation && o.Incarnation > 0
}

// chooseNeighbours returns the neighbours of a process: all others in a small fleet, else its predecessor and successor
// in each ring.
func chooseNeighbours(own ProcessID, ids []ProcessID) map[ProcessID]bool {
	chosen := map[ProcessID]bool{}
	if len(ids) <= maxNeighbours+1 {
		for _, id := range ids {
			chosen[id] = true
		}
	} else {
		for ring := range ringCount {
			before, after := ringNeighbours(own, ids, ring)
			chosen[before] = true
			chosen[after] = true
		}
	}
	delete(chosen, own)
	return chosen
}

// ringPosition is the place of a process in a ring, which is ordered by hash and is the same at every process.
type ringPosition struct {
	hash uint64
	id   ProcessID // breaks ties of the hash
}

func positionIn(ring int, id ProcessID) ringPosition {
	return ringPosition{hash: keyhash.Salted(uint64(id), ring), id: id}
}

func (p ringPosition) before(o ringPosition) bool {
	return cmp.Or(cmp.Compare(p.hash, o.hash), cmp.Compare(p.id, o.id)) < 0
}

// ringNeighbours returns the predecessor and successor of a process in a ring. It scans all processes once, which is
// much cheaper than sorting them for each ring.
func ringNeighbours(own ProcessID, ids []ProcessID, ring int) (before, after ProcessID) {
	at := positionIn(ring, own)
	var first, last, predecessor, successor ringPosition
	for i, id := range ids {
		p := positionIn(ring, id)
		if i == 0 || p.before(first) {
			first = p
		}
		if i == 0 || last.before(p) {
			last = p
		}
		if p.before(at) && (predecessor.id == 0 || predecessor.before(p)) {
			predecessor = p
		}
		if at.before(p) && (successor.id == 0 || p.before(successor)) {
			successor = p
		}
	}
	if predecessor.id == 0 {
		predecessor = last
	}
	if successor.id == 0 {
		successor = first
	}
	return predecessor.id, successor.id
}

// setNeighbours replaces the neighbours. A new neighbour has the whole HeartbeatTimeout from now on, as heartbeats that
// it sent to others before say nothing about its silence here.
func (d *Detector) setNeighbours(ids []ProcessID) {
	was := make(map[ProcessID]bool, len(d.neighbours.peers))
	for _, p := range d.neighbours.peers {
		was[p.Process] = true
		p.isNeighbour = false
	}
	d.neighbours.peers = d.neighbours.peers[:0]
	for _, id := range ids {
		p := d.peers.byID[id]
		p.isNeighbour = true
		d.neighbours.peers = append(d.neighbours.peers, p)
		if was[id] {
			continue
		}
		p.neighbourSince = d.runTime
		if p.lastHeartbeat < d.runTime-d.config.HeartbeatTimeout {
			p.heard = false
		}
	}
}
