package node

import (
	"strings"
	"testing"
)

// A configuration, with the last endpoint list in it, was written in part when the node read it: its end is missing, or
// is zeros. No part may be taken for the whole, and the operator is told in one line.
func TestAConfigurationThatLostItsEndIsRefused(t *testing.T) {
	const lastList = `"known":{"generation":3,"instances":[{"instanceId":"a","hostPort":"127.0.0.1:3"}]}`
	whole := strings.Replace(testConfig, `"limits"`, lastList+`,"limits"`, 1)
	if _, err := ParseConfig([]byte(whole)); err != nil {
		t.Fatal(err)
	}
	for size := range len(whole) {
		zeros := strings.Repeat("\x00", len(whole)-size)
		for _, text := range []string{whole[:size], whole[:size] + zeros} {
			_, err := ParseConfig([]byte(text))
			if err == nil {
				t.Errorf("taken: %q", text)
			} else if strings.Contains(err.Error(), "\n") {
				t.Errorf("more than a line: %v", err)
			}
		}
	}
	t.Logf("configuration: %d lengths, with and without zeros behind", len(whole))
}
