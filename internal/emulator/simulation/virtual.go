// Package virtual plays a script in virtual time: any number of nodes, each a host with its decider, on one model of the
// world. The same seed gives the same run to the byte, on any machine.
package simulation

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"dahliapin/internal/config/settings"
	"dahliapin/internal/emulator/checker"
	"dahliapin/internal/emulator/netfault"
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
	epoch      = policy.Instant(time.Second)
	slack      = 20 * time.Millisecond // that what crosses may take before it counts as a breach: some ways over the network
	stepsAtOne = 1 << 19               // events within a millisecond that no fleet has
	settle     = 2 * time.Second       // after the script's end: the longest deadline is added
)

// Maker makes a node's decider.
type Maker func(now policy.Instant, seed int64, rules policy.Settings) dispatch.Decider

// Module is the maker of the module itself.
func Module(now policy.Instant, seed int64, rules policy.Settings) dispatch.Decider {
	return policy.New(now, seed, rules)
}

// Simulation is one run.
type Simulation struct {
	script   *scenario.Scenario
	terms    settings.Settings
	make     Maker
	world    *world.World
	traffic  *world.Traffic
	judge    *checker.Checker
	log      *report.Log
	course   *runner.Run
	fleet    *eventlog.Recorder
	queue    timerqueue.Queue[func()]
	now      policy.Instant
	nodes    []*node
	serving  []*node
	chance   keyhash.Source
	legs     map[uint64]*leg // by tag: those that a server has in hand
	tags     uint64
	avoiders map[policy.EndpointID]int // nodes that avoid it
	broken   []uint64                  // by server: how often all connections to it broke
	faults   []string
	upList   bool
	pending  []policy.Endpoint // told once discovery is up again
	registry *world.Registry
	changes  []policy.Endpoint // what the list has told, where nodes call for it; a version is how many there were
	watches  []watch           // calls that wait for news, in order
	Steps    uint64            // events played
	Decided  uint64            // calls into deciders
}

// Play plays a script. The decider's name is for the report.
func Play(s *scenario.Scenario, name string, make Maker) (*report.Report, *Simulation, error) {
	terms, err := s.TermsAt(s.Fleet.Zones[0])
	if err == nil && s.OnSockets() {
		err = errors.New("what is done to processes, and between them, is not there: this script plays on sockets only")
	}
	if err != nil {
		return nil, nil, err
	}
	r := &Simulation{registry: s.Registry(), script: s, terms: terms, make: make, now: epoch, legs: map[uint64]*leg{}, avoiders: map[policy.EndpointID]int{}, upList: true, log: report.NewLog(s, epoch)}
	r.chance.Seed = uint32(s.Seed) ^ 0x0f1ee7
	r.judge = checker.New(checker.Rules{Classes: terms.Policy.Classes, HedgingAllowed: s.Allowed.Hedging,
		Grace: scenario.Span(s.Allowed.GraceMs / 1000), Slack: slack})
	ear := &runner.WorldObserver{Judge: r.judge, Log: r.log, Rig: r}
	r.world = world.New(s.World(ear))
	ear.World = r.world
	r.traffic = world.NewTraffic(s.TrafficPlan())
	r.fleet = eventlog.New(report.FleetsBook, r.log.Note, isOrigin)
	if s.Fleet.Warm {
		r.warm()
	}
	for i := range s.Fleet.Nodes {
		n := &node{r: r, number: i, terms: terms, part: math.Pow(float64(1+i%terms.Policy.Nodes), -s.Traffic.Skew)}
		if zone := s.ZoneOf(i); zone != s.Fleet.Zones[0] {
			if n.terms, err = s.TermsAt(zone); err != nil {
				return nil, nil, err
			}
		}
		r.nodes = append(r.nodes, n)
		n.start(policy.CompleteUpdate, runner.Endpoints(r.world))
	}
	r.fleet.EndpointsUpdated(r.now, policy.CompleteUpdate, runner.Endpoints(r.world))
	r.course = runner.Play(s, r.world, r.traffic, epoch, r)
	r.arrive(r.traffic.Next(r.now))
	end := epoch.Add(s.Duration() + terms.LongestDeadline + settle)
	if err := r.run(end); err != nil {
		return nil, nil, err
	}
	r.judge.Advance(end)
	return report.Draw(s, "virtual", name, r.world, r.judge, r.log, r.course.First, r.course.Last), r, nil
}

// run plays what is due up to an instant. The world's own events and the queue's are taken by time, the world's first.
func (r *Simulation) run(until policy.Instant) error {
	for looked := r.now; ; {
		if r.Steps%stepsAtOne == stepsAtOne-1 {
			if r.now.Since(looked) < time.Millisecond {
				return fmt.Errorf("the decider loops: %d events within a millisecond at %.3f s", stepsAtOne, r.now.Since(epoch).Seconds())
			}
			looked = r.now
		}
		at, any := r.queue.Next()
		ends, busy := r.world.Next()
		if busy && (!any || ends <= at) {
			at = ends
		} else if !any {
			return nil
		}
		if at > until {
			r.now = until
			return nil
		}
		r.now = max(r.now, at)
		r.Steps++
		if busy && ends <= at {
			r.world.Advance(r.now, r.served)
			continue
		}
		do, _ := r.queue.PopDue(r.now)
		do()
	}
}

