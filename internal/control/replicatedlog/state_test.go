package replicatedlog

import (
	"bytes"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// modelFollower is a node that applies the entries of a State and checks them against the ordered bodies.
type modelFollower struct {
	applier *Applier
	handler *recordingHandler
	applied Index // expected index
}

func newModelFollower() *modelFollower {
	handler := &recordingHandler{}
	return &modelFollower{applier: NewApplier(handler), handler: handler}
}

// follow applies the next entries, or a starting point if they are no longer retained. ordered has the bodies of all
// entries, from index 1.
func (f *modelFollower) follow(t *rapid.T, s *State, ordered []string) {
	encoded, _, retained := s.EntriesAfter(f.applier.Applied, rapid.IntRange(0, 200).Draw(t, "frame"))
	f.handler.reset()
	if !f.applier.Started || !retained {
		f.start(t, s, ordered)
		return
	}
	if err := f.applier.Apply(encoded); err != nil {
		t.Fatal(err)
	}
	for i, at := range f.handler.indexes {
		f.applied++
		if at != f.applied || f.handler.bodies[i] != ordered[at-1] {
			t.Fatalf("applied entry %d %q, want %d %q", at, f.handler.bodies[i], f.applied, ordered[f.applied-1])
		}
	}
}

// start applies a starting point, and checks that the configuration in force there was applied.
func (f *modelFollower) start(t *rapid.T, s *State, ordered []string) {
	at, base := s.StartingPoint(!f.applier.Started)
	if err := f.applier.Start(0, at, base); err != nil {
		t.Fatal(err)
	}
	f.applied = at
	inForce := ""
	for _, body := range ordered[:at] {
		if body[0] == 'c' {
			inForce = body
		}
	}
	if f.handler.config != inForce || f.handler.presumed != at {
		t.Fatalf("started at %d with config %q, presumed %d; want config %q",
			at, f.handler.config, f.handler.presumed, inForce)
	}
}

func drawBatch(t *rapid.T) Batch {
	var batch Batch
	for _, n := range rapid.SliceOfN(rapid.IntRange(1, 90), 0, 12).Draw(t, "proposals") {
		p := purge(n)
		if n%7 == 0 {
			p = config(n)
		}
		batch.Proposals = append(batch.Proposals, p)
	}
	if rapid.IntRange(0, 4).Draw(t, "trims") == 0 {
		batch.Trim = Index(rapid.IntRange(0, 100).Draw(t, "trim"))
	}
	return batch
}

// Two control servers apply the same batches, with retried proposals and trims. One is sometimes restored from its
// snapshot, and a node sometimes applies entries. Both servers must have the same log with each change once. The node
// must start with the configuration in force there and see each later entry once and in order.
func TestServersAgreeAndNodesSeeEachEntryOnceInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bounds := Bounds{
			Entries:    rapid.IntRange(3, 40).Draw(t, "entries"),
			Bytes:      rapid.IntRange(100, 4000).Draw(t, "bytes"),
			MinEntries: rapid.IntRange(0, 3).Draw(t, "least"),
		}
		steady, restored := New(bounds), New(bounds)
		var ordered []string
		first := map[ProposalID]Index{}
		follower := newModelFollower()
		for range rapid.IntRange(1, 60).Draw(t, "turns") {
			batch, err := DecodeBatch(drawBatch(t).Encode())
			if err != nil {
				t.Fatal(err)
			}
			indexes := steady.Apply(batch)
			if other := restored.Apply(batch); !slices.Equal(indexes, other) {
				t.Fatalf("servers returned indexes %v and %v", indexes, other)
			}
			for i, p := range batch.Proposals {
				known, ok := first[p.ID]
				if ok && indexes[i] != known {
					t.Fatalf("index %d of a retried proposal became %d", known, indexes[i])
				}
				if ok {
					continue
				}
				ordered = append(ordered, string(p.Body))
				if indexes[i] != Index(len(ordered)) {
					t.Fatalf("index %d, want %d", indexes[i], len(ordered))
				}
				first[p.ID] = indexes[i]
			}
			checkBounds(t, steady)
			if rapid.IntRange(0, 5).Draw(t, "restores") == 0 {
				restored = restoreLike(t, restored, steady)
			}
			if rapid.Bool().Draw(t, "follows") {
				follower.follow(t, steady, ordered)
			}
		}
		for follower.applier.Applied < steady.Last() || !follower.applier.Started {
			follower.follow(t, steady, ordered)
		}
	})
}

func checkBounds(t *rapid.T, s *State) {
	bytes := s.Bytes(s.floor, s.last)
	if len(s.tail) > s.bounds.Entries || bytes > uint64(s.bounds.Bytes) && len(s.tail) > 1 {
		t.Fatalf("%d entries of %d bytes are retained, beyond the bounds %+v", len(s.tail), bytes, s.bounds)
	}
}

// restoreLike restores a state from its snapshot, which must equal the snapshot of another state.
func restoreLike(t *rapid.T, s, other *State) *State {
	snapshot := s.Snapshot()
	restored, err := Restore(snapshot, s.bounds)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(snapshot, restored.Snapshot()) || !bytes.Equal(snapshot, other.Snapshot()) {
		t.Fatal("snapshots of equal states differ")
	}
	return restored
}

// Two successive leaders may both propose an id for a new log. The id committed first must win and survive a snapshot.
func TestStateKeepsFirstLogID(t *testing.T) {
	s := New(DefaultBounds)
	for _, id := range []LogID{0, 5, 6, 0} {
		batch, err := DecodeBatch(Batch{Log: id}.Encode())
		if err != nil {
			t.Fatal(err)
		}
		s.Apply(batch)
	}
	restored, err := Restore(s.Snapshot(), DefaultBounds)
	if err != nil {
		t.Fatal(err)
	}
	if s.ID() != 5 || restored.ID() != 5 {
		t.Errorf("log id %d, restored %d; want 5", s.ID(), restored.ID())
	}
}

// A client retries a proposal that got no answer. It keeps its index while its id is among the last DedupWindow ids.
// Older ids are dropped to bound memory.
func TestDedupWindowHoldsLastIDs(t *testing.T) {
	s := New(Bounds{Entries: 10, Bytes: 1 << 20})
	one := purge(1)
	s.Apply(Batch{Proposals: []Proposal{one}})
	p := purge(2)
	for n := range DedupWindow - 1 {
		p.ID[5], p.ID[6], p.ID[7] = byte(n), byte(n>>8), byte(n>>16)
		s.Apply(Batch{Proposals: []Proposal{p}})
	}
	if indexes := s.Apply(Batch{Proposals: []Proposal{one}}); indexes[0] != 1 || s.repeated != 1 {
		t.Errorf("within the window of %d: indexes %v, %d repeated", DedupWindow, indexes, s.repeated)
	}
	s.Apply(Batch{Proposals: []Proposal{purge(3)}})
	if len(s.indexes) != DedupWindow || len(s.recentIDs) != DedupWindow {
		t.Errorf("%d ids are indexed, %d recent ids are retained; want %d",
			len(s.indexes), len(s.recentIDs), DedupWindow)
	}
	restored, err := Restore(s.Snapshot(), s.bounds)
	if err != nil {
		t.Fatal(err)
	}
	if len(restored.indexes) != DedupWindow || restored.indexes[p.ID] != s.last-1 {
		t.Errorf("restored: %d ids, the last but one has index %d", len(restored.indexes), restored.indexes[p.ID])
	}
}
