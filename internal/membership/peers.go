package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"dahliapin/internal/keyhash"
)

// never is a run time for what is not so at present.
const never time.Duration = -1

// peer is what a detector knows of one process: of another one or of its own.
type peer struct {
	Statement // its latest

	status       Status
	since        time.Duration // run time when the status began
	firstSeen    time.Duration // run time when its first statement arrived
	sustainedFor time.Duration // for how long the evidence has asked for another status without a break
	evidence     evidence

	isNeighbour        bool
	neighbourSince     time.Duration // run time
	heard              bool          // a heartbeat of it has arrived
	lastHeartbeat      time.Duration // run time
	isolatedSince      time.Duration // run time since when it states that it doubts itself; never
	digestDiffersSince time.Duration // run time since when its heartbeats carry another digest; never
}

// newPeer makes one whose statement the caller sets.
func newPeer(now time.Duration) *peer {
	return &peer{
		status:             Joining,
		since:              now,
		firstSeen:          now,
		neighbourSince:     now,
		isolatedSince:      never,
		digestDiffersSince: never,
	}
}

// isMember reports whether the process counts as a member.
func (p *peer) isMember() bool { return p.status == Alive || p.status == Suspected }

// statementHash is a process's part of the digest of all statements.
func (p *peer) statementHash() uint64 {
	return keyhash.Mix(uint64(p.Process) ^ keyhash.Mix(uint64(p.Revision)))
}

// setIsolated notes whether the process says now that it doubts itself.
func (p *peer) setIsolated(isolated bool, now time.Duration) {
	switch {
	case !isolated:
		p.isolatedSince = never
	case p.isolatedSince < 0:
		p.isolatedSince = now
	}
}

// silentSince is the run time of the last heartbeat, or when the process became a neighbour where that is later.
func (p *peer) silentSince() time.Duration { return max(p.lastHeartbeat, p.neighbourSince) }

// peerTable holds all processes that are known, this one included, and keeps them in order.
//
// A process that is new is inserted in its place in each order. Guards against a large fleet that starts, in which
// each process learns of all others one by one: sorting all of them for each is most of what the start would cost. For
// the same reason processes that are forgotten are taken out of the orders together, when the orders are next used.
type peerTable struct {
	byID    map[ProcessID]*peer
	byOrder []*peer              // by process; nil while no order was made yet
	byName  []*peer              // by node and process, as views list them; made with byOrder
	byNode  map[NodeName][]*peer // the processes of each node, by process; made with byOrder
	removed bool                 // byOrder and byName still hold some that byID doesn't
}

func compareProcess(x, y *peer) int { return cmp.Compare(x.Process, y.Process) }

func compareName(x, y *peer) int {
	if x.Node != y.Node {
		return cmp.Compare(x.Node, y.Node)
	}
	return compareProcess(x, y)
}

// sorted returns all processes in the order of their ids, so that the same statements lead to the same statuses at
// every process. Whoever ranges over the result may remove processes meanwhile.
func (t *peerTable) sorted() []*peer {
	if t.byOrder == nil {
		t.byOrder = slices.SortedFunc(maps.Values(t.byID), compareProcess)
		t.byName = slices.SortedFunc(slices.Values(t.byOrder), compareName)
		t.byNode = make(map[NodeName][]*peer, len(t.byOrder))
		for _, p := range t.byOrder {
			t.byNode[p.Node] = append(t.byNode[p.Node], p)
		}
	}
	if t.removed {
		isGone := func(p *peer) bool { return t.byID[p.Process] != p }
		t.byOrder = slices.DeleteFunc(slices.Clone(t.byOrder), isGone)
		t.byName = slices.DeleteFunc(slices.Clone(t.byName), isGone)
	}
	t.removed = false
	return t.byOrder
}

// insert adds a process that has its statement.
func (t *peerTable) insert(p *peer) {
	if t.byOrder == nil {
		t.byID[p.Process] = p
		return
	}
	t.sorted()
	t.byID[p.Process] = p
	t.byOrder = insertSorted(t.byOrder, p, compareProcess)
	t.byName = insertSorted(t.byName, p, compareName)
	t.byNode[p.Node] = insertSorted(t.byNode[p.Node], p, compareProcess)
}

func insertSorted(peers []*peer, p *peer, compare func(x, y *peer) int) []*peer {
	i, _ := slices.BinarySearchFunc(peers, p, compare)
	return slices.Insert(peers, i, p)
}

// remove takes a process out: out of its node's at once, out of the orders when these are next used, so that a loop
// over sorted goes on through all as they were.
func (t *peerTable) remove(p *peer) {
	delete(t.byID, p.Process)
	if t.byOrder == nil {
		return
	}
	t.removed = true
	rest := slices.DeleteFunc(slices.Clone(t.byNode[p.Node]), func(o *peer) bool { return o == p })
	if len(rest) == 0 {
		delete(t.byNode, p.Node)
		return
	}
	t.byNode[p.Node] = rest
}

// hasSharedNames reports whether any node has several processes.
func (t *peerTable) hasSharedNames() bool {
	t.sorted()
	return len(t.byNode) < len(t.byOrder)
}

// ofNode returns the processes of a node, nearly always one, in the order of their ids.
func (t *peerTable) ofNode(node NodeName) []*peer {
	if t.byOrder == nil {
		t.sorted()
	}
	return t.byNode[node]
}

// maxForgotten bounds the forgotten processes whose last revision is kept.
const maxForgotten = 1024

// contacts are the addresses where other processes may be found that are not known at present.
type contacts struct {
	seeds     []string
	forgotten map[ProcessID]forgottenPeer
}

// forgottenPeer is what is kept of a process that was forgotten.
type forgottenPeer struct {
	revision Revision // of its last statement: that one and older ones are no news
	addr     string
	at       time.Duration // run time
}

// isOld reports whether a statement or heartbeat is from before its process was forgotten.
func (c *contacts) isOld(process ProcessID, revision Revision) bool {
	was, ok := c.forgotten[process]
	return ok && revision <= was.revision
}

// add keeps what is needed of a process that is forgotten, in place of the one that was forgotten first where there are
// many.
func (c *contacts) add(p *peer, now time.Duration) {
	if len(c.forgotten) >= maxForgotten {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(c.forgotten)), func(x, y ProcessID) int {
			return cmp.Or(cmp.Compare(c.forgotten[x].at, c.forgotten[y].at), cmp.Compare(x, y))
		})
		delete(c.forgotten, oldest)
	}
	c.forgotten[p.Process] = forgottenPeer{revision: p.Revision, addr: p.Addr, at: now}
}

// unknown returns the addresses of seeds and forgotten processes at which no known process is, in a fixed order.
func (c *contacts) unknown(known map[ProcessID]*peer) []string {
	addrs := make(map[string]bool, len(known))
	for _, p := range known {
		addrs[p.Addr] = true
	}
	var unknown []string
	for _, seed := range c.seeds {
		if !addrs[seed] {
			unknown = append(unknown, seed)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.forgotten)) {
		addr := c.forgotten[id].addr
		if !addrs[addr] {
			unknown = append(unknown, addr)
		}
	}
	return unknown
}
