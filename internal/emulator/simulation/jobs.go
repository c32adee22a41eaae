package simulation

import (
	"dahliapin/internal/emulator/world"
	"dahliapin/policy"
)

// resultOf maps a server's reply to the result of the attempt.
var resultOf = [...]policy.Result{
	world.Value:   policy.Answered,
	world.Receipt: policy.Answered,
	world.Miss:    policy.CacheMiss,
	world.Busy:    policy.Rejected,
	world.Failed:  policy.Errored,
}

// jobDone sends a server's reply to the node whose attempt it belongs to.
func (sim *Simulation) jobDone(done world.Done) {
	a := sim.atServers[done.Job.Tag]
	if a == nil {
		return
	}
	server := done.Server
	a.reportEnd(done.Reply == world.Busy)
	delete(sim.atServers, done.Job.Tag)
	result := sim.faultyResult(server, done.Reply)
	toOrigin := sim.world.IsOrigin(server)
	var loadReport []float64
	if sim.scenario.Fleet.Reports && !toOrigin && result != policy.ConnectionBroken {
		loadReport = []float64{done.Load}
	}
	lostShare := sim.scenario.Network.LostShare
	if lostShare > 0 && !toOrigin && sim.random.Float64() < lostShare {
		return // the connection delivers nothing anymore; the attempt ends at its deadline
	}
	sim.after(sim.serverLatency(a.node, server), func() { a.finish(result, loadReport) })
}

// faultyResult returns the result of a reply under the fault on the server's connections.
func (sim *Simulation) faultyResult(server int, reply world.Reply) policy.Result {
	switch sim.fault(server) {
	case "half":
		return policy.ConnectionBroken
	case "garbage":
		return policy.Errored
	case "stale":
		if reply == world.Value {
			return policy.CacheMiss
		}
	}
	return resultOf[reply]
}
