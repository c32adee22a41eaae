package realtime

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"dahliapin/internal/config/settings"
	"dahliapin/internal/emulator/checker"
	"dahliapin/internal/emulator/coverage"
	"dahliapin/internal/emulator/netfault"
	"dahliapin/internal/emulator/report"
	"dahliapin/internal/emulator/runner"
	"dahliapin/internal/emulator/scenario"
	"dahliapin/internal/emulator/world"
	"dahliapin/internal/keyhash"
	"dahliapin/internal/proxy/eventlog"
	"dahliapin/internal/timerqueue"
	"dahliapin/policy"
)

const (
	epoch         = policy.Instant(time.Second)
	rigSeedMask   = 0x0f1ee7               // makes the rig's random numbers differ from those of the world
	slack         = 50 * time.Millisecond  // delay by sockets and a busy machine that is no breach
	startTimeout  = 20 * time.Second       // for all nodes to be ready
	clientsLinger = 250 * time.Millisecond // during which clients still connect to a terminating node
	pollInterval  = 20 * time.Millisecond  // between checks of a node's readiness

	// stopSlack is added to the longest deadline for the time after which a terminating node is killed.
	stopSlack = 2 * time.Second
	// maxDeadlineAtStop caps the longest deadline in the shutdown protocol.
	maxDeadlineAtStop = 3 * time.Second
	// killDelay is added to that deadline for the earliest time at which the process may be killed.
	killDelay = 700 * time.Millisecond
	// signalInterval is the time between successive signals to a process.
	signalInterval = 20 * time.Millisecond
)

// Starter starts nodes, as processes or embedded.
type Starter interface {
	Start(NodeSpec) (Process, error)
}

// NodeSpec describes a node to start.
type NodeSpec struct {
	Name          string
	Configuration []byte
	Operator      []byte                          // the operator's file; nil for none
	Fleet         []byte                          // the fleet configuration; nil for a node without a fleet
	OnRecord      func(eventlog.Event, time.Time) // called with each record of its event log and the record's time
	OnTrace       func([]byte)                    // called with each line of its membership trace
}

// Process is a running node.
type Process interface {
	End()                  // tells it to terminate, as an operator does
	Kill()                 // kills it; an embedded node is only asked to terminate
	Done() <-chan struct{} // closed when it has exited
	ExitReason() string    // why it failed, after Done is closed; "" for a normal exit
}

// Pauser is a process that can be stopped and continued.
type Pauser interface {
	Pause(stop bool) // stops the process or lets it continue
	Hang(stop bool)  // blocks its event loop only, or lets it continue
}

// Reloader is a process that can be asked to reload its configuration.
type Reloader interface {
	Reload()
}

// Rig is one run of a scenario. Its lock guards the model of the world and the reports of nodes, servers and clients.
type Rig struct {
	scenario   *scenario.Scenario
	settings   settings.Settings
	starter    Starter
	startedAt  time.Time
	onProgress func(string) // called each second with a line of progress; may be nil

	mu             sync.Mutex
	world          *world.World
	traffic        *world.Traffic
	checker        *checker.Checker
	observer       *runner.WorldObserver
	log            *report.Log
	coverage       *coverage.Tracker
	run            *runner.Run
	fleetRecorder  *eventlog.Recorder
	queue          timerqueue.Queue[func()] // functions scheduled by At
	wake           chan struct{}            // makes the clock recompute its next wakeup
	random         keyhash.Source           // of the rig's random choices
	registry       *world.Registry
	servers        []*server           // by number; nil for one that is not open
	attempts       map[uint64]*attempt // by tag
	lastTag        uint64              // of the attempt that arrived last
	nodes          []*member
	ejectedBy      map[policy.EndpointID]map[int]bool // nodes that have ejected an endpoint
	discoveryReady chan struct{}                      // closed while discovery is up
	pendingUpdates []policy.Endpoint                  // changes of the endpoint list while discovery is down
	notifications  runner.Notifications
	notifiedStarts map[policy.EndpointID]policy.Instant // the last start of each endpoint that any node was sent
	failures       []string                             // of nodes and the rig; each fails the run
	requests       sync.WaitGroup                       // requests without a response
	forwarder      *netfault.Forwarder                  // nil unless nodes are members of a fleet
	linkAddrs      []map[string]string                  // by sender: from a node's address to the forwarder's
	bootTime       policy.Instant                       // of the machine's boot clock when the run began
	gossipAddrs    []string                             // of the nodes' gossip listeners, by node
	views          *checker.Views
	closing        bool // no node may be started
	stopped        bool // the model of the world must not change
}

