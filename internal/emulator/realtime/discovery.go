package realtime

import (
	"dahliapin/internal/emulator/scenario"
	"dahliapin/policy"
)

// SetDiscovery takes discovery down, or up again, and then publishes the changes since. Rig.mu must be locked.
func (r *Rig) SetDiscovery(up bool) {
	r.notifications.SetDiscovery(r.now(), up)
	if !up {
		r.discoveryReady = make(chan struct{})
		return
	}
	close(r.discoveryReady)
	for _, e := range r.pendingUpdates {
		r.EndpointChanged(e)
	}
	r.pendingUpdates = nil
}

func (r *Rig) discoveryDown() bool {
	select {
	case <-r.discoveryReady:
		return false
	default:
		return true
	}
}

// EndpointChanged publishes a change of the endpoint list to each node's agent after a random delay, which differs
// between nodes. Rig.mu must be locked.
func (r *Rig) EndpointChanged(e policy.Endpoint) {
	if i, ok := r.world.Find(e.ID); ok {
		r.updateListener(i)
	}
	if r.discoveryDown() {
		r.pendingUpdates = append(r.pendingUpdates, e)
		return
	}
	for _, m := range r.nodes {
		delayRange := r.scenario.Discovery.NoticeS
		delay := scenario.SecondsToDuration(delayRange[0] + (delayRange[1]-delayRange[0])*r.random.Float64())
		r.At(r.now().Add(delay), func() { m.agent.addChange(e) })
	}
	if r.fleetRecorder != nil {
		r.At(r.now().Add(scenario.SecondsToDuration(r.scenario.Discovery.NoticeS[0])), func() {
			r.fleetRecorder.EndpointsUpdated(r.now(), policy.DeltaUpdate, []policy.Endpoint{e})
		})
	}
}
