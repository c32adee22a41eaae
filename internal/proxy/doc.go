// Package proxy implements a node of the router on real sockets: one event loop that accepts requests from clients and
// sends them to endpoints, as package policy decides. No routing decision is made here. The node only refuses requests
// that it cannot accept (acceptRequest), sheds load by service class (package degradation), and drops attempts whose
// client has disconnected (clientDisconnected).
//
// # Use
//
// New opens the listeners and starts a node from a Config. Run is its event loop and returns once the node has stopped.
// Shutdown, Standby, Activate, SetDiscovery, Counters and Metrics may be called from any goroutine.
//
// # Path of a request
//
//   - Package sockets delivers a client's data. onClientData (downstream.go) has the listener's downstreamCodec parse
//     commands from it: metaDownstream or httpDownstream.
//   - acceptRequest (requests.go) registers the request as in flight, in a slot of its connection's pipeline, and
//     passes it to package dispatch, which asks package policy.
//   - Send (attempts.go) starts an attempt on an idle connection to the endpoint, or dials one (upstream.go). For an
//     attempt that waited for its connection, startAttempt asks the policy again, because it may no longer be allowed.
//   - readAttemptResponse has the endpoint's upstreamCodec parse the response: metaUpstream, originUpstream or
//     httpUpstream. endAttempt passes the result to the dispatcher, which may start another attempt.
//   - The client gets its answer from completeRequest (pipeline.go). onAttemptResponse calls it with a value to serve;
//     Reject and Fail call it if the dispatcher gives up on the request. A long value is forwarded while it is being
//     received, by startStream (response_stream.go). flushPipeline writes the answer once all earlier commands of the
//     connection have been answered.
//
// An answer that is late or missing was delayed in one of these steps. The counter AnsweredLate counts the answers that
// flushPipeline wrote after the deadline of their request, including those that had to wait for the answers to earlier
// commands, and streams whose end was late. LongestIterationMs and Stalls show whether an iteration of the event loop
// took long. Commands from other goroutines run between the iterations and are not timed.
//
// # State and ownership
//
// All state belongs to the event loop. Each part is one type, in the file of the same concern: downstream (client
// connections), inflightTable (requests in flight), upstream (connections to endpoints and the pool of idle ones),
// endpointTable (the endpoint list and its watch), lifecycle (phase, drain and standby), takeover, metricsPublisher,
// stallDetector, and taskQueue. Other goroutines reach the loop only through runInLoop and runCommand; the only state
// that they read directly is the metrics snapshot and, once the loop has ended, the counters. The dispatcher holds what
// decisions need to know about the requests in flight, and sets their timers with SetTimer.
//
// # Endpoint list
//
// endpointTable owns the list. readEndpointList (endpoint_watch.go) parses an answer of discovery. applyEndpointList
// (endpoints.go) applies it to the table and, in the same call, passes it to the dispatcher and so to package policy:
// the next decision uses the new list. Events of the list's connection are handled before all others of their batch.
//
// A process that takes over applies its predecessor's list (inherited_endpoints.go), at first and after each change,
// and serves only once it has that or its own from discovery. A list of an older version than the newest received may
// only make the node send less (endpoint_history.go).
//
// # Request ids
//
// A request that is not idempotent is refused if another one with its id is in flight or may have run (requests.go).
// While two processes of a node run, each claims the ids of such requests (request_exchange.go).
//
// # Shutdown
//
// On SIGTERM the process calls Shutdown, and the loop runs startDrain (drain.go). The phase becomes Draining, which
// makes readiness checks fail. A process that took over leaves new connections to its predecessor again if that is
// still running. Deadlines are capped, so that every request is answered before the node stops. Requests that still
// arrive are served. drainStep checks repeatedly whether idle connections may be closed: once no connection has arrived
// for a while, or at once if another process accepts the connections. The last answer on each connection announces the
// close, if the protocol supports that. The node stops when no connection and no request is left, or at drainDeadline.
// After drainDeadline it still waits for answers that it has begun to write, as long as they get on (delivery.go): the
// process manager may kill the process later than that, and the answers may be complete by then.
//
// Run then closes the handover offer and stops the engine, and node.Serve waits until OnEvent of node.Config has
// received the events of the event log, leaves the fleet and closes the admin server.
//
// # Invariants
//
//   - Each accepted request gets one final answer, or its client's connection ends.
//   - An attempt ends with one result, which the dispatcher gets after the call in which the attempt ended (deferCall):
//     the dispatcher is not reentrant.
//   - A connection to an endpoint serves one purpose at a time. It is closed when unrequested data arrives on it, so
//     that no response is taken for another request's.
//   - In normal operation the loop does not wait for a socket, a file or another goroutine, except to write log lines.
//     It can be delayed by awaitEndpointList, which after a stall checks at most maxListReadChecks times whether the
//     list has been read; by the callbacks of Config, which must not block; by a takeover, whose calls of package
//     handover use the handover socket and its file; and by BlockLoop, with which rehearsals simulate a hang.
//   - Data from clients and endpoints takes at most a part of the memory limit, as given by incompleteRequestDivisor,
//     incompleteResponseDivisor, bufferedDivisor and readAheadDivisor.
package proxy
