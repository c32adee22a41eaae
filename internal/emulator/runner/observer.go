package runner

import (
	"dahliapin/internal/emulator/checker"
	"dahliapin/internal/emulator/report"
	"dahliapin/internal/emulator/world"
	"dahliapin/policy"
)

// WorldObserver passes on what happens in the world, independent of what nodes observe: effects of writes to the
// checker, overloads to the run's log, broken connections and changes of the endpoint list to the rig.
type WorldObserver struct {
	Checker *checker.Checker
	Log     *report.Log
	World   *world.World
	Rig     Rig
}

// Effect reports that a write had its effect at a server.
func (o *WorldObserver) Effect(now policy.Instant, id, label string, class int, server policy.EndpointID) {
	o.Checker.Effect(now, id, label, class, server)
}

// ServerOverloaded reports that a server failed under overload. The connections of a cache are reset; the origin continues.
func (o *WorldObserver) ServerOverloaded(now policy.Instant, server policy.EndpointID, why string) {
	o.Checker.ServerOverloaded(now, server, why)
	o.Log.AddEvent(now, string(server)+" "+why)
	if i, ok := o.World.Find(server); ok && !o.World.IsOrigin(i) {
		o.Rig.At(now, func() { o.Rig.ResetConnections(i) })
	}
}

// ServerRecovered reports that a server that had failed under overload runs again.
func (o *WorldObserver) ServerRecovered(_ policy.Instant, server policy.EndpointID) {
	if i, ok := o.World.Find(server); ok {
		o.Rig.EndpointChanged(EndpointOf(o.World, i))
	}
}
