// Package controlclient is what operators' tools use to speak with control servers: Client.Publish has purges and
// configurations ordered in the replicated log, Client.Overview says which node, control server and cache has applied
// what.
//
// # Publishing
//
// A Proposal gets its random id once (NewProposal) and keeps it through all retries. Control servers give an id one
// index, however often and at whichever of them it is proposed, so that a client may ask a second server while the
// first one is silent: nothing is ordered twice. Publish returns indexes only once the entries are on disk at a
// majority of the voting control servers. An error does not say that the changes were not ordered, and publishing the
// same proposals again is safe.
//
// # Overview
//
// All servers are asked at once, since each knows at first hand only of the nodes that follow it and hears of the
// others with delay. Of each node, server and cache the newest report counts. A server that does not answer in time
// is left out.
//
// A Client has no state: it opens a stream for each question, and may be used from several goroutines.
package controlclient
