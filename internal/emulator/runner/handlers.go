package runner

import (
	"dahliapin/internal/emulator/netfault"
	"dahliapin/internal/emulator/scenario"
	"dahliapin/internal/emulator/world"
	"dahliapin/policy"
)

// handlers maps an event's name in a scenario to the function that carries it out.
var handlers = map[string]func(*Run, *event){
	"slow":    (*Run).slowServers,
	"crowd":   (*Run).occupyCores,
	"pause":   (*Run).pauseServers,
	"kill":    (*Run).killServers,
	"restart": (*Run).killServers,
	"silent":  (*Run).silenceServers,
	"drain":   (*Run).drainServers,
	"shrink":  (*Run).drainNewestCaches,
	"add":     (*Run).addServers,
	"fault":   (*Run).faultConnections,
	"errors":  (*Run).failRequests,

	"hot":         (*Run).addHotKey,
	"burst":       (*Run).burstTraffic,
	"origin_slow": (*Run).slowOrigin,

	"discovery_down": (*Run).stopDiscovery,
	"discovery_slow": (*Run).slowDiscovery,

	"node_restart": (*Run).restartNodes,
	"node_kill":    (*Run).restartNodes,
	"node_scrape":  (*Run).scrapeNodes,
	"node_upgrade": (*Run).upgradeNodes,
	"node_standby": (*Run).standbyNodes,
	"node_twin":    (*Run).startDuplicateNodes,
	"node_crowd":   (*Run).openIdleClients,

	"node_term_start": (*Run).terminateStartingNodes,

	"node_stall":  (*Run).stallClients,
	"node_reload": (*Run).reloadNodes,
	"node_freeze": (*Run).freezeNodes,
	"node_pause":  (*Run).pauseNodes,
	"node_hang":   (*Run).hangNodes,

	"between_cut":   (*Run).cutBetween,
	"between_loss":  (*Run).dropBetween,
	"between_twice": (*Run).duplicateBetween,
	"between_late":  (*Run).delayBetween,
}

func (r *Run) slowServers(e *event) {
	r.eachServer(e, func(now policy.Instant, server int) {
		r.world.Slow(now, server, e.Factor)
		r.rig.At(e.end, func() { r.world.Slow(e.end, server, 1) })
	})
}

func (r *Run) occupyCores(e *event) {
	r.eachServer(e, func(now policy.Instant, server int) {
		r.world.TakeCores(now, server, e.Share)
		r.rig.At(e.end, func() { r.world.TakeCores(e.end, server, 0) })
	})
}

func (r *Run) pauseServers(e *event) {
	r.eachServer(e, func(now policy.Instant, server int) { r.world.Pause(now, server, e.duration) })
}

func (r *Run) killServers(e *event) {
	r.eachServer(e, func(now policy.Instant, server int) {
		r.world.Kill(now, server)
		r.rig.ResetConnections(server)
		if e.Do == "restart" || e.duration > 0 {
			startAt := now.Add(max(minDowntime, e.duration))
			r.rig.At(startAt, func() { r.startServer(startAt, server) })
		}
	})
}

func (r *Run) silenceServers(e *event) {
	r.eachServer(e, func(now policy.Instant, server int) {
		r.world.Silence(now, server)
		if e.duration > 0 {
			r.rig.At(e.end, func() { r.startServer(e.end, server) })
		}
	})
}

func (r *Run) drainServers(e *event) {
	r.eachServer(e, func(now policy.Instant, server int) { r.drainServer(now, server, e.duration) })
}

// drainNewestCaches drains the caches that were added last.
func (r *Run) drainNewestCaches(e *event) {
	remaining := max(1, e.Count)
	for server := len(r.world.Servers) - 1; server >= 0 && remaining > 0; server-- {
		if !r.world.IsOrigin(server) && r.world.Servers[server].State == policy.Ready {
			r.drainServer(e.start, server, e.duration)
			remaining--
		}
	}
}

func (r *Run) addServers(e *event) {
	count := max(1, e.Count)
	for i := range count {
		r.spread(e, i, count, func(at policy.Instant) {
			r.addedCaches++
			server := r.world.AddCache(r.scenario.Cache(r.scenario.Fleet.Caches+r.addedCaches), at)
			r.rig.EndpointChanged(EndpointOf(r.world, server))
		})
	}
}

func (r *Run) faultConnections(e *event) {
	r.eachServer(e, func(_ policy.Instant, server int) {
		r.rig.SetFault(server, e.Fault)
		if e.Fault == "refuse" {
			r.rig.ResetConnections(server)
		}
		r.rig.At(e.end, func() { r.rig.SetFault(server, "") })
	})
}

func (r *Run) failRequests(e *event) {
	r.eachServer(e, func(_ policy.Instant, server int) {
		r.world.SetErrorRate(server, e.Share)
		r.rig.At(e.end, func() { r.world.SetErrorRate(server, 0) })
	})
}

func (r *Run) addHotKey(e *event) {
	r.traffic.SetHotKey(world.KeyOf(e.Rank), e.Share)
	r.rig.At(e.end, func() { r.traffic.SetHotKey("", 0) })
}

func (r *Run) burstTraffic(e *event) {
	r.traffic.SetBurst(e.Factor)
	r.rig.At(e.end, func() { r.traffic.SetBurst(1) })
}

