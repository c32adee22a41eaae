package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

func testSettings() Settings {
	return Settings{
		Classes: []ServiceClass{
			{PriorityWeight: 1, LatencyObjective: 300 * ms, Idempotency: Idempotent},
			{
				PriorityWeight: 5, LatencyObjective: 250 * ms,
				Idempotency: IdempotentByKey, DedupScope: AllCaches, DedupWindow: 600 * ms,
			},
			{PriorityWeight: 10, LatencyObjective: 250 * ms, Idempotency: NotIdempotent},
			{
				PriorityWeight: 2, LatencyObjective: 250 * ms,
				Idempotency: IdempotentByKey, DedupScope: SameGroup, DedupWindow: 600 * ms,
			},
		},
		Zone:              "here",
		Nodes:             1,
		OriginKind:        9,
		MaxAttempts:       4,
		HedgingAllowed:    true,
		CancelAllowed:     true,
		TickInterval:      5 * ms,
		MaxRetryAfter:     time.Second,
		PollInterval:      10 * time.Second,
		SlowStartShare:    0.3,
		SlowStartDuration: 8 * time.Second,
		InFlightColumn:    -1,
		QueueColumn:       -1,
	}
}

// The classes of testSettings.
const (
	readClass          ClassID = iota // idempotent
	keyedClass                        // idempotent by key at all caches
	notIdempotentClass                // not idempotent
	keyedInGroupClass                 // idempotent by key in the first attempt's group
)

// testFleet returns n caches in the home zone, and an origin if cacheAside is set.
func testFleet(n int, cacheAside bool) (endpoints []Endpoint) {
	for i := range n {
		id := EndpointID(fmt.Sprintf("cache-%d", i))
		endpoints = append(endpoints, Endpoint{ID: id, Zone: "here", Group: GroupID(i % 2), Weight: 1})
	}
	if cacheAside {
		endpoints = append(endpoints, Endpoint{ID: "origin", Kind: 9, Zone: "here", Weight: 1})
	}
	return endpoints
}

// harness acts as the caller of a Router: it carries out decisions and compares each of them with the reference model.
// It calls t.Helper only before a failure, since it runs a few million steps.
type harness struct {
	t          *testing.T
	router     *Router
	settings   Settings
	now        Instant
	listed     map[EndpointID]Endpoint
	requests   []*Request
	reviews    map[*Request]Instant // when to call Route again
	deadlines  map[*Request]Instant // when the attempts of the last decision time out
	loadReport []float64            // load report of every endpoint
}

func newHarness(t *testing.T, settings Settings, endpoints []Endpoint) *harness {
	h := &harness{
		t:         t,
		router:    New(0, 1, settings),
		settings:  settings,
		listed:    map[EndpointID]Endpoint{},
		reviews:   map[*Request]Instant{},
		deadlines: map[*Request]Instant{},
	}
	h.update(LastKnownUpdate, endpoints...)
	return h
}

// newReadThroughHarness returns a harness with twelve caches and no origin.
func newReadThroughHarness(t *testing.T) *harness {
	return newHarness(t, testSettings(), testFleet(12, false))
}

// newCacheAsideHarness returns a harness with twelve caches and an origin, without hedging.
func newCacheAsideHarness(t *testing.T) *harness {
	settings := testSettings()
	settings.CacheAside = true
	settings.HedgingAllowed = false
	return newHarness(t, settings, testFleet(12, true))
}

func (h *harness) update(kind UpdateKind, endpoints ...Endpoint) {
	for _, e := range endpoints {
		h.listed[e.ID] = e
	}
	h.router.UpdateEndpoints(h.now, kind, endpoints)
}

// cache returns the router's state of an endpoint.
func (h *harness) cache(id EndpointID) *upstream {
	return h.router.endpoints.byID[id]
}

// arrive routes a new request and carries out the decision.
func (h *harness) arrive(key string, class ClassID, write bool) (*Request, Decision) {
	r := &Request{
		ID:        RequestID(fmt.Sprint("r", len(h.requests))),
		Key:       key,
		Class:     class,
		Write:     write,
		ArrivedAt: h.now,
		Deadline:  h.now.Add(800 * ms),
	}
	h.requests = append(h.requests, r)
	return r, h.apply(r, h.router.Route(h.now, r))
}

// end completes an attempt and carries out the resulting decision.
func (h *harness) end(r *Request, attempt int, result Result) Decision {
	r.Attempts[attempt].InFlight = false
	r.Attempts[attempt].Result = result
	r.Finished = r.Finished || result == Answered
	latency := h.now.Since(r.Attempts[attempt].SentAt)
	outcome := Outcome{Attempt: attempt, Latency: latency, LoadReport: h.loadReport}
	return h.apply(r, h.router.OnAttemptDone(h.now, r, outcome))
}

// endLast completes the latest attempt of a request.
func (h *harness) endLast(r *Request, result Result) Decision {
	return h.end(r, len(r.Attempts)-1, result)
}

