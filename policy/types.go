package policy

import (
	"time"

	"dahliapin/internal/monotime"
)

// Instant is a reading of the caller's monotonic clock, in nanoseconds.
type Instant = monotime.Instant

// LongAgo is an Instant before any reading of the clock. It stands for the time of an event that has not happened or
// whose time is unknown.
const LongAgo = monotime.LongAgo

// EndpointID identifies an endpoint. Like all ids it is only compared and hashed, never parsed.
type EndpointID string

// RequestID identifies a request among those that the caller has in flight.
type RequestID string

// ZoneID identifies a zone. An attempt that crosses zones may have a cost (Settings.CrossZoneCost).
type ZoneID string

// GroupID identifies a group of caches that share their record of idempotency keys.
type GroupID int64

// ClassID is an index into Settings.Classes. Any other value is an unknown class, which gets the strictest treatment:
// not idempotent and without priority.
type ClassID int

// TenantID is an index into Settings.Tenants. Any other value is a request without a tenant.
type TenantID int

// Idempotency is the effect of executing a request a second time.
type Idempotency int

// The idempotency levels. NotIdempotent is the zero value, so that an unknown request is never repeated once it may
// have run.
const (
	NotIdempotent   Idempotency = iota // a second execution has a second effect
	IdempotentByKey                    // the caches in DedupScope drop repeats for DedupWindow
	Idempotent                         // repeats are harmless
)

// DedupScope is the set of caches that drop repeats of a request with an idempotency key.
type DedupScope int

// The deduplication scopes. SameGroup is the zero value because it is the narrowest scope.
const (
	SameGroup DedupScope = iota // the caches of the first attempt's group
	SameZone                    // the caches of the first attempt's zone
	AllCaches                   // every cache
)

// ServiceClass describes the requests of one class.
type ServiceClass struct {
	PriorityWeight   float64       // value of an answer within the objective, relative to other classes
	LatencyObjective time.Duration // an answer that takes longer is late
	LateValue        float64       // fraction of its value that a late answer keeps
	Idempotency      Idempotency   // effect of a second execution
	DedupScope       DedupScope    // which caches drop repeats; only read for IdempotentByKey
	DedupWindow      time.Duration // how long repeats are dropped; only read for IdempotentByKey
}

// Tenant describes a customer that may have a request quota.
type Tenant struct {
	QuotaPerSecond float64 // requests per second over all nodes; 0 means no quota
}

// Settings is the configuration that the router reads. It is a flat list because the deployment's settings, which it
// mirrors, are flat.
type Settings struct {
	Classes             []ServiceClass // indexed by ClassID
	Tenants             []Tenant       // indexed by TenantID
	Zone                ZoneID         // the zone of this node
	Nodes               int            // number of nodes that share the traffic; values under 1 count as 1
	CacheAside          bool           // the router sends misses and writes to the origin; else the caches do
	OriginKind          int            // Endpoint.Kind of the origin; only read if CacheAside
	PollEndpoints       bool           // the list has to be polled until its first update; else it is pushed
	OverQuotaWeight     float64        // multiplies the priority weight of requests over their tenant's quota
	CrossZoneCost       float64        // cost of an attempt that crosses zones, as a fraction of a request's value
	WasteCost           float64        // cost of a hedge whose answer isn't used, as a fraction of a request's value
	MaxAttempts         int            // maximum attempts per request; values under 1 count as 1
	IdleTimeout         time.Duration  // an unused connection is closed after this time
	HedgingAllowed      bool           // a request may have several attempts in flight
	CancelAllowed       bool           // an attempt in flight may be cancelled
	HealthChecksAllowed bool           // the caller can carry out CheckHealth
	MaxRetryAfter       time.Duration  // longest Retry-After to send; 0 sends none
	TickInterval        time.Duration  // resolution of the caller's timers; values under 1 ms count as 1 ms
	PollInterval        time.Duration  // time until an unanswered poll is repeated; values under 1 s count as 1 s
	SlowStartShare      float64        // fraction of its capacity that an endpoint has when it starts
	SlowStartDuration   time.Duration  // time from its start after which an endpoint has its full capacity
	OverloadFactor      float64        // multiple of its current capacity at which a cold cache fails; 0 if unknown
	QueueColumn         int            // index into LoadReport of the requests queued for a core; -1 if not reported
	InFlightColumn      int            // index into LoadReport of all requests in flight; -1 if not reported
}