// Run runs a scenario on sockets and returns its report. If the context is cancelled, it stops the run and returns the
// context's error without a report. progress is called each second with a line of progress; it may be nil.
func Run(ctx context.Context, s *scenario.Scenario, starter Starter, progress func(string)) (*report.Report, error) {
	deployment, err := s.DecodedSettings(s.Fleet.Zones[0])
	if err != nil {
		return nil, err
	}
	if s.NeedsVirtualTime() {
		return nil, errVirtualOnly
	}
	r := newRig(s, deployment, starter, progress)
	defer r.close()
	if err := r.openServers(); err != nil {
		return nil, err
	}
	if err := r.openLinks(); err != nil {
		return nil, err
	}
	go r.clock()
	if err := r.startNodes(); err != nil {
		return nil, err
	}
	if err := r.awaitReady(ctx); err != nil {
		return nil, err
	}
	start := r.begin()
	if err := r.sendTraffic(ctx, start); err != nil {
		return nil, err
	}
	select { // the last requests may still be in flight until their deadlines
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(deployment.LongestDeadline + 2*slack):
	}
	return r.report(), nil
}

// errVirtualOnly is returned for a scenario with settings that only the simulation supports.
var errVirtualOnly = errors.New(
	"traffic.skew, network.late_share and network.lost_share are not supported on sockets: " +
		"the scenario runs in virtual time only")

func newRig(s *scenario.Scenario, deployment settings.Settings, starter Starter, progress func(string)) *Rig {
	up := make(chan struct{})
	close(up)
	r := &Rig{
		registry:       s.Registry(),
		scenario:       s,
		settings:       deployment,
		starter:        starter,
		startedAt:      time.Now(),
		onProgress:     progress,
		wake:           make(chan struct{}, 1),
		attempts:       map[uint64]*attempt{},
		ejectedBy:      map[policy.EndpointID]map[int]bool{},
		discoveryReady: up,
		notifiedStarts: map[policy.EndpointID]policy.Instant{},
		random:         keyhash.Source{Seed: uint32(s.Seed) ^ rigSeedMask},
		log:            report.NewLog(s, epoch),
		coverage:       coverage.NewTracker(s.Fleet.Nodes),
		traffic:        world.NewTraffic(s.TrafficPlan()),
	}
	r.notifications.SetDiscovery(r.now(), true)
	r.checker = checker.New(checker.Rules{
		Classes:        deployment.Policy.Classes,
		HedgingAllowed: s.Allowed.Hedging,
		Grace:          scenario.SecondsToDuration(s.Allowed.GraceMs / 1000),
		Slack:          max(slack, scenario.SecondsToDuration(s.Allowed.SlackMs/1000)),
		AnswerSlack:    scenario.SecondsToDuration(s.Allowed.LateAnswerMs / 1000),
	})
	r.observer = &runner.WorldObserver{Checker: r.checker, Log: r.log, Rig: r}
	r.world = world.New(s.World(r.observer))
	r.observer.World = r.world
	return r
}

// openServers opens a listener for each server, and fills the caches if the scenario starts with warm ones.
func (r *Rig) openServers() error {
	for i := range r.world.Servers {
		if err := r.openServer(i); err != nil {
			return err
		}
	}
	if r.scenario.Fleet.Warm {
		r.warmCaches()
	}
	return nil
}

func (r *Rig) startNodes() error {
	for n := range r.scenario.Fleet.Nodes {
		m, err := r.newMember(n)
		if err != nil {
			return err
		}
		r.nodes = append(r.nodes, m)
		if err := m.start(false); err != nil {
			return err
		}
	}
	return nil
}

// begin starts the scenario's events and its log, and returns the instant at which the scenario's time starts.
func (r *Rig) begin() policy.Instant {
	r.mu.Lock()
	defer r.mu.Unlock()
	start := r.now()
	r.log = report.NewLog(r.scenario, start)
	r.observer.Log = r.log
	r.log.Views = r.views
	r.fleetRecorder = eventlog.New(report.FleetName, r.log.AddRecord, isOrigin)
	r.fleetRecorder.EndpointsUpdated(start, policy.CompleteUpdate, runner.Endpoints(r.world))
	r.run = runner.ScheduleEvents(r.scenario, r.world, r.traffic, start, r)
	r.wakeClock()
	return start
}

// report completes the checks and creates the report.
func (r *Rig) report() *report.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checker.Advance(r.now().Add(time.Hour)) // counts requests without an answer as breaches
	result := report.New(r.scenario, "sockets", "module", r.world, r.checker, r.log, r.run.First, r.run.Last)
	result.Coverage = r.coverage.Table
	for _, failure := range r.failures {
		result.Expected = append(result.Expected, report.Expected{What: "no node ends by itself", Got: failure})
	}
	return result
}

func isOrigin(e policy.Endpoint) bool { return e.ID == world.OriginID }

func (r *Rig) now() policy.Instant { return r.at(time.Now()) }

func (r *Rig) at(t time.Time) policy.Instant { return epoch.Add(t.Sub(r.startedAt)) }

