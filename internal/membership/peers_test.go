package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"dahliapin/internal/keyhash"
)

// Guards against a process that sorts all others again for each one that it learns of: when a large fleet started, this
// took a whole core. New processes must be inserted into the sorted lists, which must equal those that sorting gives,
// also if a node has several processes and after some were forgotten.
func TestInsertKeepsPeerTableSorted(t *testing.T) {
	d := New(Config{MaxMembers: 1000, ClaimPeriod: time.Second}, 1<<40, "n7", "a", nil)
	d.peers.sorted()
	random := keyhash.Source{Seed: 5}
	for i := range 300 {
		id := ProcessID(keyhash.Mix(uint64(i + 1)))
		node := NodeName(fmt.Sprint("n", int(random.Float64()*200)))
		if !d.Merge(Statement{Process: id, Node: node, Revision: 1, Addr: fmt.Sprint("a", i)}) {
			t.Fatalf("statement of %d is not merged", i)
		}
		if d.peers.byOrder == nil {
			t.Fatalf("sorted lists are discarded at process %d", i+1)
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

// forgetDuringLoop forgets a process and checks that the slice of a loop over all processes is unchanged.
func forgetDuringLoop(t *testing.T, d *Detector, id ProcessID) {
	t.Helper()
	before := d.peers.byOrder
	want := slices.Clone(before)
	d.forget(d.peers.byID[id])
	if d.peers.byOrder == nil {
		t.Fatalf("sorted lists are discarded once %d is forgotten", id)
	}
	after := d.peers.sorted()
	if !slices.Equal(before, want) || len(after) != len(want)-1 {
		t.Fatal("forgetting a process changes the slice of a loop")
	}
}

// compareWithSorted compares the sorted lists with those of a table that sorts all processes again.
func compareWithSorted(t *testing.T, table *peerTable) {
	t.Helper()
	table.sorted()
	resorted := peerTable{byID: table.byID}
	resorted.sorted()
	sameOrder := slices.Equal(table.byOrder, resorted.byOrder) && slices.Equal(table.byName, resorted.byName)
	if !sameOrder || len(table.byNode) != len(resorted.byNode) {
		t.Error("the sorted lists differ from those that sorting gives")
	}
	for node, peers := range resorted.byNode {
		if !slices.Equal(peers, table.byNode[node]) {
			t.Errorf("%s: %d processes, %d by sorting", node, len(table.byNode[node]), len(peers))
		}
	}
}
