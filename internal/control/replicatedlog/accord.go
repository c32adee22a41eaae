// Package accord is the state machine of the fleet's log of changes: numbered entries, purges and configurations, that every node needs
// in order. It does no I/O: a replicated log (raft) feeds it the same batches in the same order on each control machine, and what it
// makes of them depends on nothing else. Reader is the node's side of it.
//
// Invariants: indexes are dense from 1; an id among the last Remembered gets no second index; entries at or below the floor are not
// kept, but the latest configuration among them is; the floor never falls.
package replicatedlog

import (
	"errors"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"dahliapin/internal/keyhash"
)

const (
	MaxKeyBytes       = 250       // bytes of a purged key: the cache protocol's own limit
	MaxConfigBytes    = 256 << 10 // bytes of a configuration
	MaxBatchProposals = 1024      // proposals in one batch: a burst of a thousand is one
	DedupWindow       = 65_536    // ids by which a proposal made again is known: almost two hours at 9.5 a second
	mostPayload       = 40        // bytes of an entry beside its body
)

// Index numbers the entries of the log, from 1 without gaps. It is not the replicated log's own, which also counts entries of its own.
type Index uint64

// ProposalID tells a proposal made again from another one: 128 bits by chance.
type ProposalID [16]byte

// LogID tells one log from another that began anew, after all disks were lost: 64 bits by chance, 0 for not known yet.
type LogID uint64

// Kind is what an entry is.
type Kind uint8

// The kinds of entries.
const (
	Purge  Kind = 1 // the body is a key that caches are no longer to serve
	Config Kind = 2 // the body is a node's configuration
)

func (k Kind) String() string {
	switch k {
	case Purge:
		return "purge"
	case Config:
		return "config"
	}
	return fmt.Sprintf("kind %d", uint8(k))
}

// Proposal is a change that somebody wants in the log.
type Proposal struct {
	ID   ProposalID
	Kind Kind
	Body []byte
}

// ErrProposal says that a proposal can't become an entry.
var ErrProposal = errors.New("not a change that can be published")

// ContentHash is the same for what says the same: by it a judge sees one change ordered twice, whatever its ids.
func (p Proposal) ContentHash() uint64 {
	return keyhash.Salted(keyhash.String(string(p.Body)), int(p.Kind))
}

// Check tells whether a proposal may become an entry.
func (p Proposal) Check() error {
	switch {
	case p.ID == ProposalID{}:
		return fmt.Errorf("%w: it has no id", ErrProposal)
	case p.Kind == Purge && (len(p.Body) == 0 || len(p.Body) > MaxKeyBytes):
		return fmt.Errorf("%w: a key of %d bytes, from 1 to %d can be", ErrProposal, len(p.Body), MaxKeyBytes)
	case p.Kind == Config && (len(p.Body) == 0 || len(p.Body) > MaxConfigBytes):
		return fmt.Errorf("%w: a configuration of %d bytes, from 1 to %d can be", ErrProposal, len(p.Body), MaxConfigBytes)
	case p.Kind != Purge && p.Kind != Config:
		return fmt.Errorf("%w: %v", ErrProposal, p.Kind)
	}
	return nil
}

// Entry is a change with its place in the log.
type Entry struct {
	Index Index
	Proposal
}

// Bounds are how much of the log is kept for nodes that come back.
type Bounds struct {
	Entries    int // at most
	Bytes      int // of them, at most
	MinEntries int // entries kept although all have applied them, for who is just off
}

// DefaultBounds hold more than an hour of 9.5 purges a second.
var DefaultBounds = Bounds{Entries: 65_536, Bytes: 32 << 20, MinEntries: 4096}

// kept is an entry as it is kept: encoded once, for all that follow.
type kept struct {
	Entry
	raw []byte
	end uint64 // bytes of all entries up to this one, since the state began
}

// State is the log as a control machine has it. Who uses it from several goroutines locks it.
type State struct {
	bounds   Bounds
	log      LogID
	last     Index
	floor    Index  // entries up to here are not kept
	floorEnd uint64 // bytes up to there
	base     *kept  // the latest configuration up to the floor; nil for none
	config   *kept  // the latest configuration; nil for none
	tail     []kept
	ids      map[ProposalID]Index
	recent   []ProposalID // of the last entries, the newest last
	repeated uint64       // proposals that had their index already
}

// New is a log without entries.
func New(b Bounds) *State { return &State{bounds: b, ids: map[ProposalID]Index{}} }

