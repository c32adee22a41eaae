//go:build review

package standins

// Class returns a service grade of the settings.
func Class(name, effect, group string, soft, hard, window, benefit float64) map[string]any {
	return map[string]any{"name": name, "effect": effect, "group": group, "soft_limit_s": soft, "hard_stop_s": hard,
		"key_ttl_s": window, "benefit": benefit, "late_benefit": 0.3, "stream": false}
}

// Settings returns the settings of a small deployment like kolkata-quiz, as WIRE has them.
func Settings(nodes int, classes ...map[string]any) map[string]any {
	return map[string]any{
		"benefit_basis": "request",
		"bounds": map[string]any{"cancel": true, "conn_idle_s": 15.0, "connect_timeout_s": 0.1,
			"cpu_us_per_request": 10.0, "cpu_us_per_s": 16000, "max_retry_after_s": 0.6, "may_tell": false,
			"most_legs": 3, "open_cap": 40000, "probes": true, "retry_after": true, "second_copies": true,
			"streams_per_conn": 100},
		"clients": map[string]any{"marks_retry": true}, "discovery": "push", "domain_type": "cache",
		"excess_benefit": 0.1, "failure_domains": []string{"salt-lake"},
		"family_info": map[string]any{"mode": "aside", "origin_fall_multiple": 2.5, "origin_fall_s": 3.0,
			"origin_kind": 3},
		"kinds": []string{"fast", "standard", "small", "origin"}, "me": 0, "n_instances": nodes, "round_s": 0.005,
		"rules": map[string]any{"ask_within_s": 10.0, "cold_from": 0.3, "cold_s": 8.7, "grace_to_answer_s": 0.02,
			"overload_factor": 3.0, "overload_for_s": 1.0, "stop_sending_within_s": 0.4},
		"service_grades": classes,
		"tariffs":        map[string]any{"handshake": 0.02, "late_fail": 0.09, "peer": 0.01, "probe": 0.0071, "waste": 0.04},
		"telemetry":      map[string]any{"columns": []string{}, "how": "none"}, "tenants": []string{}, "tier": 0,
		"tiers": []string{"pack-cache"}, "weights": "nominal", "zone": "salt-lake",
	}
}

// Jalpaiguri changes settings to those of jalpaiguri-league that the cases touch: its rules, legs and connections. One
// hall, no tenants and no load reports are left of it.
func Jalpaiguri(settings map[string]any) {
	bounds := settings["bounds"].(map[string]any)
	bounds["second_copies"], bounds["most_legs"], bounds["connect_timeout_s"] = false, 5, 0.25
	bounds["streams_per_conn"], bounds["max_retry_after_s"] = 128, 1.5
	rules := settings["rules"].(map[string]any)
	rules["stop_sending_within_s"], rules["overload_factor"], rules["overload_for_s"], rules["cold_s"] = 2.0, 4.0, 3.0, 8.8
	settings["discovery"] = "ask"
}

// Siliguri changes settings to those of siliguri-schools that the cases touch. Load reports are left out.
func Siliguri(settings map[string]any) {
	bounds := settings["bounds"].(map[string]any)
	bounds["probes"], bounds["retry_after"], bounds["most_legs"] = false, false, 5
	bounds["streams_per_conn"], bounds["conn_idle_s"], bounds["max_retry_after_s"] = 32, 30.0, 0.0
	rules := settings["rules"].(map[string]any)
	rules["stop_sending_within_s"], rules["cold_from"], rules["cold_s"] = 0.25, 0.14, 23.0
	rules["overload_factor"], rules["overload_for_s"] = 2.5, 2.0
	settings["discovery"] = "ask"
	settings["family_info"] = map[string]any{"mode": "through", "origin_kind": -1}
}
