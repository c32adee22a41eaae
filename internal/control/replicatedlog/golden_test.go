package replicatedlog

import (
	"bytes"
	"fmt"
	"testing"

	"dahliapin/internal/golden"
)

// The encoding must not change, since other versions read the stored and sent bytes.
func TestBatchesEntriesAndSnapshotsAreAsRecorded(t *testing.T) {
	var got bytes.Buffer
	proposals := []Proposal{
		{ID: ProposalID{1, 2}, Kind: Purge, Body: []byte("key1")},
		{ID: ProposalID{3}, Kind: Config, Body: []byte(`{"a":1}`)},
		{ID: ProposalID{4}, Kind: Purge, Body: []byte("key2")},
	}
	s := New(Bounds{Entries: 2, Bytes: 1 << 20, MinEntries: 1})
	for _, b := range []Batch{
		{Proposals: proposals, Log: 77},
		{Proposals: proposals[:1]},
		{Trim: 2},
		{Proposals: []Proposal{{ID: ProposalID{9}, Kind: Purge, Body: []byte("key3")}}},
	} {
		encoded := b.Encode()
		fmt.Fprintf(&got, "batch %x\n", encoded)
		back, err := DecodeBatch(encoded)
		if err != nil || !bytes.Equal(back.Encode(), encoded) {
			t.Fatalf("batch changed by decoding and encoding: %v", err)
		}
		fmt.Fprintln(&got, "applied", s.Apply(b), s.Last(), s.Floor(), s.Config(), uint64(s.ID()))
	}
	for _, p := range proposals {
		fmt.Fprintf(&got, "entry %x mark %x\n", encodeEntry(Entry{Index: 5, Proposal: p}), p.ContentHash())
	}
	snapshot := s.Snapshot()
	fmt.Fprintf(&got, "snapshot %x\n", snapshot)
	restored, err := Restore(snapshot, DefaultBounds)
	if err != nil || !bytes.Equal(restored.Snapshot(), snapshot) {
		t.Fatalf("state changed by a snapshot and restore: %v", err)
	}
	golden.Check(t, "log.txt", got.Bytes())
}
