package policy

import (
	"time"

	"dahliapin/internal/monotime"
)

// Instant is a reading of the caller's monotonic clock, in nanoseconds.
type Instant = monotime.Instant

// LongAgo is an Instant before any reading. It stands for the time of what hasn't happened, or happened at an unknown
// time.
const LongAgo = monotime.LongAgo

// EndpointID names an endpoint. Like all ids it is compared and hashed, never parsed.
type EndpointID string

// RequestID names a request among those that the caller has in flight.
type RequestID string

// ZoneID names a zone; attempts between zones may cost something (Settings.CrossZoneCost).
type ZoneID string

// GroupID numbers a group of caches that share their memory of idempotency keys.
type GroupID int64

// ClassID is an index into Settings.Classes. Any other value is an unknown class, which is treated as the strictest.
type ClassID int

// TenantID is an index into Settings.Tenants. Any other value is a request without a tenant.
type TenantID int

// Idempotency says what a second execution of a request would do.
type Idempotency int

// NotIdempotent is the zero value, so that an unknown request is never repeated once it may have run.
const (
	NotIdempotent   Idempotency = iota // a second execution has a second effect
	IdempotentByKey                    // repeats are dropped within DedupScope and DedupWindow
	Idempotent                         // repeats are harmless
)

// DedupScope says which caches drop repeats of a request that has an idempotency key.
type DedupScope int

// SameGroup is the zero value, since it is the narrowest scope.
const (
	SameGroup DedupScope = iota // the caches of the first attempt's group
	SameZone                    // the caches of the first attempt's zone
	AllCaches                   // every cache
)

// ServiceClass describes the requests of one class.
type ServiceClass struct {
	PriorityWeight   float64       // value of an answer in time, relative to other classes
	LatencyObjective time.Duration // an answer after this is late
	LateValue        float64       // share of the priority weight that a late answer still has
	Idempotency      Idempotency   // what a second execution would do
	DedupScope       DedupScope    // which caches drop repeats; only read for IdempotentByKey
	DedupWindow      time.Duration // how long repeats are dropped; only read for IdempotentByKey
}

// Tenant describes one customer.
type Tenant struct {
	QuotaPerSecond float64 // requests per second over all nodes; 0 means no quota
}

// Settings is what a deployment states at the start, as far as decisions read it. It is one flat list
// since it mirrors the deployment's settings, which are flat.
type Settings struct {
	Classes             []ServiceClass // indexed by ClassID
	Tenants             []Tenant       // indexed by TenantID
	Zone                ZoneID         // the zone of this node
	Nodes               int            // nodes that share the traffic; values under 1 count as 1
	CacheAside          bool           // misses and writes go to the origin through the router; else through the caches
	OriginKind          int            // Endpoint.Kind of the origin; only read if CacheAside
	PollEndpoints       bool           // the endpoint list is sent only on request
	OverQuotaWeight     float64        // factor on the priority weight of requests over their tenant's quota
	CrossZoneCost       float64        // cost of an attempt that crosses zones, as a share of a request's value
	WasteCost           float64        // cost of a hedge whose answer isn't used, as a share of a request's value
	MaxAttempts         int            // attempts per request; values under 1 count as 1
	IdleTimeout         time.Duration  // a connection that is unused for this long is closed
	HedgingAllowed      bool           // a request may have several attempts in flight
	CancelAllowed       bool           // an attempt in flight may be cancelled
	HealthChecksAllowed bool           // the caller can carry out CheckHealth
	MaxRetryAfter       time.Duration  // longest Retry-After; 0 means that no client gets one
	TickInterval        time.Duration  // resolution of the caller's timers; values under 1 ms count as 1 ms
	PollInterval        time.Duration  // time between polls; values under 1 s count as 1 s
	SlowStartShare      float64        // share of its capacity that an endpoint has right after its start
	SlowStartDuration   time.Duration  // time from its start after which an endpoint has its full capacity
	OverloadFactor      float64        // multiple of its capacity that makes a cold cache fail; 0 if not stated
	QueueColumn         int            // index into LoadReport of the requests that wait for a core; -1 for none
	InFlightColumn      int            // index into LoadReport of all requests in flight; -1 for none
}