// At hangs something in.
func (r *Simulation) At(at policy.Instant, do func()) { r.queue.Push(max(at, r.now), do) }

func (r *Simulation) after(d time.Duration, do func()) { r.queue.Push(r.now.Add(d), do) }

func (r *Simulation) jittered(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + r.script.Network.Jitter*r.chance.Float64()))
}

func (r *Simulation) clientWay() time.Duration {
	return r.jittered(scenario.Span(r.script.Network.ClientMs / 1000))
}

func (r *Simulation) way(n *node, server int) time.Duration {
	ms := r.script.Network.OneWayMs
	if zone := r.world.Servers[server].Zone; zone != "" && zone != n.terms.Policy.Zone {
		ms = r.script.Network.CrossZoneMs
	}
	return r.jittered(scenario.Span(ms / 1000))
}

// late is by how much a new connection to a cache comes up late.
func (r *Simulation) late(server int) time.Duration {
	n := &r.script.Network
	if n.LateShare == 0 || r.world.IsOrigin(server) || r.chance.Float64() >= n.LateShare {
		return 0
	}
	return time.Duration(r.chance.Float64() * float64(scenario.Span(n.LateMs/1000)))
}

// warm puts keys where the decider's own kind would send them.
func (r *Simulation) warm() {
	d := r.make(r.now, r.script.Seed, r.terms.Policy)
	d.UpdateEndpoints(r.now, policy.CompleteUpdate, runner.Endpoints(r.world))
	world.WarmBy(r.world, d.Route, r.now, r.traffic, r.script.Fleet.Keys*r.script.Fleet.Caches)
}

// isOrigin tells whom records pass over.
func isOrigin(e policy.Endpoint) bool { return e.ID == world.OriginID }

// Broke breaks all connections to a server, and all legs on them.
func (r *Simulation) Broke(server int) {
	r.brokenAt(server)
	var on []uint64
	for tag, l := range r.legs {
		if l.server == server {
			on = append(on, tag)
		}
	}
	slices.Sort(on) // a map has no order, and a run must have one
	for _, tag := range on {
		l := r.legs[tag]
		r.after(l.n.r.way(l.n, server), func() { l.lost() })
	}
}

func (r *Simulation) brokenAt(server int) uint64 {
	for len(r.broken) <= server {
		r.broken = append(r.broken, 0)
	}
	r.broken[server]++
	r.world.Servers[server].Held = 0
	return r.broken[server]
}

func (r *Simulation) breaks(server int) uint64 {
	if server < len(r.broken) {
		return r.broken[server]
	}
	return 0
}

func (r *Simulation) fault(server int) string {
	if server < len(r.faults) {
		return r.faults[server]
	}
	return ""
}

// Fault sets what goes wrong on a server's connections.
func (r *Simulation) Fault(server int, kind string) {
	for len(r.faults) <= server {
		r.faults = append(r.faults, "")
	}
	r.faults[server] = kind
}

// Said keeps a line of what the script does.
func (r *Simulation) Said(now policy.Instant, what string) { r.log.Say(now, what) }

// Listed tells a change of the list to each node, late.
func (r *Simulation) Listed(e policy.Endpoint) {
	if !r.upList {
		r.pending = append(r.pending, e)
		return
	}
	if r.registry.Bounded() {
		r.after(scenario.Span(r.script.Discovery.NoticeS[0]), func() { r.publish(e) })
		return
	}
	first := time.Duration(math.MaxInt64)
	for _, n := range r.nodes {
		span := r.script.Discovery.NoticeS
		late := scenario.Span(span[0] + (span[1]-span[0])*r.chance.Float64())
		first = min(first, late)
		life := n.life
		r.after(late, func() {
			if n.life == life && n.host != nil {
				n.hear(policy.DeltaUpdate, []policy.Endpoint{e})
			}
		})
	}
	r.after(first, func() { r.fleet.EndpointsUpdated(r.now, policy.DeltaUpdate, []policy.Endpoint{e}) })
}

// Registry is what discovery can bear.
func (r *Simulation) Registry() *world.Registry { return r.registry }

// Discovery goes down or comes back.
func (r *Simulation) Discovery(up bool) {
	if r.upList = up; up {
		for _, e := range r.pending {
			r.Listed(e)
		}
		r.pending = nil
	}
}

// EndNode ends a node. An orderly one finishes what it has in hand; no more clients come to either.
func (r *Simulation) EndNode(number int, orderly bool) {
	n := r.nodes[number]
	r.serving = slices.DeleteFunc(r.serving, func(o *node) bool { return o == n })
	if !orderly {
		n.kill()
	}
}

// UpgradeNode does nothing: a script with it is refused in virtual time.
func (r *Simulation) UpgradeNode(int) {}

// StandbyNode does nothing, as UpgradeNode.
func (r *Simulation) StandbyNode(int, bool) {}

