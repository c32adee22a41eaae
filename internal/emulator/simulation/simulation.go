package simulation

import (
	"errors"
	"fmt"
	"math"
	"time"

	"dahliapin/internal/config/settings"
	"dahliapin/internal/emulator/checker"
	"dahliapin/internal/emulator/report"
	"dahliapin/internal/emulator/runner"
	"dahliapin/internal/emulator/scenario"
	"dahliapin/internal/emulator/world"
	"dahliapin/internal/keyhash"
	"dahliapin/internal/proxy/dispatch"
	"dahliapin/internal/proxy/eventlog"
	"dahliapin/internal/timerqueue"
	"dahliapin/policy"
)

const (
	// startOfRun is the virtual time of a scenario's second 0. It is not 0 because an Instant of 0 means none.
	startOfRun = policy.Instant(time.Second)
	// networkSlack is how late a message in transit may be before the checker reports a breach: several network
	// latencies.
	networkSlack = 20 * time.Millisecond
	// maxStepsPerMillisecond is a number of events within a millisecond that a run only reaches if its decider loops.
	maxStepsPerMillisecond = 1 << 19
	// settleTime is how long a run continues after the scenario's end and the longest deadline, so that all requests
	// end.
	settleTime = 2 * time.Second
)

// errNeedsSockets is returned for a scenario with events that only affect real processes or links.
var errNeedsSockets = errors.New(
	"the scenario has events on processes or on links between nodes, which virtual time does not simulate: " +
		"run it on sockets")

// DeciderFactory creates a node's decider.
type DeciderFactory func(now policy.Instant, seed int64, settings policy.Settings) dispatch.Decider

// Module creates the decider of the product, the policy module.
func Module(now policy.Instant, seed int64, settings policy.Settings) dispatch.Decider {
	return policy.New(now, seed, settings)
}

// Simulation is one run, and the rig on which the runner carries out the scenario's events. Its fields are what the
// nodes of a run share.
type Simulation struct {
	Steps   uint64 // processed events
	Decided uint64 // created deciders and calls into dispatchers

	scenario   *scenario.Scenario
	settings   settings.Settings // as decoded for the first zone
	newDecider DeciderFactory

	now    policy.Instant
	queue  timerqueue.Queue[func()]
	random keyhash.Source // drawn from in the order of events

	world     *world.World
	traffic   *world.Traffic
	nodes     []*node
	serving   []*node             // nodes that clients connect to
	atServers map[uint64]*attempt // attempts with a job at a server, by tag
	lastTag   uint64              // tag of the last attempt

	resetCounts []uint64 // by server: how often all connections to it were reset
	faults      []string // by server, as set by SetFault

	registry       *world.Registry
	discoveryUp    bool
	notifications  runner.Notifications
	pendingUpdates []policy.Endpoint // changes while discovery is down, published when it comes up
	pendingLists   []*node           // nodes that started while discovery is down, and get the list when it comes up
	changes        []policy.Endpoint // all published changes, if nodes poll; their number is the list's version
	waitingPolls   []endpointPoll    // polls that wait for a change, in the order of arrival

	checker       *checker.Checker
	log           *report.Log
	events        *runner.Run
	fleetRecorder *eventlog.Recorder
	ejections     map[policy.EndpointID]int // number of nodes that have ejected an endpoint
}

// Run runs a scenario and returns its report, in which the decider has the given name. It fails on a scenario that
// needs real processes, on invalid settings, and on a decider that loops.
func Run(s *scenario.Scenario, name string, newDecider DeciderFactory) (*report.Report, *Simulation, error) {
	settings, err := s.DecodedSettings(s.Fleet.Zones[0])
	if err != nil {
		return nil, nil, err
	}
	if s.NeedsSockets() {
		return nil, nil, errNeedsSockets
	}
	sim := newSimulation(s, settings, newDecider)
	if err := sim.startNodes(); err != nil {
		return nil, nil, err
	}
	sim.events = runner.ScheduleEvents(s, sim.world, sim.traffic, startOfRun, sim)
	sim.scheduleArrival(sim.traffic.Next(sim.now))
	end := startOfRun.Add(s.Duration() + settings.LongestDeadline + settleTime)
	if err := sim.run(end); err != nil {
		return nil, nil, err
	}
	sim.checker.Advance(end)
	events := sim.events
	return report.New(s, "virtual", name, sim.world, sim.checker, sim.log, events.First, events.Last), sim, nil
}