// UpdateKind says how an update of the endpoint list is to be read.
type UpdateKind int

// The kinds of update.
const (
	DeltaUpdate     UpdateKind = iota // the endpoints that changed
	CompleteUpdate                    // all endpoints
	LastKnownUpdate                   // all endpoints as stored before a restart; the list is still to be polled
	PollFailed                        // a poll got no answer; there are no entries
)

// Lifecycle is the state of an endpoint in the list.
type Lifecycle int

// The states of an endpoint in the list.
const (
	Ready    Lifecycle = iota // it takes attempts
	Draining                  // it finishes what it has and takes no more
	Removed                   // it has left the list
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	ID        EndpointID
	Kind      int // compared with Settings.OriginKind
	Lifecycle Lifecycle
	StartedAt Instant // when its process started; 0 means unknown and counts as long ago
	Zone      ZoneID
	Group     GroupID
	Weight    float64 // its capacity relative to others'; 0 or less counts as 1
}

// Result is how an attempt ended.
type Result int

// The results of an attempt.
const (
	Answered         Result = iota // the endpoint sent the response
	Errored                        // the endpoint sent an error
	Rejected                       // the endpoint shed the attempt
	TimedOut                       // no response until the attempt's deadline
	ConnectFailed                  // no connection could be opened
	ConnectionBroken               // the connection closed before a response
	Cancelled                      // the caller cancelled the attempt
	NotSent                        // the caller never sent it, for whatever reason
	CacheMiss                      // the cache doesn't have the key
)

// NotExecuted reports whether the result proves that the attempt had no effect.
func (r Result) NotExecuted() bool {
	return r == Rejected || r == ConnectFailed || r == NotSent || r == CacheMiss
}

// Attempt is one sending of a request to one endpoint.
type Attempt struct {
	Endpoint EndpointID
	SentAt   Instant
	InFlight bool
	Result   Result // valid once InFlight is false
}

// Request is a request in flight. The caller fills in the exported fields, appends an Attempt for each endpoint that
// a Decision names in SendTo, and closes the Attempt before it calls OnAttemptDone.
type Request struct {
	ID        RequestID
	Key       string
	Class     ClassID
	Tenant    TenantID
	Write     bool
	ArrivedAt Instant
	Deadline  Instant
	Attempts  []Attempt
	Finished  bool // the client has its final answer, or is gone

	state requestState // written by the Router on the first Route
}

// Outcome says how the attempt with an index ended, beside its Result.
type Outcome struct {
	Attempt    int           // index into Request.Attempts
	Latency    time.Duration // from sending to the end
	LoadReport []float64     // the endpoint's load report; nil if there was none
}

// FinalAnswer is what the router itself answers to the client.
type FinalAnswer int

// The answers that a router gives.
const (
	NoAnswer FinalAnswer = iota // none yet
	Reject                      // the request can be repeated without harm
	Fail                        // the request may have had an effect
)

// Decision is what to do with one request. Several parts may be set at once; the zero value means nothing to do.
type Decision struct {
	SendTo          []EndpointID  // start an attempt at each of these, in order
	AttemptDeadline Instant       // when these attempts time out
	Cancel          []int         // indices of the attempts to cancel
	Answer          FinalAnswer   // final answer, if any
	RetryAfter      time.Duration // sent to the client with a rejection; 0 for none
	ReviewAt        Instant       // call Route again then, unless the request is finished; 0 for no need
	Wake            []RequestID   // call Route for these requests now
}

// ActionKind is a kind of Action.
type ActionKind int

// The kinds of action.
const (
	PollEndpoints ActionKind = iota // request the endpoint list
	CheckHealth                     // check the health of an endpoint
)

// Action is periodic work for the caller to carry out, as returned by Tick.
type Action struct {
	Kind     ActionKind
	Endpoint EndpointID // for CheckHealth
}