// Last is the index of the newest entry, 0 for none; Floor the one up to which entries are not kept any more.
func (s *State) Last() Index  { return s.last }
func (s *State) Floor() Index { return s.floor }

// ID is which log it is; 0 until its first leader has said so.
func (s *State) ID() LogID { return s.log }

// Config is the latest configuration and its index; 0 for none.
func (s *State) Config() Index {
	if s.config == nil {
		return 0
	}
	return s.config.Index
}

// Apply puts a batch's proposals into the log and tells the index of each, also of one that has been there already. One that can't
// become an entry gets 0: all machines see the same of it.
func (s *State) Apply(b Batch) []Index {
	at := make([]Index, len(b.Proposals))
	if s.log == 0 { // the first that is agreed holds
		s.log = b.Log
	}
	for i, p := range b.Proposals {
		if p.Check() != nil {
			continue
		}
		if was, is := s.ids[p.ID]; is {
			s.repeated++
			at[i] = was
			continue
		}
		s.last++
		at[i] = s.last
		s.keep(Entry{s.last, p})
		s.ids[p.ID] = s.last
		if s.recent = append(s.recent, p.ID); len(s.recent) > DedupWindow {
			delete(s.ids, s.recent[0])
			s.recent = s.recent[1:]
		}
	}
	if all := min(b.Trim, s.last); all > s.floor {
		s.cut(min(int(all-s.floor), max(0, len(s.tail)-s.bounds.MinEntries)))
	}
	over := max(0, len(s.tail)-s.bounds.Entries)
	for over < len(s.tail)-1 && s.end()-s.tail[over].end+s.sizeAt(over) > uint64(s.bounds.Bytes) {
		over++
	}
	s.cut(over)
	return at
}

func (s *State) keep(e Entry) {
	k := kept{Entry: e, raw: encodeEntry(e), end: s.end()}
	k.end += uint64(len(k.raw))
	s.tail = append(s.tail, k)
	if e.Kind == Config {
		s.config = &k
	}
}

// cut takes the oldest entries out.
func (s *State) cut(n int) {
	if n == 0 {
		return
	}
	for i := range s.tail[:n] {
		if s.tail[i].Kind == Config {
			k := s.tail[i]
			s.base = &k
		}
	}
	s.floor, s.floorEnd = s.tail[n-1].Index, s.tail[n-1].end
	clear(s.tail[:n])
	s.tail = s.tail[n:]
}

func (s *State) end() uint64 { return s.endAt(s.last) }

// endAt is how many bytes the entries up to an index have.
func (s *State) endAt(i Index) uint64 {
	if i <= s.floor || len(s.tail) == 0 {
		return s.floorEnd
	}
	return s.tail[min(int(i-s.floor), len(s.tail))-1].end
}

func (s *State) sizeAt(i int) uint64 { return uint64(len(s.tail[i].raw)) }

// Bytes is how many bytes the kept entries after one index and up to another have.
func (s *State) Bytes(after, upTo Index) uint64 {
	if a, b := s.endAt(after), s.endAt(upTo); b > a {
		return b - a
	}
	return 0
}

// EntriesAfter hands out encoded entries that follow an index, one at least and more up to a number of bytes; and false where they are not
// kept any more.
func (s *State) EntriesAfter(i Index, bytes int) (raw []cbor.RawMessage, upTo Index, is bool) {
	if i < s.floor {
		return nil, 0, false
	}
	if i >= s.last {
		return nil, i, true
	}
	for _, k := range s.tail[i-s.floor:] {
		if bytes -= len(k.raw); bytes < 0 && len(raw) > 0 {
			break
		}
		raw, i = append(raw, k.raw), k.Index
	}
	return raw, i, true
}

// Entry is one that is kept.
func (s *State) Entry(i Index) (e Entry, is bool) {
	if i <= s.floor || i > s.last {
		return e, false
	}
	return s.tail[i-s.floor-1].Entry, true
}

// StartingPoint is where a node starts that has nothing, or less than is kept: at an index, with the configuration in force there, encoded;
// nil for none. A fresh node starts at the newest entry, one that is behind at the floor, so that it misses no purge that is kept.
func (s *State) StartingPoint(fresh bool) (Index, cbor.RawMessage) {
	at, config := s.floor, s.base
	if fresh {
		at, config = s.last, s.config
	}
	if config == nil {
		return at, nil
	}
	return at, slices.Clone(config.raw)
}
