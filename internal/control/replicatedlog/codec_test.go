package replicatedlog

import (
	"errors"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

func TestInvalidProposalsGetNoIndex(t *testing.T) {
	for name, p := range map[string]Proposal{
		"no id":                {Kind: Purge, Body: []byte("k")},
		"no key":               {ID: ProposalID{1}, Kind: Purge},
		"a long key":           {ID: ProposalID{1}, Kind: Purge, Body: make([]byte, MaxKeyBytes+1)},
		"an unknown kind":      {ID: ProposalID{1}, Kind: 9, Body: []byte("k")},
		"a long configuration": {ID: ProposalID{1}, Kind: Config, Body: make([]byte, MaxConfigBytes+1)},
	} {
		t.Run(name, func(t *testing.T) {
			s := New(DefaultBounds)
			if err := p.Check(); !errors.Is(err, ErrProposal) {
				t.Errorf("Check returned %v", err)
			}
			if indexes := s.Apply(Batch{Proposals: []Proposal{p}}); indexes[0] != 0 || s.Last() != 0 {
				t.Errorf("indexes %v, last %d", indexes, s.Last())
			}
		})
	}
}

func TestMalformedBatchesAreRejected(t *testing.T) {
	good := Batch{Proposals: []Proposal{purge(1)}}.Encode()
	for name, bad := range map[string][]byte{
		"empty":              nil,
		"no CBOR":            {0xff},
		"truncated":          good[:len(good)-1],
		"no version":         encode(encodedBatch{}),
		"a short id":         encode(encodedBatch{Version: 1, Proposals: []encodedProposal{{ID: []byte("short")}}}),
		"too many proposals": encode(encodedBatch{Version: 1, Proposals: make([]encodedProposal, MaxBatchProposals+1)}),
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := DecodeBatch(bad); !errors.Is(err, ErrMalformed) {
				t.Errorf("% x: %v", bad[:min(len(bad), 20)], err)
			}
		})
	}
}

func TestMalformedSnapshotsAreRejected(t *testing.T) {
	tail := func(at Index) []cbor.RawMessage {
		return []cbor.RawMessage{encodeEntry(Entry{Index: at, Proposal: purge(1)})}
	}
	for name, bad := range map[string][]byte{
		"empty":             nil,
		"no version":        encode(encodedState{}),
		"an entry too few":  encode(encodedState{Version: 1, Last: 2, Tail: tail(1)}),
		"a wrong index":     encode(encodedState{Version: 1, Last: 1, Tail: tail(2)}),
		"ids of no entries": encode(encodedState{Version: 1, IDs: make([]byte, 16)}),
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := Restore(bad, DefaultBounds); !errors.Is(err, ErrMalformed) {
				t.Errorf("% x: %v", bad, err)
			}
		})
	}
}

// During an upgrade, servers of a later version may send fields that this version does not know.
func TestBatchesOfALaterVersionAreRead(t *testing.T) {
	later, err := cbor.Marshal(map[int]any{0: 2, 1: []any{}, 2: 5, 77: "later"})
	if err != nil {
		t.Fatal(err)
	}
	if batch, err := DecodeBatch(later); err != nil || batch.Trim != 5 {
		t.Errorf("decoded as %v, %v", batch, err)
	}
}

func TestBatchesAreFewAndBounded(t *testing.T) {
	var proposals []Proposal
	for n := range 2500 {
		proposals = append(proposals, purge(n+1))
	}
	if got := Batches(proposals); len(got) != 3 || len(got[2].Proposals) != 2500-2*MaxBatchProposals {
		t.Errorf("%d batches", len(got))
	}
	big := config(1)
	big.Body = make([]byte, MaxConfigBytes)
	for _, batch := range Batches(slices.Repeat([]Proposal{big}, 20)) {
		if n := len(batch.Encode()); n > maxBatchBytes+1000 {
			t.Errorf("batch of %d bytes", n)
		}
	}
}
