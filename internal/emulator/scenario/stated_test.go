package scenario

import (
	"strings"
	"testing"
)

// The settings may state a number of nodes that differs from the number running. Nodes must then use the stated one.
func TestSettingsUseStatedNumberOfNodes(t *testing.T) {
	text := `[fleet]
nodes = 6
%[[grade]]
name = "read"
share = 1
benefit = 1
soft_ms = 100
hard_ms = 500
work_ms = 10
`
	for stated, want := range map[string]int{"": 6, "stated = 0\n": 6, "stated = 4\n": 4, "stated = -1\n": -1} {
		s, err := Parse("s", []byte(strings.Replace(text, "%", stated, 1)))
		if want < 0 {
			if err == nil || !strings.Contains(err.Error(), "fleet.stated") {
				t.Errorf("%q: %v", stated, err)
			}
			continue
		}
		if err != nil {
			t.Fatal(err)
		}
		if decoded, err := s.DecodedSettings("a"); err != nil || decoded.Policy.Nodes != want {
			t.Errorf("%q: the settings have %d nodes (%v), want %d", stated, decoded.Policy.Nodes, err, want)
		}
	}
}