// newSimulation creates a run without nodes.
func newSimulation(s *scenario.Scenario, settings settings.Settings, newDecider DeciderFactory) *Simulation {
	sim := &Simulation{
		scenario:    s,
		settings:    settings,
		newDecider:  newDecider,
		now:         startOfRun,
		registry:    s.Registry(),
		discoveryUp: true,
		atServers:   map[uint64]*attempt{},
		ejections:   map[policy.EndpointID]int{},
		log:         report.NewLog(s, startOfRun),
	}
	sim.notifications.SetDiscovery(sim.now, true)
	sim.random.Seed = uint32(s.Seed) ^ 0x0f1ee7
	sim.checker = checker.New(checker.Rules{
		Classes:        settings.Policy.Classes,
		HedgingAllowed: s.Allowed.Hedging,
		Grace:          scenario.SecondsToDuration(s.Allowed.GraceMs / 1000),
		Slack:          networkSlack,
	})
	observer := &runner.WorldObserver{Checker: sim.checker, Log: sim.log, Rig: sim}
	sim.world = world.New(s.World(observer))
	observer.World = sim.world
	sim.traffic = world.NewTraffic(s.TrafficPlan())
	sim.fleetRecorder = eventlog.New(report.FleetName, sim.log.AddRecord, isOrigin)
	if s.Fleet.Warm {
		sim.warmCaches()
	}
	return sim
}

// warmCaches fills the caches with the keys that a decider of the run would route to them.
func (sim *Simulation) warmCaches() {
	s := sim.scenario
	decider := sim.newDecider(sim.now, s.Seed, sim.settings.Policy)
	decider.UpdateEndpoints(sim.now, policy.CompleteUpdate, runner.Endpoints(sim.world))
	world.WarmCaches(sim.world, decider.Route, sim.now, sim.traffic, s.Fleet.Keys*s.Fleet.Caches)
}

// startNodes starts all nodes with the complete endpoint list.
func (sim *Simulation) startNodes() error {
	s := sim.scenario
	for i := range s.Fleet.Nodes {
		n := &node{
			sim:           sim,
			number:        i,
			settings:      sim.settings,
			trafficWeight: math.Pow(float64(1+i%sim.settings.Policy.Nodes), -s.Traffic.Skew),
		}
		if zone := s.ZoneOf(i); zone != s.Fleet.Zones[0] {
			var err error
			n.settings, err = s.DecodedSettings(zone)
			if err != nil {
				return err
			}
		}
		sim.nodes = append(sim.nodes, n)
		n.start(policy.CompleteUpdate, runner.Endpoints(sim.world))
	}
	sim.fleetRecorder.EndpointsUpdated(sim.now, policy.CompleteUpdate, runner.Endpoints(sim.world))
	return nil
}

// run processes the events of the world and of the queue that are due up to an instant, in the order of time. If both
// have one at the same instant, the world's is first.
//
// A decider that always asks to be called again at once would stop the clock, and the run would hang. This is detected
// by a number of events within a millisecond that is otherwise never reached, and ends the run with an error.
func (sim *Simulation) run(until policy.Instant) error {
	checkedAt := sim.now
	for {
		if sim.Steps%maxStepsPerMillisecond == maxStepsPerMillisecond-1 {
			if sim.now.Since(checkedAt) < time.Millisecond {
				return fmt.Errorf("the decider loops: %d events within a millisecond at %.3f s",
					maxStepsPerMillisecond, sim.now.Since(startOfRun).Seconds())
			}
			checkedAt = sim.now
		}
		at, queued := sim.queue.Next()
		worldAt, busy := sim.world.Next()
		if !busy && !queued {
			return nil
		}
		worldFirst := busy && (!queued || worldAt <= at)
		if worldFirst {
			at = worldAt
		}
		if at > until {
			sim.now = until
			return nil
		}
		sim.now = max(sim.now, at)
		sim.Steps++
		if worldFirst {
			sim.world.Advance(sim.now, sim.jobDone)
			continue
		}
		event, _ := sim.queue.PopDue(sim.now)
		event()
	}
}

// At schedules a function call at an instant, or now if the instant has passed.
func (sim *Simulation) At(at policy.Instant, do func()) { sim.queue.Push(max(at, sim.now), do) }

func (sim *Simulation) after(d time.Duration, do func()) { sim.queue.Push(sim.now.Add(d), do) }

// isOrigin reports whether an endpoint is the origin, which event logs omit.
func isOrigin(e policy.Endpoint) bool { return e.ID == world.OriginID }