// clock runs due functions and jobs under the lock, and sleeps until the next one is due, until the run is stopped.
func (r *Rig) clock() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		r.mu.Lock()
		if r.stopped {
			r.mu.Unlock()
			return
		}
		now := r.now()
		for {
			do, ok := r.queue.PopDue(now)
			if !ok {
				break
			}
			do()
		}
		r.world.Advance(now, r.jobDone)
		r.checker.Advance(now)
		next := now.Add(time.Second)
		if at, ok := r.queue.Next(); ok {
			next = min(next, at)
		}
		if at, ok := r.world.Next(); ok {
			next = min(next, at)
		}
		r.mu.Unlock()
		timer.Reset(max(0, next.Since(r.now())))
		select {
		case <-timer.C:
		case <-r.wake:
		}
	}
}

// wakeClock makes the clock recompute what is due next.
func (r *Rig) wakeClock() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// At schedules a function, which the clock calls with Rig.mu locked. The caller must have locked it too.
func (r *Rig) At(at policy.Instant, do func()) {
	r.queue.Push(at, do)
	r.wakeClock()
}

// warmCaches fills each cache with the keys that the policy module routes to it.
func (r *Rig) warmCaches() {
	p := policy.New(epoch, r.scenario.Seed, r.settings.Policy)
	p.UpdateEndpoints(epoch, policy.CompleteUpdate, runner.Endpoints(r.world))
	world.WarmCaches(r.world, p.Route, epoch, r.traffic, r.scenario.Fleet.Keys*r.scenario.Fleet.Caches)
}

// awaitReady waits until all nodes are ready for requests.
func (r *Rig) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(startTimeout)
	for _, m := range r.nodes {
		for !m.pool.Ready() {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-m.process.Done():
				return fmt.Errorf("node %s exited before it was ready: %s", m.name, m.process.ExitReason())
			case <-time.After(pollInterval):
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("node %s was not ready within %v", m.name, startTimeout)
			}
		}
		r.mu.Lock()
		m.serving = true
		r.coverage.PhaseChanged(m.number, coverage.Serving)
		r.mu.Unlock()
	}
	return nil
}

// EventBegan records the coverage of an event: the phases and requests of the affected nodes until the returned
// function is called. Rig.mu must be locked in both calls.
func (r *Rig) EventBegan(e *scenario.Event) (ended func()) {
	return r.coverage.FaultBegan(e.FaultName(), r.scenario.ConcernedNodes(e))
}

// LogEvent adds a line to the log of the run. Rig.mu must be locked.
func (r *Rig) LogEvent(now policy.Instant, what string) { r.log.AddEvent(now, what) }

// Registry returns the model of the capacity of discovery.
func (r *Rig) Registry() *world.Registry { return r.registry }

// onRecord adds a record of a node's event log to the run's log. It also maintains the event log of the fleet, in which
// an endpoint is ejected once more than half of the nodes have ejected it.
func (r *Rig) onRecord(number int, e eventlog.Event, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fleetRecorder == nil || r.stopped {
		return
	}
	e.At = r.at(at)
	r.log.AddRecord(e)
	state, known := ejectionStates[e.Reason]
	if !known || e.Kind != eventlog.EndpointAvoided && e.Kind != eventlog.EndpointRestored {
		return
	}
	if r.ejectedBy[e.Server] == nil {
		r.ejectedBy[e.Server] = map[int]bool{}
	}
	if e.Kind == eventlog.EndpointRestored {
		delete(r.ejectedBy[e.Server], number)
		state = policy.StateInUse
	} else {
		r.ejectedBy[e.Server][number] = true
	}
	if majority := 2*len(r.ejectedBy[e.Server]) > len(r.nodes); majority || e.Kind == eventlog.EndpointRestored {
		r.fleetRecorder.EndpointStateChanged(e.At, e.Server, state)
	}
}

// ejectionStates maps the reasons of ejections in event logs to endpoint states.
var ejectionStates = map[string]policy.EndpointState{
	policy.StateUnresponsive.String(): policy.StateUnresponsive,
	policy.StateUnreachable.String():  policy.StateUnreachable,
	policy.StateFailing.String():      policy.StateFailing,
}

// close stops all nodes, servers and clients, and waits until the responses to all requests are handled.
func (r *Rig) close() {
	r.mu.Lock()
	r.closing = true
	r.mu.Unlock()
	for _, m := range r.nodes {
		m.stop()
	}
	r.mu.Lock()
	r.stopped = true
	for _, s := range r.servers {
		s.close()
	}
	if r.discoveryDown() {
		close(r.discoveryReady)
	}
	nodes := r.nodes
	r.mu.Unlock()
	r.wakeClock()
	for _, m := range nodes {
		m.pool.Close()
		m.agent.close()
	}
	if r.forwarder != nil {
		r.forwarder.Close()
	}
	r.requests.Wait()
}
