package replicatedlog

import (
	"errors"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// An applier must never skip a gap or take an older state for a newer one. It gets entries before it has started, a
// starting point, entries that were partly applied before, a gap, an old starting point, and those of other logs.
func TestApplierStopsAtGap(t *testing.T) {
	handler := &recordingHandler{}
	a := NewApplier(handler)
	if err := a.Apply(encodedPurges(t, 1, 1)); !errors.Is(err, ErrGap) {
		t.Errorf("entries before the start: %v", err)
	}
	err := a.Start(7, 4, encodeEntry(Entry{Index: 2, Proposal: config(2)}))
	if err != nil || handler.config != "config 2" || handler.presumed != 4 {
		t.Errorf("start: %v, config %q, presumed %d", err, handler.config, handler.presumed)
	}
	err = a.Apply(append(encodedPurges(t, 3, 6), encodedPurges(t, 8, 9)...))
	if !errors.Is(err, ErrGap) {
		t.Errorf("entries with a gap: %v", err)
	}
	now := a.CurrentProgress()
	if now.Applied != 6 || now.Gaps != 2 || !slices.Equal(handler.indexes, []Index{2, 5, 6}) {
		t.Errorf("after the gap: progress %+v, handled entries %v", now, handler.indexes)
	}
	if err := a.Start(7, 6, nil); !errors.Is(err, ErrGap) {
		t.Errorf("old starting point was accepted: %v", err)
	}
	err = a.Start(8, 1, encodeEntry(Entry{Index: 1, Proposal: config(1)}))
	if err != nil || a.CurrentProgress().Applied != 1 || handler.config != "config 1" || handler.presumed != 1 {
		t.Errorf("start in another log: %v, %+v", err, a.CurrentProgress())
	}
	if err := a.Start(9, 0, nil); err != nil || a.CurrentProgress().Config != 0 {
		t.Errorf("start without a configuration: %v, %+v", err, a.CurrentProgress())
	}
}

// A configuration that a node rejects is reported with the reason. The previous one stays in force, and later entries
// are applied.
func TestRefusedConfigKeepsThePreviousOne(t *testing.T) {
	handler := &recordingHandler{refuse: "config 2"}
	a := NewApplier(handler)
	if err := a.Start(0, 0, nil); err != nil {
		t.Fatal(err)
	}
	encoded := func(at Index, p Proposal) cbor.RawMessage { return encodeEntry(Entry{Index: at, Proposal: p}) }
	entries := []cbor.RawMessage{encoded(1, config(1)), encoded(2, config(2)), encoded(3, purge(3))}
	if err := a.Apply(entries); err != nil {
		t.Fatal(err)
	}
	now := a.CurrentProgress()
	if now.Config != 1 || now.Refused != 2 || now.Reason == "" || now.Applied != 3 || handler.config != "config 1" {
		t.Errorf("after the rejected configuration: progress %+v, configuration in force %q", now, handler.config)
	}
	if err := a.Apply([]cbor.RawMessage{encoded(4, config(4))}); err != nil {
		t.Fatal(err)
	}
	if now := a.CurrentProgress(); now.Config != 4 || now.Refused != 0 || now.Reason != "" {
		t.Errorf("after a later configuration: progress %+v", now)
	}
}
