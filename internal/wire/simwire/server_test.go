package simwire_test

import (
	"bytes"
	"strings"
	"testing"

	"dahliapin/internal/monotime"
	"dahliapin/internal/proxy/dispatch"
	"dahliapin/internal/wire/simwire"
	"dahliapin/policy"
)

// begin holds the events that start a node with one cache.
const begin = `["begin",7,{"service_grades":[{"name":"read","benefit":1,"effect":"idempotent","soft_limit_s":0.3}],
"unheard_of":{"x":1},"bounds":{"most_legs":3,"second_copies":null},"telemetry":{"columns":["outstanding"]},
"family_info":{"mode":"through"},"round_s":0.005,"zone":"z"}],["ledger",0,[[1,"k","active",null,"z","a:1",0]]],
["fleet","cached",1,0]`

// serve returns the replies to lines of input, with a dispatcher for each node. It removes newlines within a line.
func serve(t *testing.T, lines ...string) (string, error) {
	t.Helper()
	var out, log bytes.Buffer
	for i, l := range lines {
		lines[i] = strings.ReplaceAll(l, "\n", "")
	}
	err := simwire.Serve(strings.NewReader(strings.Join(lines, "\n")+"\n"), &out, &log,
		func(now monotime.Instant, seed int64, rules policy.Settings, w *simwire.Writer) simwire.Node {
			return dispatch.New(now, seed, rules, w)
		})
	return out.String(), err
}

// batch returns a batch of events of node 3 at a time in seconds.
func batch(at, events string) string {
	return `{"t_s":` + at + `,"parts":[{"node_id":3,"news":[` + events + `]}]}`
}

func TestRequestFromArrivalToResponse(t *testing.T) {
	got, err := serve(t, batch("10", begin),
		batch("10.1", `["job_in","id1",null,"read",null,10.6,"key1",null,0]`),
		batch("10.12", `["attempt_end","id1",0,true,"a:1",0,0.02,null,{"outstanding":2}]`),
		batch("10.13", `["attempt_end","id1",0,true,"a:1",0,0.02,null,null],["timed_out_client","id1"],["wake","id1"]`))
	want := `{"parts":[{"node_id":3,"actions":[["timer",0.1,"upkeep"]]}]}
{"parts":[{"node_id":3,"actions":[["place","id1","a:1",10.59],["timer",0.15,"id1"]]}]}
{"parts":[]}
{"parts":[]}
`
	if err != nil || got != want {
		t.Errorf("%v, got\n%s", err, got)
	}
}

func TestInvalidEventsAreIgnored(t *testing.T) {
	got, err := serve(t, batch("10", begin), batch("10.1", `[],["what"],["fleet","odd",1,0],["fleet","delta",2,99],
["job_in",null],["attempt_end","nobody",0,true,"a:1",0,0.1,null,null],["attempt_end","x",77,true,"b",null,1],
["sampled","nowhere",0,0.1,null],["timed_out_client","nobody"],["wake","nobody"],["fleet","failed",null,null]`),
		`{"t_s":10.2,"parts":[{"news":[]},{"node_id":9,"news":[["wake","upkeep"]]}]}`, `{"t_s":10.3,"parts":null}`,
		batch("10.4", `["job_in","id2",null,
"no such class","no such tenant",10.9,null,null,4]`), batch("10.5", `["destroy"]`))
	if err != nil || !strings.Contains(got, `["place","id2","a:1",`) || strings.Count(got, "place") != 1 {
		t.Errorf("%v, got\n%s", err, got)
	}
}

func TestInvalidInputReturnsOneLineError(t *testing.T) {
	for _, line := range []string{"no json", `[1]`, batch("1", `["begin",1,{}]`), batch("1", `["begin",1,null]`)} {
		if _, err := serve(t, line); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", line, err)
		}
	}
}

func TestSpecialCharactersAreEscaped(t *testing.T) {
	got, _ := serve(t, batch("10", begin), batch("10.1", `["job_in","a\"\\\u00e9",null,"read",null,10.6,null,null,0]`))
	if !strings.Contains(got, `["place","a\"\\é","a:1",`) {
		t.Error(got)
	}
}
