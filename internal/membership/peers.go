package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"dahliapin/internal/keyhash"
)

// never marks the start time of a condition that does not hold at present.
const never time.Duration = -1

// peer is the state that a detector keeps of one process, which may be its own.
type peer struct {
	Statement // latest one

	status       Status
	since        time.Duration // run time when the status began
	firstSeen    time.Duration // run time when its first statement arrived
	sustainedFor time.Duration // how long the evidence for another status has held without a break
	evidence     evidence

	isNeighbour        bool
	neighbourSince     time.Duration // run time
	heard              bool          // a heartbeat has arrived
	lastHeartbeat      time.Duration // run time
	isolatedSince      time.Duration // run time since when it reports itself as isolated; or never
	digestDiffersSince time.Duration // run time since when its heartbeats carry a different digest; or never
}

// newPeer returns a peer whose statement the caller sets.
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

// statementHash returns the contribution of a process to the digest of all statements.
func (p *peer) statementHash() uint64 {
	return keyhash.Mix(uint64(p.Process) ^ keyhash.Mix(uint64(p.Revision)))
}

// setIsolated records whether the process now reports itself as isolated.
func (p *peer) setIsolated(isolated bool, now time.Duration) {
	switch {
	case !isolated:
		p.isolatedSince = never
	case p.isolatedSince < 0:
		p.isolatedSince = now
	}
}

// silentSince returns the run time of the last heartbeat, or when the process became a neighbour if that is later.
func (p *peer) silentSince() time.Duration { return max(p.lastHeartbeat, p.neighbourSince) }

// peerTable holds all known processes, this one included, and keeps them sorted.
//
// New processes are inserted into each sorted list. When a large fleet starts, each process learns of all others one by
// one, and sorting all of them each time would take most of the cost of the start. For the same reason forgotten
// processes are removed from the lists together, when the lists are next used.
type peerTable struct {
	byID    map[ProcessID]*peer
	byOrder []*peer              // by process; nil until the first use
	byName  []*peer              // by node and process, as in views; made with byOrder
	byNode  map[NodeName][]*peer // processes of each node, by process; made with byOrder
	removed bool                 // byOrder and byName may still hold processes that byID does not
}

func compareProcess(x, y *peer) int { return cmp.Compare(x.Process, y.Process) }

func compareName(x, y *peer) int {
	if x.Node != y.Node {
		return cmp.Compare(x.Node, y.Node)
	}
	return compareProcess(x, y)
}

// sorted returns all processes in the order of their IDs, so that equal statements lead to equal statuses at every
// process. The caller may remove processes while it ranges over the result.
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

// insert adds a process whose statement is set.
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

// remove deletes a process from byID and byNode at once, and from the sorted lists when these are next used, so that a
// loop over the result of sorted still visits all processes.
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

// hasSharedNames reports whether any node has more than one process.
func (t *peerTable) hasSharedNames() bool {
	t.sorted()
	return len(t.byNode) < len(t.byOrder)
}

// ofNode returns the processes of a node in the order of their IDs; nearly always there is one.
func (t *peerTable) ofNode(node NodeName) []*peer {
	if t.byOrder == nil {
		t.sorted()
	}
	return t.byNode[node]
}

// maxForgotten limits the number of forgotten processes whose last revision is kept.
const maxForgotten = 1024

// contacts holds the addresses of seeds and forgotten processes, where processes that are not known at present may be
// reached.
type contacts struct {
	seeds     []string
	forgotten map[ProcessID]forgottenPeer
}

// forgottenPeer is what is kept of a forgotten process.
type forgottenPeer struct {
	revision Revision // of its last statement; statements up to it are ignored
	addr     string
	at       time.Duration // run time
}

// isOld reports whether a statement or heartbeat is from before its process was forgotten.
func (c *contacts) isOld(process ProcessID, revision Revision) bool {
	was, ok := c.forgotten[process]
	return ok && revision <= was.revision
}

// add records a process that is forgotten. At maxForgotten it replaces the process that was forgotten first.
func (c *contacts) add(p *peer, now time.Duration) {
	if len(c.forgotten) >= maxForgotten {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(c.forgotten)), func(x, y ProcessID) int {
			return cmp.Or(cmp.Compare(c.forgotten[x].at, c.forgotten[y].at), cmp.Compare(x, y))
		})
		delete(c.forgotten, oldest)
	}
	c.forgotten[p.Process] = forgottenPeer{revision: p.Revision, addr: p.Addr, at: now}
}

// unknown returns the addresses of seeds and forgotten processes at which there is no known process, in a fixed order.
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
