package degradation

import (
	"time"

	"dahliapin/internal/config/listeners"
	"dahliapin/internal/config/settings"
	"dahliapin/internal/keyhash"
	"dahliapin/internal/proxy/dispatch"
	"dahliapin/policy"
)

// LevelChangeFunc is a function to call after each change of the level, with the level's number, 0 for normal
// operation, and its configured name.
type LevelChangeFunc func(now policy.Instant, level int, name string)

// Filter is a Decider that wraps another one and sheds new requests according to the degradation level. Decisions about
// admitted requests are those of the wrapped Decider.
type Filter struct {
	dispatch.Decider
	controller   *Controller
	settings     *policy.Settings
	shedClasses  []map[policy.ClassID]bool // by level; index 0 is level 1
	origin       policy.EndpointID         // empty if there is none, or it is not known yet
	random       keyhash.Source
	levelChanged LevelChangeFunc
	shedCount    *uint64 // counter of shed requests; owned by the caller of NewFilter
}

// NewFilter returns a Filter that wraps decider. The Filter calls levelChanged from its own methods, and adds the
// number of requests that it sheds to shedCount.
func NewFilter(decider dispatch.Decider, now policy.Instant, seed uint32, levels []listeners.Level,
	deployment *settings.Settings, levelChanged LevelChangeFunc, shedCount *uint64) *Filter {
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

// Admit reports whether a new request is admitted; if not, decision says how to answer it. The retry delay is random:
// clients that were all given the same delay would retry at the same time.
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

// OnAttemptDone counts an attempt that has ended, and passes it on.
func (f *Filter) OnAttemptDone(now policy.Instant, r *policy.Request, o policy.Outcome) policy.Decision {
	attempt := &r.Attempts[o.Attempt]
	objective := f.settings.Classes[r.Class].LatencyObjective
	f.controller.RecordAttempt(attempt.Result, o.Latency, objective, attempt.Endpoint == f.origin)
	return f.countRejection(f.Decider.OnAttemptDone(now, r, o))
}

// Route passes an admitted request on.
func (f *Filter) Route(now policy.Instant, r *policy.Request) policy.Decision {
	return f.countRejection(f.Decider.Route(now, r))
}

// Tick also evaluates the level, so that a level ends even if no requests arrive.
func (f *Filter) Tick(now policy.Instant) (time.Duration, []policy.Action) {
	f.evaluate(now)
	return f.Decider.Tick(now)
}

// UpdateEndpoints looks for the origin among the endpoints, and passes them on.
func (f *Filter) UpdateEndpoints(now policy.Instant, kind policy.UpdateKind, endpoints []policy.Endpoint) {
	for _, e := range endpoints {
		if f.settings.CacheAside && e.Kind == f.settings.OriginKind {
			f.origin = e.ID
		}
	}
	f.Decider.UpdateEndpoints(now, kind, endpoints)
}

// NotifyStateChanges passes the call on to the wrapped Decider, if that has the method.
func (f *Filter) NotifyStateChanges(now policy.Instant, observe func(policy.EndpointID, policy.EndpointState)) {
	if d, ok := f.Decider.(stateChangeNotifier); ok {
		d.NotifyStateChanges(now, observe)
	}
}

// stateChangeNotifier is an optional interface of a Decider that keeps a state of each endpoint.
type stateChangeNotifier interface {
	NotifyStateChanges(now policy.Instant, observe func(policy.EndpointID, policy.EndpointState))
}

// evaluate evaluates the level if that is due, and calls levelChanged after a change.
func (f *Filter) evaluate(now policy.Instant) {
	if f.controller.Evaluate(now) {
		f.levelChanged(now, f.controller.level, f.controller.name())
	}
}

// countRejection counts a decision if it rejects the request, and returns it.
func (f *Filter) countRejection(d policy.Decision) policy.Decision {
	if d.Answer == policy.Reject {
		f.controller.RecordRejected()
	}
	return d
}
