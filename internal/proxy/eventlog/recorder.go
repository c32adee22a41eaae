package eventlog

import (
	"slices"
	"strings"
	"time"

	"dahliapin/policy"
)

// reasonListed is the reason of events that follow from what the endpoint list says of an endpoint.
const reasonListed = "the list says so"

// Recorder makes the events of one node; it observes its dispatcher. All nodes of a fleet may feed the same one, which
// then takes the fleet for one node.
type Recorder struct {
	node     string
	emit     func(Event)
	excluded func(policy.Endpoint) bool // endpoints whose share of attempts says nothing: the origin

	endpoints map[policy.EndpointID]*endpoint
	order     []policy.EndpointID // sorted, so that events of one moment have one order
	ready     int                 // endpoints that may be sent attempts

	attempts    float64        // sent since the last evaluation of shares
	evaluatedAt policy.Instant // 0 before the first attempt
	evaluations int
}

// endpoint is what the Recorder knows of one endpoint.
type endpoint struct {
	lifecycle    policy.Lifecycle
	startedAt    policy.Instant // of the process whose state this is
	state        policy.EndpointState
	avoidedSince policy.Instant // 0 while it is not avoided
	reason       string         // why it is or was avoided last
	trials       int            // attempts since it is avoided
	load         loadShare
}

// New returns a Recorder for a node. Events go to emit, in order. Endpoints for which excluded holds have no events;
// nil excludes none.
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
	named := map[policy.EndpointID]bool{}
	for _, e := range endpoints {
		if r.excluded(e) {
			continue
		}
		named[e.ID] = true
		r.updateEndpoint(now, e)
	}
	if kind != policy.DeltaUpdate {
		r.removeUnnamed(now, named)
	}
	r.ready = 0
	for _, known := range r.endpoints {
		if known.lifecycle == policy.Ready {
			r.ready++
		}
	}
}

// updateEndpoint records what a list says of one endpoint.
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
		r.restarted(now, e, known)
	}
}

// restarted records that an endpoint runs as a new process. The state of the old one says nothing of it, and the
// policy does not report its end.
func (r *Recorder) restarted(now policy.Instant, e policy.Endpoint, known *endpoint) {
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

// removeUnnamed removes the endpoints that a complete list does not name.
func (r *Recorder) removeUnnamed(now policy.Instant, named map[policy.EndpointID]bool) {
	for _, id := range slices.Clone(r.order) {
		if !named[id] {
			r.remove(now, id, "the whole list does not name it")
		}
	}
}

func (r *Recorder) remove(now policy.Instant, id policy.EndpointID, reason string) {
	delete(r.endpoints, id)
	r.order = slices.DeleteFunc(r.order, func(other policy.EndpointID) bool { return other == id })
	r.record(now, id, EndpointRemoved, reason)
}

// EndpointStateChanged records an endpoint's state, where it differs from the last.
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

// isFaulty tells whether an endpoint is avoided for its state.
func (e *endpoint) isFaulty() bool { return e.isUnanswering() || e.state == policy.StateFailing }

// isUnanswering tells whether an endpoint does not answer at all.
func (e *endpoint) isUnanswering() bool {
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
	reason, _, _ := strings.Cut(e.reason, ":") // without the figures behind it
	r.emit(Event{At: now, Node: r.node, Server: id, Kind: EndpointRestored, Reason: reason, Duration: duration})
}

// LevelChanged records that the node's degradation level has changed to the one of a name.
func (r *Recorder) LevelChanged(now policy.Instant, name string) {
	r.record(now, "", LevelChanged, name)
}

// AttemptSent counts an attempt. The first one to an endpoint since it is avoided for not answering is a trial.
func (r *Recorder) AttemptSent(now policy.Instant, id policy.EndpointID) {
	e := r.endpoints[id]
	if e == nil {
		return
	}
	e.load.attempts++
	r.attempts++
	if e.avoidedSince != 0 && !e.load.avoided && e.isUnanswering() {
		e.trials++
		if e.trials == 1 {
			r.record(now, id, TrialAttempt, e.reason)
		}
	}
	r.evaluateShares(now)
}

// AttemptDone counts the end of an attempt.
func (r *Recorder) AttemptDone(_ policy.Instant, id policy.EndpointID, result policy.Result, latency time.Duration) {
	e := r.endpoints[id]
	if e == nil || result != policy.Answered && result != policy.CacheMiss {
		return
	}
	e.load.answered++
	e.load.latency += latency
}
