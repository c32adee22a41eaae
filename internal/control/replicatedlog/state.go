package replicatedlog

import (
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// DedupWindow is the number of recent entries whose proposal ids are retained to recognize retried proposals. It covers
// two hours of nine purges per second. Clients retry until their own timeout; that of the operators' tools is half a
// minute.
const DedupWindow = 65_536

// Bounds limits how much of the log is retained for nodes that lag behind.
type Bounds struct {
	Entries    int // maximum number of entries
	Bytes      int // maximum size of the encoded entries; one entry is always retained
	MinEntries int // newest entries that trimTo retains, for nodes whose progress is unknown
}

// DefaultBounds retains as many entries as DedupWindow.
var DefaultBounds = Bounds{Entries: 65_536, Bytes: 32 << 20, MinEntries: 4096}

// retainedEntry is an entry in the log, encoded once for all nodes that receive it.
type retainedEntry struct {
	Entry
	encoded         cbor.RawMessage
	cumulativeBytes uint64 // encoded size of all entries up to and including this one, since the state was created
}

// State is a control server's copy of the log. It is not safe for concurrent use. Only Apply changes it.
type State struct {
	bounds               Bounds
	id                   LogID
	last                 Index                // index of the newest entry; 0 for none
	floor                Index                // entries up to this index are no longer retained
	floorCumulativeBytes uint64               // cumulativeBytes of the entry at the floor
	tail                 []retainedEntry      // the entries after the floor
	base                 *retainedEntry       // the latest configuration up to the floor; nil for none
	config               *retainedEntry       // the latest configuration; nil for none
	recentIDs            []ProposalID         // proposal ids of the last entries, at most DedupWindow, newest last
	indexes              map[ProposalID]Index // index of each id in recentIDs
	repeated             uint64               // number of proposals that already had an index
}

// New returns an empty log.
func New(bounds Bounds) *State {
	return &State{bounds: bounds, indexes: map[ProposalID]Index{}}
}

// ID returns the id of the log; 0 until the first leader has chosen one.
func (s *State) ID() LogID { return s.id }

// Last returns the index of the newest entry; 0 for none.
func (s *State) Last() Index { return s.last }

// Floor returns the index up to which entries are no longer retained.
func (s *State) Floor() Index { return s.floor }

// Config returns the index of the latest configuration; 0 for none.
func (s *State) Config() Index {
	if s.config == nil {
		return 0
	}
	return s.config.Index
}

// Apply appends a batch's proposals to the log and returns the index of each. A proposal whose id is among those of the
// last DedupWindow entries keeps its index. An invalid proposal gets 0, on every server.
func (s *State) Apply(batch Batch) []Index {
	if s.id == 0 { // two leaders may have proposed an id: the one committed first wins
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

// add appends a proposal unless its id is among the recent ones, and returns its index; 0 if the proposal is invalid.
func (s *State) add(p Proposal) Index {
	if p.Check() != nil {
		return 0
	}
	if index, ok := s.indexes[p.ID]; ok {
		s.repeated++
		return index
	}
	s.last++
	s.appendToTail(Entry{Index: s.last, Proposal: p})
	s.indexes[p.ID] = s.last
	s.recentIDs = append(s.recentIDs, p.ID)
	if len(s.recentIDs) > DedupWindow {
		delete(s.indexes, s.recentIDs[0])
		s.recentIDs = s.recentIDs[1:]
	}
	return s.last
}

// appendToTail appends the next entry to the tail.
func (s *State) appendToTail(e Entry) {
	encoded := encodeEntry(e)
	entry := retainedEntry{Entry: e, encoded: encoded, cumulativeBytes: s.totalBytes() + uint64(len(encoded))}
	s.tail = append(s.tail, entry)
	if e.Kind == Config {
		s.config = &entry
	}
}

// trimTo drops entries that all nodes have applied, except for the last MinEntries.
func (s *State) trimTo(applied Index) {
	applied = min(applied, s.last)
	if applied <= s.floor {
		return
	}
	s.drop(min(int(applied-s.floor), max(0, len(s.tail)-s.bounds.MinEntries)))
}

// trimToBounds drops the oldest entries until the log is within its bounds.
func (s *State) trimToBounds() {
	over := max(0, len(s.tail)-s.bounds.Entries)
	for over < len(s.tail)-1 && s.tailBytes(over) > uint64(s.bounds.Bytes) {
		over++
	}
	s.drop(over)
}

// tailBytes returns the encoded size of the tail without its first entries.
func (s *State) tailBytes(without int) uint64 {
	first := s.tail[without]
	return s.totalBytes() - first.cumulativeBytes + uint64(len(first.encoded))
}

// drop removes the n oldest entries, and retains the latest configuration among them as the base.
func (s *State) drop(n int) {
	if n == 0 {
		return
	}
	for i := range s.tail[:n] {
		if s.tail[i].Kind == Config {
			entry := s.tail[i]
			s.base = &entry
		}
	}
	s.floor = s.tail[n-1].Index
	s.floorCumulativeBytes = s.tail[n-1].cumulativeBytes
	clear(s.tail[:n]) // otherwise their bodies stay reachable until the slice is reallocated
	s.tail = s.tail[n:]
}

// totalBytes returns the encoded size of all entries since the state was created.
func (s *State) totalBytes() uint64 {
	if len(s.tail) == 0 {
		return s.floorCumulativeBytes
	}
	return s.tail[len(s.tail)-1].cumulativeBytes
}

// bytesUpTo returns the encoded size of the entries up to an index.
func (s *State) bytesUpTo(index Index) uint64 {
	if index <= s.floor || len(s.tail) == 0 {
		return s.floorCumulativeBytes
	}
	return s.tail[min(int(index-s.floor), len(s.tail))-1].cumulativeBytes
}

// Bytes returns the encoded size of the retained entries after one index and up to another.
func (s *State) Bytes(after, upTo Index) uint64 {
	start := s.bytesUpTo(after)
	end := s.bytesUpTo(upTo)
	return end - min(start, end)
}

// EntriesAfter returns the encoded entries that follow an index, at least one and up to maxBytes, and the index of the
// last one returned. It returns none if there are no newer entries. retained is false if the entries that follow are no
// longer retained.
func (s *State) EntriesAfter(after Index, maxBytes int) (encoded []cbor.RawMessage, upTo Index, retained bool) {
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

// Entry returns an entry; false if it is no longer retained or does not exist yet.
func (s *State) Entry(index Index) (Entry, bool) {
	if index <= s.floor || index > s.last {
		return Entry{}, false
	}
	return s.tail[index-s.floor-1].Entry, true
}

// StartingPoint returns where a node starts if it cannot continue from its last applied entry: an index, and the
// encoded configuration in force there; nil for none. A fresh node, which has applied nothing, starts at the newest
// entry. A node that is behind starts at the floor, so that it gets every retained purge.
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
