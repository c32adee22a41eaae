package degradation

import (
	"time"

	"dahliapin/internal/config/settings"
	"dahliapin/internal/keyhash"
	"dahliapin/internal/proxy/dispatch"
	"dahliapin/policy"
)

// Filter stands before a decider, and sheds by level what comes anew. What has been let through is the decider's alone.
type Filter struct {
	dispatch.Decider
	machine *Controller
	rules   *policy.Settings
	shed    []map[policy.ClassID]bool // by level
	origin  policy.EndpointID
	chance  keyhash.Source
	told    func(now policy.Instant, level int, name string)
	count   *uint64 // of those shed
}

// NewFilter puts a filter before a decider. told hears of each change of level, and what is shed is counted.
func NewFilter(d dispatch.Decider, now policy.Instant, seed uint32, plan []Level, terms *settings.Settings,
	told func(now policy.Instant, level int, name string), count *uint64) *Filter {
	f := &Filter{Decider: d, machine: New(now, plan), rules: &terms.Policy, chance: keyhash.Source{Seed: seed}, told: told, count: count}
	for _, l := range plan {
		grades := map[policy.ClassID]bool{}
		for _, name := range l.Shed {
			grades[terms.Names.Class([]byte(name))] = true
		}
		f.shed = append(f.shed, grades)
	}
	return f
}

// Admit tells whether what has just come is let through; else how it is answered. Those who are to come back come at times
// of their own, so that they are no wave.
func (f *Filter) Admit(now policy.Instant, r *policy.Request) (m policy.Decision, in bool) {
	f.look(now)
	level, share := f.machine.Current()
	if level == 0 || !f.shed[level-1][r.Class] || f.chance.Float64() >= share {
		f.machine.RecordAdmitted()
		return m, true
	}
	*f.count++
	m.Answer = policy.Reject
	m.RetryAfter = time.Duration((1 + f.chance.Float64()) / 2 * float64(min(f.rules.MaxRetryAfter, window)))
	return m, false
}

func (f *Filter) look(now policy.Instant) {
	if !f.machine.Evaluate(now) {
		return
	}
	name, level := "normal", f.machine.at
	if level > 0 {
		name = f.machine.plan[level-1].Name
	}
	f.told(now, level, name)
}

// OnAttemptDone counts a leg's end, and passes it on.
func (f *Filter) OnAttemptDone(now policy.Instant, r *policy.Request, o policy.Outcome) policy.Decision {
	leg := &r.Attempts[o.Attempt]
	f.machine.RecordAttempt(leg.Result, o.Latency, f.rules.Classes[r.Class].LatencyObjective, leg.Endpoint == f.origin)
	return f.noted(f.Decider.OnAttemptDone(now, r, o))
}

// Route passes on.
func (f *Filter) Route(now policy.Instant, r *policy.Request) policy.Decision {
	return f.noted(f.Decider.Route(now, r))
}

func (f *Filter) noted(m policy.Decision) policy.Decision {
	if m.Answer == policy.Reject {
		f.machine.RecordRejected()
	}
	return m
}

// Tick also lets a level end while nobody asks.
func (f *Filter) Tick(now policy.Instant) (time.Duration, []policy.Action) {
	f.look(now)
	return f.Decider.Tick(now)
}

// UpdateEndpoints notes which is the origin.
func (f *Filter) UpdateEndpoints(now policy.Instant, form policy.UpdateKind, entries []policy.Endpoint) {
	for _, e := range entries {
		if f.rules.CacheAside && e.Kind == f.rules.OriginKind {
			f.origin = e.ID
		}
	}
	f.Decider.UpdateEndpoints(now, form, entries)
}

// EndpointStates passes on how the decider says that caches stand, where it does.
func (f *Filter) EndpointStates(now policy.Instant, tell func(policy.EndpointID, policy.EndpointState)) {
	if d, ok := f.Decider.(interface {
		EndpointStates(policy.Instant, func(policy.EndpointID, policy.EndpointState))
	}); ok {
		d.EndpointStates(now, tell)
	}
}
