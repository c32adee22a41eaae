package replicatedlog

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"
)

func purge(n int) Proposal {
	p := Proposal{Kind: Purge, Body: fmt.Appendf(nil, "key-%d", n)}
	p.ID[0], p.ID[1], p.ID[2] = 1, byte(n), byte(n>>8)
	return p
}

func config(n int) Proposal {
	p := purge(n)
	p.Kind, p.Body = Config, fmt.Appendf(nil, "config %d", n)
	return p
}

// node keeps what a node did by the log.
type node struct {
	did      []string
	at       []Index
	config   string
	presumed Index
	refuse   string
}

func (n *node) PresumePurged(upTo Index) { n.presumed = upTo }
func (n *node) Purge(at Index, key string) {
	n.did, n.at = append(n.did, key), append(n.at, at)
}
func (n *node) Configure(at Index, text []byte) error {
	n.did, n.at = append(n.did, string(text)), append(n.at, at)
	if n.refuse != "" && string(text) == n.refuse {
		return errors.New("it can't be used")
	}
	n.config = string(text)
	return nil
}

// Whatever is proposed, proposed again, trimmed, snapshot and restored: all machines have the same log, each change is in it once, and a
// reader that begins anywhere and comes back now and then sees each entry after its beginning once and in order, under the latest
// configuration.
func TestTheLogHasEachChangeOnceAndInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bounds := Bounds{Entries: rapid.IntRange(3, 40).Draw(t, "entries"), Bytes: rapid.IntRange(100, 4000).Draw(t, "bytes"), MinEntries: rapid.IntRange(0, 3).Draw(t, "least")}
		a, b := New(bounds), New(bounds)
		var said []string // by index from 1
		first := map[ProposalID]Index{}
		did := &node{}
		reader := NewApplier(did)
		seen, begins := Index(0), 0
		follow := func() {
			raw, _, is := a.EntriesAfter(reader.CurrentProgress().Applied, rapid.IntRange(0, 200).Draw(t, "frame"))
			if !reader.CurrentProgress().Started || !is {
				at, base := a.StartingPoint(!reader.CurrentProgress().Started)
				if err := reader.Start(0, at, base); err != nil {
					t.Fatal(err)
				}
				seen, begins = at, begins+1
				latest := ""
				for _, text := range said[:at] {
					if text[0] == 'c' {
						latest = text
					}
				}
				if did.config != latest || did.presumed != at {
					t.Fatalf("begins at %d with %q, presumed %d; in force there: %q", at, did.config, did.presumed, latest)
				}
				did.did, did.at = nil, nil
				return
			}
			if err := reader.Apply(raw); err != nil {
				t.Fatal(err)
			}
			for i, at := range did.at {
				if seen++; at != seen || did.did[i] != said[at-1] {
					t.Fatalf("applied %d %q, wanted %d %q", at, did.did[i], seen, said[seen-1])
				}
			}
			did.did, did.at = nil, nil
		}
		for range rapid.IntRange(1, 60).Draw(t, "turns") {
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
			sent, err := DecodeBatch(batch.Encode())
			if err != nil {
				t.Fatal(err)
			}
			at, other := a.Apply(sent), b.Apply(sent)
			if !slices.Equal(at, other) {
				t.Fatalf("%v and %v", at, other)
			}
			for i, p := range batch.Proposals {
				if was, is := first[p.ID]; is && at[i] != was {
					t.Fatalf("proposed again, %d became %d", was, at[i])
				} else if !is {
					if said = append(said, string(p.Body)); at[i] != Index(len(said)) {
						t.Fatalf("index %d, wanted %d", at[i], len(said))
					}
					first[p.ID] = at[i]
				}
			}
			if len(a.tail) > bounds.Entries || a.Bytes(a.floor, a.last) > uint64(bounds.Bytes) && len(a.tail) > 1 {
				t.Fatalf("%d entries, %d bytes are kept", len(a.tail), a.Bytes(a.floor, a.last))
			}
			if rapid.IntRange(0, 5).Draw(t, "restores") == 0 {
				text := b.Snapshot()
				if b, err = Restore(text, bounds); err != nil {
					t.Fatal(err)
				}
				if !bytes.Equal(text, b.Snapshot()) || !bytes.Equal(text, a.Snapshot()) {
					t.Fatal("a snapshot is not what it was taken of")
				}
			}
			if rapid.Bool().Draw(t, "follows") {
				follow()
			}
		}
		for reader.CurrentProgress().Applied < a.Last() || !reader.CurrentProgress().Started {
			follow()
		}
	})
}

