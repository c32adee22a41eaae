package settings

import (
	"fmt"
	"strings"
	"testing"

	"github.com/valyala/fastjson"

	"dahliapin/internal/golden"
)

// every key of the settings that is read, each with a value of its own
const allSettings = `{"service_grades":[
{"name":"look","benefit":1.5,"effect":"idempotent","group":"all","soft_limit_s":0.31,"hard_stop_s":1.21,"key_ttl_s":4.5,"late_benefit":0.25},
{"name":"put","benefit":8,"effect":"deduplicated","group":"zone","soft_limit_s":0.26,"hard_stop_s":0.81,"key_ttl_s":0.75},
{"name":"pay","benefit":3,"effect":"at_most_once","group":"cell","soft_limit_s":0.5,"hard_stop_s":2.5}],
"tenants":[{"name":"north","quota_rps":40.5},{"name":"south"}],"kinds":["cache","base"],"zone":"west","n_instances":17,
"excess_benefit":0.125,"discovery":"ask","round_s":0.004,"tariffs":{"cross_zone":0.02,"waste":0.05},
"family_info":{"mode":"aside","origin_kind":1},
"bounds":{"most_legs":4,"conn_idle_s":12.5,"second_copies":true,"cancel":true,"probes":true,"retry_after":true,"max_retry_after_s":0.7,"connect_timeout_s":0.15},
"rules":{"ask_within_s":2.25,"cold_from":0.35,"cold_s":9,"overload_factor":2.5},
"telemetry":{"columns":["busy","backlog","outstanding"]}}`

func TestSettingsAreDecodedAsRecorded(t *testing.T) {
	var got strings.Builder
	for _, text := range []string{allSettings, `{"service_grades":[{"name":"only","soft_limit_s":0.1}]}`} {
		s, err := Decode(fastjson.MustParse(text))
		if err != nil {
			t.Fatal(err)
		}
		r := &s.Policy
		for _, g := range r.Classes {
			fmt.Fprintln(&got, "class", g.PriorityWeight, g.LatencyObjective, g.LateShare, int(g.Idempotency), int(g.DedupScope), g.DedupWindow)
		}
		for _, l := range r.Tenants {
			fmt.Fprintln(&got, "tenant", l.QuotaPerSecond)
		}
		fmt.Fprintln(&got, r.Zone, r.Nodes, r.CacheAside, r.OriginKind, r.PollEndpoints, r.OverQuotaWeight, r.CrossZoneCost, r.WasteCost, r.MaxAttempts,
			r.IdleTimeout, r.HedgingAllowed, r.CancelAllowed, r.HealthChecksAllowed, r.MaxRetryAfter, r.TickInterval, r.PollInterval, r.SlowStartShare, r.SlowStartDuration,
			r.OverloadFactor, r.QueueColumn, r.InFlightColumn)
		fmt.Fprintln(&got, s.ConnectTimeout, s.Deadlines, s.LongestDeadline)
		n := &s.Names
		fmt.Fprintln(&got, n.Class([]byte("put")), n.Class([]byte("none")), n.Tenant([]byte("south")), n.Tenant(nil), n.Kind([]byte("base")), n.Kind([]byte("x")))
		fmt.Fprintln(&got, n.LoadReport(func(column string) (float64, bool) { return float64(len(column)), column != "missing" }))
	}
	for _, text := range []string{`{}`, `{"service_grades":[{"name":"a","benefit":-1}]}`, `{"service_grades":[{}],"bounds":3}`,
		`{"service_grades":[{}],"n_instances":1.5}`, `{"service_grades":[{}],"bounds":{"cancel":"yes"}}`, `{"service_grades":{}}`} {
		_, err := Decode(fastjson.MustParse(text))
		fmt.Fprintln(&got, err)
	}
	golden.Check(t, "settings.txt", []byte(got.String()))
}
