// Package policy decides where requests go. This file holds its interface and id types; policy.go
// decides.
package policy

import (
	"time"

	"dahliapin/internal/monotime"
)

// Instant is a reading of the caller's monotonic clock.
type Instant = monotime.Instant

// Never is an Instant longer ago than any.
const Never = monotime.Never

// The kinds of id. Names are compared and hashed, never read for meaning.
type (
	EndpointID string
	RequestID  string
	ZoneID     string
	GroupID    int64 // caches that remember the same labelled writes
	ClassID    int   // index into HouseRules.Grades; any other value is an unknown grade
	TenantID   int   // index into HouseRules.Leagues; any other value is no league
)

// Idempotency says what a second run of a request would do.
type Idempotency int

// The zero Effect is the strictest, so that whatever is unknown is treated with most care.
const (
	NotIdempotent Idempotency = iota
	IdempotentByKey
	Idempotent
)

// DedupScope says which caches drop repeats of a labelled request.
type DedupScope int

// The zero Scope is the narrowest.
const (
	SameGroup DedupScope = iota
	SameZone
	AllCaches
)

// ServiceClass is one service grade.
type ServiceClass struct {
	PriorityWeight   float64
	LatencyObjective time.Duration
	LateShare        float64 // share of the benefit that an answer after the soft limit still has
	Idempotency      Idempotency
	DedupScope       DedupScope
	DedupWindow      time.Duration // how long repeats of a labelled request are dropped
}

// Tenant is one customer's share.
type Tenant struct {
	QuotaPerSecond float64 // over all nodes; 0 means no quota
}

// Settings is what a deployment states at the start, as far as the decisions read it.
type Settings struct {
	Classes             []ServiceClass
	Tenants             []Tenant
	Zone                ZoneID
	Nodes               int
	CacheAside          bool
	OriginKind          int
	PollEndpoints       bool // the list comes only when asked for
	OverQuotaWeight     float64
	CrossZoneCost       float64 // points off for each leg that crosses zones, as a share of a request
	WasteCost           float64
	MaxAttempts         int
	IdleTimeout         time.Duration // a connection not in use closes after this
	HedgingAllowed      bool
	CancelAllowed       bool
	HealthChecksAllowed bool
	MaxRetryAfter       time.Duration // 0: clients are told no time
	TickInterval        time.Duration
	PollInterval        time.Duration
	SlowStartShare      float64
	SlowStartDuration   time.Duration
	OverloadFactor      float64 // times its capacity that push a cold cache over; 0 if not stated
	QueueColumn         int     // which report value counts those that wait for a core; -1 for none
	InFlightColumn      int     // which report value counts requests in hand; -1 for none
}

// UpdateKind says how a list is to be read.
type UpdateKind int

const (
	DeltaUpdate     UpdateKind = iota // only what changed
	CompleteUpdate                    // all there are
	LastKnownUpdate                   // all that was known before a restart
	PollFailed
)

// Lifecycle is what the list says of a cache.
type Lifecycle int

const (
	Ready Lifecycle = iota
	Draining
	Removed
)

// Endpoint is one line of the list.
type Endpoint struct {
	ID        EndpointID
	Kind      int
	Lifecycle Lifecycle
	StartedAt Instant // when it last started; 0 means long ago
	Zone      ZoneID
	Group     GroupID
	Weight    float64
}

// Result is how a leg ended.
type Result int

const (
	Answered Result = iota
	Errored
	Rejected
	TimedOut
	ConnectFailed
	ConnectionBroken
	Cancelled
	NotSent
	CacheMiss
)

// NotExecuted tells whether this result proves that the leg had no effect.
func (r Result) NotExecuted() bool {
	return r == Rejected || r == ConnectFailed || r == NotSent || r == CacheMiss
}

// Attempt is one sending of a request.
type Attempt struct {
	Endpoint EndpointID
	SentAt   Instant
	InFlight bool
	Result   Result // once it is no longer out
}

// Request is one in hand. The caller fills in the exported fields, appends a Leg for each sending it was
// told to make, and closes the Leg before it tells of the outcome.
type Request struct {
	ID        RequestID
	Key       string
	Class     ClassID
	Tenant    TenantID
	Write     bool
	ArrivedAt Instant
	Deadline  Instant
	Attempts  []Attempt
	Finished  bool // it has had its final answer

	memo memo
}

// Outcome is news of one leg.
type Outcome struct {
	Attempt    int
	Latency    time.Duration
	LoadReport []float64 // the cache's load report, nil when none came
}

// FinalAnswer is what a Move says to the client.
type FinalAnswer int

const (
	NoAnswer FinalAnswer = iota
	Reject
	Fail
)

// Decision is what to do with one request. Several parts may be set at once.
type Decision struct {
	SendTo          []EndpointID  // send a leg to each of these, in order
	AttemptDeadline Instant       // when these legs time out
	Cancel          []int         // call off these legs
	Answer          FinalAnswer   // final answer, if any
	RetryAfter      time.Duration // told to the client with a rejection; 0 for none
	ReviewAt        Instant       // call Where again then, unless it is over; 0 for no need
	Wake            []RequestID   // call Where for these now
}

// ActionKind is a kind of upkeep.
type ActionKind int

const (
	PollEndpoints ActionKind = iota
	CheckHealth
)

// Action is upkeep for the caller to carry out.
type Action struct {
	Kind     ActionKind
	Endpoint EndpointID
}

// EndpointState is how a cache stands with a node.
type EndpointState int

const (
	StateInUse EndpointState = iota
	StateWarmingUp
	StateOverloaded   // its queue would take half of every soft limit
	StateFailing      // some grade avoids it
	StateUnresponsive // it says nothing, or rests after that
	StateUnreachable  // it takes no connection, and its slot counts as dead
	StateDraining     // the list says so
)

func (s EndpointState) String() string {
	return [...]string{"in use", "warming", "crowded", "erring", "quiet", "refusing", "drains"}[s]
}
