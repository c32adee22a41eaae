package report

import (
	"time"

	"dahliapin/internal/emulator/checker"
	"dahliapin/internal/emulator/scenario"
	"dahliapin/internal/emulator/world"
	"dahliapin/internal/proxy/eventlog"
	"dahliapin/policy"
)

// maxRecords is the maximum number of records of a run, which are in memory until the run ends.
const maxRecords = 100_000

// LateArrival is the delay beyond which a client's try counts as sent late.
const LateArrival = 25 * time.Millisecond

// Second counts what happened in one second of a run.
type Second struct {
	Asked          int `json:"asked"`       // first tries of clients
	InTime         int `json:"in_time"`     // first tries satisfied in time, by themselves or by a later try
	Attempts       int `json:"legs"`        // attempts that arrived at a server
	OriginAttempts int `json:"origin_legs"` // those at the origin
	Retries        int `json:"repeats"`     // further tries of clients

	// The following fields are summed over all nodes; no single node knows them.
	Polls     int `json:"list_calls"` // of the endpoint list
	Dials     int `json:"dials"`      // connections begun
	FullDials int `json:"full_dials"` // connections refused by a full server
	Probes    int `json:"probes"`     // health checks
	Misses    int `json:"misses"`     // attempts that missed the cache
	Wasted    int `json:"vain_legs"`  // attempts rejected, failed, broken, timed out or not connected
}

// Counted returns a count by its name in scenarios, one of scenario.CountNames, or 0 for another name.
func (s *Second) Counted(name string) int {
	switch name {
	case "list_calls":
		return s.Polls
	case "dials":
		return s.Dials
	case "full_dials":
		return s.FullDials
	case "probes":
		return s.Probes
	case "misses":
		return s.Misses
	case "origin_legs":
		return s.OriginAttempts
	case "vain_legs":
		return s.Wasted
	}
	return 0
}

// Log collects what happens during a run. The environment of the run sets Late and Views; methods write the other
// fields.
type Log struct {
	startedAt policy.Instant // second 0 of the scenario
	Seconds   []Second
	Attempts  map[policy.EndpointID]uint64 // that arrived, by server
	Records   []eventlog.Event
	Dropped   int // records beyond maxRecords
	Events    []EventLine
	Late      int            // tries sent more than LateArrival late; 0 in virtual time
	TriesSent int            // first and further tries of clients
	Views     *checker.Views // the nodes' membership views; nil if nodes have none
}

// EventLine describes an event of the scenario, with its time since the scenario's start.
type EventLine struct {
	At   policy.Instant `json:"at_ns"`
	What string         `json:"what"`
}

// NewLog returns the log of a run; startedAt is second 0 of the scenario.
func NewLog(s *scenario.Scenario, startedAt policy.Instant) *Log {
	return &Log{
		startedAt: startedAt,
		Seconds:   make([]Second, int(s.Seconds)+1),
		Attempts:  map[policy.EndpointID]uint64{},
	}
}

// Second returns the counts of the second of an instant, or those of the first or last second for an instant outside
// the run.
func (l *Log) Second(at policy.Instant) *Second {
	second := int(at.Since(l.startedAt) / time.Second)
	return &l.Seconds[min(max(0, second), len(l.Seconds)-1)]
}

// RequestSent counts a try of a client.
func (l *Log) RequestSent(at policy.Instant, first bool) {
	l.TriesSent++
	if first {
		l.Second(at).Asked++
	} else {
		l.Second(at).Retries++
	}
}

// InTime counts a request that was satisfied within its latency objective, in the second of its first try.
func (l *Log) InTime(firstSentAt policy.Instant) { l.Second(firstSentAt).InTime++ }

// AttemptArrived counts an attempt that arrived at a server.
func (l *Log) AttemptArrived(at policy.Instant, server policy.EndpointID) {
	l.Attempts[server]++
	second := l.Second(at)
	second.Attempts++
	if server == world.OriginID {
		second.OriginAttempts++
	}
}

// AttemptEnded counts the result of an attempt.
func (l *Log) AttemptEnded(at policy.Instant, result policy.Result) {
	switch result {
	case policy.Answered, policy.Cancelled, policy.NotSent:
	case policy.CacheMiss:
		l.Second(at).Misses++
	default:
		l.Second(at).Wasted++
	}
}

// AddRecord adds an event of a node's or the fleet's event log, up to maxRecords.
func (l *Log) AddRecord(e eventlog.Event) {
	e.At -= l.startedAt
	if len(l.Records) >= maxRecords {
		l.Dropped++
		return
	}
	l.Records = append(l.Records, e)
}

// AddEvent adds a line that describes an event of the scenario.
func (l *Log) AddEvent(at policy.Instant, what string) {
	l.Events = append(l.Events, EventLine{At: at - l.startedAt, What: what})
}
