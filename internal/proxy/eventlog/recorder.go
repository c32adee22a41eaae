package eventlog

import (
	"slices"
	"strings"
	"time"

	"dahliapin/policy"
)

// reasonListed is the reason of events that follow from an endpoint's entry in the endpoint list.
const reasonListed = "the list says so"

// Recorder observes a node's dispatcher and emits the node's events. All nodes of a fleet may share one Recorder, which
// then treats the fleet as a single node.
type Recorder struct {
	node     string
	emit     func(Event)
	excluded func(policy.Endpoint) bool // reports whether an endpoint has no events, such as the origin

	endpoints map[policy.EndpointID]*endpoint
	order     []policy.EndpointID // the keys of endpoints, sorted to make the order of events deterministic
	ready     int                 // number of endpoints that may be sent attempts

	attempts    float64        // sent since the last evaluation of the shares
	evaluatedAt policy.Instant // 0 before the first attempt
	evaluations int
}

// endpoint is the recorded state of one endpoint.
type endpoint struct {
	lifecycle    policy.Lifecycle
	startedAt    policy.Instant // start of the process that the state describes
	state        policy.EndpointState
	avoidedSince policy.Instant // 0 while it is not avoided
	reason       string         // why it is, or was last, avoided
	trials       int            // attempts sent to it while it is avoided for not answering
	load         loadShare
}

// New returns a Recorder for a node. It calls emit with each event, in order. Endpoints for which excluded returns true
// have no events; a nil excluded excludes none.
func New(node string, emit func(Event), excluded func(policy.Endpoint) bool) *Recorder {
	if excluded == nil {
		excluded = func(policy.Endpoint) bool { return false }
	}
	return &Recorder{node: node, emit: emit, excluded: excluded, endpoints: map[policy.EndpointID]*endpoint{}}
}

func (r *Recorder) record(now policy.Instant, id policy.EndpointID, kind, reason string) {
	r.emit(Event{At: now, Node: r.node, Server: id, Kind: kind, Reason: reason})
}

// EndpointsUpdated records an update of the endpoint list.
func (r *Recorder) EndpointsUpdated(now policy.Instant, kind policy.UpdateKind, endpoints []policy.Endpoint) {
	if kind == policy.PollFailed {
		return
	}
	listed := map[policy.EndpointID]bool{}
	for _, e := range endpoints {
		if r.excluded(e) {
			continue
		}
		listed[e.ID] = true
		r.updateEndpoint(now, e)
	}
	if kind != policy.DeltaUpdate {
		r.removeUnlisted(now, listed)
	}
	r.ready = 0
	for _, known := range r.endpoints {
		if known.lifecycle == policy.Ready {
			r.ready++
		}
	}
}

// updateEndpoint records the changes in one endpoint's entry of the endpoint list.
func (r *Recorder) updateEndpoint(now policy.Instant, e policy.Endpoint) {
	known := r.endpoints[e.ID]
	isRemoved := e.Lifecycle == policy.Removed
	switch {
	case known == nil && isRemoved:
		return
	case known == nil:
		known = r.add(now, e)
	case isRemoved:
		r.remove(now, e.ID, reasonListed)
	default:
		if e.Lifecycle == policy.Draining && known.lifecycle == policy.Ready {
			r.record(now, e.ID, EndpointDrained, reasonListed)
		}
		known.lifecycle = e.Lifecycle
	}
	if e.StartedAt > known.startedAt {
		r.onRestart(now, e, known)
	}
}

// onRestart handles an endpoint that runs as a new process. The state of the old process no longer applies, and the
// policy does not report that it has ended.
func (r *Recorder) onRestart(now policy.Instant, e policy.Endpoint, known *endpoint) {
	known.startedAt = e.StartedAt
	known.state = policy.StateInUse
	if e.Lifecycle == policy.Ready && !known.load.avoided {
		r.restore(now, e.ID, known)
	}
}

