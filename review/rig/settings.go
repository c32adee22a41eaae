//go:build review

package rig

import (
	"encoding/json"
	"strings"
)

// Grade is a service grade of the settings.
type Grade struct {
	Name    string  `json:"name"`
	Benefit float64 `json:"benefit"`
	Effect  string  `json:"effect"`
	Group   string  `json:"group"`
	Hard    float64 `json:"hard_stop_s"`
	Soft    float64 `json:"soft_limit_s"`
	TTL     float64 `json:"key_ttl_s"`
	Late    float64 `json:"late_benefit"`
	Stream  bool    `json:"stream"`
}

// Settings returns the settings of a deployment in cache-aside mode from their parts, as the first message of the
// simulator has them.
func Settings(text string, grades []Grade) map[string]any {
	var s map[string]any
	if err := json.NewDecoder(strings.NewReader(text)).Decode(&s); err != nil {
		panic(err)
	}
	s["service_grades"] = grades
	return s
}

// Kolkata has the figures of kolkata-quiz.
const Kolkata = `{"benefit_basis":"request",
"bounds":{"cancel":true,"conn_idle_s":15.0,"connect_timeout_s":0.1,"cpu_us_per_request":10.0,"cpu_us_per_s":16000,
"max_retry_after_s":0.6,"may_tell":false,"most_legs":3,"open_cap":40000,"probes":true,"retry_after":true,
"second_copies":true,"streams_per_conn":100},
"clients":{"marks_retry":true},"discovery":"push","domain_type":"cache","excess_benefit":0.1,
"failure_domains":["salt-lake"],"family_info":{"mode":"aside","origin_kind":3},
"kinds":["fast","standard","small","origin"],"me":0,"n_instances":1,"round_s":0.005,
"rules":{"ask_within_s":10.0,"cold_from":0.3,"cold_s":8.7,"grace_to_answer_s":0.02,"overload_factor":3.0,
"overload_for_s":1.0,"stop_sending_within_s":0.4},
"scoring_mix":{"whole":0.45,"worst_class":0.4,"worst_tenant":0.0,"worst_window":0.15},
"tariffs":{"connection":0.0,"cross_zone":0.0,"discovery":0.0,"handshake":0.02,"late_fail":0.09,"moves":0.0,
"origin":0.0,"peer":0.01,"probe":0.0071,"waste":0.04},
"telemetry":{"columns":[],"how":"none"},"tenants":[],"tier":0,"tiers":["pack-cache"],"weights":"nominal",
"zone":"salt-lake"}`

// KolkataGrades are the service grades of kolkata-quiz.
func KolkataGrades() []Grade {
	return []Grade{
		{Name: "round-read", Benefit: 1, Effect: "idempotent", Group: "all", Hard: 1.2, Soft: 0.3, TTL: 5, Late: 0.3},
		{Name: "board-read", Benefit: 5, Effect: "idempotent", Group: "all", Hard: 0.5, Soft: 0.25, TTL: 5, Late: 0.3},
		{Name: "pack-read", Benefit: 3, Effect: "idempotent", Group: "all", Hard: 1.0, Soft: 0.5, TTL: 5, Late: 0.25},
		{Name: "answer-submit", Benefit: 8, Effect: "deduplicated", Group: "all", Hard: 0.8, Soft: 0.25, TTL: 0.8, Late: 0.3},
	}
}