// drive routes n reads at intervals. Each gets a single attempt, which ends with what result returns for it. drive
// returns the number of attempts by endpoint and in total.
func (h *harness) drive(
	n int, interval time.Duration, key func(int) string, result func(int, EndpointID) Result,
) (byEndpoint map[EndpointID]int, total int) {
	byEndpoint = map[EndpointID]int{}
	for i := range n {
		r, decision := h.arrive(key(i), readClass, false)
		h.advance(interval)
		if len(decision.SendTo) == 0 {
			continue
		}
		byEndpoint[decision.SendTo[0]]++
		total++
		r.Finished = true
		if r.Attempts[0].InFlight {
			h.end(r, 0, result(i, decision.SendTo[0]))
		}
	}
	return byEndpoint, total
}

func sameKey(int) string       { return "k" }
func distinctKey(i int) string { return fmt.Sprint("key", i) }
func always(result Result) func(int, EndpointID) Result {
	return func(int, EndpointID) Result { return result }
}

// apply carries out a decision and checks it against the reference model.
func (h *harness) apply(r *Request, decision Decision) Decision {
	delete(h.reviews, r)
	if decision.Answer != NoAnswer {
		if !modelAllowsAnswer(h.settings, r, decision.Answer) || r.Finished {
			h.t.Helper()
			h.t.Fatalf("%v: the model forbids answer %v after attempts %v", h.now, decision.Answer, r.Attempts)
		}
		r.Finished = true
	}
	for _, id := range decision.SendTo {
		if !modelAllowsAttempt(h.settings, h.listed, h.now, r, id) {
			h.t.Helper()
			h.t.Fatalf("%v: the model forbids an attempt at %v after attempts %v", h.now, id, r.Attempts)
		}
		if executeBy := modelExecuteBy(h.settings, h.now, r); decision.ExecuteBy > executeBy {
			h.t.Helper()
			h.t.Fatalf("%v: an attempt may be executed until %v, the model allows it until %v after attempts %v", h.now,
				decision.ExecuteBy, executeBy, r.Attempts)
		}
		r.Attempts = append(r.Attempts, Attempt{Endpoint: id, SentAt: h.now, InFlight: true})
		h.deadlines[r] = decision.AttemptDeadline
	}
	if decision.ReviewAt != 0 {
		h.reviews[r] = decision.ReviewAt
	}
	for _, i := range decision.Cancel {
		if r.Attempts[i].InFlight {
			h.end(r, i, Cancelled)
		}
	}
	for _, id := range decision.Wake {
		i := slices.IndexFunc(h.requests, func(other *Request) bool { return other.ID == id })
		if i >= 0 && !h.requests[i].Finished {
			h.apply(h.requests[i], h.router.Route(h.now, h.requests[i]))
		}
	}
	return decision
}

// advance moves time forward by timer steps. It reviews requests and times out attempts when due, and fails the test if
// a request has no answer at its deadline.
func (h *harness) advance(d time.Duration) {
	for end := h.now.Add(d); h.now < end; {
		h.now = h.now.Add(h.settings.TickInterval)
		if h.now%Instant(tickPeriod) == 0 {
			h.router.Tick(h.now)
		}
		for _, r := range h.requests {
			h.advanceRequest(r)
		}
	}
}

func (h *harness) advanceRequest(r *Request) {
	for i := range r.Attempts {
		if r.Attempts[i].InFlight && h.now >= h.deadlines[r] {
			h.end(r, i, TimedOut)
		}
	}
	if at, ok := h.reviews[r]; ok && h.now >= at && !r.Finished {
		h.apply(r, h.router.Route(h.now, r))
	}
	if !r.Finished && h.now >= r.Deadline {
		h.t.Helper()
		h.t.Fatalf("%v: request %v has no answer at its deadline, attempts %v", h.now, r.ID, r.Attempts)
	}
}

// replicasOf returns the replicas of a key for a new read.
func replicasOf(router *Router, key string) (ids []EndpointID) {
	r := &Request{Key: key, Deadline: 1e12}
	router.initState(0, r)
	for _, u := range router.replicas(0, r, homeZone) {
		ids = append(ids, u.ID)
	}
	return ids
}

// newZonedHarness returns a harness with three zones of twenty caches, the first of which is the home zone, and a cost
// for crossing zones, along with its endpoints.
func newZonedHarness(t *testing.T) (*harness, []Endpoint) {
	settings := testSettings()
	settings.CacheAside = true
	settings.CrossZoneCost = 0.2
	settings.OverloadFactor = 3
	endpoints := testFleet(60, true)
	for i := range endpoints[:60] {
		endpoints[i].Zone = []ZoneID{"here", "there", "far"}[i%3]
	}
	return newHarness(t, settings, endpoints), endpoints
}

// openAdmission returns an admission controller that sheds nothing.
func openAdmission() admissionController {
	return admissionController{offered: admissionWindow, useful: admissionWindow}
}
