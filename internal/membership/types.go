// Package members decides who is there: from what each process says of itself and of its neighbours it makes a view, the same at all
// who have heard the same. It has no I/O and takes time as an argument.
//
// Invariants, in this order:
//  1. Nobody is taken out on one observer's word, nor by one who doubts itself, nor while more than half of all are missing.
//  2. Views depend on statements, however they came; what is heard first-hand tells only whose words may be old.
//  3. Whoever is taken out comes back once as many of its neighbours hear it as miss it, for a stated time.
//  4. Of two processes with one name at most one is a member, the same at all.
package membership

import (
	"slices"
	"time"

	"dahliapin/internal/keyhash"
)

type (
	ProcessID   uint64 // drawn anew by each process
	NodeName    string // stays over restarts
	Incarnation uint32 // which process of a node's: each takes the next; 0 for one that has not taken its name
	Revision    uint64 // of what a process says: the highest holds
)

// Bounds of what others may say.
const (
	MaxNameBytes  = 64 // bytes of a node's name
	MaxAddrBytes  = 64 // bytes of an address
	MaxNeighbours = 64 // neighbours in one statement
)

// Statement is all that a process says, of itself and of its neighbours. Only the process itself makes it.
type Statement struct {
	Process     ProcessID
	Node        NodeName
	Incarnation Incarnation
	Revision    Revision
	Addr        string
	Leaving     bool // it ends in order
	YieldsName  bool // its name goes to the next process, which may take it at once
	SelfDoubt   bool // it hears too few of its neighbours to be believed
	Hears       []ProcessID
	Misses      []ProcessID
}

// Heartbeat is a sign of life between neighbours.
type Heartbeat struct {
	Process    ProcessID
	Revision   Revision // of its statement
	Digest     uint64   // of all that members have said, its lower half: two with the same sum have heard the same
	Addr       string
	SelfDoubt  bool
	WantsReply bool // for one in return
}

// Status is what a process is to the fleet.
type Status int

const (
	Joining   Status = iota // heard of; not yet heard by enough
	Alive                   // a member
	Suspected               // a member that some neighbour misses
	Removed                 // taken out: more neighbours miss it than hear it
	Left                    // gone in order
	Forgotten               // forgotten, or another process has its name
)

func (s Status) String() string {
	return [...]string{"joining", "present", "suspected", "cut", "left", "gone"}[s]
}

// Config are the spans by which the book decides, in time that the process has run.
type Config struct {
	HeartbeatInterval time.Duration // between two signs of life to a neighbour
	HeartbeatTimeout  time.Duration // without one, after which a neighbour is missed
	RemovalDelay      time.Duration // that enough must miss it before it is taken out
	RejoinDelay       time.Duration // that enough must hear it before it is taken in again: longer than Misses, or one that hears nobody is in before it doubts itself
	SelfDoubtTimeout  time.Duration // that a neighbour may say that it doubts itself before it is missed
	LoopTimeout       time.Duration // that the loop which serves clients may stand still
	ForgetAfter       time.Duration // after which one that was taken out is forgotten
	ClaimPeriod       time.Duration // that a process looks whether another with its name lives
	MaxMembers        int           // processes known
}

// NewConfig makes terms of a stated pause that a process is to bear, and how often signs of life go out.
//
// A process that stands still for the whole pause, from just before a sign of life was due, has been silent for pause + hello. It is
// missed before that, so that whoever is on the wrong side of a cut has long known it, and taken out after it.
func NewConfig(pause, hello, back, loop, forget time.Duration, most int) Config {
	misses := max(pause-hello*8/5, 2*hello)
	return Config{HeartbeatInterval: hello, HeartbeatTimeout: misses, RemovalDelay: pause + hello - misses + spareToHear, RejoinDelay: back, SelfDoubtTimeout: misses, LoopTimeout: loop, ForgetAfter: forget,
		ClaimPeriod: misses + 2*hello, MaxMembers: most}
}

const (
	spareToHear = 400 * time.Millisecond // that the word of one who is back takes to come round
	neighbours  = 12                     // that each process has at most: six rings, two sides; so many that up to 13 hear one another all
	rings       = neighbours / 2
	wordBy      = 300 * time.Millisecond // for a newer word that a sign of life tells of to come by itself, before it is asked for
	syncApart   = time.Second            // between two calls for all that another has heard
	syncEach    = 5 * time.Millisecond   // more for each process known: it is that much to send
	soonTo      = 32                     // processes, to whom words come within these spans; each time as many take half as long again
	mostGone    = 1024                   // of those forgotten whose last word is kept
	askGoneEach = 2 * time.Second        // between signs of life to one who is not known: a seed, one forgotten
	longestStep = 2                      // signs of life: that between two looks counts as time the process has run
	mostReplies = 32                     // signs of life in return between two looks
)

// Member is what is known of one process.
type Member struct {
	Process     ProcessID
	Node        NodeName
	Incarnation Incarnation
	Addr        string
	Status      Status
	Since       time.Duration // that it has stood so
	Hears       int           // of those who may be believed: who hears it
	Misses      int           // and who misses it
}

// View is who is there, to one process. Nobody changes it.
type View struct {
	Number      uint64 // of changes, at this process
	Mark        uint64 // the same wherever the same nodes are members
	Nodes       []NodeName
	Members     []Member // all that are known, by node and process
	CutOff      bool     // this process is taken out, hears too few, or half the fleet is missing: the view stays as it was
	Own         ProcessID
	Incarnation Incarnation
}

// mark sums up names, in whatever order.
func mark(names []NodeName) (sum uint64) {
	for _, n := range names {
		sum ^= keyhash.String(string(n))
	}
	return sum
}

// valid tells whether a statement keeps the bounds.
func (s *Statement) valid() bool {
	return s.Process != 0 && s.Node != "" && len(s.Node) <= MaxNameBytes && s.Addr != "" && len(s.Addr) <= MaxAddrBytes &&
		len(s.Hears) <= MaxNeighbours && len(s.Misses) <= MaxNeighbours && !slices.Contains(s.Hears, s.Process) && !slices.Contains(s.Misses, s.Process)
}
