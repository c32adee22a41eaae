// Package houserules decodes what a deployment states at the start: the same object reaches the adapter on the
// simulator's wire and a node in its configuration. Its names end here.
package settings

import (
	"errors"
	"iter"
	"maps"
	"math"
	"time"

	"github.com/valyala/fastjson"

	"dahliapin/policy"
)

// Settings is what a deployment states, as far as anything here reads it.
type Settings struct {
	Policy          policy.Settings
	Names           NameTable
	ConnectTimeout  time.Duration   // a connection that is not up by then never comes up
	Deadlines       []time.Duration // deadlines by grade
	LongestDeadline time.Duration   // the longest of them
}

const noKind = -2 // no cache's kind: one that is not stated is -1

// NameTable turns a deployment's names into numbers; a name that it did not state is -1.
type NameTable struct {
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

// Class returns a service grade's number.
func (n *NameTable) Class(name []byte) policy.ClassID { return policy.ClassID(lookup(n.grades, name)) }

// Classes gives every service grade's number by its name.
func (n *NameTable) Classes() iter.Seq2[string, int] { return maps.All(n.grades) }

// Tenant returns a league's number.
func (n *NameTable) Tenant(name []byte) policy.TenantID {
	return policy.TenantID(lookup(n.leagues, name))
}

// Kind returns the number of a kind of cache.
func (n *NameTable) Kind(name []byte) int { return lookup(n.kinds, name) }

// LoadReport returns a load report's values in the order of the stated columns, or nil if one is not told.
func (n *NameTable) LoadReport(value func(column string) (float64, bool)) []float64 {
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
func Decode(env *fastjson.Value) (Settings, error) {
	var t Settings
	r, n := &t.Policy, &t.Names
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
	effects := map[string]policy.Idempotency{"idempotent": policy.Idempotent, "deduplicated": policy.IdempotentByKey}
	scopes := map[string]policy.DedupScope{"all": policy.AllCaches, "zone": policy.SameZone}
	for _, g := range grades {
		r.Classes = append(r.Classes, policy.ServiceClass{
			PriorityWeight: g.GetFloat64("benefit"), LateShare: Number(g.Get("late_benefit")), LatencyObjective: Seconds(g.Get("soft_limit_s")),
			Idempotency: effects[string(g.GetStringBytes("effect"))], DedupScope: scopes[string(g.GetStringBytes("group"))],
			DedupWindow: Seconds(g.Get("key_ttl_s")),
		})
		t.Deadlines = append(t.Deadlines, Seconds(g.Get("hard_stop_s")))
		t.LongestDeadline = max(t.LongestDeadline, t.Deadlines[len(t.Deadlines)-1])
	}
	for _, v := range env.GetArray("tenants") {
		r.Tenants = append(r.Tenants, policy.Tenant{QuotaPerSecond: Number(v.Get("quota_rps"))})
	}
	bounds, rules, family := env.Get("bounds"), env.Get("rules"), env.Get("family_info")
	t.ConnectTimeout = Seconds(bounds.Get("connect_timeout_s"))
	r.Zone, r.Nodes = policy.ZoneID(env.GetStringBytes("zone")), env.GetInt("n_instances")
	r.CacheAside = string(family.GetStringBytes("mode")) == "aside"
	r.OriginKind = noKind
	if stated(family.Get("origin_kind")) {
		r.OriginKind = family.GetInt("origin_kind")
	}
	r.PollEndpoints = string(env.GetStringBytes("discovery")) == "ask"
	r.OverQuotaWeight = env.GetFloat64("excess_benefit")
	r.CrossZoneCost, r.WasteCost = env.GetFloat64("tariffs", "cross_zone"), env.GetFloat64("tariffs", "waste")
	r.MaxAttempts, r.IdleTimeout = bounds.GetInt("most_legs"), Seconds(bounds.Get("conn_idle_s"))
	r.HedgingAllowed, r.CancelAllowed = bounds.GetBool("second_copies"), bounds.GetBool("cancel")
	r.HealthChecksAllowed = bounds.GetBool("probes")
	if bounds.GetBool("retry_after") {
		r.MaxRetryAfter = Seconds(bounds.Get("max_retry_after_s"))
	}
	r.TickInterval = Seconds(env.Get("round_s"))
	r.PollInterval = Seconds(rules.Get("ask_within_s"))
	r.SlowStartShare, r.SlowStartDuration = rules.GetFloat64("cold_from"), Seconds(rules.Get("cold_s"))
	r.OverloadFactor = Number(rules.Get("overload_factor"))
	r.InFlightColumn, r.QueueColumn = -1, -1
	for i, c := range env.GetArray("telemetry", "columns") {
		name := string(c.GetStringBytes())
		n.columns = append(n.columns, name)
		if name == "outstanding" {
			r.InFlightColumn = i
		}
		if name == "backlog" {
			r.QueueColumn = i
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

// Seconds reads seconds, to the microsecond.
func Seconds(v *fastjson.Value) time.Duration {
	return time.Duration(math.Round(min(max(Number(v), -1e9), 1e9)*1e6)) * time.Microsecond
}
