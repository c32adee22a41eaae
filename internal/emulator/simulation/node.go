package simulation

import (
	"encoding/binary"
	"slices"
	"strconv"
	"time"

	"dahliapin/internal/config/settings"
	"dahliapin/internal/discovery"
	"dahliapin/internal/emulator/checker"
	"dahliapin/internal/emulator/world"
	"dahliapin/internal/idletimeout"
	"dahliapin/internal/proxy/degradation"
	"dahliapin/internal/proxy/dispatch"
	"dahliapin/internal/proxy/eventlog"
	"dahliapin/policy"
)

// node simulates the process of a node: a dispatcher, its requests in flight and its connections. It carries out its
// dispatcher's actions (io.go) and observes it (observer.go). Its many fields are the state of a whole process.
type node struct {
	sim           *Simulation
	number        int               // from 0
	trafficWeight float64           // relative to the weights of the other nodes
	settings      settings.Settings // as decoded for its zone
	// incarnation changes with each start and each kill. A callback that was scheduled for an earlier incarnation does
	// nothing.
	incarnation int
	dispatcher  *dispatch.Dispatcher // nil while the node is down
	recorder    *eventlog.Recorder
	inFlight    map[policy.RequestID]*request
	requests    uint64                     // number of accepted requests, and the id of the last one
	ejected     map[policy.EndpointID]bool // whether this node has currently ejected an endpoint

	endpoints   []policy.Endpoint // the endpoint list as last received; survives a restart
	poller      discovery.Poller
	listVersion int    // version of the endpoint list as last received
	polls       uint64 // number of the current poll; answers to earlier ones are ignored

	idleTimeout     idletimeout.Timeout
	idleConnections map[int][]idleConnection // by server, the most recently used last
}

// request is a client's request that its node has accepted and not finished.
type request struct {
	id          policy.RequestID
	message     world.Request
	firstSentAt policy.Instant // when the client sent its first try
	attempts    []*attempt
	answered    bool // an answer was sent, or the client has disconnected
}

// start starts the node's next incarnation with an endpoint list.
func (n *node) start(kind policy.UpdateKind, entries []policy.Endpoint) {
	sim := n.sim
	n.incarnation++
	n.inFlight = map[policy.RequestID]*request{}
	n.idleConnections = map[int][]idleConnection{}
	n.ejected = map[policy.EndpointID]bool{}
	n.idleTimeout = idletimeout.New(n.settings.Policy.IdleTimeout)
	n.recorder = eventlog.New("n"+strconv.Itoa(n.number+1), sim.log.AddRecord, isOrigin)
	n.dispatcher = dispatch.NewWithDecider(sim.now, n.newDecider(), n, n)
	n.updateEndpoints(kind, entries)
	if sim.registry.Bounded() {
		n.poller = discovery.New(n.settings.Policy.Nodes)
		n.poller.SetVersion(n.listVersion)
		n.poll()
	}
	sim.serving = append(sim.serving, n)
}

// newDecider creates the decider of this incarnation. If the scenario has degradation levels, their filter wraps it.
func (n *node) newDecider() dispatch.Decider {
	sim := n.sim
	seed := sim.scenario.Seed*7919 + int64(n.number)*31 + int64(n.incarnation)
	sim.Decided++
	decider := sim.newDecider(sim.now, seed, n.settings.Policy)
	levels := sim.scenario.Levels
	if len(levels) == 0 {
		return decider
	}
	onChange := func(now policy.Instant, _ int, name string) { n.recorder.LevelChanged(now, name) }
	return degradation.NewFilter(decider, sim.now, uint32(seed), levels, &n.settings, onChange, new(uint64))
}

// updateEndpoints applies an update of the endpoint list.
func (n *node) updateEndpoints(kind policy.UpdateKind, entries []policy.Endpoint) {
	if kind == policy.CompleteUpdate {
		n.endpoints = nil // what the list does not have has left it
	}
	for _, e := range entries {
		n.sim.checker.Notified(n.sim.now, n.number, e.ID, e.Lifecycle)
		n.endpoints = slices.DeleteFunc(n.endpoints, func(o policy.Endpoint) bool { return o.ID == e.ID })
		if e.Lifecycle != policy.Removed {
			n.endpoints = append(n.endpoints, e)
		}
	}
	n.dispatcher.UpdateEndpoints(n.sim.now, kind, entries)
}

