// Package policy makes the routing decisions of one node: to which endpoint a request is sent, and when it is retried,
// hedged, queued, rejected or failed. It does no I/O and has no goroutines, clocks or random source of its own: the
// caller passes the time to each call and a seed to New, so that the same calls give the same decisions.
//
// # Use
//
// The caller owns the connections, the timers and the requests. It creates one Router and calls, from one goroutine at
// a time:
//
//   - UpdateEndpoints when the endpoint list has changed, or when a poll for it failed;
//   - Route when a request arrives, at the ReviewAt of its last Decision, and when the Decision of another request
//     names it in Wake;
//   - MayStart before it sends an attempt whose connection took time to open;
//   - OnAttemptDone when an attempt has ended in any way, after it has set the Attempt's Result and cleared InFlight;
//   - OnHealthCheck when a health check that Tick requested has ended;
//   - Tick at the intervals given by its last result; the caller carries out the resulting Actions.
//
// The caller carries out each Decision unchanged: it starts an attempt at each endpoint in SendTo and appends an
// Attempt for it, cancels the attempts in Cancel, and sends the Answer. A request is over once Finished is set and no
// attempt is in flight.
//
// # Path of a request
//
// Route goes through these steps:
//
//  1. request.go: derive the request's class, its priority (lower if it is over its tenant's quota, quota.go) and its
//     shed preference.
//  2. hedge.go: if an attempt is in flight, decide on a hedge or a cancellation. hedgeOrCancel decides every hedge.
//  3. retry.go: otherwise, decide whether another attempt is possible. If not, rejectOrFail answers with a rejection or
//     a failure. All rejections and failures of this package come from rejectOrFail (a node also rejects in
//     degradation.Filter.Admit and in proxy.acceptRequest). Its callers are firstOrRetry (no attempt, time or budget is
//     left), sendToReplica (admission sheds the request, or no cache can take it and it may not go to the origin
//     instead) and sendToOrigin (the request may not go to the origin, or the demand for its key is too low to wait
//     there).
//  4. fetch.go: in cache-aside mode routeToOrigin sends writes and reads that missed to the origin: one read fetches a
//     key while others wait (coalescing.go), within the concurrency limit (origin.go).
//  5. send.go: all other requests go to a cache. replicas.go lists the caches that are responsible for the key and can
//     take the request; selection.go picks one by load, rank and faults; admission.go may shed the request instead.
//
// mayattempt.go checks each attempt before it is sent: whether the endpoint accepts attempts, and whether the request
// may be repeated there.
//
// OnAttemptDone passes the outcome to each component (recordOutcome in outcome.go), then decides on a retry and on the
// waiters to wake.
//
// # State ownership
//
// Each component is a type, in the file given below, and the only writer of its fields. It gets the values of other
// components as arguments, or reads them; several components read the latency tracker's slowThreshold and
// responseTimeout. The state of one endpoint is an upstream (endpoints.go), each of whose fields names the component
// that writes it; all of it is reset when the endpoint's process restarts.
//
//	endpointList        endpoints.go     the endpoint list; the placements derived from it (placement.go)
//	pollSchedule        polling.go       when to poll for the list
//	latencyTracker      latency.go       latency of attempts; when one counts as slow or lost
//	loadEstimator       load.go          requests in flight at each endpoint, own and others' by load reports
//	outlierDetector     outlier.go       failures and errors of each endpoint: which to eject or avoid
//	slowStart           slowstart.go     limits on an endpoint while it warms up
//	popularity          popularity.go    demand for keys: which are hot, which fetch goes first
//	tenantQuotas        quota.go         use of the tenants' quotas
//	admission           admission.go     attempts offered to caches compared with useful ones: what to shed
//	extraAttemptBudget  hedge.go         attempts that may be spent on hedges and retries
//	shortage            shortage.go      how far the origin's capacity falls short of demand
//	originLimit         origin.go        attempts that may be in flight at the origin; backoff from it
//	coalescer           coalescing.go    which request fetches a key, and which wait
//
// Four values describe how short of capacity the origin is. shortage.affinity also measures the cost of misses, and
// rises with it although the origin is not short. The values are read as follows:
//
//   - shortage.share, the fraction of requests that found no capacity at the origin (in read-through mode, of the
//     load offered to the home zone's caches that was not useful): shouldHedge and shouldFanOut, and the two values
//     derived from it;
//   - originLimit.lateShare, the fraction of the origin's answers that were late (originLimit defines late):
//     shortageLevel, and the growth of the origin limit in large fleets;
//   - originLimit.shortageLevel, the larger of share and lateShareWeight times lateShare: lastAttemptAtOrigin, and
//     sendToReplica for the scope of the placement;
//   - shortage.affinity, the larger of share and the cost of misses: leastLoaded, for the weight of a replica's rank.
//
// A change of the endpoint list reaches decisions by UpdateEndpoints and endpointList.update: from then on mayAttempt
// refuses endpoints that drain or have left, and the next lookup rebuilds the placements if the caches or the origin
// have changed.
//
// # Invariants
//
// Four rules hold regardless of what a decision would gain by breaking them:
//
//  1. A request gets exactly one final answer, before its deadline. After Route, a request has a ReviewAt, an
//     attempt in flight or an Answer. AttemptDeadline leaves time to send the answer to the client.
//  2. A request that may have run is not sent again beyond what its class allows, and has at most one attempt in flight
//     unless the settings allow hedges and its class allows repeats. mayAttempt enforces this, except for the attempts
//     of a fan-out, which start at the same time: for these shouldFanOut checks the settings and the class. An endpoint
//     that has an attempt with an idempotency key must not begin to execute it after Decision.ExecuteBy, since the key
//     of a repeat may be forgotten by then.
//  3. An endpoint that drains or has left gets no new attempt. mayAttempt enforces this too, and MayStart checks it
//     again.
//  4. The nodes together do not overload an endpoint that has just started, nor the origin by the misses that follow.
//     slowStart and originLimit enforce this for each node's share, without coordination between nodes.
//
// Tests compare every decision with a reference model of rules 1 to 3 (invariants_test.go).
//
// Decisions are reproducible: hashes over all decisions for recorded seeds are in testdata/decisions.txt and
// testdata/decisions-rejecting.txt. They depend on the order of random draws and on the order of floating-point
// operations, so a change of either changes them. For this reason some random numbers are drawn before conditions that
// would be cheaper to check.
package policy
