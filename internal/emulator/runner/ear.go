package runner

import (
	"dahliapin/internal/emulator/checker"
	"dahliapin/internal/emulator/report"
	"dahliapin/internal/emulator/world"
	"dahliapin/policy"
)

// ListWatcher hears what really happens in a world, for the judge and the run's log, and tells the rig whose connections broke.
// It is the world's hearer in either shell.
type ListWatcher struct {
	Judge *checker.Checker
	Log   *report.Log
	World *world.World
	Rig   Rig
}

// Effect hears that a write had its effect.
func (e *ListWatcher) Effect(now policy.Instant, id, label string, grade int, server policy.EndpointID) {
	e.Judge.Effect(now, id, label, grade, server)
}

// Fell hears that a server was pushed over. A cache's connections break; the origin goes on.
func (e *ListWatcher) Fell(now policy.Instant, server policy.EndpointID, why string) {
	e.Judge.Fell(now, server, why)
	e.Log.Say(now, string(server)+" "+why)
	if i, ok := e.World.Find(server); ok && !e.World.IsOrigin(i) {
		e.Rig.At(now, func() { e.Rig.Broke(i) })
	}
}

// Rose hears that it is back.
func (e *ListWatcher) Rose(_ policy.Instant, server policy.EndpointID) {
	if i, ok := e.World.Find(server); ok {
		e.Rig.Listed(EntryOf(e.World, i))
	}
}
