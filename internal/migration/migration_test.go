package migration

import (
	"strings"
	"testing"

	"dahliapin/node"
)

const pool = `{"name":"n1","listen":"10.1.2.3:11211","discovery":"127.0.0.1:1","seed":"a1","extra":7,"known":{"instances":[]},
"settings":{"service_grades":[{"name":"read","effect":"idempotent","benefit":1,"soft_limit_s":0.5,"hard_stop_s":1}],
"bounds":{"streams_per_conn":100,"cancel":true},"rules":{"cold_s":8.7},"zone":"salt-lake","failure_domains":["salt-lake"],"n_instances":2}}`

// What an operator has to fill in, and what was lost, must be said; what is said twice over must come out alike.
func TestAPoolsConfigurationBecomesAClientProcesss(t *testing.T) {
	text, remarks, err := Turn([]byte(pool))
	if err != nil {
		t.Fatal(err)
	}
	var said strings.Builder
	for _, r := range remarks {
		said.WriteString(r.String() + "\n")
	}
	for _, key := range []string{"name", "seed", "extra", "known", "listen", "settings.n_instances", "settings.failure_domains",
		"settings.tariffs.cross_zone", "settings.rules.overload_factor"} {
		if !strings.Contains("\n"+said.String(), "\n"+key+": ") {
			t.Errorf("nothing is said of %s:\n%s", key, said.String())
		}
	}
	for _, part := range []string{`"listen":"127.0.0.1:11211"`, `"streams_per_conn":1`, `"extra":7`, `"cold_s":8.7`} {
		if !strings.Contains(string(text), part) {
			t.Errorf("%s is not in %s", part, text)
		}
	}
	if strings.Contains(string(text), "known") {
		t.Error("the list of the old fleet went along")
	}
	if _, err := node.ParsePosting(text); err != nil {
		t.Errorf("a node can't use it: %v", err)
	}
	if again, _, err := Turn(text); err != nil || string(again) != string(text) {
		t.Errorf("turned again it is another: %s %v", again, err)
	}
	if same, _, _ := Turn([]byte(pool)); string(same) != string(text) {
		t.Error("the same file came out as two")
	}
}

func TestWhatIsNoConfigurationIsRefused(t *testing.T) {
	for _, bad := range []string{"", "[]", "{", `{"settings":{}}`, `{"settings":[]}`, `{"listen":"127.0.0.1:1"}`} {
		if _, _, err := Turn([]byte(bad)); err == nil {
			t.Errorf("%q was turned", bad)
		}
	}
}
