package simwire

import (
	"errors"

	"github.com/valyala/fastjson"

	"dahliapin/policy"
)

// vocabulary turns the wire's names into numbers; a name that the settings did not give is -1.
type vocabulary struct {
	grades, leagues, kinds map[string]int
	columns                []string
	values                 []float64
}

func (n *vocabulary) lookup(in map[string]int, v *fastjson.Value) int {
	if v != nil {
		if i, ok := in[string(v.GetStringBytes())]; ok {
			return i
		}
	}
	return -1
}

// report returns a load report's values in the order of the settings' columns, or nil.
func (n *vocabulary) report(v *fastjson.Value) []float64 {
	if v == nil || v.Type() != fastjson.TypeObject {
		return nil
	}
	n.values = n.values[:0]
	for _, c := range n.columns {
		x := v.Get(c)
		if x == nil || x.Type() != fastjson.TypeNumber {
			return nil
		}
		n.values = append(n.values, number(x))
	}
	return n.values
}

func index(list []*fastjson.Value, name func(*fastjson.Value) *fastjson.Value) map[string]int {
	m := map[string]int{}
	for i, v := range list {
		m[string(name(v).GetStringBytes())] = i
	}
	return m
}

func houseRules(env *fastjson.Value) (policy.HouseRules, vocabulary, error) {
	var r policy.HouseRules
	var n vocabulary
	grades := env.GetArray("service_grades")
	if len(grades) == 0 {
		return r, n, errors.New("the settings name no service grades, so nothing can be decided")
	}
	itself := func(v *fastjson.Value) *fastjson.Value { return v }
	named := func(v *fastjson.Value) *fastjson.Value { return v.Get("name") }
	n.grades, n.leagues = index(grades, named), index(env.GetArray("tenants"), named)
	n.kinds = index(env.GetArray("kinds"), itself)
	effects := map[string]policy.Effect{"idempotent": policy.Redoable, "deduplicated": policy.Labelled}
	scopes := map[string]policy.Scope{"all": policy.AllCaches, "zone": policy.SameZone}
	for _, g := range grades {
		r.Grades = append(r.Grades, policy.Grade{
			Benefit: g.GetFloat64("benefit"), SoftLimit: span(g.Get("soft_limit_s")),
			Effect: effects[string(g.GetStringBytes("effect"))], Scope: scopes[string(g.GetStringBytes("group"))],
			Window: span(g.Get("key_ttl_s")),
		})
	}
	for _, t := range env.GetArray("tenants") {
		r.Leagues = append(r.Leagues, policy.League{QuotaPerSecond: number(t.Get("quota_rps"))})
	}
	bounds, rules, family := env.Get("bounds"), env.Get("rules"), env.Get("family_info")
	r.Zone, r.Nodes = policy.ZoneID(env.GetStringBytes("zone")), env.GetInt("n_instances")
	r.Aside = string(family.GetStringBytes("mode")) == "aside"
	r.OriginKind = -1
	if family.Exists("origin_kind") {
		r.OriginKind = family.GetInt("origin_kind")
	}
	r.MustAsk = string(env.GetStringBytes("discovery")) == "ask"
	r.ExcessBenefit = env.GetFloat64("excess_benefit")
	r.CrossingPrice, r.WastePrice = env.GetFloat64("tariffs", "cross_zone"), env.GetFloat64("tariffs", "waste")
	r.MostLegs, r.IdleConnection = bounds.GetInt("most_legs"), span(bounds.Get("conn_idle_s"))
	r.SecondCopies, r.MayCancel = bounds.GetBool("second_copies"), bounds.GetBool("cancel")
	r.MayProbe = bounds.GetBool("probes")
	if bounds.GetBool("retry_after") {
		r.MaxComeBack = span(bounds.Get("max_retry_after_s"))
	}
	r.Round = span(env.Get("round_s"))
	r.AskWithin = span(rules.Get("ask_within_s"))
	r.ColdFrom, r.ColdFor = rules.GetFloat64("cold_from"), span(rules.Get("cold_s"))
	r.InFlightAt, r.BusyAt = -1, -1
	for i, c := range env.GetArray("telemetry", "columns") {
		name := string(c.GetStringBytes())
		n.columns = append(n.columns, name)
		if name == "outstanding" || name == "backlog" && r.InFlightAt < 0 {
			r.InFlightAt = i
		}
		if name == "utilization" {
			r.BusyAt = i
		}
	}
	return r, n, nil
}
