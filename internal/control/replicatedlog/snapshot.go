package replicatedlog

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// idBytes is the size of a proposal id in a snapshot.
const idBytes = len(ProposalID{})

type encodedState struct {
	Version uint32            `cbor:"0,keyasint"`
	Last    uint64            `cbor:"1,keyasint"`
	Floor   uint64            `cbor:"2,keyasint"`
	Base    cbor.RawMessage   `cbor:"3,keyasint,omitempty"` // the latest configuration up to the floor
	Tail    []cbor.RawMessage `cbor:"4,keyasint"`           // the entries after the floor
	IDs     []byte            `cbor:"5,keyasint"`           // proposal ids of the last entries, idBytes each
	Log     uint64            `cbor:"6,keyasint,omitempty"`
}

// Snapshot returns the encoded state, without its bounds. Restore decodes it.
func (s *State) Snapshot() []byte {
	encodable := encodedState{
		Version: formatVersion,
		Log:     uint64(s.id),
		Last:    uint64(s.last),
		Floor:   uint64(s.floor),
		Tail:    make([]cbor.RawMessage, 0, len(s.tail)),
		IDs:     make([]byte, 0, len(s.recentIDs)*idBytes),
	}
	if s.base != nil {
		encodable.Base = s.base.encoded
	}
	for _, entry := range s.tail {
		encodable.Tail = append(encodable.Tail, entry.encoded)
	}
	for _, id := range s.recentIDs {
		encodable.IDs = append(encodable.IDs, id[:]...)
	}
	return encode(encodable)
}

// Restore returns the state encoded in a snapshot, or an error that wraps ErrMalformed.
func Restore(snapshot []byte, bounds Bounds) (*State, error) {
	var decoded encodedState
	if err := DecodeMode.Unmarshal(snapshot, &decoded); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if !decoded.consistent() {
		return nil, fmt.Errorf("%w: snapshot of version %d with %d entries after %d up to %d and %d bytes of ids",
			ErrMalformed, decoded.Version, len(decoded.Tail), decoded.Floor, decoded.Last, len(decoded.IDs))
	}
	s := New(bounds)
	s.id = LogID(decoded.Log)
	s.floor = Index(decoded.Floor)
	s.last = Index(decoded.Floor)
	if err := s.restoreBase(decoded.Base); err != nil {
		return nil, err
	}
	for _, encoded := range decoded.Tail {
		e, err := DecodeEntry(encoded)
		if err != nil {
			return nil, err
		}
		if e.Index != s.last+1 {
			return nil, fmt.Errorf("%w: snapshot has entry %d after entry %d", ErrMalformed, e.Index, s.last)
		}
		s.appendToTail(e)
		s.last++
	}
	s.restoreIDs(decoded.IDs)
	return s, nil
}

// consistent reports whether the version, the indexes and the number of ids agree.
func (e *encodedState) consistent() bool {
	ids := len(e.IDs) / idBytes
	return e.Version != 0 &&
		e.Floor+uint64(len(e.Tail)) == e.Last &&
		len(e.IDs)%idBytes == 0 &&
		ids <= DedupWindow &&
		uint64(ids) <= e.Last
}

func (s *State) restoreBase(encoded cbor.RawMessage) error {
	if len(encoded) == 0 {
		return nil
	}
	e, err := DecodeEntry(encoded)
	if err != nil {
		return err
	}
	s.base = &retainedEntry{Entry: e, encoded: encoded}
	s.config = s.base
	return nil
}

// restoreIDs restores the proposal ids of the last entries; the last id belongs to entry s.last.
func (s *State) restoreIDs(ids []byte) {
	count := len(ids) / idBytes
	for i := range count {
		var id ProposalID
		copy(id[:], ids[i*idBytes:])
		s.recentIDs = append(s.recentIDs, id)
		s.indexes[id] = s.last - Index(count-1-i)
	}
}
