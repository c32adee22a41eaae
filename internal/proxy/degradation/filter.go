package degradation

import (
	"time"

	"dahliapin/internal/config/listeners"
	"dahliapin/internal/config/settings"
	"dahliapin/internal/keyhash"
	"dahliapin/internal/proxy/dispatch"
	"dahliapin/policy"
)

// LevelChanged is called with each new level: its number, 0 for normal operation, and the operator's name of it.
type LevelChanged func(now policy.Instant, level int, name string)

// Filter is a Decider that stands before another one and sheds new requests by the degradation level. Admitted
// requests are decided on by the other one alone.
type Filter struct {
	dispatch.Decider
	controller   *Controller
	settings     *policy.Settings
	shedClasses  []map[policy.ClassID]bool // by level, from that of number 1
	origin       policy.EndpointID         // empty while unknown, or where there is none
	random       keyhash.Source
	levelChanged LevelChanged
	shedCount    *uint64 // the owner's counter of shed requests
}

// NewFilter returns a filter before a decider. It calls levelChanged with each change of the level, from within its
// own methods, and counts the requests that it sheds in shedCount.
func NewFilter(decider dispatch.Decider, now policy.Instant, seed uint32, levels []listeners.Level,
	deployment *settings.Settings, levelChanged LevelChanged, shedCount *uint64) *Filter {
	f := &Filter{
		Decider:      decider,
		controller:   NewController(now, levels),
		settings:     &deployment.Policy,
		random:       keyhash.Source{Seed: seed},
		levelChanged: levelChanged,
		shedCount:    shedCount,
	}
	for _, level := range levels {
		classes := map[policy.ClassID]bool{}
		for _, name := range level.Shed {
			classes[deployment.Names.Class([]byte(name))] = true
		}
		f.shedClasses = append(f.shedClasses, classes)
	}
	return f
}

// Admit tells whether a new request is admitted; if not, the decision says how it is answered. The time to come back
// is drawn by chance, as clients that are all told the same time would come back as one wave.
func (f *Filter) Admit(now policy.Instant, r *policy.Request) (decision policy.Decision, admitted bool) {
	f.evaluate(now)
	level, share := f.controller.Current()
	if level == 0 || !f.shedClasses[level-1][r.Class] || f.random.Float64() >= share {
		f.controller.RecordAdmitted()
		return policy.Decision{}, true
	}
	*f.shedCount++
	longest := float64(min(f.settings.MaxRetryAfter, evaluationInterval))
	decision.Answer = policy.Reject
	decision.RetryAfter = time.Duration((1 + f.random.Float64()) / 2 * longest)
	return decision, false
}

// OnAttemptDone counts the end of an attempt, and passes it on.
func (f *Filter) OnAttemptDone(now policy.Instant, r *policy.Request, o policy.Outcome) policy.Decision {
	attempt := &r.Attempts[o.Attempt]
	objective := f.settings.Classes[r.Class].LatencyObjective
	f.controller.RecordAttempt(attempt.Result, o.Latency, objective, attempt.Endpoint == f.origin)
	return f.recorded(f.Decider.OnAttemptDone(now, r, o))
}

// Route passes an admitted request on.
func (f *Filter) Route(now policy.Instant, r *policy.Request) policy.Decision {
	return f.recorded(f.Decider.Route(now, r))
}

// Tick also evaluates the level, which so ends while no requests come.
func (f *Filter) Tick(now policy.Instant) (time.Duration, []policy.Action) {
	f.evaluate(now)
	return f.Decider.Tick(now)
}

// UpdateEndpoints finds the origin among the endpoints, and passes them on.
func (f *Filter) UpdateEndpoints(now policy.Instant, kind policy.UpdateKind, endpoints []policy.Endpoint) {
	for _, e := range endpoints {
		if f.settings.CacheAside && e.Kind == f.settings.OriginKind {
			f.origin = e.ID
		}
	}
	f.Decider.UpdateEndpoints(now, kind, endpoints)
}

// EndpointStates passes on the decider's states of endpoints, if it tells them.
func (f *Filter) EndpointStates(now policy.Instant, report func(policy.EndpointID, policy.EndpointState)) {
	if d, ok := f.Decider.(endpointReporter); ok {
		d.EndpointStates(now, report)
	}
}

// endpointReporter is what a decider may offer beyond dispatch.Decider.
type endpointReporter interface {
	EndpointStates(now policy.Instant, report func(policy.EndpointID, policy.EndpointState))
}

func (f *Filter) evaluate(now policy.Instant) {
	if f.controller.Evaluate(now) {
		f.levelChanged(now, f.controller.level, f.controller.name())
	}
}

// recorded counts a decision that rejects.
func (f *Filter) recorded(d policy.Decision) policy.Decision {
	if d.Answer == policy.Reject {
		f.controller.RecordRejected()
	}
	return d
}