func (r *Run) slowOrigin(e *event) {
	origin, ok := r.world.Find(world.OriginID)
	if !ok {
		return
	}
	r.world.Slow(e.start, origin, e.Factor)
	r.rig.At(e.end, func() { r.world.Slow(e.end, origin, 1) })
}

func (r *Run) stopDiscovery(e *event) {
	r.countOutage(1)
	r.rig.At(e.end, func() { r.countOutage(-1) })
}

func (r *Run) slowDiscovery(e *event) {
	r.rig.Registry().Slow(e.Factor)
	r.rig.At(e.end, func() { r.rig.Registry().Slow(1) })
}

func (r *Run) restartNodes(e *event) {
	r.eachNode(e, func(at policy.Instant, node int) {
		r.rig.EndNode(node, e.Do == "node_restart")
		r.rig.At(at.Add(max(minDowntime, e.duration)), func() { r.rig.StartNode(node) })
	})
}

// terminateStartingNodes restarts nodes and terminates each node's next process during its start.
func (r *Run) terminateStartingNodes(e *event) {
	terminator, ok := r.rig.(StartTerminator)
	if !ok {
		return
	}
	r.eachNode(e, func(at policy.Instant, node int) {
		terminator.TerminateNextStart(node, scenario.SecondsToDuration(e.LateMs/1000))
		r.rig.EndNode(node, true)
		r.rig.At(at.Add(max(minDowntime, e.duration)), func() { r.rig.StartNode(node) })
	})
}

// scrapeNodes reads the metrics of all selected nodes from the event's start to its end, even if the event is spread
// over a time.
func (r *Run) scrapeNodes(e *event) {
	for _, number := range r.scenario.SelectedNodes(e.Event) {
		r.rig.ScrapeNode(number-1, e.end)
	}
}

func (r *Run) upgradeNodes(e *event) {
	r.eachNode(e, func(_ policy.Instant, node int) { r.rig.UpgradeNode(node) })
}

func (r *Run) standbyNodes(e *event) {
	r.eachNode(e, func(at policy.Instant, node int) {
		r.rig.StandbyNode(node, true)
		r.rig.At(at.Add(e.duration), func() { r.rig.StandbyNode(node, false) })
	})
}

// startDuplicateNodes starts all duplicates at once, even if the event is spread over a time.
func (r *Run) startDuplicateNodes(e *event) {
	for _, number := range r.scenario.SelectedNodes(e.Event) {
		r.rig.StartDuplicateNode(number - 1)
	}
}

func (r *Run) openIdleClients(e *event) {
	r.eachNode(e, func(at policy.Instant, node int) { r.rig.OpenIdleClients(node, e.Count, at.Add(e.duration)) })
}

func (r *Run) stallClients(e *event) {
	r.eachNode(e, func(_ policy.Instant, node int) { r.rig.StallClients(node, e.Count) })
}

func (r *Run) reloadNodes(e *event) {
	r.eachNode(e, func(_ policy.Instant, node int) { r.rig.ReloadNode(node, e.Count) })
}

func (r *Run) freezeNodes(e *event) {
	r.eachNode(e, func(_ policy.Instant, node int) { r.rig.FreezeNode(node, e.duration) })
}

func (r *Run) pauseNodes(e *event) { r.stopNodes(e, r.rig.PauseNode) }

func (r *Run) hangNodes(e *event) { r.stopNodes(e, r.rig.HangNode) }

// stopNodes stops the process or the event loop of each node, and continues it after the event's duration.
func (r *Run) stopNodes(e *event, stop func(node int, stop bool)) {
	r.eachNode(e, func(at policy.Instant, node int) {
		stop(node, true)
		r.rig.At(at.Add(e.duration), func() { stop(node, false) })
	})
}

func (r *Run) cutBetween(e *event) {
	r.changeBetween(e, func(link *netfault.Link, on bool) { link.Cut = on })
}

func (r *Run) dropBetween(e *event) {
	r.changeBetween(e, func(link *netfault.Link, on bool) { link.Loss = valueIf(on, e.Share) })
}

func (r *Run) duplicateBetween(e *event) {
	r.changeBetween(e, func(link *netfault.Link, on bool) { link.Duplicate = valueIf(on, e.Share) })
}

func (r *Run) delayBetween(e *event) {
	r.changeBetween(e, func(link *netfault.Link, on bool) {
		link.Jitter = scenario.SecondsToDuration(valueIf(on, e.LateMs) / 1000)
	})
}

func valueIf(on bool, value float64) float64 {
	if on {
		return value
	}
	return 0
}

// changeBetween changes the links between nodes until the event's end. If the event states TurnS, the change is
// reverted and reapplied at that interval, as on a flapping link.
func (r *Run) changeBetween(e *event, set func(link *netfault.Link, on bool)) {
	setAll := func(on bool) {
		for _, pair := range r.scenario.Pairs(e.Event) {
			r.rig.ChangeLink(pair[0], pair[1], func(link *netfault.Link) { set(link, on) })
		}
	}
	setAll(true)
	if interval := scenario.SecondsToDuration(e.TurnS); interval > 0 {
		on := true
		for at := e.start.Add(interval); at < e.end; at = at.Add(interval) {
			on = !on
			state := on
			r.rig.At(at, func() { setAll(state) })
		}
	}
	r.rig.At(e.end, func() { setAll(false) })
}
