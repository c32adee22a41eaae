package migration

import (
	"slices"
	"strings"

	"github.com/valyala/fastjson"
)

// knownKeys holds the known keys of each object in a configuration, by the object's path.
var knownKeys = map[string][]string{
	"": {"name", "listen", "discovery", "seed", "limits", "settings", "known"},
	"limits": {
		"memory_mb", "sockets",
	},
	"settings": {
		"benefit_basis", "bounds", "clients", "discovery", "domain_type", "excess_benefit", "failure_domains",
		"family_info", "kinds", "me", "n_instances", "round_s", "rules", "scoring_mix", "service_grades", "tariffs",
		"telemetry", "tenants", "tier", "tiers", "weights", "zone",
	},
	"settings.bounds": {
		"cancel", "conn_idle_s", "connect_timeout_s", "cpu_us_per_request", "cpu_us_per_s", "max_retry_after_s",
		"may_tell", "most_legs", "open_cap", "probes", "retry_after", "second_copies", "streams_per_conn",
	},
	"settings.rules": {
		"ask_within_s", "cold_from", "cold_s", "grace_to_answer_s", "overload_factor", "overload_for_s",
		"stop_sending_within_s",
	},
	"settings.tariffs": {
		"connection", "cross_zone", "discovery", "fleet", "handshake", "late_fail", "moves", "origin", "peer", "probe",
		"waste",
	},
}

// unknownKeys returns a remark for each key within an object that is not in knownKeys. Such keys are kept unchanged.
func unknownKeys(path string, object *fastjson.Value) []Remark {
	var remarks []Remark
	object.GetObject().Visit(func(key []byte, value *fastjson.Value) {
		valuePath := strings.TrimPrefix(path+"."+string(key), ".")
		if !slices.Contains(knownKeys[path], string(key)) {
			remarks = append(remarks, Remark{Key: valuePath, Reason: "unknown key, kept unchanged"})
			return
		}
		if knownKeys[valuePath] != nil && value.Type() == fastjson.TypeObject {
			remarks = append(remarks, unknownKeys(valuePath, value)...)
		}
	})
	return remarks
}
