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

func TestRecordsAreWrittenAsRecorded(t *testing.T) {
	var got bytes.Buffer
	for _, what := range []string{EndpointListed, EndpointAvoided, EndpointRestored, EndpointDrained, EndpointRemoved, TrialAttempt, LevelChanged} {
		for _, e := range []Event{{At: policy.Instant(1_500_000_000), Node: "n1", Server: "c1", Kind: what},
			{At: policy.Instant(2_500_000_000), Node: "n1", Server: "c1", Kind: what, Reason: "because", Duration: 1200 * time.Millisecond}} {
			line, err := json.Marshal(e)
			if err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(&got, "%s\n%s\n", line, e)
		}
	}
	for s := policy.StateInUse; s <= policy.StateDraining; s++ {
		fmt.Fprintln(&got, s)
	}
	golden.Check(t, "records.txt", got.Bytes())
}
