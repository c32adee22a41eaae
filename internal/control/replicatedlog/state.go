package replicatedlog

import (
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// DedupWindow is how many of the last entries' ids are kept, by which a proposal that is made again is known: almost
// two hours of purges at the fleet's rate, while clients try for half a minute.
const DedupWindow = 65_536

// Bounds are how much of the log is kept for nodes that are behind.
type Bounds struct {
	Entries    int // at most
	Bytes      int // of encoded entries, at most; one entry is kept in any case
	MinEntries int // kept although all nodes have applied them, for a node that is not known just now
}

// DefaultBounds keep more than an hour of purges at the fleet's rate.
var DefaultBounds = Bounds{Entries: 65_536, Bytes: 32 << 20, MinEntries: 4096}

// keptEntry is an entry that is kept, encoded once for all nodes that get it.
type keptEntry struct {
	Entry
	encoded cbor.RawMessage
	endByte uint64 // bytes of all entries up to and with this one, since the state was made
}

// State is the log as a control server has it. It has no lock. Only Apply changes it.
type State struct {
	bounds       Bounds
	id           LogID
	last         Index                // the newest entry; 0 for none
	floor        Index                // entries up to here are not kept
	floorEndByte uint64               // endByte of the entry at the floor
	tail         []keptEntry          // the entries after the floor
	base         *keptEntry           // the latest configuration up to the floor; nil for none
	config       *keptEntry           // the latest configuration; nil for none
	recentIDs    []ProposalID         // of the last entries, at most DedupWindow, the newest last
	indexes      map[ProposalID]Index // of recentIDs
	repeated     uint64               // proposals that had their index already
}

// New returns a log without entries.
func New(bounds Bounds) *State {
	return &State{bounds: bounds, indexes: map[ProposalID]Index{}}
}

// ID is which log it is; 0 until its first leader has named it.
func (s *State) ID() LogID { return s.id }

// Last is the index of the newest entry; 0 for none.
func (s *State) Last() Index { return s.last }

// Floor is the index up to which entries are no longer kept.
func (s *State) Floor() Index { return s.floor }

// Config is the index of the latest configuration; 0 for none.
func (s *State) Config() Index {
	if s.config == nil {
		return 0
	}
	return s.config.Index
}

// Apply puts a batch's proposals into the log and returns the index of each, for a proposal that is in it already the
// one that it has. One that cannot become an entry gets 0, on all servers alike.
func (s *State) Apply(batch Batch) []Index {
	if s.id == 0 { // two leaders may have named it: the first that is committed holds
		s.id = batch.Log
	}
	indexes := make([]Index, len(batch.Proposals))
	for i, p := range batch.Proposals {
		indexes[i] = s.add(p)
	}
	s.trimTo(batch.Trim)
	s.trimToBounds()
	return indexes
}

// add returns a proposal's index, after it was given one; 0 where it cannot become an entry.
func (s *State) add(p Proposal) Index {
	if p.Check() != nil {
		return 0
	}
	if index, is := s.indexes[p.ID]; is {
		s.repeated++
		return index
	}
	s.last++
	s.keep(Entry{Index: s.last, Proposal: p})
	s.indexes[p.ID] = s.last
	s.recentIDs = append(s.recentIDs, p.ID)
	if len(s.recentIDs) > DedupWindow {
		delete(s.indexes, s.recentIDs[0])
		s.recentIDs = s.recentIDs[1:]
	}
	return s.last
}

// keep puts the next entry at the end of the tail.
func (s *State) keep(e Entry) {
	encoded := encodeEntry(e)
	kept := keptEntry{Entry: e, encoded: encoded, endByte: s.endByte() + uint64(len(encoded))}
	s.tail = append(s.tail, kept)
	if e.Kind == Config {
		s.config = &kept
	}
}

// trimTo drops entries that all nodes have applied, but the last MinEntries.
func (s *State) trimTo(applied Index) {
	applied = min(applied, s.last)
	if applied <= s.floor {
		return
	}
	s.drop(min(int(applied-s.floor), max(0, len(s.tail)-s.bounds.MinEntries)))
}

// trimToBounds drops the oldest entries beyond the bounds.
func (s *State) trimToBounds() {
	over := max(0, len(s.tail)-s.bounds.Entries)
	for over < len(s.tail)-1 && s.tailBytes(over) > uint64(s.bounds.Bytes) {
		over++
	}
	s.drop(over)
}

// tailBytes is the size of the tail without its first entries.
func (s *State) tailBytes(without int) uint64 {
	first := s.tail[without]
	return s.endByte() - first.endByte + uint64(len(first.encoded))
}

// drop removes the oldest entries.
func (s *State) drop(n int) {
	if n == 0 {
		return
	}
	for i := range s.tail[:n] {
		if s.tail[i].Kind == Config {
			kept := s.tail[i]
			s.base = &kept
		}
	}
	s.floor = s.tail[n-1].Index
	s.floorEndByte = s.tail[n-1].endByte
	clear(s.tail[:n]) // else their bodies stay reachable until the slice is copied
	s.tail = s.tail[n:]
}

// endByte is how many bytes all entries have.
func (s *State) endByte() uint64 {
	if len(s.tail) == 0 {
		return s.floorEndByte
	}
	return s.tail[len(s.tail)-1].endByte
}

// endByteAt is how many bytes the entries up to an index have.
func (s *State) endByteAt(index Index) uint64 {
	if index <= s.floor || len(s.tail) == 0 {
		return s.floorEndByte
	}
	return s.tail[min(int(index-s.floor), len(s.tail))-1].endByte
}

// Bytes is how many bytes the kept entries after one index and up to another have, encoded.
func (s *State) Bytes(after, upTo Index) uint64 {
	start := s.endByteAt(after)
	end := s.endByteAt(upTo)
	return end - min(start, end)
}

// EntriesAfter returns encoded entries that follow an index, one at least and more up to a number of bytes, and the
// index of the last; none where there are none yet. kept is false where the entries are no longer kept.
func (s *State) EntriesAfter(after Index, maxBytes int) (encoded []cbor.RawMessage, upTo Index, kept bool) {
	if after < s.floor {
		return nil, 0, false
	}
	if after >= s.last {
		return nil, after, true
	}
	upTo = after
	for _, entry := range s.tail[after-s.floor:] {
		maxBytes -= len(entry.encoded)
		if maxBytes < 0 && len(encoded) > 0 {
			break
		}
		encoded = append(encoded, entry.encoded)
		upTo = entry.Index
	}
	return encoded, upTo, true
}

// Entry returns an entry; false where it is not kept, or not there yet.
func (s *State) Entry(index Index) (Entry, bool) {
	if index <= s.floor || index > s.last {
		return Entry{}, false
	}
	return s.tail[index-s.floor-1].Entry, true
}

// StartingPoint is where a node starts that cannot follow from where it is: an index, and the configuration in force
// there, encoded; nil for none. A fresh node, which has applied nothing, starts at the newest entry. One that is
// behind starts at the floor, so that it gets every purge that is kept.
func (s *State) StartingPoint(fresh bool) (Index, cbor.RawMessage) {
	at := s.floor
	config := s.base
	if fresh {
		at = s.last
		config = s.config
	}
	if config == nil {
		return at, nil
	}
	return at, slices.Clone(config.encoded)
}
