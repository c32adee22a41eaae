package replicatedlog

import (
	"errors"
	"fmt"
	"math"

	"github.com/fxamacker/cbor/v2"
)

// What is kept and sent is CBOR (RFC 8949): maps of numbered fields, the version first. Unknown fields are passed over.
const (
	wireVersion  = 1
	longestBatch = 2 << 20 // bytes of a batch: a burst of purges, or some configurations
)

// Batch is what becomes one entry of the replicated log: proposals that came together, and, at times, up to where all nodes have
// applied, so that what was before need not be kept.
type Batch struct {
	Proposals []Proposal
	Trim      Index // 0 for nothing
	Log       LogID // of a log that has none yet; 0 for nothing
}

type wireProposal struct {
	ID   []byte `cbor:"2,keyasint"`
	Kind uint8  `cbor:"3,keyasint"`
	Body []byte `cbor:"4,keyasint"`
}

type wireEntry struct {
	Index uint64 `cbor:"1,keyasint"`
	wireProposal
}

type wireBatch struct {
	Version   uint32         `cbor:"0,keyasint"`
	Proposals []wireProposal `cbor:"1,keyasint,omitempty"`
	Trim      uint64         `cbor:"2,keyasint,omitempty"`
	Log       uint64         `cbor:"3,keyasint,omitempty"`
}

type wireState struct {
	Version uint32            `cbor:"0,keyasint"`
	Last    uint64            `cbor:"1,keyasint"`
	Floor   uint64            `cbor:"2,keyasint"`
	Base    cbor.RawMessage   `cbor:"3,keyasint,omitempty"`
	Tail    []cbor.RawMessage `cbor:"4,keyasint"`
	IDs     []byte            `cbor:"5,keyasint"` // 16 bytes each, of the last entries
	Log     uint64            `cbor:"6,keyasint,omitempty"`
}

// ErrWire says that bytes are not what they should be.
var ErrWire = errors.New("not a part of the log of changes")

// DecodeMode reads with bounds: guards against messages that would cost more to read than they could be worth.
var DecodeMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxNestedLevels: 8, MaxArrayElements: math.MaxInt32 >> 4, MaxMapPairs: 64, DupMapKey: cbor.DupMapKeyEnforcedAPF,
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

// encode can't fail on the types of this package: all fields are numbers and bytes.
func encode(what any) []byte {
	b, err := cbor.Marshal(what)
	if err != nil {
		panic(err)
	}
	return b
}

func (p Proposal) wire() wireProposal { return wireProposal{p.ID[:], uint8(p.Kind), p.Body} }

func (w wireProposal) proposal() (p Proposal, err error) {
	if len(w.ID) != len(p.ID) {
		return p, fmt.Errorf("%w: an id of %d bytes", ErrWire, len(w.ID))
	}
	copy(p.ID[:], w.ID)
	p.Kind, p.Body = Kind(w.Kind), w.Body
	return p, nil
}

func encodeEntry(e Entry) []byte { return encode(wireEntry{uint64(e.Index), e.wire()}) }

// DecodeEntry reads an entry. A kind that is not known is the reader's to pass over.
func DecodeEntry(b []byte) (Entry, error) {
	var w wireEntry
	if len(b) > MaxConfigBytes+2*mostPayload {
		return Entry{}, fmt.Errorf("%w: an entry of %d bytes", ErrWire, len(b))
	}
	if err := DecodeMode.Unmarshal(b, &w); err != nil {
		return Entry{}, fmt.Errorf("%w: %w", ErrWire, err)
	}
	p, err := w.proposal()
	return Entry{Index(w.Index), p}, err
}

// Encode gives a batch's bytes.
func (b Batch) Encode() []byte {
	w := wireBatch{Version: wireVersion, Trim: uint64(b.Trim), Log: uint64(b.Log)}
	for _, p := range b.Proposals {
		w.Proposals = append(w.Proposals, p.wire())
	}
	return encode(w)
}

// DecodeBatch reads a batch.
func DecodeBatch(b []byte) (Batch, error) {
	var w wireBatch
	if len(b) > 2*longestBatch {
		return Batch{}, fmt.Errorf("%w: a batch of %d bytes", ErrWire, len(b))
	}
	if err := DecodeMode.Unmarshal(b, &w); err != nil {
		return Batch{}, fmt.Errorf("%w: %w", ErrWire, err)
	}
	if w.Version == 0 || len(w.Proposals) > MaxBatchProposals {
		return Batch{}, fmt.Errorf("%w: version %d, %d proposals", ErrWire, w.Version, len(w.Proposals))
	}
	out := Batch{Trim: Index(w.Trim), Log: LogID(w.Log)}
	for _, p := range w.Proposals {
		to, err := p.proposal()
		if err != nil {
			return Batch{}, err
		}
		out.Proposals = append(out.Proposals, to)
	}
	return out, nil
}

// Batches puts proposals into as few batches as their bounds allow.
func Batches(all []Proposal) (out []Batch) {
	bytes := 0
	for _, p := range all {
		size := len(p.Body) + mostPayload
		if n := len(out); n == 0 || len(out[n-1].Proposals) == MaxBatchProposals || bytes+size > longestBatch {
			out, bytes = append(out, Batch{}), 0
		}
		bytes += size
		out[len(out)-1].Proposals = append(out[len(out)-1].Proposals, p)
	}
	return out
}

// Snapshot is all of the state, as bytes that Restore takes.
func (s *State) Snapshot() []byte {
	w := wireState{Version: wireVersion, Log: uint64(s.log), Last: uint64(s.last), Floor: uint64(s.floor), Tail: make([]cbor.RawMessage, 0, len(s.tail)),
		IDs: make([]byte, 0, len(s.recent)*len(ProposalID{}))}
	if s.base != nil {
		w.Base = s.base.raw
	}
	for _, k := range s.tail {
		w.Tail = append(w.Tail, k.raw)
	}
	for _, id := range s.recent {
		w.IDs = append(w.IDs, id[:]...)
	}
	return encode(w)
}

// Restore is the state that a snapshot has.
func Restore(b []byte, bounds Bounds) (*State, error) {
	var w wireState
	if err := DecodeMode.Unmarshal(b, &w); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrWire, err)
	}
	ids := len(w.IDs) / len(ProposalID{})
	if w.Version == 0 || w.Floor+uint64(len(w.Tail)) != w.Last || len(w.IDs)%len(ProposalID{}) != 0 || ids > DedupWindow || uint64(ids) > w.Last {
		return nil, fmt.Errorf("%w: a snapshot of version %d, %d entries from %d to %d, %d bytes of ids", ErrWire, w.Version, len(w.Tail), w.Floor, w.Last, len(w.IDs))
	}
	s := New(bounds)
	s.log, s.floor, s.last = LogID(w.Log), Index(w.Floor), Index(w.Floor)
	if len(w.Base) > 0 {
		e, err := DecodeEntry(w.Base)
		if err != nil {
			return nil, err
		}
		s.base = &kept{Entry: e, raw: w.Base}
		s.config = s.base
	}
	for _, raw := range w.Tail {
		e, err := DecodeEntry(raw)
		if err != nil {
			return nil, err
		}
		if e.Index != s.last+1 {
			return nil, fmt.Errorf("%w: a snapshot with entry %d after %d", ErrWire, e.Index, s.last)
		}
		s.keep(e)
		s.last++
	}
	for i := range ids {
		var id ProposalID
		copy(id[:], w.IDs[i*len(id):])
		s.recent = append(s.recent, id)
		s.ids[id] = s.last - Index(ids-1-i)
	}
	return s, nil
}
