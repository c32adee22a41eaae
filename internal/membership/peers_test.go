package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"dahliapin/internal/keyhash"
)

// In a large fleet that starts, each process learns of all others one by one; one that sorted all of them anew for
// each had no core left. A new process takes its place in each order instead, and the orders are those that sorting
// gives: also where a node has several processes, and after some were forgotten.
func TestInsertKeepsPeerTableSorted(t *testing.T) {
	d := New(Config{MaxMembers: 1000, ClaimPeriod: time.Second}, 1<<40, "n7", "a", nil)
	d.peers.sorted()
	random := keyhash.Source{Seed: 5}
	for i := range 300 {
		id := ProcessID(keyhash.Mix(uint64(i + 1)))
		node := NodeName(fmt.Sprint("n", int(random.Float64()*200)))
		if !d.Merge(Statement{Process: id, Node: node, Revision: 1, Addr: fmt.Sprint("a", i)}) {
			t.Fatalf("%d is no news", i)
		}
		if d.peers.byOrder == nil {
			t.Fatalf("all are to be sorted again for the %d. process", i+1)
		}
		if i%50 == 49 {
			forgetDuringLoop(t, d, id)
		}
	}
	if !d.peers.hasSharedNames() {
		t.Error("no node has several processes")
	}
	compareWithSorted(t, &d.peers)
}

// forgetDuringLoop forgets a process as a loop over all would see it: the loop's slice stays as it was.
func forgetDuringLoop(t *testing.T, d *Detector, id ProcessID) {
	t.Helper()
	before := d.peers.byOrder
	want := slices.Clone(before)
	d.forget(d.peers.byID[id])
	if d.peers.byOrder == nil {
		t.Fatalf("all are to be sorted again once %d is forgotten", id)
	}
	after := d.peers.sorted()
	if !slices.Equal(before, want) || len(after) != len(want)-1 {
		t.Fatal("a loop over all in which one is forgotten misses another")
	}
}

// compareWithSorted compares the orders with those of a table that sorts all anew.
func compareWithSorted(t *testing.T, table *peerTable) {
	t.Helper()
	table.sorted()
	anew := peerTable{byID: table.byID}
	anew.sorted()
	sameOrder := slices.Equal(table.byOrder, anew.byOrder) && slices.Equal(table.byName, anew.byName)
	if !sameOrder || len(table.byNode) != len(anew.byNode) {
		t.Error("the orders differ from those that sorting gives")
	}
	for node, peers := range anew.byNode {
		if !slices.Equal(peers, table.byNode[node]) {
			t.Errorf("%s: %d processes, and %d by sorting", node, len(table.byNode[node]), len(peers))
		}
	}
}
