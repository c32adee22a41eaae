package simwire_test

import (
	"testing"

	"dahliapin/internal/golden"
)

// goldenBegin holds the events that start a node with settings of every kind and give it an endpoint list.
const goldenBegin = `["begin",7,{"service_grades":[{"name":"read","benefit":1,"effect":"idempotent","soft_limit_s":0.3,
"hard_stop_s":0.8},
{"name":"put","benefit":2,"effect":"deduplicated","group":"all","soft_limit_s":0.3,"key_ttl_s":4}],
"bounds":{"most_legs":3,"second_copies":true,"cancel":true,"probes":true,"retry_after":true,
"max_retry_after_s":0.6},
"telemetry":{"columns":["outstanding"]},
"kinds":["cache","base"],"family_info":{"mode":"aside","origin_kind":1},"round_s":0.005,"zone":"z",
"discovery":"ask","n_instances":2,
"rules":{"cold_from":0.3,"cold_s":5,"ask_within_s":2}}],
["ledger",0,[[1,"cache","active",null,"z","a:1",0],
[1,"cache","active",null,"z","a:2",0],
[1,"cache","active",null,"y","a:3",1],
[1,"base","active",null,"z","o:1",0]]],
["fleet","cached",1,0]`

// The replies to a node, from its start to its end, with every kind of event.
func TestRepliesMatchGoldenFile(t *testing.T) {
	got, err := serve(t, batch("10", goldenBegin),
		batch("10.1", `["job_in","id1",null,"read",null,10.6,"key1",null,0],
["job_in","id2",null,"put",null,10.9,"key2",null,4],
["job_in","id3",null,"read",null,10.9,"key3",null,0]`),
		batch("10.11", `["attempt_end","id1",8,false,"a:1",0,0.01,null,{"outstanding":2}],
["established","id3"],
["wake","upkeep"]`),
		batch("10.2", `["wake","upkeep"],
["wake","id1"],
["wake","id2"]`),
		batch("10.25", `["attempt_end","id2",3,false,"o:1",0,0.15,null,null]`),
		batch("10.3", `["timed_out_client","id3"],
["sampled","a:1",4,0.1,null],
["inbox",null],
["fleet","failed",null,null],
["wake","upkeep"]`),
		batch("10.4", `["ledger",1,[[2,"cache","leaving",null,"z","a:1",0],
[1,"cache","left",null,"z","a:2",0],
[1,"cache","odd",10.3,"z","a:4",0],[1]]],
["fleet","delta",2,1],
["wake","upkeep"]`),
		batch("10.5", `["job_in","id4",null,"read","none",11.1,"key1",null,0],
["job_in","id5",null,"none",null,11.1,"key1",null,0]`),
		batch("11.5", `["wake","id4"],
["wake","id5"],
["wake","upkeep"]`),
		batch("11.9", `["fleet","full",3,0],
["wake","upkeep"],
["destroy"]`))
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "replies.txt", []byte(got))
}
