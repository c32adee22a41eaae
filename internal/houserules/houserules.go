// Package houserules decodes what a deployment states at the start: the same object reaches the adapter on the
// simulator's wire and a node in its configuration. Its names end here.
package houserules

import (
	"errors"
	"iter"
	"maps"
	"math"
	"time"

	"github.com/valyala/fastjson"

	"dahliapin/policy"
)

// Terms is what a deployment states, as far as anything here reads it.
type Terms struct {
	Rules       policy.HouseRules
	Names       Vocabulary
	Connect     time.Duration   // a connection that is not up by then never comes up
	Stops       []time.Duration // deadlines by grade
	LongestStop time.Duration   // the longest of them
}

const noKind = -2 // no cache's kind: one that is not stated is -1

// Vocabulary turns a deployment's names into numbers; a name that it did not state is -1.
type Vocabulary struct {
	grades, leagues, kinds map[string]int
	columns                []string
	values                 []float64
}

func lookup(in map[string]int, name []byte) int {
	if i, ok := in[string(name)]; ok {
		return i
	}
	return -1
}

// Grade returns a service grade's number.
func (n *Vocabulary) Grade(name []byte) policy.GradeID { return policy.GradeID(lookup(n.grades, name)) }

// Grades gives every service grade's number by its name.
func (n *Vocabulary) Grades() iter.Seq2[string, int] { return maps.All(n.grades) }

// League returns a league's number.
func (n *Vocabulary) League(name []byte) policy.LeagueID {
	return policy.LeagueID(lookup(n.leagues, name))
}

// Kind returns the number of a kind of cache.
func (n *Vocabulary) Kind(name []byte) int { return lookup(n.kinds, name) }

// Report returns a load report's values in the order of the stated columns, or nil if one is not told.
func (n *Vocabulary) Report(value func(column string) (float64, bool)) []float64 {
	n.values = n.values[:0]
	for _, c := range n.columns {
		x, ok := value(c)
		if !ok {
			return nil
		}
		n.values = append(n.values, x)
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

// Decode reads the object. Without a service grade nothing can be decided.
func Decode(env *fastjson.Value) (Terms, error) {
	var t Terms
	r, n := &t.Rules, &t.Names
	grades := env.GetArray("service_grades")
	if len(grades) == 0 {
		return t, errors.New("the settings name no service grades, so nothing can be decided")
	}
	if err := check(env); err != nil {
		return t, err
	}
	itself := func(v *fastjson.Value) *fastjson.Value { return v }
	named := func(v *fastjson.Value) *fastjson.Value { return v.Get("name") }
	n.grades, n.leagues = index(grades, named), index(env.GetArray("tenants"), named)
	n.kinds = index(env.GetArray("kinds"), itself)
	effects := map[string]policy.Effect{"idempotent": policy.Idempotent, "deduplicated": policy.Labelled}
	scopes := map[string]policy.Scope{"all": policy.AllCaches, "zone": policy.SameZone}
	for _, g := range grades {
		r.Grades = append(r.Grades, policy.Grade{
			Benefit: g.GetFloat64("benefit"), Late: Number(g.Get("late_benefit")), SoftLimit: Span(g.Get("soft_limit_s")),
			Effect: effects[string(g.GetStringBytes("effect"))], Scope: scopes[string(g.GetStringBytes("group"))],
			Window: Span(g.Get("key_ttl_s")),
		})
		t.Stops = append(t.Stops, Span(g.Get("hard_stop_s")))
		t.LongestStop = max(t.LongestStop, t.Stops[len(t.Stops)-1])
	}
	for _, v := range env.GetArray("tenants") {
		r.Leagues = append(r.Leagues, policy.League{QuotaPerSecond: Number(v.Get("quota_rps"))})
	}
	bounds, rules, family := env.Get("bounds"), env.Get("rules"), env.Get("family_info")
	t.Connect = Span(bounds.Get("connect_timeout_s"))
	r.Zone, r.Nodes = policy.ZoneID(env.GetStringBytes("zone")), env.GetInt("n_instances")
	r.Aside = string(family.GetStringBytes("mode")) == "aside"
	r.OriginKind = noKind
	if stated(family.Get("origin_kind")) {
		r.OriginKind = family.GetInt("origin_kind")
	}
	r.MustAsk = string(env.GetStringBytes("discovery")) == "ask"
	r.ExcessBenefit = env.GetFloat64("excess_benefit")
	r.CrossingPrice, r.WastePrice = env.GetFloat64("tariffs", "cross_zone"), env.GetFloat64("tariffs", "waste")
	r.MostLegs, r.IdleConnection = bounds.GetInt("most_legs"), Span(bounds.Get("conn_idle_s"))
	r.SecondCopies, r.MayCancel = bounds.GetBool("second_copies"), bounds.GetBool("cancel")
	r.MayProbe = bounds.GetBool("probes")
	if bounds.GetBool("retry_after") {
		r.MaxComeBack = Span(bounds.Get("max_retry_after_s"))
	}
	r.Round = Span(env.Get("round_s"))
	r.AskWithin = Span(rules.Get("ask_within_s"))
	r.ColdFrom, r.ColdFor = rules.GetFloat64("cold_from"), Span(rules.Get("cold_s"))
	r.FallMultiple = Number(rules.Get("overload_factor"))
	r.InFlightAt, r.WaitingAt = -1, -1
	for i, c := range env.GetArray("telemetry", "columns") {
		name := string(c.GetStringBytes())
		n.columns = append(n.columns, name)
		if name == "outstanding" {
			r.InFlightAt = i
		}
		if name == "backlog" {
			r.WaitingAt = i
		}
	}
	return t, nil
}

// Number reads a finite number; what is none is 0.
func Number(v *fastjson.Value) float64 {
	if v == nil {
		return 0
	}
	x := v.GetFloat64()
	if math.IsInf(x, 0) || math.IsNaN(x) {
		return 0
	}
	return x
}

// Span reads seconds, to the microsecond.
func Span(v *fastjson.Value) time.Duration {
	return time.Duration(math.Round(min(max(Number(v), -1e9), 1e9)*1e6)) * time.Microsecond
}