// ScrapeNode does nothing, as UpgradeNode.
func (r *Simulation) ScrapeNode(int, policy.Instant) {}

// PauseNode does nothing, as all that concerns processes or what is between them: a script with it is refused.
func (r *Simulation) PauseNode(int, bool) {}

func (r *Simulation) HangNode(int, bool)                    {}
func (r *Simulation) CrowdNode(int, int, policy.Instant)    {}
func (r *Simulation) StallClients(int, int)                 {}
func (r *Simulation) ReloadNode(int, int)                   {}
func (r *Simulation) FreezeNode(int, time.Duration)         {}
func (r *Simulation) TwinNode(int)                          {}
func (r *Simulation) Between(int, int, func(*netfault.Way)) {}

// StartNode starts it anew: it has its last list, and hears the whole one soon after.
func (r *Simulation) StartNode(number int) {
	n := r.nodes[number]
	if n.host != nil {
		if len(n.hand) > 0 { // it still drains
			r.after(50*time.Millisecond, func() { r.StartNode(number) })
			return
		}
		n.kill()
	}
	n.start(policy.LastKnownUpdate, n.known)
	if r.registry.Bounded() {
		return // it calls by itself
	}
	entries, life := runner.Endpoints(r.world), n.life
	r.after(scenario.Span(r.script.Discovery.NoticeS[0]), func() {
		if n.life == life && r.upList {
			n.hear(policy.CompleteUpdate, entries)
		}
	})
}

// arrive plays the next first try, and hangs in the one after.
func (r *Simulation) arrive(at policy.Instant) {
	if at.Since(epoch) >= r.script.Duration() {
		return
	}
	r.At(at, func() {
		req := r.traffic.Draw(r.now)
		r.ask(req, r.now, true)
		r.arrive(r.traffic.Next(r.now))
	})
}

// ask sends one try to a node.
func (r *Simulation) ask(req world.Request, first policy.Instant, isFirst bool) {
	r.log.Asked(r.now, isFirst)
	if len(r.serving) == 0 {
		r.judge.Classes[req.Class].Asked++
		if isFirst {
			r.judge.Classes[req.Class].First++
		}
		r.judge.Classes[req.Class].Cut++
		return
	}
	n := r.choose()
	req.Sent = r.now
	r.judge.RequestSent(r.now, req.ID, n.number, req.Class, req.Label, r.now.Add(req.Deadline), isFirst)
	life := n.life
	r.after(r.clientWay(), func() {
		if n.life != life || n.host == nil { // it died while this was on its way: the client sees a reset
			r.judge.Excuse(req.ID)
			r.cut(req, first)
			return
		}
		v := n.take(req, first)
		if req.Leaves > 0 {
			r.At(max(r.now, req.Sent.Add(req.Leaves)), func() { n.leaves(v, life) })
		}
	})
}

// choose picks the node that a try goes to: any alike, or the earlier the more where their traffic is uneven. Two processes of one node,
// which stand as far apart as the settings state nodes, share its part.
func (r *Simulation) choose() *node {
	x := r.chance.Float64()
	if r.script.Traffic.Skew == 0 {
		return r.serving[int(x*float64(len(r.serving)))]
	}
	sum := 0.0
	for _, n := range r.serving {
		sum += n.part
	}
	x *= sum
	for _, n := range r.serving {
		if x -= n.part; x < 0 {
			return n
		}
	}
	return r.serving[len(r.serving)-1]
}

// cut is what a client does whose node died.
func (r *Simulation) cut(req world.Request, first policy.Instant) {
	r.judge.Classes[req.Class].Cut++
	r.again(req, first, false, 0)
}

func (r *Simulation) again(req world.Request, first policy.Instant, rejected bool, comeBack time.Duration) {
	if next, at, ok := r.traffic.Again(r.now, req, rejected, comeBack); ok {
		r.At(at, func() { r.ask(next, first, false) })
	}
}

// served is a job's end at a server.
func (r *Simulation) served(d world.Done) {
	l := r.legs[d.Job.Tag]
	if l == nil {
		return
	}
	r.judge.AttemptEnded(r.now, l.v.req.ID, r.world.Servers[d.Server].ID, d.Said == world.Busy)
	delete(r.legs, d.Job.Tag)
	how := [...]policy.Result{world.Value: policy.Answered, world.Receipt: policy.Answered, world.Miss: policy.CacheMiss,
		world.Busy: policy.Rejected, world.Failed: policy.Errored}[d.Said]
	switch r.fault(d.Server) {
	case "half":
		how = policy.ConnectionBroken
	case "garbage":
		how = policy.Errored
	case "stale":
		if d.Said == world.Value {
			how = policy.CacheMiss
		}
	}
	var report []float64
	if r.script.Fleet.Reports && !r.world.IsOrigin(d.Server) && how != policy.ConnectionBroken {
		report = []float64{d.Load}
	}
	if lost := r.script.Network.LostShare; lost > 0 && !r.world.IsOrigin(d.Server) && r.chance.Float64() < lost {
		return // its connection has fallen silent under it
	}
	r.after(r.way(l.n, d.Server), func() { l.end(how, report) })
}
