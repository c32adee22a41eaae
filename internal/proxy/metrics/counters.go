package metrics

import "dahliapin/policy"

// Counters count events since the start of a node. They are one flat list, as each is shown to operators by a name of
// its own. One goroutine writes them; a copy may be read anywhere.
type Counters struct {
	// Clients and their requests.
	Clients           uint64 // connections accepted
	Requests          uint64 // requests received
	Malformed         uint64 // commands that could not be read
	ClientsGone       uint64 // clients that closed before their response
	ClientsGoneUnsent uint64 // of these, those of whose request nothing had been sent to a server
	ClientTimeouts    uint64 // connections that sent no complete request in time

	// Responses.
	Satisfied    uint64 // requests answered with a result
	Rejected     uint64 // requests rejected, which have not run
	Failed       uint64 // requests that failed
	NotAccepted  uint64 // not taken for want of capacity or by phase; commands and responses dropped for memory
	AnsweredLate uint64 // responses after the request's deadline
	Level        uint64 // the degradation level, not a count: 0 is normal operation
	Shed         uint64 // requests rejected by the degradation level

	// Servers and their connections.
	Attempts       uint64                       // attempts sent
	Dials          uint64                       // connections opened for attempts
	Reused         uint64                       // idle connections used for attempts
	HealthChecks   uint64                       // health checks made
	IdleClosed     uint64                       // connections closed as they were idle
	EvictedConns   uint64                       // connections closed to make room for others
	ProtocolErrors uint64                       // connections closed after an answer that breaks the protocol
	ServerFull     uint64                       // connections that a live server had no room for
	Outcomes       [policy.CacheMiss + 1]uint64 // attempts by their result

	// Discovery.
	EndpointUpdates  uint64 // endpoint lists received
	Reconnects       uint64 // polls after one that failed
	DiscoveryChanges uint64 // changes of discovery's address

	// The event loop.
	Stalls             uint64 // iterations that took too long
	LongestIterationMs uint64 // the longest iteration, in milliseconds
}

// outcomeNames are the operators' words for the results of attempts.
var outcomeNames = [policy.CacheMiss + 1]string{
	policy.Answered:         "answered",
	policy.Errored:          "errored",
	policy.Rejected:         "turned_away",
	policy.TimedOut:         "timed_out",
	policy.ConnectFailed:    "unconnected",
	policy.ConnectionBroken: "broken",
	policy.Cancelled:        "cancelled",
	policy.NotSent:          "never_sent",
	policy.CacheMiss:        "missed",
}

// Each calls f for every counter with the operators' name of it, always in the same order.
func (c *Counters) Each(f func(name string, count uint64)) {
	f("clients", c.Clients)
	f("requests", c.Requests)
	f("malformed", c.Malformed)
	f("satisfied", c.Satisfied)
	f("rejected", c.Rejected)
	f("failed", c.Failed)
	f("crowded", c.NotAccepted)
	f("left", c.ClientsGone)
	f("left_waiting", c.ClientsGoneUnsent)
	f("overdue", c.ClientTimeouts)
	f("legs", c.Attempts)
	f("dials", c.Dials)
	f("reused", c.Reused)
	f("probes", c.HealthChecks)
	f("lists", c.EndpointUpdates)
	f("reconnects", c.Reconnects)
	f("moves", c.DiscoveryChanges)
	f("idle_closed", c.IdleClosed)
	f("room_closed", c.EvictedConns)
	f("strange", c.ProtocolErrors)
	f("full", c.ServerFull)
	f("level", c.Level)
	f("shed", c.Shed)
	f("stalls", c.Stalls)
	f("longest_iteration_ms", c.LongestIterationMs)
	f("answered_late", c.AnsweredLate)
	for result, count := range c.Outcomes {
		f("legs_"+outcomeNames[result], count)
	}
}
