package metrics

import "dahliapin/policy"

// Counters holds the counts of events since the start of a node. The struct is flat because each counter is shown to
// operators under its own name. One goroutine writes it; other goroutines may read copies.
type Counters struct {
	// Clients and their requests.
	Clients           uint64 // connections accepted
	Requests          uint64 // requests received
	Malformed         uint64 // commands that could not be parsed, and requests that could not be used
	ClientsGone       uint64 // requests whose client disconnected before the response
	ClientsGoneUnsent uint64 // requests of ClientsGone of which nothing had been sent to a server
	ClientTimeouts    uint64 // connections closed because a command or the reading of responses took too long

	// Responses.
	Satisfied    uint64 // requests answered with a result
	Rejected     uint64 // requests rejected: not executed, or safe to repeat
	Failed       uint64 // requests that failed
	NotAccepted  uint64 // requests refused for lack of capacity or by phase; messages and answers dropped for memory
	AnsweredLate uint64 // requests whose answer, or the end of it, was written after their deadline
	Level        uint64 // current degradation level, not a count; 0 is normal operation
	Shed         uint64 // requests shed by the degradation level

	// Servers and their connections.
	Attempts       uint64                       // attempts started, also those of which nothing was written
	Dials          uint64                       // dials started for attempts and health checks
	Reused         uint64                       // idle connections used for attempts and health checks
	HealthChecks   uint64                       // health checks made
	IdleClosed     uint64                       // connections closed because they were idle
	EvictedConns   uint64                       // idle connections closed to free a descriptor
	ProtocolErrors uint64                       // connections closed for invalid or unrequested data
	ServerFull     uint64                       // new connections that a running server did not accept
	Outcomes       [policy.CacheMiss + 1]uint64 // attempts by their result

	// Discovery.
	EndpointUpdates  uint64 // endpoint lists received
	FailedPolls      uint64 // polls of the endpoint list that failed
	DiscoveryChanges uint64 // changes of the discovery server's address

	// The event loop.
	Stalls             uint64 // iterations that exceeded the stall threshold
	LongestIterationMs uint64 // duration of the longest iteration
}

// outcomeNames are the names under which operators see the results of attempts.
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

// Each calls f for every counter with the name that operators see, always in the same order.
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
	f("reconnects", c.FailedPolls)
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
