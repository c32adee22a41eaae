// Package counters counts what a node takes in, sends and answers.
package metrics

import "dahliapin/policy"

// Counters are counted by one loop; a copy may be read anywhere.
type Counters struct {
	Clients, Requests, Malformed                  uint64 // connections taken, requests taken, commands that were none
	Satisfied, Rejected, Failed                   uint64 // final answers
	RejectedForRoom, ClientsGone, Overdue         uint64 // rejected for want of room; clients that went before the answer, or said nothing whole in time
	Attempts, Dials, Reused, HealthChecks         uint64 // sent; connections opened for them, or used again; caches checked
	EndpointUpdates, Reconnects, DiscoveryChanges uint64 // lists heard; new calls after one that failed; new addresses to call
	IdleClosed, ClosedForRoom, ProtocolErrors     uint64 // connections closed when idle, to make room, for a wrong answer
	Level, Shed                                   uint64 // the service level, 0 for normal, and requests that levels turned away
	ServerFull                                    uint64 // connections that a cache had no room for, though it lives
	ClientsGoneUnsent                             uint64 // of the clients that went, those of whose request nothing had been sent on
	Stalls, LongestIterationMs                    uint64 // iterations of the event loop that took too long; the longest one, in milliseconds
	AnsweredLate                                  uint64 // final answers given after their request's deadline
	Outcomes                                      [policy.CacheMiss + 1]uint64
}

var endings = [policy.CacheMiss + 1]string{policy.Answered: "answered", policy.Errored: "errored",
	policy.Rejected: "turned_away", policy.TimedOut: "timed_out", policy.ConnectFailed: "unconnected",
	policy.ConnectionBroken: "broken", policy.Cancelled: "cancelled", policy.NotSent: "never_sent", policy.CacheMiss: "missed"}

// Each calls f for every counter, always in the same order.
func (c *Counters) Each(f func(name string, n uint64)) {
	for _, row := range []struct {
		name string
		n    uint64
	}{
		{"clients", c.Clients}, {"requests", c.Requests}, {"malformed", c.Malformed},
		{"satisfied", c.Satisfied}, {"rejected", c.Rejected}, {"failed", c.Failed},
		{"crowded", c.RejectedForRoom}, {"left", c.ClientsGone}, {"left_waiting", c.ClientsGoneUnsent}, {"overdue", c.Overdue}, {"legs", c.Attempts}, {"dials", c.Dials}, {"reused", c.Reused},
		{"probes", c.HealthChecks}, {"lists", c.EndpointUpdates}, {"reconnects", c.Reconnects}, {"moves", c.DiscoveryChanges},
		{"idle_closed", c.IdleClosed}, {"room_closed", c.ClosedForRoom}, {"strange", c.ProtocolErrors},
		{"full", c.ServerFull}, {"level", c.Level}, {"shed", c.Shed},
		{"stalls", c.Stalls}, {"longest_iteration_ms", c.LongestIterationMs}, {"answered_late", c.AnsweredLate},
	} {
		f(row.name, row.n)
	}
	for how, n := range c.Outcomes {
		f("legs_"+endings[how], n)
	}
}
