package runner

import (
	"cmp"
	"slices"
	"time"

	"dahliapin/internal/emulator/scenario"
	"dahliapin/internal/emulator/world"
	"dahliapin/policy"
)

const (
	// minDowntime is the shortest time between the end of a process and the start of the next one.
	minDowntime = 400 * time.Millisecond
	// defaultDrainTime is the time between draining and removal of a server, if the event states none.
	defaultDrainTime = 5 * time.Second
)

// Run carries out the events of one scenario.
type Run struct {
	// First is when the first event begins.
	First policy.Instant
	// Last is when the end of the last event is due.
	Last policy.Instant

	scenario    *scenario.Scenario
	world       *world.World
	traffic     *world.Traffic
	rig         Rig
	addedCaches int
	outages     int // number of outages of discovery in progress; they may overlap
}

// ScheduleEvents schedules all events of a scenario, relative to its start.
func ScheduleEvents(s *scenario.Scenario, w *world.World, t *world.Traffic, start policy.Instant, rig Rig) *Run {
	r := &Run{scenario: s, world: w, traffic: t, rig: rig}
	events := slices.Clone(s.Events)
	slices.SortStableFunc(events, func(a, b scenario.Event) int { return cmp.Compare(a.AtS, b.AtS) })
	for i := range events {
		event := &events[i]
		at := start.Add(scenario.SecondsToDuration(event.AtS))
		if i == 0 {
			r.First = at
		}
		r.Last = max(r.Last, at.Add(scenario.SecondsToDuration(event.OverS+event.ForS)))
		rig.At(at, func() { r.begin(at, event) })
	}
	return r
}

// begin carries out an event at its time.
func (r *Run) begin(now policy.Instant, e *scenario.Event) {
	r.rig.LogEvent(now, describe(r.scenario, e))
	handle, known := handlers[e.Do]
	if !known {
		return
	}
	duration := scenario.SecondsToDuration(e.ForS)
	begun := &event{
		Event:    e,
		start:    now,
		duration: duration,
		end:      now.Add(duration + scenario.SecondsToDuration(e.OverS)),
	}
	if observer, ok := r.rig.(FaultObserver); ok {
		r.rig.At(begun.end, observer.EventBegan(e))
	}
	handle(r, begun)
}

// event is a scenario's event in progress. If it is spread over a time (OverS), it begins at one target after the
// other, and most effects end at all targets together, at end.
type event struct {
	*scenario.Event
	start    policy.Instant
	duration time.Duration  // as stated, without the time over which it is spread
	end      policy.Instant // start + duration + the time over which it is spread
}

// eachServer calls do for each server of an event, spread over the event's time.
func (r *Run) eachServer(e *event, do func(at policy.Instant, server int)) {
	ids := r.scenario.SelectedCaches(e.Event)
	for i, id := range ids {
		r.spread(e, i, len(ids), func(at policy.Instant) {
			if server, ok := r.world.Find(id); ok {
				do(at, server)
			}
		})
	}
}

// eachNode calls do for each node of an event, spread over the event's time.
func (r *Run) eachNode(e *event, do func(at policy.Instant, node int)) {
	numbers := r.scenario.SelectedNodes(e.Event)
	for i, number := range numbers {
		r.spread(e, i, len(numbers), func(at policy.Instant) { do(at, number-1) })
	}
}

// spread calls do for the i-th of count targets, after its share of the event's OverS; for the first one at once.
func (r *Run) spread(e *event, i, count int, do func(at policy.Instant)) {
	if i == 0 || e.OverS == 0 {
		do(e.start)
		return
	}
	at := e.start.Add(scenario.SecondsToDuration(e.OverS * float64(i) / float64(count)))
	r.rig.At(at, func() { do(at) })
}

// startServer starts a server's next process. It resets connections that outlived the previous process, as those to a
// silent server do.
func (r *Run) startServer(now policy.Instant, server int) {
	r.world.Start(now, server)
	r.rig.ResetConnections(server)
	r.rig.EndpointChanged(EndpointOf(r.world, server))
}

// drainServer marks a server as draining in the endpoint list, and removes it after a duration.
func (r *Run) drainServer(now policy.Instant, number int, duration time.Duration) {
	server := r.world.Servers[number]
	server.State = policy.Draining
	r.rig.EndpointChanged(EndpointOf(r.world, number))
	removal := now.Add(cmp.Or(duration, defaultDrainTime))
	r.rig.At(removal, func() {
		server.State = policy.Removed
		r.rig.EndpointChanged(EndpointOf(r.world, number))
		r.world.Kill(removal, number)
		r.rig.ResetConnections(number)
	})
}

// countOutage counts an outage of discovery that begins (1) or ends (-1). Discovery is up while the count is 0.
func (r *Run) countOutage(change int) {
	wasUp := r.outages == 0
	r.outages += change
	isUp := r.outages == 0
	if wasUp != isUp {
		r.rig.SetDiscovery(isUp)
	}
}

// EndpointOf returns the entry of a server in the endpoint list.
func EndpointOf(w *world.World, server int) policy.Endpoint {
	s := w.Servers[server]
	kind := 0
	if w.IsOrigin(server) {
		kind = 1
	}
	return policy.Endpoint{
		ID:        s.ID,
		Kind:      kind,
		Lifecycle: s.State,
		StartedAt: s.StartedAt,
		Zone:      s.Zone,
		Group:     s.Group,
		Weight:    s.Weight,
	}
}

// Endpoints returns the complete endpoint list.
func Endpoints(w *world.World) []policy.Endpoint {
	var all []policy.Endpoint
	for i, s := range w.Servers {
		if s.State != policy.Removed {
			all = append(all, EndpointOf(w, i))
		}
	}
	return all
}
