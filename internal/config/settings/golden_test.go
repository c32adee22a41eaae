package settings

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/valyala/fastjson"

	"dahliapin/internal/golden"
)

// allSettings has every settings key that is read, each with a distinct value.
const allSettings = `{"service_grades":[
{"name":"look","benefit":1.5,"effect":"idempotent","group":"all","soft_limit_s":0.31,"hard_stop_s":1.21,
"key_ttl_s":4.5,"late_benefit":0.25},
{"name":"put","benefit":8,"effect":"deduplicated","group":"zone","soft_limit_s":0.26,"hard_stop_s":0.81,
"key_ttl_s":0.75},
{"name":"pay","benefit":3,"effect":"at_most_once","group":"cell","soft_limit_s":0.5,"hard_stop_s":2.5}],
"tenants":[{"name":"north","quota_rps":40.5},{"name":"south"}],"kinds":["cache","base"],"zone":"west","n_instances":17,
"excess_benefit":0.125,"discovery":"ask","round_s":0.004,"tariffs":{"cross_zone":0.02,"waste":0.05},
"family_info":{"mode":"aside","origin_kind":1},
"bounds":{"most_legs":4,"conn_idle_s":12.5,"second_copies":true,"cancel":true,"probes":true,
"retry_after":true,"max_retry_after_s":0.7,"connect_timeout_s":0.15},
"rules":{"ask_within_s":2.25,"cold_from":0.35,"cold_s":9,"overload_factor":2.5},
"telemetry":{"columns":["busy","backlog","outstanding"]}}`

func TestDecodedSettingsMatchGoldenFile(t *testing.T) {
	var got strings.Builder
	for _, text := range []string{allSettings, `{"service_grades":[{"name":"only","soft_limit_s":0.1}]}`} {
		s, err := Decode(fastjson.MustParse(text))
		if err != nil {
			t.Fatal(err)
		}
		printSettings(&got, &s)
	}
	for _, text := range []string{
		`{}`,
		`{"service_grades":[{"name":"a","benefit":-1}]}`,
		`{"service_grades":[{}],"bounds":3}`,
		`{"service_grades":[{}],"n_instances":1.5}`,
		`{"service_grades":[{}],"bounds":{"cancel":"yes"}}`,
		`{"service_grades":{}}`,
	} {
		_, err := Decode(fastjson.MustParse(text))
		fmt.Fprintln(&got, err)
	}
	golden.Check(t, "settings.txt", []byte(got.String()))
}

func printSettings(out io.Writer, s *Settings) {
	p := &s.Policy
	for _, c := range p.Classes {
		fmt.Fprintln(out, "class", c.PriorityWeight, c.LatencyObjective, c.LateValue, int(c.Idempotency),
			int(c.DedupScope), c.DedupWindow)
	}
	for _, tenant := range p.Tenants {
		fmt.Fprintln(out, "tenant", tenant.QuotaPerSecond)
	}
	fmt.Fprintln(out, p.Zone, p.Nodes, p.CacheAside, p.OriginKind, p.PollEndpoints, p.OverQuotaWeight,
		p.CrossZoneCost, p.WasteCost, p.MaxAttempts, p.IdleTimeout, p.HedgingAllowed, p.CancelAllowed,
		p.HealthChecksAllowed, p.MaxRetryAfter, p.TickInterval, p.PollInterval, p.SlowStartShare,
		p.SlowStartDuration, p.OverloadFactor, p.QueueColumn, p.InFlightColumn)
	fmt.Fprintln(out, s.ConnectTimeout, s.Deadlines, s.LongestDeadline)

	names := &s.Names
	fmt.Fprintln(out, names.Class([]byte("put")), names.Class([]byte("none")), names.Tenant([]byte("south")),
		names.Tenant(nil), names.Kind([]byte("base")), names.Kind([]byte("x")))
	fmt.Fprintln(out, names.LoadReport(func(column string) (float64, bool) {
		return float64(len(column)), column != "missing"
	}))
}