func TestALogKeepsItsFirstID(t *testing.T) {
	s := New(DefaultBounds)
	for _, log := range []LogID{0, 5, 6, 0} {
		b, err := DecodeBatch(Batch{Log: log}.Encode())
		if s.Apply(b); err != nil {
			t.Fatal(err)
		}
	}
	if r, err := Restore(s.Snapshot(), DefaultBounds); err != nil || s.ID() != 5 || r.ID() != 5 {
		t.Errorf("%d, %v", s.ID(), err)
	}
}

func TestAnIDIsForgottenOnlyAfterSoManyEntries(t *testing.T) {
	s := New(Bounds{Entries: 10, Bytes: 1 << 20})
	one := purge(1)
	s.Apply(Batch{Proposals: []Proposal{one}})
	p := purge(2)
	for n := range DedupWindow - 1 {
		p.ID[5], p.ID[6], p.ID[7] = byte(n), byte(n>>8), byte(n>>16)
		s.Apply(Batch{Proposals: []Proposal{p}})
	}
	if at := s.Apply(Batch{Proposals: []Proposal{one}}); at[0] != 1 || s.repeated != 1 {
		t.Errorf("among the last %d: %v", DedupWindow, at)
	}
	if s.Apply(Batch{Proposals: []Proposal{purge(3)}}); len(s.ids) != DedupWindow || len(s.recent) != DedupWindow {
		t.Errorf("%d ids, %d in a row", len(s.ids), len(s.recent))
	}
	if r, err := Restore(s.Snapshot(), s.bounds); err != nil || len(r.ids) != DedupWindow || r.ids[p.ID] != s.last-1 {
		t.Errorf("restored: %v, %v", r, err)
	}
}

func raws(t *testing.T, from, upTo Index) (raw []cbor.RawMessage) {
	t.Helper()
	for i := from; i <= upTo; i++ {
		raw = append(raw, encodeEntry(Entry{i, purge(int(i))}))
	}
	return raw
}

func TestAReaderLetsNoGapPass(t *testing.T) {
	did := &node{}
	r := NewApplier(did)
	if err := r.Apply(raws(t, 1, 1)); !errors.Is(err, ErrGap) {
		t.Errorf("before it began: %v", err)
	}
	if err := r.Start(7, 4, encodeEntry(Entry{2, config(2)})); err != nil || did.config != "config 2" || did.presumed != 4 {
		t.Errorf("%v, %q, presumed %d", err, did.config, did.presumed)
	}
	if err := r.Apply(append(raws(t, 3, 6), raws(t, 8, 9)...)); !errors.Is(err, ErrGap) {
		t.Errorf("a gap: %v", err)
	}
	if now := r.CurrentProgress(); now.Applied != 6 || now.Gaps != 2 || !slices.Equal(did.at, []Index{2, 5, 6}) {
		t.Errorf("%+v, %v", now, did.at)
	}
	if err := r.Start(7, 6, nil); !errors.Is(err, ErrGap) {
		t.Errorf("an old beginning was taken: %v", err)
	}
	if err := r.Start(8, 1, encodeEntry(Entry{1, config(1)})); err != nil || r.CurrentProgress().Applied != 1 || did.config != "config 1" || did.presumed != 1 {
		t.Errorf("another log: %v, %+v", err, r.CurrentProgress())
	}
	if err := r.Start(9, 0, nil); err != nil || r.CurrentProgress().Config != 0 {
		t.Errorf("one without a configuration: %v, %+v", err, r.CurrentProgress())
	}
}

