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
	// startOfRun is the virtual time of a scenario's second 0. It isn't 0, which stands for no instant.
	startOfRun = policy.Instant(time.Second)
	// networkSlack is the tolerance for messages in transit before a delay counts as a breach: some network
	// latencies.
	networkSlack = 20 * time.Millisecond
	// maxStepsPerMillisecond is a number of events within a millisecond that no fleet reaches unless its decider
	// loops.
	maxStepsPerMillisecond = 1 << 19
	// settleTime is how long a run goes on after the scenario's end and the longest deadline, so that requests end.
	settleTime = 2 * time.Second
)

// errNeedsSockets is returned for a scenario with events that only real processes have.
var errNeedsSockets = errors.New(
	"events on processes and on links between nodes are not simulated: this script plays on sockets only")

// DeciderFactory makes a node's decider.
type DeciderFactory func(now policy.Instant, seed int64, settings policy.Settings) dispatch.Decider

// Module makes the decider of the product, the policy module.
func Module(now policy.Instant, seed int64, settings policy.Settings) dispatch.Decider {
	return policy.New(now, seed, settings)
}

// Simulation is one run. It is the rig on which the runner plays the scenario's events. It has more fields than most
// types, as it holds all that the nodes of a run share.
type Simulation struct {
	Steps   uint64 // events played
	Decided uint64 // calls into deciders

	scenario   *scenario.Scenario
	settings   settings.Settings // as read in the first zone
	newDecider DeciderFactory

	now    policy.Instant
	queue  timerqueue.Queue[func()]
	random keyhash.Source // drawn from in the order of events

	world     *world.World
	traffic   *world.Traffic
	nodes     []*node
	serving   []*node // those that clients connect to
	atServers map[uint64]*attempt
	lastTag   uint64 // of an attempt; atServers is by tag

	resetCounts []uint64 // by server: how often all connections to it were reset
	faults      []string // by server, as in Fault

	registry       *world.Registry
	discoveryUp    bool
	pendingUpdates []policy.Endpoint // changes while discovery is down, published when it is up again
	changes        []policy.Endpoint // all that was published, where nodes poll; their number is the list's version
	waitingPolls   []endpointPoll    // polls that wait for a change, in the order of their arrival

	checker       *checker.Checker
	log           *report.Log
	events        *runner.Run
	fleetRecorder *eventlog.Recorder
	ejections     map[policy.EndpointID]int // number of nodes that have ejected an endpoint
}

// Run plays a scenario. The decider's name is for the report. It fails on a scenario that needs real processes, on one
// whose settings are wrong, and on a decider that loops.
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

// newSimulation makes a run without nodes.
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

// warmCaches puts keys where a decider of the run's kind would route them.
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

// run plays what is due up to an instant: the world's events and the queue's by time, the world's first where both are
// due at once.
//
// A decider that asks to be called again at once, for ever, would keep the clock where it is and the run would hang.
// It shows as more events within a millisecond than any fleet has, and ends the run with an error.
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
		do, _ := sim.queue.PopDue(sim.now)
		do()
	}
}

// At schedules a function, or runs it next if the instant has passed.
func (sim *Simulation) At(at policy.Instant, do func()) { sim.queue.Push(max(at, sim.now), do) }

func (sim *Simulation) after(d time.Duration, do func()) { sim.queue.Push(sim.now.Add(d), do) }

// isOrigin reports whether an endpoint is the origin, which event logs leave out.
func isOrigin(e policy.Endpoint) bool { return e.ID == world.OriginID }
