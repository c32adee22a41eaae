// Package proxy is a node of the router on real sockets: one event loop that accepts clients' requests and sends them
// to endpoints, as package policy decides. Of requests it decides itself only whether it can take one
// (cannotAccept, capDeadline).
//
// # Use
//
// New opens the listeners and starts a node from a Config, Run is its event loop and returns once the node has
// stopped. Shutdown, Standby, Active, SetDiscovery, Counters and Metrics may be called from any goroutine.
//
// # The way of a request
//
//   - Package sockets brings bytes of a client, and onClientData (downstream.go) has the listener's downstreamCodec
//     read a command from them: metaDownstream or httpDownstream.
//   - acceptRequest (requests.go) takes a request in flight, in a slot of its connection's pipeline, and passes it to
//     package dispatch, which asks package policy.
//   - Send (attempts.go) starts an attempt on an idle connection to the endpoint, or dials one (upstream.go). What
//     waits for its connection asks the policy again in startAttempt, as what was allowed may not be any more.
//   - readAttemptResponse has the endpoint's upstreamCodec read the response: metaUpstream, originUpstream or
//     httpUpstream. endAttempt passes the result to the dispatcher, which may start another attempt.
//   - The client gets its answer by completeRequest (pipeline.go), which is called by onAttemptResponse for a served
//     value, and by Reject and Fail for what the dispatcher gives up; or by startStream (response_stream.go), which
//     forwards a long value while it comes in. flushPipeline then writes it, as soon as all commands of the
//     connection before it are answered. So an answer that is late or lost was held up in one of these: AnsweredLate
//     counts those that were completed after their deadline (not streams, nor answers that were completed in time and
//     then waited for the commands before them), LongestIterationMs and Stalls tell whether the loop
//     stood still.
//
// # Who owns which state
//
// All state is the event loop's. Its parts stand in one type each, in the file of the same concern: downstream
// (clients' connections), inflightTable (requests in flight), upstream (connections to endpoints and their idle
// pool), endpointTable (the endpoint list and its watch), lifecycle (phase, drain and standby), takeover,
// metricsPublisher, stallWatch, and taskQueue. Other goroutines reach the loop only by runInLoop; only the metrics
// snapshot is read by them directly. The dispatcher holds what the decisions need of the requests in flight, and
// their timers by SetTimer.
//
// # The endpoint list
//
// endpointTable owns it. readEndpointList (endpoint_watch.go) reads an answer of discovery and applyEndpointList
// (endpoints.go) applies it to the table and, in the same call, passes it to the dispatcher and so to package policy:
// the next decision is by the new list. Events of the list's connection are handled before all others of their batch.
//
// # Shutdown
//
// On SIGTERM the process calls Shutdown, and the loop runs startDrain (drain.go): the phase becomes Draining, by
// which readiness checks fail; a process that took over returns the listeners to its predecessor if that still runs;
// deadlines are capped to the node's end. drainStep then serves what still comes. Once no connection has come for a
// while, it closes those that are idle; the last answer on each says that it closes, where the protocol can. The node
// stops when there is no connection and no request left, or at drainDeadline.
// Run then closes what successors are offered and stops the engine, and node.Serve waits until the events are received,
// leaves the fleet and closes the admin server.
//
// # Invariants
//
//   - Each request that was accepted gets one final answer, or its client's connection ends.
//   - An attempt ends with one result, and the dispatcher gets it after the call in which it ended (deferCall): the
//     dispatcher is not reentrant.
//   - A connection to an endpoint carries one thing at a time. Whatever comes on one that was not asked for closes
//     it, so that no response is taken for another request's.
//   - The loop never waits for a socket, a file or another goroutine. Two things hold it up: awaitEndpointList, which
//     after a stall looks at most maxListReadChecks times whether the list has been read, and the callbacks of Config,
//     which must not block.
//   - What a client or an endpoint sends takes only a part of the memory; the constants that end in Share state
//     which.
package proxy