func TestARefusedConfigurationIsToldAndChangesNothing(t *testing.T) {
	did := &node{refuse: "config 2"}
	r := NewApplier(did)
	_ = r.Start(0, 0, nil)
	_ = r.Apply([]cbor.RawMessage{encodeEntry(Entry{1, config(1)}), encodeEntry(Entry{2, config(2)}), encodeEntry(Entry{3, purge(3)})})
	if now := r.CurrentProgress(); now.Config != 1 || now.Refused != 2 || now.Reason == "" || now.Applied != 3 || did.config != "config 1" {
		t.Errorf("%+v, %q", now, did.config)
	}
	_ = r.Apply([]cbor.RawMessage{encodeEntry(Entry{4, config(4)})})
	if now := r.CurrentProgress(); now.Config != 4 || now.Refused != 0 || now.Reason != "" {
		t.Errorf("%+v", now)
	}
}

func TestWhatIsNoPartOfTheLogIsRefused(t *testing.T) {
	for name, p := range map[string]Proposal{"no id": {Kind: Purge, Body: []byte("k")}, "no key": {ID: ProposalID{1}, Kind: Purge},
		"a long key": {ID: ProposalID{1}, Kind: Purge, Body: make([]byte, MaxKeyBytes+1)}, "a kind": {ID: ProposalID{1}, Kind: 9, Body: []byte("k")},
		"a long configuration": {ID: ProposalID{1}, Kind: Config, Body: make([]byte, MaxConfigBytes+1)}} {
		if s := New(DefaultBounds); !errors.Is(p.Check(), ErrProposal) || s.Apply(Batch{Proposals: []Proposal{p}})[0] != 0 || s.Last() != 0 {
			t.Errorf("%s: %v", name, p.Check())
		}
	}
	good := Batch{Proposals: []Proposal{purge(1)}}.Encode()
	for _, bad := range [][]byte{nil, {0xff}, good[:len(good)-1], encode(wireBatch{}), encode(wireBatch{Version: 1, Proposals: []wireProposal{{ID: []byte("short")}}}),
		encode(wireBatch{Version: 1, Proposals: make([]wireProposal, MaxBatchProposals+1)})} {
		if _, err := DecodeBatch(bad); !errors.Is(err, ErrWire) {
			t.Errorf("% x: %v", bad[:min(len(bad), 20)], err)
		}
	}
	for _, bad := range [][]byte{nil, encode(wireState{}), encode(wireState{Version: 1, Last: 2, Tail: []cbor.RawMessage{encodeEntry(Entry{1, purge(1)})}}),
		encode(wireState{Version: 1, Last: 1, Tail: []cbor.RawMessage{encodeEntry(Entry{2, purge(1)})}}), encode(wireState{Version: 1, IDs: make([]byte, 16)})} {
		if _, err := Restore(bad, DefaultBounds); !errors.Is(err, ErrWire) {
			t.Errorf("% x: %v", bad, err)
		}
	}
	newer, _ := cbor.Marshal(map[int]any{0: 2, 1: []any{}, 2: 5, 77: "later"})
	if b, err := DecodeBatch(newer); err != nil || b.Trim != 5 {
		t.Errorf("a newer one: %v, %v", b, err)
	}
}

func TestProposalsGoIntoFewBatches(t *testing.T) {
	var all []Proposal
	for n := range 2500 {
		all = append(all, purge(n+1))
	}
	if got := Batches(all); len(got) != 3 || len(got[2].Proposals) != 2500-2*MaxBatchProposals {
		t.Errorf("%d batches", len(got))
	}
	big := config(1)
	big.Body = make([]byte, MaxConfigBytes)
	for _, b := range Batches(slices.Repeat([]Proposal{big}, 20)) {
		if n := len(b.Encode()); n > longestBatch+1000 {
			t.Errorf("a batch of %d bytes", n)
		}
	}
}
