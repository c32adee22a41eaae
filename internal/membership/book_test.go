package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"dahliapin/internal/keyhash"
)

// A process's neighbours in a ring are those before and after it in the order of all, whatever the size and wherever it stands.
func TestNeighboursAreThoseBesideInEachRing(t *testing.T) {
	for _, n := range []int{14, 15, 40, 200} {
		for own := range n {
			id := ProcessID(keyhash.Mix(uint64(own + 1)))
			b := New(Config{MaxMembers: 1000}, id, "n", "a", nil)
			ids := []ProcessID{}
			for i := range n {
				ids = append(ids, ProcessID(keyhash.Mix(uint64(i+1))))
			}
			for ring := range rings {
				before, after := b.beside(ids, ring)
				slices.SortFunc(ids, func(x, y ProcessID) int {
					if a, b := keyhash.Salted(uint64(x), ring), keyhash.Salted(uint64(y), ring); a != b {
						return map[bool]int{true: -1, false: 1}[a < b]
					}
					return 0
				})
				i := slices.Index(ids, id)
				if before != ids[(i+n-1)%n] || after != ids[(i+1)%n] {
					t.Fatalf("%d processes, ring %d, at %d: %x and %x", n, ring, i, before, after)
				}
			}
		}
	}
}

// Up to a size all goes as it did; from there on words are waited for longer, each time that there are as many again.
func TestPatienceGrowsWithTheFleet(t *testing.T) {
	for n, want := range map[int]time.Duration{1: 300, 32: 300, 33: 450, 64: 450, 65: 600, 480: 900, 960: 1050} {
		b := New(Config{MaxMembers: 1000}, 1, "n", "a", nil)
		for i := len(b.all); i < n; i++ {
			b.all[ProcessID(i+1)] = &peer{}
		}
		if got := b.patience(wordBy); got != want*time.Millisecond {
			t.Errorf("%d processes: %v", n, got)
		}
	}
}

// All that is known is asked for the less often the more it is, over its size: what that costs in all does not grow with the fleet.
func TestAllThatIsKnownIsAskedForMoreRarelyTheMoreItIs(t *testing.T) {
	for n, want := range map[int]time.Duration{12: 560, 32: 660, 120: 1700, 480: 7700} { // ms
		b := New(Config{MaxMembers: 1000}, 1, "n", "a", nil)
		for i := len(b.all); i < n; i++ {
			b.all[ProcessID(i+1)] = &peer{}
		}
		b.ran = time.Hour
		b.sync("x")
		b.wantsSync = ""
		b.ran += want*time.Millisecond - 1
		if b.sync("x"); b.wantsSync != "" {
			t.Errorf("%d processes: asked again before %v ms", n, int64(want))
		}
		b.ran++
		if b.sync("x"); b.wantsSync != "x" {
			t.Errorf("%d processes: not asked again after %v ms", n, int64(want))
		}
	}
}

// Views are in the order of nodes and processes, whoever came first.
func TestViewsAreInOrder(t *testing.T) {
	b := New(NewConfig(2*time.Second, 300*time.Millisecond, 2*time.Second, time.Second, time.Minute, 100), 50, "m", "127.0.0.1:1", nil)
	for i, node := range []NodeName{"z", "a", "q", "a"} {
		b.Merge(Statement{Process: ProcessID(100 - i), Node: node, Revision: 1, Addr: fmt.Sprintf("127.0.0.1:%d", 2+i)})
	}
	b.LoopAdvanced(1)
	b.Tick(1)
	text := ""
	for _, m := range b.View().Members {
		text += fmt.Sprintf("%s%d ", m.Node, m.Process)
	}
	if text != "a97 a99 m50 q98 z100 " {
		t.Error(text)
	}
}

// One that is new takes its place in each order without all being sorted again, and the orders are those that sorting gives: also where a
// node has several processes, and after some were forgotten.
func TestNewProcessesTakeTheirPlace(t *testing.T) {
	b := New(Config{MaxMembers: 1000, ClaimPeriod: time.Second}, 1<<40, "n7", "a", nil)
	b.sorted()
	chance := keyhash.Source{Seed: 5}
	for i := range 300 {
		id := ProcessID(keyhash.Mix(uint64(i + 1)))
		if !b.Merge(Statement{Process: id, Node: NodeName(fmt.Sprint("n", int(chance.Float64()*200))), Revision: 1, Addr: fmt.Sprint("a", i)}) {
			t.Fatalf("%d is no news", i)
		}
		if b.order == nil {
			t.Fatalf("all are to be sorted again for the %d. process", i+1)
		}
		if i%50 == 49 {
			was := b.order
			all := slices.Clone(was)
			if b.forget(b.all[id]); b.order == nil {
				t.Fatalf("all are to be sorted again once %d is forgotten", i+1)
			}
			if b.sorted(); !slices.Equal(was, all) || len(b.order) != len(all)-1 {
				t.Fatal("who goes through all while one is forgotten misses another")
			}
		}
	}
	order, shown, byNode := b.sorted(), b.shown, b.byNode
	b.order = nil
	if !slices.Equal(order, b.sorted()) || !slices.Equal(shown, b.shown) || len(byNode) != len(b.byNode) {
		t.Error("the orders differ from those that sorting gives")
	}
	for node, ps := range b.byNode {
		if !slices.Equal(ps, byNode[node]) {
			t.Errorf("%s: %d processes, and %d by sorting", node, len(byNode[node]), len(ps))
		}
	}
	if !b.shared() {
		t.Error("no node has several processes")
	}
}
