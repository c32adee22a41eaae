// Package requestids remembers the ids of requests that must not be executed a second time.
//
// A client that has left may send a request again under its id, to the same process or, while a process of a node
// replaces another one, to the other. If an earlier attempt may have been executed, the request must not be attempted
// again unless it is idempotent. Recent holds the ids of requests that have ended. An Exchange makes the ids that one
// process uses known to the other process of its node.
package requestids
