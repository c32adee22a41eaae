// Package controlclient is the client of control servers for operators' tools: Client.Publish has purges and
// configurations ordered in the replicated log, and Client.Overview returns the progress of each node, control server
// and cache.
//
// # Publishing
//
// A Proposal gets its random id once (NewProposal) and keeps it through all retries. Control servers assign one index
// to an id, however often and at whichever server it is proposed, so a client may ask a second server while the first
// one does not answer: no proposal is ordered twice. Publish returns indexes only once the entries are on disk at a
// majority of the voters. An error does not mean that the proposals were not ordered. Publishing the same proposals
// again is safe until replicatedlog.DedupWindow further entries have been ordered. After that a proposal that was
// ordered becomes a second entry, and an old configuration may come into force again.
//
// # Overview
//
// All servers are asked in parallel, because each has current reports only of its own followers and gets those of other
// servers with a delay. The newest report on each node, server and cache is used. A server that does not answer in time
// is left out.
//
// # Concurrency
//
// A Client has no state: it opens a stream for each request, and may be used by several goroutines.
package controlclient
