package eventlog

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"dahliapin/internal/golden"
	"dahliapin/policy"
)

func TestEventFormatMatchesGoldenFile(t *testing.T) {
	kinds := []string{
		EndpointListed, EndpointAvoided, EndpointRestored, EndpointDrained, EndpointRemoved, TrialAttempt, LevelChanged,
	}
	var got bytes.Buffer
	for _, kind := range kinds {
		bare := Event{At: policy.Instant(1_500_000_000), Node: "n1", Server: "c1", Kind: kind}
		complete := Event{
			At: policy.Instant(2_500_000_000), Node: "n1", Server: "c1", Kind: kind,
			Reason: "because", Duration: 1200 * time.Millisecond,
		}
		for _, event := range []Event{bare, complete} {
			line, err := json.Marshal(event)
			if err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(&got, "%s\n%s\n", line, event)
		}
	}
	for state := policy.StateInUse; state <= policy.StateDraining; state++ {
		fmt.Fprintln(&got, state)
	}
	golden.Check(t, "records.txt", got.Bytes())
}
