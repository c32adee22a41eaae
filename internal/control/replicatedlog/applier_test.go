package replicatedlog

import (
	"errors"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// A node gets entries before it was told where to start, then a starting point, entries of which some were applied
// before, a gap, a starting point that it has passed, and those of other logs. It never passes a gap over, and never
// takes an older state for a newer one.
func TestApplierStopsAtGap(t *testing.T) {
	handler := &recordingHandler{}
	a := NewApplier(handler)
	if err := a.Apply(encodedPurges(t, 1, 1)); !errors.Is(err, ErrGap) {
		t.Errorf("before it started: %v", err)
	}
	err := a.Start(7, 4, encodeEntry(Entry{Index: 2, Proposal: config(2)}))
	if err != nil || handler.config != "config 2" || handler.presumed != 4 {
		t.Errorf("started: %v, %q, presumed %d", err, handler.config, handler.presumed)
	}
	err = a.Apply(append(encodedPurges(t, 3, 6), encodedPurges(t, 8, 9)...))
	if !errors.Is(err, ErrGap) {
		t.Errorf("a gap: %v", err)
	}
	now := a.CurrentProgress()
	if now.Applied != 6 || now.Gaps != 2 || !slices.Equal(handler.indexes, []Index{2, 5, 6}) {
		t.Errorf("%+v, %v", now, handler.indexes)
	}
	if err := a.Start(7, 6, nil); !errors.Is(err, ErrGap) {
		t.Errorf("an old starting point was taken: %v", err)
	}
	err = a.Start(8, 1, encodeEntry(Entry{Index: 1, Proposal: config(1)}))
	if err != nil || a.CurrentProgress().Applied != 1 || handler.config != "config 1" || handler.presumed != 1 {
		t.Errorf("another log: %v, %+v", err, a.CurrentProgress())
	}
	if err := a.Start(9, 0, nil); err != nil || a.CurrentProgress().Config != 0 {
		t.Errorf("one without a configuration: %v, %+v", err, a.CurrentProgress())
	}
}

// A published configuration that a node cannot take is reported with its reason; the one before it stays in force,
// and the entries after it are applied.
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
		t.Errorf("%+v, %q", now, handler.config)
	}
	if err := a.Apply([]cbor.RawMessage{encoded(4, config(4))}); err != nil {
		t.Fatal(err)
	}
	if now := a.CurrentProgress(); now.Config != 4 || now.Refused != 0 || now.Reason != "" {
		t.Errorf("%+v", now)
	}
}