func (r *Recorder) add(now policy.Instant, e policy.Endpoint) *endpoint {
	added := &endpoint{lifecycle: e.Lifecycle, startedAt: e.StartedAt}
	r.endpoints[e.ID] = added
	r.order = append(r.order, e.ID)
	slices.Sort(r.order)
	r.record(now, e.ID, EndpointListed, "")
	if e.Lifecycle == policy.Draining {
		r.record(now, e.ID, EndpointDrained, reasonListed)
	}
	return added
}

// removeUnlisted removes the endpoints that are missing in a complete list.
func (r *Recorder) removeUnlisted(now policy.Instant, listed map[policy.EndpointID]bool) {
	for _, id := range slices.Clone(r.order) {
		if !listed[id] {
			r.remove(now, id, "the whole list does not name it")
		}
	}
}

func (r *Recorder) remove(now policy.Instant, id policy.EndpointID, reason string) {
	delete(r.endpoints, id)
	r.order = slices.DeleteFunc(r.order, func(other policy.EndpointID) bool { return other == id })
	r.record(now, id, EndpointRemoved, reason)
}

// EndpointStateChanged records a change of an endpoint's state. A state equal to the last one is ignored.
func (r *Recorder) EndpointStateChanged(now policy.Instant, id policy.EndpointID, state policy.EndpointState) {
	e := r.endpoints[id]
	if e == nil || e.state == state {
		return
	}
	e.state = state
	switch {
	case e.isFaulty():
		r.avoid(now, id, e, state.String())
	case !e.load.avoided && state != policy.StateDraining:
		r.restore(now, id, e)
	}
}

// isFaulty reports whether an endpoint is avoided because of its state.
func (e *endpoint) isFaulty() bool { return e.isUnavailable() || e.state == policy.StateFailing }

// isUnavailable reports whether an endpoint does not answer at all.
func (e *endpoint) isUnavailable() bool {
	return e.state == policy.StateUnresponsive || e.state == policy.StateUnreachable
}

func (r *Recorder) avoid(now policy.Instant, id policy.EndpointID, e *endpoint, reason string) {
	if e.avoidedSince != 0 {
		return
	}
	e.avoidedSince = now
	e.reason = reason
	r.record(now, id, EndpointAvoided, reason)
}

func (r *Recorder) restore(now policy.Instant, id policy.EndpointID, e *endpoint) {
	if e.avoidedSince == 0 {
		return
	}
	duration := now.Since(e.avoidedSince)
	e.avoidedSince = 0
	e.trials = 0
	reason, _, _ := strings.Cut(e.reason, ":") // without the measured values after the colon
	r.emit(Event{At: now, Node: r.node, Server: id, Kind: EndpointRestored, Reason: reason, Duration: duration})
}

// LevelChanged records that the node's degradation level has changed to the one called name.
func (r *Recorder) LevelChanged(now policy.Instant, name string) {
	r.record(now, "", LevelChanged, name)
}

// AttemptSent counts an attempt. The first attempt sent to an endpoint that is avoided for not answering is recorded as
// a trial.
func (r *Recorder) AttemptSent(now policy.Instant, id policy.EndpointID) {
	e := r.endpoints[id]
	if e == nil {
		return
	}
	e.load.attempts++
	r.attempts++
	if e.avoidedSince != 0 && !e.load.avoided && e.isUnavailable() {
		e.trials++
		if e.trials == 1 {
			r.record(now, id, TrialAttempt, e.reason)
		}
	}
	r.evaluateShares(now)
}

// AttemptDone counts an attempt that the endpoint has answered, with its latency. Other results are ignored.
func (r *Recorder) AttemptDone(_ policy.Instant, id policy.EndpointID, result policy.Result, latency time.Duration) {
	e := r.endpoints[id]
	if e == nil || result != policy.Answered && result != policy.CacheMiss {
		return
	}
	e.load.answered++
	e.load.latency += latency
}
