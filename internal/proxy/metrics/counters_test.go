package metrics

import (
	"bytes"
	"fmt"
	"testing"

	"dahliapin/internal/golden"
)

func TestCounterNamesMatchGoldenFile(t *testing.T) {
	var got bytes.Buffer
	c := Counters{}
	c.Each(func(name string, n uint64) { fmt.Fprintln(&got, name, n) })
	golden.Check(t, "names.txt", got.Bytes())
}

// A counter shown under the name of another one would mislead operators. Each counter is set to a different value, so
// that a mix-up is detected.
func TestEachCounterIsShownUnderItsOwnName(t *testing.T) {
	c := Counters{
		Clients: 1, Requests: 2, Malformed: 3, Satisfied: 4, Rejected: 5, Failed: 6, NotAccepted: 7, ClientsGone: 8,
		ClientsGoneUnsent: 9, ClientTimeouts: 10, Attempts: 11, Dials: 12, Reused: 13, HealthChecks: 14,
		EndpointUpdates: 15, FailedPolls: 16, DiscoveryChanges: 17, IdleClosed: 18, EvictedConns: 19,
		ProtocolErrors: 20, ServerFull: 21, Level: 22, Shed: 23, Stalls: 24, LongestIterationMs: 25, AnsweredLate: 26,
	}
	for i := range c.Outcomes {
		c.Outcomes[i] = uint64(100 + i)
	}
	var got bytes.Buffer
	c.Each(func(name string, count uint64) { fmt.Fprintln(&got, name, count) })
	golden.Check(t, "values.txt", got.Bytes())
}
