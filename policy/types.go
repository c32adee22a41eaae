// Package policy decides where requests go. This file holds its interface and id types; policy.go
// decides.
package policy

import "time"

// Instant is a reading of the caller's clock in whole nanoseconds. Only differences mean anything.
type Instant int64

// Never is an Instant longer ago than any.
const Never Instant = -1 << 62

// Add returns the instant d later.
func (t Instant) Add(d time.Duration) Instant { return t + Instant(d) }

// Since returns how long after u this instant is.
func (t Instant) Since(u Instant) time.Duration { return time.Duration(t - u) }

// The kinds of id. Names are compared and hashed, never read for meaning.
type (
	CacheID   string
	RequestID string
	ZoneID    string
	GroupID   int64 // caches that remember the same labelled writes
	GradeID   int   // index into HouseRules.Grades; any other value is an unknown grade
	LeagueID  int   // index into HouseRules.Leagues; any other value is no league
)

// Effect says what a second run of a request would do.
type Effect int

// The zero Effect is the strictest, so that whatever is unknown is treated with most care.
const (
	Irreversible Effect = iota
	Labelled
	Idempotent
)

// Scope says which caches drop repeats of a labelled request.
type Scope int

// The zero Scope is the narrowest.
const (
	SameGroup Scope = iota
	SameZone
	AllCaches
)

// Grade is one service grade.
type Grade struct {
	Benefit   float64
	SoftLimit time.Duration
	Late      float64 // share of the benefit that an answer after the soft limit still has
	Effect    Effect
	Scope     Scope
	Window    time.Duration // how long repeats of a labelled request are dropped
}

// League is one customer's share.
type League struct {
	QuotaPerSecond float64 // over all nodes; 0 means no quota
}

// HouseRules is what a deployment states at the start, as far as the decisions read it.
type HouseRules struct {
	Grades         []Grade
	Leagues        []League
	Zone           ZoneID
	Nodes          int
	Aside          bool
	OriginKind     int
	MustAsk        bool // the list comes only when asked for
	ExcessBenefit  float64
	CrossingPrice  float64 // points off for each leg that crosses zones, as a share of a request
	WastePrice     float64
	MostLegs       int
	IdleConnection time.Duration // a connection not in use closes after this
	SecondCopies   bool
	MayCancel      bool
	MayProbe       bool
	MaxComeBack    time.Duration // 0: clients are told no time
	Round          time.Duration
	AskWithin      time.Duration
	ColdFrom       float64
	ColdFor        time.Duration
	FallMultiple   float64 // times its capacity that push a cold cache over; 0 if not stated
	WaitingAt      int     // which report value counts those that wait for a core; -1 for none
	InFlightAt     int     // which report value counts requests in hand; -1 for none
}

// ListForm says how a list is to be read.
type ListForm int

const (
	Changes  ListForm = iota // only what changed
	Whole                    // all there are
	LastHeld                 // all that was known before a restart
	AskFailed
)

// State is what the list says of a cache.
type State int

const (
	Ready State = iota
	Draining
	Gone
)

// Entry is one line of the list.
type Entry struct {
	ID     CacheID
	Kind   int
	State  State
	Born   Instant // when it last started; 0 means long ago
	Zone   ZoneID
	Group  GroupID
	Weight float64
}

// Result is how a leg ended.
type Result int

const (
	Answered Result = iota
	Errored
	TurnedAway
	TimedOut
	Unconnected
	Broken
	Cancelled
	NeverSent
	Missed
)

// NeverRan tells whether this result proves that the leg had no effect.
func (r Result) NeverRan() bool {
	return r == TurnedAway || r == Unconnected || r == NeverSent || r == Missed
}

// Leg is one sending of a request.
type Leg struct {
	To     CacheID
	Sent   Instant
	Out    bool
	Result Result // once it is no longer out
}

// Request is one in hand. The caller fills in the exported fields, appends a Leg for each sending it was
// told to make, and closes the Leg before it tells of the outcome.
type Request struct {
	ID       RequestID
	Key      string
	Grade    GradeID
	League   LeagueID
	Write    bool
	Arrived  Instant
	Deadline Instant
	Legs     []Leg
	Over     bool // it has had its final answer

	memo memo
}

// Outcome is news of one leg.
type Outcome struct {
	Leg    int
	Took   time.Duration
	Report []float64 // the cache's load report, nil when none came
}

// Answer is what a Move says to the client.
type Answer int

const (
	Nothing Answer = iota
	Reject
	Fail
)

// Move is what to do with one request. Several parts may be set at once.
type Move struct {
	To       []CacheID     // send a leg to each of these, in order
	GiveUpAt Instant       // when these legs time out
	Cancel   []int         // call off these legs
	Answer   Answer        // final answer, if any
	ComeBack time.Duration // told to the client with a rejection; 0 for none
	AskAgain Instant       // call Where again then, unless it is over; 0 for no need
	Wake     []RequestID   // call Where for these now
}

// ChoreKind is a kind of upkeep.
type ChoreKind int

const (
	FollowList ChoreKind = iota
	ProbeCache
)

// Chore is upkeep for the caller to carry out.
type Chore struct {
	Kind  ChoreKind
	Cache CacheID
}

// Standing is how a cache stands with a node.
type Standing int

const (
	InUse Standing = iota
	Warming
	Crowded  // its queue would take half of every soft limit
	Erring   // some grade avoids it
	Quiet    // it says nothing, or rests after that
	Refusing // it takes no connection, and its slot counts as dead
	Drains   // the list says so
)

func (s Standing) String() string {
	return [...]string{"in use", "warming", "crowded", "erring", "quiet", "refusing", "drains"}[s]
}
