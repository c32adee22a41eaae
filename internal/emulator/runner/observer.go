package runner

import (
	"dahliapin/internal/emulator/checker"
	"dahliapin/internal/emulator/report"
	"dahliapin/internal/emulator/world"
	"dahliapin/policy"
)

// WorldObserver forwards what happens in the world, whether or not nodes notice it: effects of writes and overloads to
// the checker, overloads also to the run's log, broken connections and changes of the endpoint list to the rig.
type WorldObserver struct {
	Checker *checker.Checker
	Log     *report.Log
	World   *world.World
	Rig     Rig
}

// Effect forwards the effect of a write at a server to the checker.
func (o *WorldObserver) Effect(now policy.Instant, id, label string, class int, server policy.EndpointID) {
	o.Checker.Effect(now, id, label, class, server)
}

// ServerOverloaded forwards the overload of a server to the checker and the run's log. A cache has failed then, so that
// its connections are reset; the origin continues to run.
func (o *WorldObserver) ServerOverloaded(now policy.Instant, server policy.EndpointID, overload world.Overload) {
	o.Checker.ServerOverloaded(now, server, overload.InformedShare, overload.What)
	o.Log.AddEvent(now, string(server)+" "+overload.What)
	if i, ok := o.World.Find(server); ok && !o.World.IsOrigin(i) {
		o.Rig.At(now, func() { o.Rig.ResetConnections(i) })
	}
}

// ServerRecovered publishes the restart of a cache that had failed from overload.
func (o *WorldObserver) ServerRecovered(_ policy.Instant, server policy.EndpointID) {
	if i, ok := o.World.Find(server); ok {
		o.Rig.EndpointChanged(EndpointOf(o.World, i))
	}
}
