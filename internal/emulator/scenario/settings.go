package scenario

import (
	"cmp"
	"encoding/json"
	"fmt"

	"github.com/pelletier/go-toml/v2"
	"github.com/valyala/fastjson"

	"dahliapin/internal/config/listeners"
	"dahliapin/internal/config/settings"
	"dahliapin/internal/emulator/client"
)

// Settings returns the configuration of a node in this deployment.
func (s *Scenario) Settings(zone string) json.RawMessage {
	effect := map[string]string{"idempotent": "idempotent", "labelled": "deduplicated", "irreversible": "irreversible"}
	var grades []map[string]any
	for _, g := range s.Classes {
		grades = append(grades, map[string]any{"name": g.Name, "benefit": g.Benefit, "effect": effect[g.Effect],
			"group": g.Scope, "soft_limit_s": g.SoftMs / 1000, "hard_stop_s": g.HardMs / 1000, "key_ttl_s": g.WindowS})
	}
	a := &s.Allowed
	settings := map[string]any{
		"service_grades": grades, "zone": zone, "n_instances": cmp.Or(s.Fleet.Stated, s.Fleet.Nodes),
		"round_s": 0.002, "excess_benefit": 1,
		"kinds":       []string{"cache", "origin"},
		"family_info": map[string]any{"mode": a.Mode, "origin_kind": 1},
		"bounds": map[string]any{"most_legs": a.MaxAttempts, "second_copies": a.Hedging, "cancel": a.Cancel,
			"probes": a.Probes, "retry_after": a.RetryAfterMs > 0, "max_retry_after_s": a.RetryAfterMs / 1000,
			"conn_idle_s": s.Fleet.IdleS, "connect_timeout_s": a.ConnectMs / 1000},
		"rules": map[string]any{"cold_from": s.Fleet.ColdFrom, "cold_s": s.Fleet.ColdS,
			"overload_factor": s.Fleet.FallMultiple, "overload_for_s": s.Fleet.FallS,
			"stop_sending_within_s": a.GraceMs / 1000},
		"tariffs": map[string]any{"waste": a.WastePrice, "cross_zone": 0},
	}
	if s.Fleet.Reports {
		settings["telemetry"] = map[string]any{"columns": []string{"outstanding"}}
	}
	text, err := json.Marshal(settings)
	if err != nil {
		panic(err) // cannot happen: all values are checked numbers and names
	}
	return text
}

// DecodedSettings returns the decoded configuration of a node in a zone.
func (s *Scenario) DecodedSettings(zone string) (settings.Settings, error) {
	v, err := fastjson.ParseBytes(s.Settings(zone))
	if err != nil {
		return settings.Settings{}, err
	}
	decoded, err := settings.Decode(v)
	if err != nil {
		return decoded, fmt.Errorf("cannot decode the settings of the scenario: %w", err)
	}
	return decoded, nil
}

// OperatorConfig returns the operator's file of a node, or nil if the scenario needs none. It has a listener for HTTP
// clients at the given address, the protocol of HTTP caches, and degradation levels. The paths and headers are those of
// package client.
func (s *Scenario) OperatorConfig(listen string) []byte {
	var text string
	if s.Traffic.Protocol == listeners.ProtocolHTTP {
		text = fmt.Sprintf(`[[listener]]
listen = %q
protocol = "http"
ready_path = %q
id_header = %q
grade_header = %q
deadline_header = %q
[[listener.route]]
path = %q
methods = ["GET", "HEAD", "PUT", "POST"]
grade = %q
`, listen, client.ReadyPath, client.IDHeader, client.ClassHeader, client.TimeoutHeader, client.PathPrefix,
			s.Classes[0].Name)
	}
	if s.Fleet.Protocol == listeners.ProtocolHTTP {
		text += "[servers]\nhttp_kinds = [\"cache\"]\n"
	}
	if len(s.Levels) > 0 {
		plan, err := toml.Marshal(map[string]any{"level": s.Levels})
		if err != nil {
			panic(err) // cannot happen: the levels were decoded from TOML
		}
		text += string(plan)
	}
	if text == "" {
		return nil
	}
	return []byte(text)
}