// knowsStart reports whether the node's endpoint list has a server's last start, or ought to have it by now.
func (n *node) knowsStart(server *world.Server) bool {
	isOld := server.StartedAt <= n.sim.notifications.Bound(n.sim.now)
	return isOld || slices.ContainsFunc(n.endpoints, func(e policy.Endpoint) bool {
		return e.ID == server.ID && e.StartedAt >= server.StartedAt
	})
}

// kill ends the node at once: its connections to servers and those of its clients are reset.
func (n *node) kill() {
	n.incarnation++
	n.dispatcher = nil
	n.cutInFlight()
	for id, ejected := range n.ejected {
		if ejected {
			n.sim.ejections[id]--
		}
	}
	n.closeIdle()
}

// cutInFlight abandons all attempts, and resets the connections of clients whose requests are unanswered.
func (n *node) cutInFlight() {
	ids := make([]policy.RequestID, 0, len(n.inFlight))
	for id := range n.inFlight {
		ids = append(ids, id)
	}
	slices.Sort(ids) // the iteration order of a map is random, and a run must be reproducible
	for _, id := range ids {
		req := n.inFlight[id]
		for _, a := range req.attempts {
			if a.outstanding {
				a.outstanding = false
				a.abandon()
			}
		}
		if !req.answered {
			n.sim.checker.Forget(req.message.ID)
			n.sim.after(n.sim.clientLatency(), func() { n.sim.connectionCut(req.message, req.firstSentAt) })
		}
	}
	n.inFlight = map[policy.RequestID]*request{}
}

// accept accepts a client's request and passes it to the dispatcher.
func (n *node) accept(message world.Request, firstSentAt policy.Instant) *request {
	sim := n.sim
	n.requests++
	var id [8]byte
	binary.BigEndian.PutUint64(id[:], n.requests)
	req := &request{id: policy.RequestID(id[:]), message: message, firstSentAt: firstSentAt}
	n.inFlight[req.id] = req
	sim.Decided++
	n.dispatcher.RequestArrived(sim.now, &policy.Request{
		ID:        req.id,
		Key:       message.Key,
		Class:     policy.ClassID(message.Class),
		Tenant:    -1,
		Write:     sim.traffic.Classes[message.Class].Write,
		ArrivedAt: sim.now,
		Deadline:  sim.now.Add(message.Deadline),
	})
	return req
}

// clientLeaves disconnects a client whose answer has not been sent. The node learns of it one client latency later, and
// may have answered or ended by then.
func (n *node) clientLeaves(req *request, incarnation int) {
	sim := n.sim
	if req.answered || n.incarnation != incarnation {
		return
	}
	sim.checker.ClientGone(sim.now, req.message.ID)
	sim.after(sim.clientLatency(), func() {
		if req.answered || n.incarnation != incarnation || n.dispatcher == nil {
			return
		}
		req.answered = true
		sim.Decided++
		n.dispatcher.ClientGone(sim.now, req.id)
		for _, a := range req.attempts {
			if a.outstanding && n.settings.Policy.CancelAllowed {
				a.stop(policy.Cancelled)
			}
		}
		n.release(req)
	})
}

// answer sends a request's one final answer. The client receives it one client latency later, and may then retry.
func (n *node) answer(req *request, final checker.Final, retryAfter time.Duration) {
	req.answered = true
	sim := n.sim
	sim.after(sim.clientLatency(), func() {
		message := req.message
		sim.checker.Answered(sim.now, message.ID, final)
		if final != checker.Satisfied {
			sim.retry(message, req.firstSentAt, final == checker.Rejected, retryAfter)
			return
		}
		if sim.now.Since(req.firstSentAt) <= sim.settings.Policy.Classes[message.Class].LatencyObjective {
			sim.checker.Served(message.Class)
			sim.log.InTime(req.firstSentAt)
		}
	})
}

// release removes a request that is answered and has no outstanding attempts.
func (n *node) release(req *request) {
	if req.answered && !slices.ContainsFunc(req.attempts, func(a *attempt) bool { return a.outstanding }) {
		delete(n.inFlight, req.id)
	}
}

// releaseLater releases a request after the call into the dispatcher that answered it has returned.
func (n *node) releaseLater(req *request) { n.sim.after(0, func() { n.release(req) }) }
