// Package policy makes the routing decisions of one node: which endpoint a request is sent to, when it is retried,
// hedged, made to wait, rejected or failed. It does no I/O and has no goroutines, clocks or random source of its own:
// the caller passes the time to each call and a seed to New, so that the same calls give the same decisions.
//
// # Use
//
// The caller keeps the connections, the timers and the requests. It makes one Router and calls, from one goroutine at a
// time:
//
//   - UpdateEndpoints when the endpoint list has changed, or when a poll for it failed;
//   - Route when a request arrives, at the time that the last Decision gave as ReviewAt, and when another request's
//     Decision names it in Wake;
//   - MayStart before it sends an attempt whose connection took time to open;
//   - OnAttemptDone when an attempt has ended in any way, after it has closed the Attempt;
//   - OnHealthCheck when a health check that Tick requested has ended;
//   - Tick at the intervals that Tick returns; it carries out the Actions.
//
// It carries out each Decision unchanged: it starts the attempts of SendTo and appends an Attempt for each, cancels
// those of Cancel, and sends the Answer. A request is over once Finished is set and no attempt is in flight.
//
// # The way of a request
//
// Route asks, in this order:
//
//  1. request.go: what is known of the request: its class, its priority (lower if it is over its tenant's quota,
//     quota.go) and how readily it is shed.
//  2. hedge.go: if an attempt is in flight, is a hedge or a cancellation due? hedgeOrCancel decides every hedge.
//  3. retry.go: else, is another attempt worth it? If not, giveUp answers with a rejection or a failure. No
//     rejection or failure of this package comes from elsewhere (a node also rejects in degradation.Filter.Admit and
//     in proxy.acceptRequest). It is called by firstOrRetry (no attempt, time or budget is left), by
//     sendToReplica (admission sheds the request, or all queues are full) and by sendToOrigin (the origin may not be
//     asked, or the request isn't worth a wait there).
//  4. fetch.go: in cache-aside mode routeToOrigin sends writes and reads that missed to the origin: one read fetches a
//     key while others wait (coalescing.go), within the concurrency limit (origin.go).
//  5. send.go: all else goes to a cache. replicas.go lists the caches that hold the key and can take it; selection.go
//     picks one by load, rank and faults; admission.go may shed the request instead.
//
// mayattempt.go checks each attempt: what is safe to repeat, and which endpoints take attempts at all.
//
// OnAttemptDone has learn (outcome.go) hand the outcome to each part, then decides on a retry and on whom to wake.
//
// # Who owns which state
//
// Each part is a type in a file of its own and the only writer of its fields. What it needs of another part it gets as
// an argument or reads; the latency tracker's slow and patience are read by several. What is known of one endpoint is
// an upstream (endpoints.go), each of whose fields names the part that writes it; all of it is reset when the
// endpoint's process restarts.
//
//	endpointList        endpoints.go     the endpoint list; the placements that follow from it (placement.go)
//	pollSchedule        polling.go       when to poll for the list
//	latencyTracker      latency.go       how long attempts take; when one is slow or lost
//	loadEstimator       load.go          requests in flight at each endpoint, own and others' by load reports
//	outlierDetector     outlier.go       failures and errors of each endpoint: whom to eject or avoid
//	slowStart           slowstart.go     what an endpoint may get while it warms up
//	popularity          popularity.go    demand for keys: which are hot, which fetch goes first
//	tenantQuotas        quota.go         use of the tenants' quotas
//	admission           admission.go     attempts offered to caches against useful ones: what to shed
//	extraAttemptBudget  hedge.go         attempts that may be spent on hedges and retries
//	shortage            shortage.go      how far the origin falls short of what is asked of it
//	originLimit         origin.go        attempts that may be in flight at the origin; backoff from it
//	coalescer           coalescing.go    who fetches a key, and who waits
//
// Four figures, each 0 for not at all, say how short the origin is of capacity. What reads which:
//
//   - shortage.share, the share of requests that found no capacity at the origin (in read-through mode, of attempts
//     that are lost): shouldHedge and fansOut, and the two figures made from it;
//   - originLimit.lateShare, the share of late answers of the origin: shortageLevel alone;
//   - originLimit.shortageLevel, the larger of share and latePressure times lateShare: lastAttemptAtOrigin, and
//     sendToReplica for the scope of the placement;
//   - shortage.affinity, the larger of share and the cost of misses: leastLoaded, for the weight of a replica's rank.
//
// A change of the endpoint list reaches decisions by UpdateEndpoints and endpointList.update: from then on mayAttempt
// refuses endpoints that drain or have left, and the next lookup builds the placements anew if the set has changed.
//
// # Invariants
//
// Four rules hold whatever a decision would gain by breaking them:
//
//  1. A request gets exactly one final answer, before its deadline. Route never leaves one without a ReviewAt, an
//     attempt in flight or an Answer, and AttemptDeadline is early enough for the answer to be sent on.
//  2. A request that may have run is not sent again beyond what its class allows, and has one attempt in flight unless
//     the settings allow hedges. mayAttempt holds this.
//  3. An endpoint that drains or has left gets no new attempt. mayAttempt holds this too, and MayStart asks it again.
//  4. An endpoint that has just started isn't made to fail by all nodes together, nor the origin by the misses that
//     follow. slowStart and originLimit hold this for each node's share, without coordination between nodes.
//
// Tests hold every decision against a plain model of rules 1 to 3 (invariants_test.go).
//
// Decisions are reproducible: hashes over all decisions for recorded seeds are in testdata/decisions.txt. They depend
// on the order of draws of chance and on the order of operations on floating-point numbers, so a change of either
// changes them. Some draws come before conditions that would be cheaper to check; they keep their place for that
// reason.
package policy
