package migration

import (
	"strings"
	"testing"

	"dahliapin/node"
)

const pool = `{"name":"n1","listen":"10.1.2.3:11211","discovery":"127.0.0.1:1","seed":"a1","extra":7,"known":{"instances":[]},
"settings":{"service_grades":[{"name":"read"}],"bounds":null,"rules":{"cold_s":8.7,"colds":1},"zone":"z","n_instances":2}}`

// What an operator has to fill in, and what was lost, must be said; nothing else may change, and nothing twice.
func TestAPoolsConfigurationBecomesAClientProcesss(t *testing.T) {
	text, remarks, err := Turn([]byte(pool))
	const want = `{"name":"n1","listen":"127.0.0.1:11211","discovery":"127.0.0.1:1","seed":"a1","extra":7,"settings":{"service_grades":[{"name":` +
		`"read"}],"bounds":{"streams_per_conn":1},"rules":{"cold_s":8.7,"colds":1},"zone":"z","n_instances":2,"failure_domains":["z"]}}` + "\n"
	var said []string
	for _, r := range remarks {
		said = append(said, r.Key)
	}
	if keys := strings.Join(said, " "); err != nil || string(text) != want || keys != "extra settings.rules.colds name seed listen known "+
		"settings.n_instances settings.failure_domains settings.tariffs.cross_zone settings.rules.overload_factor" {
		t.Errorf("%s, %s, %v", text, keys, err)
	}
	if again, _, err := Turn(text); err != nil || string(again) != want {
		t.Errorf("turned again it is another: %s %v", again, err)
	}
	if _, err := node.ParsePosting(text); err != nil {
		t.Errorf("a node can't use it: %v", err)
	}
	for _, bad := range []string{"", "[]", "{", `{"settings":{}}`, `{"settings":[]}`, `{"listen":"127.0.0.1:1"}`,
		strings.Replace(pool, `"bounds":null`, `"bounds":5`, 1)} {
		if _, _, err := Turn([]byte(bad)); err == nil {
			t.Errorf("%q was turned", bad)
		}
	}
}
