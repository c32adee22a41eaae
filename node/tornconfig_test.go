package node

import (
	"strings"
	"testing"
)

// Guards against accepting a partially written configuration, whose end is missing or consists of zeros. Every prefix
// must be rejected with an error of one line.
func TestTruncatedConfigurationIsRejected(t *testing.T) {
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
				t.Errorf("accepted: %q", text)
			} else if strings.Contains(err.Error(), "\n") {
				t.Errorf("more than one line: %v", err)
			}
		}
	}
	t.Logf("configuration: %d lengths, with and without zeros appended", len(whole))
}