// UpdateKind says how to interpret an update of the endpoint list.
type UpdateKind int

// The kinds of update.
const (
	DeltaUpdate     UpdateKind = iota // only the endpoints that changed
	CompleteUpdate                    // all endpoints
	LastKnownUpdate                   // all endpoints as stored before a restart; the list still has to be polled
	PollFailed                        // a poll failed; there are no entries
)

// Lifecycle is the state of an endpoint in the endpoint list.
type Lifecycle int

// The lifecycle states.
const (
	Ready    Lifecycle = iota // accepts attempts
	Draining                  // finishes its attempts in flight and accepts no new ones
	Removed                   // no longer in the list
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	ID        EndpointID
	Kind      int // compared with Settings.OriginKind
	Lifecycle Lifecycle
	StartedAt Instant // when its process started; 0 means unknown and is read as LongAgo
	Zone      ZoneID
	Group     GroupID
	Weight    float64 // capacity relative to the other endpoints; values of 0 or less count as 1
}

// Result is the result of an attempt.
type Result int

// The results of an attempt.
const (
	Answered         Result = iota // the endpoint sent the response
	Errored                        // the endpoint sent an error
	Rejected                       // the endpoint rejected the attempt because of its load
	TimedOut                       // no response by the attempt's deadline
	ConnectFailed                  // no connection could be opened
	ConnectionBroken               // the connection closed before the response arrived
	Cancelled                      // the caller cancelled the attempt
	NotSent                        // the caller never sent it
	CacheMiss                      // the cache does not hold the key
)

// NotExecuted reports whether the result proves that the endpoint did not execute the request.
func (r Result) NotExecuted() bool {
	return r == Rejected || r == ConnectFailed || r == NotSent || r == CacheMiss
}

// Attempt is a request sent to one endpoint.
type Attempt struct {
	Endpoint EndpointID
	SentAt   Instant
	InFlight bool
	Result   Result // valid once InFlight is false
}

// Request is a request in flight. The caller fills in the exported fields, appends an Attempt for each endpoint that a
// Decision names in SendTo, and sets the Attempt's Result and clears InFlight before it calls OnAttemptDone.
type Request struct {
	ID        RequestID
	Key       string
	Class     ClassID
	Tenant    TenantID
	Write     bool
	ArrivedAt Instant
	Deadline  Instant
	Attempts  []Attempt
	Finished  bool // the client has its final answer or has disconnected

	state requestState // written by Router and coalescer
}

// Outcome describes a completed attempt, in addition to its Result.
type Outcome struct {
	Attempt    int           // index into Request.Attempts
	Latency    time.Duration // from sending to the end
	LoadReport []float64     // the endpoint's load report; nil if there was none
}

// FinalAnswer is an answer that the router itself gives to the client.
type FinalAnswer int

// The answers that the router gives.
const (
	NoAnswer FinalAnswer = iota // no answer yet
	Reject                      // the request is rejected; the client can safely retry it
	Fail                        // the request failed and may have had an effect
)

// Decision is what the caller has to do with a request. Several fields may be set at once. The zero value means that
// there is nothing to do.
type Decision struct {
	SendTo          []EndpointID  // start an attempt at each of these, in order
	AttemptDeadline Instant       // when these attempts time out
	ExecuteBy       Instant       // these endpoints must not begin to execute the request later
	Cancel          []int         // indices of the attempts to cancel
	Answer          FinalAnswer   // final answer, if any
	RetryAfter      time.Duration // sent to the client with a rejection; 0 for none
	ReviewAt        Instant       // call Route again at this time unless the request is finished; 0 for never
	Wake            []RequestID   // call Route for these requests now
}

// ActionKind is the type of an Action.
type ActionKind int

// The kinds of action.
const (
	PollEndpoints ActionKind = iota // request the endpoint list
	CheckHealth                     // check the health of an endpoint
)

// Action is periodic work, returned by Tick, for the caller to carry out.
type Action struct {
	Kind     ActionKind
	Endpoint EndpointID // for CheckHealth
}
