package scale

import (
	"context"
	"time"
)

// listFlow is the name of the flow of endpoint lists.
const listFlow = "list"

// snapshot is a reading of the cumulative usage of every node.
type snapshot struct {
	at    time.Time
	nodes map[string]map[string]Flow // by node and flow
	costs map[string]Cost            // by node; for a simulated node an equal share of its process
	lost  uint64                     // messages that the emulated network dropped as a queue was full
	drops uint64                     // messages that nodes dropped for lack of capacity
}

// read takes a snapshot. It reads the costs before it queries the nodes, as their answers cost CPU time.
func (f *fleetRun) read(ctx context.Context) (snapshot, error) {
	if err := f.checkMemory(); err != nil {
		return snapshot{}, err
	}
	s := snapshot{at: time.Now(), nodes: map[string]map[string]Flow{}}
	var err error
	if s.costs, err = f.costs(); err != nil {
		return s, err
	}
	all, lost, err := f.statuses(ctx, doReadTraffic)
	if err != nil {
		return s, err
	}
	s.lost = lost
	for _, st := range all {
		flows := map[string]Flow{}
		for _, traffic := range st.Flows {
			flows[traffic.Name] = Flow{
				Out:         float64(traffic.OutBytes),
				In:          float64(traffic.InBytes),
				OutMessages: float64(traffic.Out),
				InMessages:  float64(traffic.In),
			}
		}
		flows[listFlow] = f.lists.flow(st.Name)
		s.nodes[st.Name] = flows
		s.drops += st.Dropped
	}
	return s, nil
}

// costs reads the cost of every node. The cost of a process of simulated nodes is divided equally among them.
func (f *fleetRun) costs() (map[string]Cost, error) {
	costs := map[string]Cost{}
	for _, h := range f.simulated {
		cost, err := h.Cost()
		if err != nil {
			return nil, err
		}
		nodes := len(h.places)
		share := Cost{
			Processor: cost.Processor / time.Duration(nodes),
			Waited:    cost.Waited / time.Duration(nodes),
			Resident:  cost.Resident / uint64(nodes),
		}
		for _, at := range h.places {
			costs[at.Name] = share
		}
	}
	for _, n := range f.real {
		cost, err := n.Cost()
		if err != nil {
			return nil, err
		}
		costs[n.Place.Name] = cost
	}
	if f.isolated != nil {
		cost, err := f.isolated.Cost()
		if err != nil {
			return nil, err
		}
		costs[alone] = cost
	}
	return costs, nil
}
